import * as protocol from '@ebonyweir/protocol'
import * as fastCheck from 'fast-check'
import * as vitest from 'vitest'
import * as harnesses from './termHarness.js'

const { afterEach, beforeEach, describe, expect, it } = vitest
const { EndKind } = protocol.workflow

const SEED = 20_261_204
const PROPERTY_RUNS = 150
const TASKS = 8

let harness: ReturnType<typeof harnesses.createTermHarness>

beforeEach(() => {
  harness = harnesses.createTermHarness()
})

afterEach(() => {
  harness.close()
})

const settle = (): Promise<unknown> => harness.pass(20)

/** Assigns the tasks of a job to a new worker, then holds all further proposals. */
const startTasks = async (taskCount = TASKS): Promise<harnesses.Agent> => {
  const agent = harness.attach('w')
  agent.report()
  const claim = { cpuMillis: 1, memoryMb: 1, accelerators: 0 }
  harness.submit('j', [{ taskCount, claim }])
  await settle()
  expect(agent.starts()).toHaveLength(taskCount)
  harness.control.holds = true
  return agent
}

const acknowledgedBy = (agent: harnesses.Agent): number =>
  Math.max(0, ...agent.orders.map(({ acknowledgedEnd }) => acknowledgedEnd))

const completed = (number: number, key = `j.0.0.${number - 1}#1`) =>
  [number, key, EndKind.COMPLETED] as const

const RUN_WITHOUT_HOLDER = 'x.0.0.0#1'

interface Step {
  /** Numbers of the ends in a list; an end above the number of tasks has no holder. */
  readonly list?: readonly number[]
  /** Index of a held proposal. */
  readonly commit?: number
  readonly fail?: number
  readonly acknowledged: number
}

describe('acknowledgements of run ends', () => {
  const cases: readonly { readonly name: string; readonly steps: readonly Step[] }[] = [
    {
      name: 'guards against an end without a holder that acknowledges an earlier pending commit',
      steps: [
        { list: [1], acknowledged: 0 },
        { list: [1, 9], acknowledged: 0 },
        { commit: 0, acknowledged: 9 },
      ],
    },
    {
      name: 'guards against an end without a holder that acknowledges an earlier failed commit',
      steps: [
        { list: [1], acknowledged: 0 },
        { fail: 0, acknowledged: 0 },
        { list: [1, 9], acknowledged: 0 },
        { commit: 1, acknowledged: 9 },
      ],
    },
    {
      name: 'guards against a later commit that acknowledges an earlier pending one',
      steps: [
        { list: [1], acknowledged: 0 },
        { list: [1, 2], acknowledged: 0 },
        { list: [1, 2, 3], acknowledged: 0 },
        { commit: 1, acknowledged: 0 },
        { commit: 0, acknowledged: 2 },
        { commit: 2, acknowledged: 3 },
      ],
    },
    {
      name: 'guards against a failed commit that is not retried, and against concurrent retries',
      steps: [
        { list: [1, 2], acknowledged: 0 },
        { list: [1, 2], acknowledged: 0 },
        { fail: 0, acknowledged: 0 },
        { list: [1, 2], acknowledged: 0 },
        { list: [1, 2], acknowledged: 0 },
        { commit: 1, acknowledged: 2 },
      ],
    },
    {
      name: 'acknowledges an end without a holder immediately',
      steps: [
        { list: [9], acknowledged: 9 },
        { list: [9, 10], acknowledged: 10 },
      ],
    },
  ]

  it.each(cases)('$name', async ({ steps }) => {
    const agent = await startTasks()
    for (const { list, commit, fail, acknowledged } of steps) {
      const ended = list?.map((number) =>
        completed(number, number > TASKS ? RUN_WITHOUT_HOLDER : `j.0.0.${number - 1}#1`),
      )
      if (ended !== undefined) agent.report({ ended })
      if (commit !== undefined) harness.held[commit]?.commit()
      if (fail !== undefined) harness.held[fail]?.fail()
      await settle()
      expect(acknowledgedBy(agent)).toBe(acknowledged)
    }
    const proposals = steps.filter(({ list }) => list === undefined)
    expect(harness.held).toHaveLength(proposals.length)
  })

  it('guards against a second proposal after a new session, and against ends that it never acknowledges', async () => {
    await startTasks()
    const first = harness.attach('w')
    first.report({ ended: [completed(1)] })
    await settle()
    const second = harness.attach('w')
    second.report({ ended: [completed(1), completed(2)] })
    await settle()
    expect(harness.held).toHaveLength(2)
    harness.held[1]?.commit()
    await settle()
    expect(acknowledgedBy(second)).toBe(0)
    harness.held[0]?.commit()
    await settle()
    expect(acknowledgedBy(second)).toBe(2)
    const third = harness.attach('w')
    third.report({ ended: [completed(2)] })
    await settle()
    expect(acknowledgedBy(third)).toBe(2)
    expect(harness.held).toHaveLength(2)
  })

  it('guards against end numbers of an earlier incarnation that acknowledge ends of the next one', async () => {
    const agent = await startTasks()
    agent.report({ ended: [completed(1), completed(2)] })
    await settle()
    agent.report({ bornMs: 2, ended: [completed(1, 'j.0.0.2#1')] })
    await settle()
    const before = agent.orders.length
    harness.held[0]?.commit()
    await settle()
    const later = agent.orders.slice(before)
    expect(later.every(({ acknowledgedEnd }) => acknowledgedEnd === 0)).toBe(true)
    harness.held[1]?.commit()
    await settle()
    expect(agent.orders.at(-1)?.acknowledgedEnd).toBe(1)
  })
})

describe('an end that is listed under two numbers', () => {
  it('guards against a second number that is never acknowledged', async () => {
    const agent = await startTasks(1)
    agent.report({ ended: [completed(1), completed(2, 'j.0.0.0#1')] })
    await settle()
    harness.held[0]?.commit()
    await settle()
    expect(acknowledgedBy(agent)).toBe(2)
  })
})

describe('ends whose commit is retried', () => {
  it('guards against a failure that is counted for each try of its commit', async () => {
    const agent = await startTasks(1)
    const failed = { ended: [[1, 'j.0.0.0#1', EndKind.FAILED] as const] }
    for (let tries = 0; tries < 4; tries += 1) {
      agent.report(failed)
      await settle()
      harness.held[tries]?.fail()
      await settle()
    }
    harness.control.holds = false
    agent.report(failed)
    await settle()
    expect(harness.task('j.0.0.0')?.failures).toBe(1)
    harness.submit('k', [{}])
    await settle()
    expect(agent.starts()).toContain('k.0.0.0#1')
    expect(harness.logs.filter(({ message }) => message === 'ends not committed')).toHaveLength(1)
  })
})

describe('ends of runs that were recorded as lost', () => {
  const lose = async (agent: harnesses.Agent): Promise<void> => {
    agent.report()
    await harness.pass(harnesses.LEASE_MS + 1_500)
    expect(harness.task('j.0.0.0')).toMatchObject({ phase: 'waiting', run: 1 })
  }

  it('guards against a second run of a task that a worker completed before it attached again', async () => {
    const agent = await startTasks(2)
    harness.control.holds = false
    await lose(agent)
    const back = harness.attach('w')
    harness.control.holds = true
    back.report({ ended: [completed(1), [2, 'j.0.0.1#1', EndKind.LAPSED]] })
    await harness.pass(5)
    expect(acknowledgedBy(back)).toBe(0)
    harness.control.holds = false
    for (const { commit } of harness.held) commit()
    await settle()
    expect(harness.task('j.0.0.0')).toMatchObject({ phase: 'completed', run: 1 })
    expect(harness.task('j.0.0.1')).toMatchObject({ phase: 'assigned', run: 2 })
    expect(back.starts()).toEqual(['j.0.0.1#2'])
    expect(acknowledgedBy(back)).toBe(2)
  })

  it('guards against a completion that counts after the task was assigned again', async () => {
    const agent = await startTasks(1)
    harness.control.holds = false
    await lose(agent)
    const other = harness.attach('v')
    other.report()
    await settle()
    expect(other.starts()).toEqual(['j.0.0.0#2'])
    const back = harness.attach('w')
    back.report({ ended: [completed(1)] })
    await settle()
    expect(harness.task('j.0.0.0')).toMatchObject({ phase: 'assigned', run: 2 })
    expect(acknowledgedBy(back)).toBe(1)
  })

  it('guards against a completion that arrives while the loss of its run is being committed', async () => {
    const agent = await startTasks(1)
    agent.report()
    await harness.pass(harnesses.LEASE_MS + 1_500)
    expect(harness.held).toHaveLength(1)
    const back = harness.attach('w')
    back.report({ ended: [completed(1)] })
    await harness.pass(5)
    expect(harness.held).toHaveLength(2)
    harness.control.holds = false
    for (const { commit } of harness.held) commit()
    await settle()
    expect(harness.task('j.0.0.0')).toMatchObject({ phase: 'completed', run: 1 })
    expect(back.starts()).not.toContain('j.0.0.0#2')
    expect(acknowledgedBy(back)).toBe(1)
  })
})

describe('orders for runs whose ends are being committed', () => {
  it('guards against a start order to a new session for such a run', async () => {
    await startTasks(2)
    const back = harness.attach('w')
    back.report({ ended: [completed(1)] })
    await settle()
    expect(back.starts()).toEqual(['j.0.0.1#1'])
    harness.held[0]?.fail()
    const again = harness.attach('w')
    again.report({ ended: [completed(1)] })
    await settle()
    expect(again.starts()).toEqual(['j.0.0.1#1'])
  })
})

describe('unsettled ends of a worker that is declared lost', () => {
  const kindsProposed = () =>
    harness.held.map(({ body }) =>
      body?.$case === 'ends' ? body.value.ends.map(({ kind }) => kind) : [],
    )

  it.each([
    { kind: EndKind.COMPLETED, phase: 'completed', failures: 0 },
    { kind: EndKind.FAILED, phase: 'waiting', failures: 1 },
  ])(
    'guards against a run recorded as lost instead of $kind after a failed commit',
    async ({ kind, phase, failures }) => {
      const agent = await startTasks(2)
      agent.report({ ended: [[1, 'j.0.0.0#1', kind]] })
      await settle()
      harness.held[0]?.fail()
      await harness.pass(harnesses.LEASE_MS + 1_500)
      expect(kindsProposed().slice(1).sort()).toEqual([[kind], [EndKind.LOST]].sort())
      harness.control.holds = false
      for (const { commit } of harness.held) commit()
      await settle()
      expect(harness.task('j.0.0.0')).toMatchObject({ phase, failures, run: 1 })
      expect(harness.task('j.0.0.1')).toMatchObject({ phase: 'waiting', failures: 0, run: 1 })
    },
  )

  it('guards against a run recorded as lost while the commit of its end is pending', async () => {
    const agent = await startTasks(1)
    agent.report({ ended: [completed(1)] })
    await harness.pass(harnesses.LEASE_MS + 1_500)
    expect(kindsProposed()).toEqual([[EndKind.COMPLETED]])
    expect(harness.logs.filter(({ message }) => message === 'worker lost')).toEqual([])
    harness.held[0]?.fail()
    await harness.pass(200)
    expect(kindsProposed()).toEqual([[EndKind.COMPLETED], [EndKind.COMPLETED]])
    harness.held[1]?.commit()
    await settle()
    const back = harness.attach('w')
    back.report({ ended: [completed(1)] })
    await settle()
    expect(acknowledgedBy(back)).toBe(1)
    expect(harness.held).toHaveLength(2)
  })

  it('guards against a run recorded as lost when the next incarnation rejects it', async () => {
    const agent = await startTasks(1)
    agent.report({ ended: [completed(1)] })
    await settle()
    const { ABSENT } = protocol.workflow.RejectionReason
    agent.report({ bornMs: 2, rejected: [['j.0.0.0#1', ABSENT]] })
    await settle()
    expect(kindsProposed()).toEqual([[EndKind.COMPLETED]])
  })
})

describe('acknowledgement of a prefix', () => {
  type Action = readonly ['finish' | 'stranger' | 'list' | 'commit' | 'fail', number]
  const action: fastCheck.Arbitrary<Action> = fastCheck.tuple(
    fastCheck.constantFrom('finish', 'finish', 'stranger', 'list', 'list', 'commit', 'fail'),
    fastCheck.nat(5),
  )

  it('acknowledges an end only after all ends up to it are settled, and finally all of them', async () => {
    await fastCheck.assert(
      fastCheck.asyncProperty(fastCheck.array(action, { maxLength: 30 }), async (actions) => {
        harness.close()
        harness = harnesses.createTermHarness()
        const agent = await startTasks()
        const all: (readonly [number, string, protocol.workflow.EndKind])[] = []
        let finished = 0
        const open = new Set<harnesses.HeldCommit>()
        const list = async (): Promise<void> => {
          const seen = harness.held.length
          agent.report({ ended: all.filter(([number]) => number > acknowledgedBy(agent)) })
          await harness.pass(5)
          for (const commit of harness.held.slice(seen)) open.add(commit)
        }
        const resolve = async (at: number, how: 'commit' | 'fail'): Promise<void> => {
          const chosen = [...open][at % Math.max(1, open.size)]
          if (chosen === undefined) return
          open.delete(chosen)
          chosen[how]()
          await harness.pass(0)
        }
        const check = (): void => {
          for (const [number, key] of all) {
            if (number > acknowledgedBy(agent) || key === RUN_WITHOUT_HOLDER) continue
            expect(harness.task(key)?.phase).toBe('completed')
          }
        }
        for (const [kind, at] of actions) {
          if (kind === 'finish' && finished < TASKS) {
            all.push(completed(all.length + 1, `j.0.0.${finished}#1`))
            finished += 1
          }
          if (kind === 'stranger') all.push(completed(all.length + 1, RUN_WITHOUT_HOLDER))
          if (kind === 'list') await list()
          if (kind === 'commit' || kind === 'fail') await resolve(at, kind)
          check()
        }
        for (let rounds = 0; rounds < 2; rounds += 1) {
          await list()
          while (open.size > 0) await resolve(0, 'commit')
        }
        check()
        expect(acknowledgedBy(agent)).toBe(all.length)
      }),
      { numRuns: PROPERTY_RUNS, seed: SEED },
    )
  })
})
