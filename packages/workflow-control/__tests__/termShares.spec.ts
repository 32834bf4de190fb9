import * as protocol from '@ebonyweir/protocol'
import type * as scheduling from '@ebonyweir/workflow-scheduling'
import * as vitest from 'vitest'
import type * as leaderTerm from '../src/leaderTerm.js'
import * as schedulingOptions from '../src/schedulingOptions.js'
import * as termHarness from './termHarness.js'

const { afterEach, describe, expect, it } = vitest

const ON: schedulingOptions.SchedulingOptions = {
  ...schedulingOptions.DEFAULT_SCHEDULING_OPTIONS,
  fairShares: true,
}

const QUEUE = protocol.workflow.Queue.fromPartial({
  name: 'quotes',
  service: 'desk',
  maxAttempts: 3,
  slackFactor: 2,
})

const closing: (() => void)[] = []

afterEach(() => {
  for (const close of closing.splice(0)) close()
})

const createHarness = (options?: schedulingOptions.SchedulingOptions) => {
  const harness = termHarness.createTermHarness(options)
  closing.push(harness.close)
  const submit = (id: string, callerDomain: string, filling = false): void => {
    const step = protocol.workflow.Step.create({
      taskCount: 4,
      claim: { cpuMillis: 1_000, memoryMb: 10, accelerators: 0 },
      estimatedMs: 1_000,
      filling,
    })
    const spec = { ...protocol.workflow.JobSpec.fromPartial({ id }), steps: [step] }
    harness.apply({ $case: 'submit', value: { spec, queue: QUEUE, callerDomain } })
    harness.term.dispatch()
  }
  return { ...harness, submit }
}

const usageOf = (term: leaderTerm.LeaderTerm): ReadonlyMap<string, number> =>
  term.shares?.usageCoreS(32) ?? new Map()

describe('fair shares of a term', () => {
  it.each([
    { name: 'no settings', options: undefined },
    { name: 'the default settings', options: schedulingOptions.DEFAULT_SCHEDULING_OPTIONS },
    {
      name: 'weights alone',
      options: {
        ...schedulingOptions.DEFAULT_SCHEDULING_OPTIONS,
        shareWeights: new Map([['quotes', 3]]),
      },
    },
  ])('guards against shares that are on with $name', async ({ options }) => {
    const { submit, attach, pass, term, work } = createHarness(options)
    attach('a').report()
    submit('j', 'rennes')
    await pass(1_000)
    expect(term.shares).toBeUndefined()
    expect(work.totals().counts.shareDeferrals).toBe(0)
  })

  it.each([
    { name: 'reserved CPU', filling: false },
    { name: 'best-effort', filling: true },
  ])('guards against $name starts that no key is charged for', async ({ filling }) => {
    const { submit, attach, pass, term, task } = createHarness(ON)
    const agent = attach('a')
    agent.report()
    submit('j', 'rennes', filling)
    await pass(50)
    expect(task('j.0.0.0')?.phase).toBe('assigned')
    // Four tasks of one core and one second, less the decay of some milliseconds.
    const assigned = [0, 1, 2, 3].filter((at) => task(`j.0.0.${at}`)?.phase === 'assigned').length
    const usage = usageOf(term).get('quotes/rennes/small') ?? 0
    expect(usage).toBeGreaterThan(assigned * 0.95)
    expect(usage).toBeLessThanOrEqual(assigned)
  })

  it.each([
    { name: 'first come, first served with the shares off', options: undefined, first: 'r1' },
    { name: 'a caller that waits behind the burst of another', options: ON, first: 'n' },
  ])('guards against losing the order of $name', async ({ options, first }) => {
    const { submit, attach, pass, task } = createHarness(options)
    const agent = attach('a')
    agent.report()
    // The worker has 4 cores; each job needs all of them.
    submit('r0', 'rennes')
    await pass(20)
    submit('r1', 'rennes')
    await pass(20)
    submit('n', 'nantes')
    await pass(20)
    const runs = [0, 1, 2, 3].map((at) => `r0.0.0.${at}#1`)
    const { COMPLETED } = protocol.workflow.EndKind
    agent.report({ ended: runs.map((run, index) => [index + 1, run, COMPLETED] as const) })
    await pass(100)
    const assigned = ['r1', 'n'].filter((job) => task(`${job}.0.0.0`)?.phase === 'assigned')
    expect(assigned).toEqual([first])
  })

  it('guards against a new leader that forgets who has used how much', async () => {
    const { submit, attach, pass, nextTerm, term } = createHarness(ON)
    attach('a').report()
    submit('j', 'rennes')
    await pass(100)
    const before = usageOf(term).get('quotes/rennes/small') ?? 0
    const next = nextTerm()
    closing.push(next.stop)
    const after = usageOf(next).get('quotes/rennes/small') ?? 0
    expect(before).toBeGreaterThan(0)
    expect(after).toBeGreaterThan(before * 0.8)
  })

  it('guards against counting a deferral with each plan, and against a flood of log lines', () => {
    const { submit, view, term, work, logs, pass } = createHarness(ON)
    const { shares } = term
    if (shares === undefined) throw new Error('no shares')
    submit('r', 'rennes')
    submit('n', 'nantes')
    const ready = [...view.readySteps]
    const burst = ready.find(({ job }) => job.spec.id === 'r')
    const task = burst?.tasks[0]
    if (burst === undefined || task === undefined) throw new Error('no step')
    const steps: readonly scheduling.UrgentStep[] = ready.map((step) => ({
      step,
      urgency: { priority: 0, outlook: 'in-time', latestStartMs: 0 },
      slackMs: 0,
    }))
    const spanMs = 12_000
    for (let passedMs = 0; passedMs < spanMs; passedMs += 100) {
      for (let run = 0; run < 10; run += 1) shares.recordStart({ step: burst, task })
      shares.standingsOfSteps(steps, () => 0)
      void pass(0)
      vitest.vi.advanceTimersByTime(100)
    }
    expect(work.totals().counts.shareDeferrals).toBe(1)
    const lines = logs.filter(({ message }) => message === 'share exceeded')
    expect(lines.map(({ key }) => key)).toEqual(lines.map(() => 'quotes/rennes/small'))
    expect(lines.length).toBeGreaterThanOrEqual(2)
    expect(lines.length).toBeLessThanOrEqual(Math.ceil(spanMs / 5_000))
  })
})
