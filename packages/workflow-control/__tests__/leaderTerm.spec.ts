import * as protocol from '@ebonyweir/protocol'
import * as vitest from 'vitest'
import * as harnesses from './termHarness.js'

const { afterEach, beforeEach, describe, expect, it } = vitest
const { EndKind, RejectionReason } = protocol.workflow
const { MAX_STREAM_NUMBER } = protocol.fencing

/** List without a run, of a worker that holds further ends. */
const MORE_ENDS: harnesses.ReportFields = {
  ended: [[1, 'x.0.0.0#1', EndKind.COMPLETED]],
  hasMoreEnds: true,
}

let harness: ReturnType<typeof harnesses.createTermHarness>

beforeEach(() => {
  harness = harnesses.createTermHarness()
})

afterEach(() => {
  harness.close()
})

const settle = (): Promise<unknown> => harness.pass(20)

describe('assignments and run ends', () => {
  it('starts a task after its assignment and commits its end before acknowledging it', async () => {
    const agent = harness.attach('w')
    agent.report()
    harness.submit('j', [{}])
    await settle()
    expect(agent.starts()).toEqual(['j.0.0.0#1'])
    agent.report({ ended: [[1, 'j.0.0.0#1', EndKind.COMPLETED]] })
    expect(agent.orders.at(-1)?.acknowledgedEnd).toBe(0)
    await settle()
    expect(harness.view.jobs.get('j')?.phase).toBe('completed')
    expect(agent.orders.at(-1)?.acknowledgedEnd).toBe(1)
  })

  it('guards against an acknowledgement of an end that is not committed', async () => {
    const agent = harness.attach('w')
    agent.report()
    harness.submit('j', [{}])
    await settle()
    harness.control.commits = false
    agent.report({ ended: [[1, 'j.0.0.0#1', EndKind.COMPLETED]] })
    await settle()
    expect(agent.orders.every(({ acknowledgedEnd }) => acknowledgedEnd === 0)).toBe(true)
  })

  it('guards against a lease that starts later than the reported reading of the worker clock', () => {
    const agent = harness.attach('w')
    agent.report()
    const clockMs = Math.round(performance.now())
    expect(agent.orders.at(-1)?.leaseUntilMs).toBe(clockMs + harnesses.LEASE_MS)
  })

  it('repeats the orders that an agent may have missed, except for ended runs', async () => {
    const first = harness.attach('w')
    first.report()
    harness.submit('j', [{ taskCount: 2 }])
    await settle()
    const second = harness.attach('w')
    expect(first.ended).toBe(true)
    second.report({ ended: [[1, 'j.0.0.1#1', EndKind.COMPLETED]] })
    await settle()
    expect(second.starts()).toContain('j.0.0.0#1')
    expect(harness.task('j.0.0.1')?.phase).toBe('completed')
  })

  it('guards against an unmarked repetition of an order that a replaced session may have delivered', async () => {
    const first = harness.attach('w')
    first.report()
    harness.submit('j', [{}])
    await settle()
    expect(first.starts()).toEqual(['j.0.0.0#1'])
    expect(first.repeatedStarts()).toEqual([])
    const second = harness.attach('w')
    second.report()
    expect(second.repeatedStarts()).toEqual(['j.0.0.0#1'])
  })

  it('guards against an unmarked repetition of an order that another leader may have sent', async () => {
    const agent = harness.attach('w')
    agent.report()
    harness.submit('j', [{}])
    harness.control.proposed = () => {
      harness.control.leading = false
    }
    await settle()
    expect(agent.starts()).toEqual(['j.0.0.0#1'])
    expect(agent.repeatedStarts()).toEqual(['j.0.0.0#1'])
  })

  it('guards against a rejected run that stays assigned', async () => {
    const agent = harness.attach('w')
    agent.report()
    harness.submit('j', [{}])
    await settle()
    agent.report({ rejected: [['j.0.0.0#1', RejectionReason.NO_ROOM]] })
    await settle()
    expect(harness.task('j.0.0.0')).toMatchObject({ phase: 'waiting', failures: 0 })
  })
})

describe('ends that are being committed', () => {
  const RUN = 'j.0.0.0#1'
  const rejected = [[RUN, RejectionReason.NO_ROOM]] as const

  /** Holds commits back until the returned function is called. */
  const holdCommits = (): (() => Promise<unknown>) => {
    let open: () => void = () => undefined
    harness.control.gate = new Promise((resolve) => {
      open = resolve
    })
    return () => {
      open()
      return settle()
    }
  }

  const cases: readonly {
    readonly name: string
    /** Reports of the agent on its first stream, and on its second one while the commit is pending. */
    readonly first: harnesses.ReportFields
    readonly second: harnesses.ReportFields
  }[] = [
    {
      name: 'guards against an order for a run whose rejection is being committed',
      first: { rejected },
      second: {},
    },
    {
      name: 'guards against an order for a run that the first report of a stream rejects',
      first: {},
      second: { rejected },
    },
    {
      name: 'guards against an order for a run whose rejection is reported again',
      first: { rejected },
      second: { rejected },
    },
  ]

  it.each(cases)('$name', async ({ first, second }) => {
    const before = harness.attach('w')
    before.report()
    harness.submit('j', [{}])
    await settle()
    const release = holdCommits()
    before.report(first)
    const after = harness.attach('w')
    after.report(second)
    await settle()
    expect(after.starts()).toEqual([])
    await release()
    // A worker that rejected a run for lack of capacity gets no new run for a moment.
    expect(after.starts()).toEqual([])
    expect(harness.task('j.0.0.0')).toMatchObject({ phase: 'waiting', run: 1 })
  })

  it('guards against an order for a run that is being declared lost', async () => {
    const unresponsive = harness.attach('w')
    unresponsive.report()
    harness.submit('j', [{}])
    await settle()
    const release = holdCommits()
    await harness.pass(harnesses.LEASE_MS + 1_500)
    const back = harness.attach('w')
    back.report()
    await settle()
    expect(back.starts()).toEqual([])
    await release()
    expect(back.starts()).toEqual(['j.0.0.0#2'])
  })

  it('guards against a late rejection on a replaced stream after the order was repeated', async () => {
    const before = harness.attach('w')
    before.report()
    harness.submit('j', [{}])
    await settle()
    const after = harness.attach('w')
    after.report()
    expect(after.starts()).toEqual([RUN])
    before.report({ rejected })
    await settle()
    expect(harness.task('j.0.0.0')).toMatchObject({ phase: 'assigned', run: 1 })
  })

  it('guards against a run that is never started after the commit of its rejection failed', async () => {
    const before = harness.attach('w')
    before.report()
    harness.submit('j', [{}])
    await settle()
    const release = holdCommits()
    harness.control.overloaded = true
    before.report({ rejected })
    const after = harness.attach('w')
    after.report()
    await release()
    expect(after.repeatedStarts()).toEqual([RUN])
  })
})

describe('workers that are lost', () => {
  it('guards against a second run before the lease of an unresponsive worker has expired', async () => {
    const unresponsive = harness.attach('v')
    unresponsive.report()
    harness.submit('j', [{}])
    await settle()
    expect(unresponsive.starts()).toEqual(['j.0.0.0#1'])
    const other = harness.attach('w')
    for (let passedMs = 0; passedMs < harnesses.LEASE_MS; passedMs += 400) {
      other.report()
      await harness.pass(400)
      expect(other.starts()).toEqual([])
    }
    for (let passedMs = 0; passedMs < 1_600; passedMs += 400) {
      other.report()
      await harness.pass(400)
    }
    expect(other.starts()).toEqual(['j.0.0.0#2'])
  })

  const outages: readonly { readonly name: string; readonly simulate: () => Promise<unknown> }[] = [
    {
      name: 'the process of the leader was frozen',
      simulate: async () => {
        harness.freeze(8_000)
        // The timers of a thawed process run before it reads from its sockets.
        await harness.pass(110)
      },
    },
    {
      name: 'the lease of the leader was void',
      simulate: async () => {
        harness.control.leading = false
        await harness.pass(8_000)
        harness.control.leading = true
        await harness.pass(110)
      },
    },
  ]

  it.each(outages)(
    'guards against workers declared lost without reports because $name',
    async ({ simulate }) => {
      const agent = harness.attach('w')
      agent.report()
      harness.submit('j', [{}])
      await settle()
      agent.report({ running: ['j.0.0.0#1'] })
      await simulate()
      // Agents need some seconds to attach again.
      await harness.pass(2_000)
      agent.report({ ended: [[1, 'j.0.0.0#1', EndKind.COMPLETED]] })
      await settle()
      expect(harness.task('j.0.0.0')).toMatchObject({ phase: 'completed', run: 1 })
      expect(harness.logs.filter(({ message }) => message === 'worker lost')).toEqual([])
    },
  )

  it.each(outages)(
    'guards against a worker that is never declared lost after $name',
    async ({ simulate }) => {
      harness.attach('w').report()
      harness.submit('j', [{}])
      await settle()
      await simulate()
      await harness.pass(harnesses.LEASE_MS + 1_500)
      expect(harness.task('j.0.0.0')?.phase).toBe('waiting')
    },
  )

  it('guards against a lease extended by reports without a new run list', async () => {
    const withoutLists = harness.attach('v')
    withoutLists.report()
    harness.submit('j', [{}])
    await settle()
    for (let passedMs = 0; passedMs < harnesses.LEASE_MS + 1_200; passedMs += 400) {
      withoutLists.report({ stale: true })
      await harness.pass(400)
    }
    expect(harness.task('j.0.0.0')).toMatchObject({ phase: 'waiting' })
  })

  it('guards against a worker that gets no runs because earlier ones were lost in a network partition', async () => {
    const partitioned = harness.attach('w')
    partitioned.report()
    harness.submit('j', [{ taskCount: 4 }])
    await settle()
    partitioned.live(1_200, { percent: 10 })
    await harness.pass(harnesses.LEASE_MS + 1_500)
    expect(harness.task('j.0.0.0')?.phase).toBe('waiting')
    const back = harness.attach('w')
    back.report()
    await settle()
    expect(back.starts()).toHaveLength(4)
  })

  it('ends the runs of a worker whose instance reports another worker', async () => {
    const agent = harness.attach('agent')
    agent.report({ id: 'old' })
    harness.submit('j', [{}])
    await settle()
    agent.report({ id: 'new', bornMs: 2 })
    await settle()
    expect(agent.starts().at(-1)).toBe('j.0.0.0#2')
  })

  it('guards against waiting for the lease of a worker that an earlier session knew under another id', async () => {
    const agent = harness.attach('agent')
    agent.report({ id: 'old' })
    harness.submit('j', [{}])
    await settle()
    const next = harness.attach('agent')
    next.report({ id: 'new', bornMs: 2 })
    await settle()
    expect(next.starts()).toEqual(['j.0.0.0#2'])
  })

  it('guards against a late order to a new incarnation with the same id: the old run is stopped first', async () => {
    const agent = harness.attach('w')
    agent.report()
    harness.submit('j', [{}])
    await settle()
    agent.report({ bornMs: 2 })
    await settle()
    expect(agent.stops()).toEqual(['j.0.0.0#1'])
    expect(harness.task('j.0.0.0')).toMatchObject({ phase: 'assigned', run: 1 })
    agent.report({ bornMs: 2, rejected: [['j.0.0.0#1', RejectionReason.ABSENT]] })
    await settle()
    expect(agent.starts().at(-1)).toBe('j.0.0.0#2')
  })

  it('guards against runs given up because another writer announced a later incarnation', async () => {
    const agent = harness.attach('w')
    agent.report()
    harness.submit('j', [{}])
    await settle()
    agent.report({ bornMs: Number.MAX_SAFE_INTEGER, unlisted: true })
    await settle()
    expect(harness.task('j.0.0.0')).toMatchObject({ phase: 'assigned', run: 1 })
    expect(agent.stops()).toEqual([])
    agent.report({ id: 'odd', bornMs: Number.MAX_SAFE_INTEGER, unlisted: true })
    await settle()
    expect(harness.task('j.0.0.0')).toMatchObject({ phase: 'assigned', run: 1 })
  })

  it('guards against a second run of a task that a new incarnation with the same id completed', async () => {
    const agent = harness.attach('w')
    agent.report()
    harness.submit('j', [{}])
    await settle()
    agent.report({ bornMs: 2, ended: [[1, 'j.0.0.0#1', EndKind.COMPLETED]] })
    await settle()
    expect(harness.task('j.0.0.0')).toMatchObject({ phase: 'completed', run: 1 })
    expect(agent.starts()).toEqual(['j.0.0.0#1'])
    expect(agent.orders.at(-1)?.acknowledgedEnd).toBe(1)
  })
})

describe('runs that have to stop', () => {
  it('stops runs of a cancelled job and runs that are not assigned to the worker', async () => {
    const agent = harness.attach('w')
    agent.report()
    harness.submit('j', [{}])
    await settle()
    harness.apply({ $case: 'cancel', value: { job: 'j' } })
    agent.live(400, { running: ['j.0.0.0#1', 'x.0.0.0#1'] })
    await settle()
    expect([...agent.stops()].sort()).toEqual(['j.0.0.0#1', 'x.0.0.0#1'])
  })

  it('withdraws an unconfirmed order when its failure domain is evacuated', async () => {
    const agent = harness.attach('w')
    agent.report()
    harness.submit('j', [{ taskCount: 2 }])
    await settle()
    agent.report({ running: ['j.0.0.0#1'] })
    const evacuated = { failureDomain: 'rennes', evacuated: true, ticket: undefined }
    harness.apply({ $case: 'evacuation', value: evacuated })
    await harness.pass(200)
    expect(agent.withdrawals()).toEqual(['j.0.0.1#1'])
    expect(agent.stops()).toEqual([])
  })

  it('stops a stalled run and avoids its worker for the next run', async () => {
    const stuck = harness.attach('v')
    stuck.report()
    harness.submit('j', [{}])
    await settle()
    const other = harness.attach('w')
    for (let passedMs = 0; passedMs < 4_400; passedMs += 400) {
      stuck.report({ running: ['j.0.0.0#1'], percent: 5 })
      other.report()
      await harness.pass(400)
    }
    expect(stuck.stops()).toEqual(['j.0.0.0#1'])
    stuck.report({ ended: [[1, 'j.0.0.0#1', EndKind.STOPPED]] })
    await settle()
    expect(other.starts()).toEqual(['j.0.0.0#2'])
  })

  // Guards against a stop of a run that has ended: no list shows its progress while its end waits behind others.
  it.each<{
    readonly name: string
    readonly fields: harnesses.ReportFields
    readonly stops: readonly string[]
  }>([
    { name: 'of a run that has ended behind the listed ends', fields: MORE_ENDS, stops: [] },
    { name: 'of a run that a list does not contain', fields: {}, stops: ['j.0.0.0#1'] },
  ])('takes missing progress $name into account', async ({ fields, stops }) => {
    const agent = harness.attach('w')
    agent.report()
    harness.submit('j', [{}])
    await settle()
    agent.report({ running: ['j.0.0.0#1'], percent: 5 })
    for (let passedMs = 0; passedMs < 4_800; passedMs += 400) {
      agent.report(fields)
      await harness.pass(400)
    }
    expect(agent.stops()).toEqual(stops)
    agent.report({ ended: [[501, 'j.0.0.0#1', EndKind.COMPLETED]] })
    await settle()
    expect(harness.task('j.0.0.0')).toMatchObject({ phase: 'completed', run: 1 })
  })

  it('guards against a new leader that ends a run whose end waits behind the listed ones', async () => {
    const before = harness.attach('w')
    before.report()
    harness.submit('j', [{}])
    await settle()
    harness.changeLeader()
    const agent = harness.attach('w')
    for (let passedMs = 0; passedMs < 4_800; passedMs += 400) {
      agent.report(MORE_ENDS)
      await harness.pass(400)
    }
    expect(harness.task('j.0.0.0')).toMatchObject({ phase: 'assigned', run: 1 })
    expect(agent.stops()).toEqual([])
    expect(agent.repeatedStarts()).toEqual(['j.0.0.0#1'])
    agent.report({ ended: [[501, 'j.0.0.0#1', EndKind.COMPLETED]] })
    await settle()
    expect(harness.task('j.0.0.0')).toMatchObject({ phase: 'completed', run: 1 })
  })

  it.each([
    { name: 'moves long-running tasks off a draining worker', step: { lasting: true }, stops: 1 },
    {
      name: 'moves tasks with checkpoints off a draining worker',
      step: { checkpointing: true },
      stops: 1,
    },
  ])('$name', async ({ step, stops }) => {
    const agent = harness.attach('w')
    agent.report()
    harness.submit('j', [step])
    await settle()
    agent.live(400, { draining: true })
    await settle()
    expect(agent.stops()).toHaveLength(stops)
    harness.submit('k', [{}])
    await settle()
    expect(agent.starts()).toEqual(['j.0.0.0#1'])
  })
})

describe('the numbers of streams', () => {
  const numbersOf = (agent: harnesses.Agent): ReadonlySet<number> =>
    new Set(agent.orders.map(({ streamNumber }) => streamNumber))

  // Guards against two agent processes, or two incarnations of a worker, with the same fencing token.
  it('rise with each stream of an agent within the term, and are counted for each agent', () => {
    const attached = ['w', 'w', 'v', 'w', 'v'].map((name) => {
      const agent = harness.attach(name)
      agent.report()
      agent.report({ bornMs: 2 })
      return agent
    })
    expect(attached.map((agent) => [...numbersOf(agent)])).toEqual([[1], [2], [1], [3], [2]])
  })

  it('guards against a number that is used twice, once all of a term are used up', () => {
    const ignored = { send: () => undefined, end: () => undefined }
    for (let count = 0; count < MAX_STREAM_NUMBER; count += 1) harness.term.attach('w', ignored)
    const agent = harness.attach('w')
    agent.report()
    expect(agent.ended).toBe(true)
    expect(agent.orders).toEqual([])
    expect(harness.logs.filter(({ message }) => message.startsWith('agent refused'))).toHaveLength(
      1,
    )
    const other = harness.attach('v')
    other.report()
    expect([...numbersOf(other)]).toEqual([1])
  })
})
