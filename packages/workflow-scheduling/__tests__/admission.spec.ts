import * as fc from 'fast-check'
import * as workflowState from '@ebonyweir/workflow-state'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as protocol from '@ebonyweir/protocol'
import * as vitest from 'vitest'
import * as support from './support.js'

const { describe, expect, it } = vitest

const TIME_OF_DAY_MS = 1_800_000_000_000
const NOW_MS = 10_000

const view = workflowState.createWorkflowState().view

const same = (value: number): scheduling.Bounds => ({ low: value, high: value })

const loadOf = (fields: Partial<scheduling.ServiceLoad> = {}): scheduling.ServiceLoad => ({
  atMs: NOW_MS,
  timeOfDayMs: TIME_OF_DAY_MS,
  expected: scheduling.createDurations(),
  reserved: {
    open: [],
    capacity: { cpuMillis: same(10_000), memoryMb: same(100_000) },
    capacityOfLabel: new Map(),
  },
  bestEffort: undefined,
  queues: new Map(),
  ...fields,
})

/** Work of `jobs` jobs that each keep one processor busy for `eachMs`, submitted just before the new job. */
const readyWork = (
  jobs: number,
  eachMs: number,
  fields: Partial<scheduling.OpenReservedWork> = {},
): readonly scheduling.OpenReservedWork[] =>
  Array.from({ length: jobs }, () => ({
    cpuMillisMs: 1_000 * eachMs,
    memoryMbMs: 10 * eachMs,
    releaseMs: 0,
    urgency: { priority: 0, outlook: 'in-time', latestStartMs: TIME_OF_DAY_MS + 1_000 },
    dropMs: 6_500,
    requiredLabel: '',
    ...fields,
  }))

const reservedLoad = (
  open: readonly scheduling.OpenReservedWork[],
  cpus = 10,
): scheduling.ServiceLoad =>
  loadOf({
    reserved: {
      open,
      capacity: { cpuMillis: same(cpus * 1_000), memoryMb: same(1_000_000) },
      capacityOfLabel: new Map(),
    },
  })

const bestEffortLoad = (
  jobs: readonly scheduling.BestEffortJob[],
  supply: scheduling.Bounds,
): scheduling.ServiceLoad =>
  loadOf({ bestEffort: { jobs, selected: new Set(jobs.map(({ key }) => key)), supply } })

const requestOf = (
  step: Partial<protocol.workflow.Step> = {},
  spec: Partial<protocol.workflow.JobSpec> = {},
  queue: Partial<protocol.workflow.Queue> = {},
): scheduling.AdmissionRequest => ({
  spec: protocol.workflow.JobSpec.fromPartial({ id: 'new', steps: [support.step(step)], ...spec }),
  queue: support.queue(queue),
  callerDomain: '',
})

const bestEffortJob = (key: string, remainingMs: number): scheduling.BestEffortJob => ({
  key,
  totalMs: remainingMs,
  remainingMs,
  chainMs: 1_000,
  untilDueMs: 60_000,
  untilExpiryMs: 180_000,
})

const decide = (
  load: scheduling.ServiceLoad | undefined,
  request = requestOf(),
  policy = scheduling.createExpectedCompletion(),
  nowMs = NOW_MS,
): scheduling.Admission => policy.decide(request, { view, load }, nowMs)

const describeAdmission = (admission: scheduling.Admission): string =>
  admission.kind === 'accepted' ? 'accepted' : admission.reason

describe('admission by expected completion', () => {
  // The job takes 1 s on one of 10 processors; its value expires 7.5 s after its submission.
  it.each([
    { name: 'no open work', load: loadOf(), answer: 'accepted' },
    { name: 'work for 2 s', load: reservedLoad(readyWork(20, 1_000)), answer: 'accepted' },
    {
      name: 'a dense burst that needs all capacity until the value expires',
      load: reservedLoad(
        readyWork(2_000, 1_000, {
          urgency: { priority: 0, outlook: 'in-time', latestStartMs: TIME_OF_DAY_MS + 1_499 },
          dropMs: 20_000,
        }),
      ),
      answer: 'no-capacity-in-time',
    },
    {
      name: 'the same work of lower priority',
      load: reservedLoad(
        readyWork(2_000, 1_000, {
          urgency: { priority: 1, outlook: 'in-time', latestStartMs: TIME_OF_DAY_MS },
          dropMs: 20_000,
        }),
      ),
      answer: 'accepted',
    },
    {
      name: 'the same work whose value has expired',
      load: reservedLoad(
        readyWork(2_000, 1_000, {
          urgency: { priority: 0, outlook: 'expired', latestStartMs: TIME_OF_DAY_MS },
          dropMs: 0,
        }),
      ),
      answer: 'accepted',
    },
    {
      name: 'late work, which the leader places after the job',
      load: reservedLoad(
        readyWork(2_000, 1_000, {
          urgency: { priority: 0, outlook: 'late', latestStartMs: TIME_OF_DAY_MS - 1 },
          dropMs: 20_000,
        }),
      ),
      answer: 'accepted',
    },
    {
      name: 'work that drops out before the new job does',
      load: reservedLoad(readyWork(2_000, 1_000, { dropMs: 3_000 })),
      answer: 'accepted',
    },
    {
      name: 'work that only workers with another label run',
      load: reservedLoad(
        readyWork(2_000, 1_000, {
          requiredLabel: 'gpu',
          urgency: undefined,
          dropMs: Number.POSITIVE_INFINITY,
        }),
      ),
      answer: 'accepted',
    },
    {
      name: 'work that is released after a gap',
      load: reservedLoad(
        readyWork(2_000, 1_000, {
          releaseMs: 500,
          urgency: { priority: 0, outlook: 'in-time', latestStartMs: TIME_OF_DAY_MS },
          dropMs: 20_000,
        }),
      ),
      answer: 'accepted',
    },
    {
      name: 'running work of 20 s on all processors',
      load: reservedLoad(
        readyWork(10, 20_000, { urgency: undefined, dropMs: Number.POSITIVE_INFINITY }),
      ),
      answer: 'no-capacity-in-time',
    },
    {
      name: 'no eligible worker, which may change at any time',
      load: reservedLoad(readyWork(10, 20_000), 0),
      answer: 'accepted',
    },
    { name: 'an unknown load', load: undefined, answer: 'accepted' },
  ])('guards against a wrong answer for $name', ({ load, answer }) => {
    expect(describeAdmission(decide(load))).toBe(answer)
  })

  const busy = reservedLoad(
    readyWork(10, 20_000, { urgency: undefined, dropMs: Number.POSITIVE_INFINITY }),
  )
  it.each([
    { name: 'a long-running job', request: requestOf({ lasting: true }) },
    { name: 'a recurring job', request: requestOf({}, { repetitions: 3, intervalMs: 1_000 }) },
    {
      name: 'a job that mixes best-effort and other steps',
      request: requestOf({}, { steps: [support.step(), support.step({ filling: true })] }),
    },
    { name: 'a job with a label of unknown capacity', request: requestOf({ requiredLabel: 'x' }) },
  ])('guards against a refusal of $name', ({ request }) => {
    expect(describeAdmission(decide(busy))).toBe('no-capacity-in-time')
    expect(describeAdmission(decide(busy, request))).toBe('accepted')
  })

  it('guards against a refusal that is based on a view older than 2 s', () => {
    const policy = scheduling.createExpectedCompletion()
    expect(decide(busy, requestOf(), policy, NOW_MS + 2_000).kind).toBe('refused')
    expect(decide(busy, requestOf(), policy, NOW_MS + 2_001).kind).toBe('accepted')
  })

  it.each([
    { name: 'free supply', jobs: 0, supply: same(10), answer: 'accepted' },
    {
      name: 'a selected job for 3 s',
      jobs: 1,
      eachMs: 30_000,
      supply: same(10),
      answer: 'accepted',
    },
    { name: 'selected jobs for 100 s', jobs: 10, supply: same(10), answer: 'no-capacity-in-time' },
    {
      name: 'selected jobs for 100 s by a supply that is rising',
      jobs: 10,
      supply: { low: 10, high: 1_000 },
      answer: 'accepted',
    },
    { name: 'no supply at present', jobs: 10, supply: same(0), answer: 'accepted' },
  ])(
    'guards against a wrong answer to a best-effort job for $name',
    ({ jobs, eachMs = 100_000, supply, answer }) => {
      const open = Array.from({ length: jobs }, (_, index) => bestEffortJob(`j${index}`, eachMs))
      const request = requestOf({ filling: true, taskCount: 40, estimatedMs: 1_000 })
      expect(describeAdmission(decide(bestEffortLoad(open, supply), request))).toBe(answer)
    },
  )

  it('guards against an objective that starts anew with each return of a refused caller', () => {
    const policy = scheduling.createExpectedCompletion()
    const atMs = (load: scheduling.ServiceLoad, nowMs: number): scheduling.ServiceLoad => ({
      ...load,
      atMs: nowMs,
    })
    const free = reservedLoad([])
    expect(decide(busy, requestOf(), policy).kind).toBe('refused')
    // The job takes 1 s, and its value expires 7.5 s after its first submission.
    const lastMs = NOW_MS + 6_500
    expect(decide(atMs(free, lastMs + 1), requestOf(), policy, lastMs + 1).kind).toBe('refused')
    expect(decide(atMs(free, lastMs), requestOf(), policy, lastMs).kind).toBe('accepted')
    expect(decide(atMs(free, lastMs + 1), requestOf(), policy, lastMs + 1).kind).toBe('accepted')
  })

  it('guards against a refusal that does not say what it is based on', () => {
    const admission = decide(busy, requestOf(), undefined, NOW_MS + 150)
    expect(admission.kind === 'refused' && admission.inputs).toEqual({
      expectedEndMs: 17_000,
      objectiveMs: 2_500,
      aheadMs: 20_000,
      capacity: 10,
      ageMs: 150,
    })
  })
})

describe('return of refused callers', () => {
  const busy = reservedLoad(
    readyWork(10, 20_000, { urgency: undefined, dropMs: Number.POSITIVE_INFINITY }),
  )
  const delays = (count: number): readonly number[] => {
    const policy = scheduling.createExpectedCompletion()
    return Array.from({ length: count }, () => {
      const admission = decide(busy, requestOf(), policy)
      return admission.kind === 'refused' ? admission.retryAfterMs : 0
    })
  }

  it('guards against a return before there is capacity', () => {
    // The work ahead takes 20 s, and the job needs 1 s of its 2.5 s.
    expect(delays(1)[0]).toBe(18_500)
  })

  it('guards against callers that all return in the same second', () => {
    const bySecond = new Map<number, number>()
    for (const delayMs of delays(1_000)) {
      const second = Math.ceil(delayMs / 1_000)
      bySecond.set(second, (bySecond.get(second) ?? 0) + 1)
    }
    expect(bySecond.size).toBeGreaterThanOrEqual(10)
    // A tenth of the callers for each of the ten seconds, and as many again for the first ones.
    for (const count of bySecond.values()) expect(count).toBeLessThanOrEqual(200)
  })

  it('guards against returns of one queue that delay those of another', () => {
    const schedule = scheduling.createRetrySchedule()
    for (let caller = 0; caller < 100; caller += 1) schedule.book('a', 2_000, 100, NOW_MS)
    expect(schedule.book('b', 2_000, 100, NOW_MS)).toBe(2_000)
  })

  it('guards against returns that are still counted after they were due', () => {
    const schedule = scheduling.createRetrySchedule()
    for (let caller = 0; caller < 100; caller += 1) schedule.book('a', 2_000, 100, NOW_MS)
    expect(schedule.book('a', 2_000, 5_000, NOW_MS + 12_000)).toBe(2_000)
  })
})

describe('properties of admission by expected completion', () => {
  const arbitraryWork = fc
    .record({
      cpuMillisMs: fc.integer({ min: 1, max: 50_000_000 }),
      memoryMbMs: fc.integer({ min: 0, max: 10_000_000 }),
      releaseMs: fc.constantFrom(0, 0, 500, 3_000),
      priority: fc.integer({ min: 0, max: 2 }),
      outlook: fc.constantFrom<scheduling.Outlook>('in-time', 'late', 'expired'),
      untilLatestStartMs: fc.integer({ min: -5_000, max: 5_000 }),
      dropMs: fc.integer({ min: -5_000, max: 30_000 }),
      runs: fc.boolean(),
      requiredLabel: fc.constantFrom('', '', 'gpu'),
    })
    .map(({ priority, outlook, untilLatestStartMs, runs, ...work }) => ({
      ...work,
      urgency: runs
        ? undefined
        : { priority, outlook, latestStartMs: TIME_OF_DAY_MS + untilLatestStartMs },
    }))
  /** Order that a load promises: by release time, running work first, then by urgency. */
  const byPlacement = (a: scheduling.OpenReservedWork, b: scheduling.OpenReservedWork): number => {
    if (a.releaseMs !== b.releaseMs) return a.releaseMs - b.releaseMs
    if (a.urgency === undefined || b.urgency === undefined) {
      return Number(a.urgency !== undefined) - Number(b.urgency !== undefined)
    }
    return scheduling.compareUrgency(a.urgency, b.urgency)
  }
  const arbitraryCpus = fc.tuple(fc.integer({ min: 0, max: 20 }), fc.integer({ min: 0, max: 20 }))
  const arbitraryRequest = fc
    .record({
      taskCount: fc.integer({ min: 1, max: 40 }),
      estimatedMs: fc.integer({ min: 1, max: 10_000 }),
      filling: fc.boolean(),
    })
    .map((step) => requestOf(step))
  const arbitraryBestEffortJobs = fc.array(
    fc.record({
      remainingMs: fc.integer({ min: 0, max: 200_000 }),
      chainMs: fc.integer({ min: 0, max: 5_000 }),
      untilDueMs: fc.integer({ min: -5_000, max: 20_000 }),
      selected: fc.boolean(),
    }),
    { maxLength: 20 },
  )
  const arbitraryLoad = fc
    .record({
      open: fc.array(arbitraryWork, { maxLength: 60 }),
      cpus: arbitraryCpus,
      supply: arbitraryCpus,
      jobs: arbitraryBestEffortJobs,
    })
    .map(({ open, cpus, supply, jobs }) => {
      const bounds = ([a, b]: readonly [number, number], unit: number): scheduling.Bounds => ({
        low: Math.min(a, b) * unit,
        high: Math.max(a, b) * unit,
      })
      const keyed = jobs.map((job, index) => ({ ...job, key: `j${index}` }))
      return loadOf({
        reserved: {
          open: [...open].sort(byPlacement),
          capacity: { cpuMillis: bounds(cpus, 1_000), memoryMb: bounds(cpus, 1_000) },
          capacityOfLabel: new Map(),
        },
        bestEffort: {
          supply: bounds(supply, 1),
          selected: new Set(keyed.filter(({ selected }) => selected).map(({ key }) => key)),
          jobs: keyed.map((job) => ({
            ...job,
            totalMs: job.remainingMs,
            untilExpiryMs: job.untilDueMs + 10_000,
          })),
        },
      })
    })

  /** Time after which the job has ended even if all open work precedes it on the smallest capacity. */
  const worstEndMs = (
    { spec }: scheduling.AdmissionRequest,
    { reserved, bestEffort }: scheduling.ServiceLoad,
  ): number => {
    const [step] = spec.steps
    if (step === undefined || bestEffort === undefined) return Number.POSITIVE_INFINITY
    const taskMs = step.taskCount * step.estimatedMs
    if (step.filling) {
      const openMs = bestEffort.jobs.reduce((sum, { remainingMs }) => sum + remainingMs, 0)
      return (openMs + taskMs) / bestEffort.supply.low + step.estimatedMs
    }
    const { cpuMillis, memoryMb } = reserved.capacity
    const cpuMillisMs = reserved.open.reduce((sum, work) => sum + work.cpuMillisMs, 1_000 * taskMs)
    const memoryMbMs = reserved.open.reduce((sum, work) => sum + work.memoryMbMs, 10 * taskMs)
    const releaseMs = Math.max(0, ...reserved.open.map((work) => work.releaseMs))
    const busyMs = Math.max(cpuMillisMs / cpuMillis.low, memoryMbMs / memoryMb.low)
    return releaseMs + busyMs + step.estimatedMs
  }

  it('guards against a refusal of a job that would end before its value expires in the worst case', () => {
    const seen = { refused: 0, accepted: 0 }
    fc.assert(
      fc.property(arbitraryLoad, arbitraryRequest, (load, request) => {
        const { kind } = decide(load, request)
        seen[kind] += 1
        const [step] = request.spec.steps
        const expiryMs = scheduling.EXPIRY_FACTOR * ((step?.estimatedMs ?? 0) * 2 + 500)
        return kind === 'accepted' || worstEndMs(request, load) > expiryMs
      }),
      { numRuns: 2_000, seed: 7 },
    )
    expect(seen.refused).toBeGreaterThan(50)
    expect(seen.accepted).toBeGreaterThan(50)
  })

  it('guards against bounds of an estimate that are out of order', () => {
    fc.assert(
      fc.property(arbitraryLoad, arbitraryRequest, (load, { spec, queue }) => {
        const estimate = scheduling.estimateCompletion(spec, queue, load)
        return estimate === undefined || estimate.lowMs <= estimate.highMs + 1e-6
      }),
      { numRuns: 2_000, seed: 7 },
    )
  })

  it('guards against times of return outside the bounds', () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            queue: fc.constantFrom('a', 'b'),
            fitsInMs: fc.oneof(
              fc.integer({ min: -10_000, max: 100_000 }),
              fc.constant(Number.POSITIVE_INFINITY),
            ),
            ownMs: fc.oneof(
              fc.integer({ min: 0, max: 30_000 }),
              fc.constant(Number.POSITIVE_INFINITY),
            ),
            passedMs: fc.integer({ min: 0, max: 3_000 }),
          }),
          { maxLength: 200 },
        ),
        (callers) => {
          const schedule = scheduling.createRetrySchedule()
          let nowMs = NOW_MS
          return callers.every(({ queue, fitsInMs, ownMs, passedMs }) => {
            nowMs += passedMs
            const delayMs = schedule.book(queue, fitsInMs, ownMs, nowMs)
            return (
              delayMs >= scheduling.MIN_RETRY_AFTER_MS && delayMs <= scheduling.MAX_RETRY_AFTER_MS
            )
          })
        },
      ),
      { seed: 7 },
    )
  })
})

describe('baselines', () => {
  const queueLoad = (fields: Partial<scheduling.QueueLoad>): scheduling.ServiceLoad =>
    loadOf({
      queues: new Map([
        [
          'quotes',
          {
            openJobs: 0,
            oldestWaitMs: 0,
            oldestObjectiveMs: 2_500,
            meanStretch: undefined,
            ...fields,
          },
        ],
      ]),
    })

  it.each([
    { oldestWaitMs: 2_500, answer: 'accepted' },
    { oldestWaitMs: 2_501, answer: 'queue-delay' },
  ])('queue delay answers $answer after $oldestWaitMs ms', ({ oldestWaitMs, answer }) => {
    const policy = scheduling.createQueueDelay()
    expect(describeAdmission(decide(queueLoad({ oldestWaitMs }), requestOf(), policy))).toBe(answer)
  })

  it('guards against a gradient that does not lower its limit when jobs take longer', () => {
    const policy = scheduling.createGradient()
    const answers: string[] = []
    const step = (openJobs: number, meanStretch: number, second: number): void => {
      const load = { ...queueLoad({ openJobs, meanStretch }), atMs: second * 1_000 }
      answers.push(describeAdmission(decide(load, requestOf(), policy, second * 1_000)))
    }
    for (let second = 0; second < 5; second += 1) step(80, 1, second)
    for (let second = 5; second < 15; second += 1) step(80, 10, second)
    expect(answers.slice(0, 5)).toEqual(Array.from({ length: 5 }, () => 'accepted'))
    expect(answers.at(-1)).toBe('concurrency-limit')
  })
})

describe('bounds of a capacity', () => {
  it.each([
    { name: 'steady', course: [10, 10, 10], low: 10, high: 10 },
    { name: 'falling', course: [10, 8, 6], low: 2, high: 10 },
    { name: 'rising', course: [6, 8, 10], low: 6, high: 14 },
  ])('guards against an estimate from the newest value alone: $name', ({ course, low, high }) => {
    const trend = scheduling.createCapacityTrend()
    const bounds = course.map((capacity, index) => trend.observe(capacity, index * 1_000))
    expect(bounds.at(-1)).toEqual({ low, high })
  })
})
