import * as protocol from '@ebonyweir/protocol'
import * as vitest from 'vitest'
import * as harnesses from './termHarness.js'

const { afterEach, beforeEach, describe, expect, it } = vitest
const { EndKind, RejectionReason } = protocol.workflow

let harness: ReturnType<typeof harnesses.createTermHarness>

beforeEach(() => {
  harness = harnesses.createTermHarness()
})

afterEach(() => {
  harness.close()
})

const settle = (): Promise<unknown> => harness.pass(20)

describe('assignments and ends', () => {
  it('starts a task after its assignment and records its end before the worker may forget it', async () => {
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

  it('guards against a lease that counts from later than the reading of the worker clock', () => {
    const agent = harness.attach('w')
    agent.report()
    const clockMs = Math.round(performance.now())
    expect(agent.orders.at(-1)?.leaseUntilMs).toBe(clockMs + harnesses.LEASE_MS)
  })

  it('repeats the orders that an agent may have missed, and none of an ended run', async () => {
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

  it('guards against an order that a killed agent gave and that passes for a new one: it is marked as repeated', async () => {
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

  it('guards against an order that another leader may have given and that passes for a new one', async () => {
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

describe('ends that are being recorded', () => {
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
    /** Reports of the agent on its first stream, and on its second one while the commit is under way. */
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
    // A worker that had no room gets no new run for a moment.
    expect(after.starts()).toEqual([])
    expect(harness.task('j.0.0.0')).toMatchObject({ phase: 'waiting', run: 1 })
  })

  it('guards against an order for a run that is being declared lost', async () => {
    const silent = harness.attach('w')
    silent.report()
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

  it('guards against a late rejection of a replaced stream after the order was repeated', async () => {
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

  it('guards against a run that nobody starts after its rejection was not committed', async () => {
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
  it('guards against a second run before the lease of a silent worker has ended', async () => {
    const silent = harness.attach('v')
    silent.report()
    harness.submit('j', [{}])
    await settle()
    expect(silent.starts()).toEqual(['j.0.0.0#1'])
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

  const standstills: readonly { readonly name: string; readonly stand: () => Promise<unknown> }[] =
    [
      {
        name: 'the process of the leader was frozen',
        stand: async () => {
          harness.freeze(8_000)
          // The timers of a thawed process run before it reads from its sockets.
          await harness.pass(110)
        },
      },
      {
        name: 'the lease of the leader was void',
        stand: async () => {
          harness.control.leading = false
          await harness.pass(8_000)
          harness.control.leading = true
          await harness.pass(110)
        },
      },
    ]

  it.each(standstills)(
    'guards against a loss of workers that could not be heard because $name',
    async ({ stand }) => {
      const agent = harness.attach('w')
      agent.report()
      harness.submit('j', [{}])
      await settle()
      agent.report({ running: ['j.0.0.0#1'] })
      await stand()
      // Agents need some seconds to attach again.
      await harness.pass(2_000)
      agent.report({ ended: [[1, 'j.0.0.0#1', EndKind.COMPLETED]] })
      await settle()
      expect(harness.task('j.0.0.0')).toMatchObject({ phase: 'completed', run: 1 })
      expect(harness.logs.filter(({ message }) => message === 'worker lost')).toEqual([])
    },
  )

  it.each(standstills)(
    'guards against a worker that is never lost after $name',
    async ({ stand }) => {
      harness.attach('w').report()
      harness.submit('j', [{}])
      await settle()
      await stand()
      await harness.pass(harnesses.LEASE_MS + 1_500)
      expect(harness.task('j.0.0.0')?.phase).toBe('waiting')
    },
  )

  it('guards against an extension by reports without a new list', async () => {
    const dark = harness.attach('v')
    dark.report()
    harness.submit('j', [{}])
    await settle()
    for (let passedMs = 0; passedMs < harnesses.LEASE_MS + 1_200; passedMs += 400) {
      dark.report({ stale: true })
      await harness.pass(400)
    }
    expect(harness.task('j.0.0.0')).toMatchObject({ phase: 'waiting' })
  })

  it('guards against a worker that is set aside because its runs were lost in a cut', async () => {
    const cut = harness.attach('w')
    cut.report()
    harness.submit('j', [{ taskCount: 4 }])
    await settle()
    cut.live(1_200, { percent: 10 })
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

  it('guards against waiting for the lease of a worker that a leader before knew under another id', async () => {
    const agent = harness.attach('agent')
    agent.report({ id: 'old' })
    harness.submit('j', [{}])
    await settle()
    const next = harness.attach('agent')
    next.report({ id: 'new', bornMs: 2 })
    await settle()
    expect(next.starts()).toEqual(['j.0.0.0#2'])
  })

  it('guards against a late order under the same id: the old run is barred before the next one', async () => {
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

  it('guards against a second run of a task that a late order completed under the same id', async () => {
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
  it('stops the runs of a cancelled job, and what is not assigned to the worker', async () => {
    const agent = harness.attach('w')
    agent.report()
    harness.submit('j', [{}])
    await settle()
    harness.apply({ $case: 'cancel', value: { job: 'j' } })
    agent.live(400, { running: ['j.0.0.0#1', 'x.0.0.0#1'] })
    await settle()
    expect([...agent.stops()].sort()).toEqual(['j.0.0.0#1', 'x.0.0.0#1'])
  })

  it('withdraws an order that was not confirmed when its failure domain is evacuated', async () => {
    const agent = harness.attach('w')
    agent.report()
    harness.submit('j', [{ taskCount: 2 }])
    await settle()
    agent.report({ running: ['j.0.0.0#1'] })
    const evacuated = { failureDomain: 'rennes', evacuated: true }
    harness.apply({ $case: 'evacuation', value: evacuated })
    await harness.pass(200)
    expect(agent.stops()).toEqual(['j.0.0.1#1'])
  })

  it('stops a run that stands still and avoids the worker for it', async () => {
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

  it.each([
    { name: 'moves lasting tasks off a draining worker', step: { lasting: true }, stops: 1 },
    { name: 'moves tasks with checkpoints', step: { checkpointing: true }, stops: 1 },
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
