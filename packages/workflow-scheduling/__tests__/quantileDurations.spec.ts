import * as scheduling from '@ebonyweir/workflow-scheduling'
import type * as workflowState from '@ebonyweir/workflow-state'
import * as fc from 'fast-check'
import * as vitest from 'vitest'
import * as support from './support.js'

const { describe, expect, it } = vitest
const { createCell, queue, step, worker } = support

const ESTIMATED_MS = 1_000

/** Interval of the workers' reports. */
const REPORT_MS = 500

/** Step of a job in an empty cell; `taskCount` tasks of one image. */
const createStep = (
  fields: Parameters<typeof step>[0] = {},
  id = 'j',
): { readonly view: workflowState.StepView; readonly cell: ReturnType<typeof createCell> } => {
  const cell = createCell([worker('w')])
  cell.submit(id, [step({ estimatedMs: ESTIMATED_MS, image: 'i', ...fields })])
  const view = cell.state.view.jobs.get(id)?.occurrences.get(0)?.steps[0]
  if (view === undefined) throw new Error('no step')
  return { view, cell }
}

/** Durations in turn; every 33rd task, 3 in 100, takes `tailFactor` times as long. */
const durationAt = (index: number, tailFactor: number): number =>
  ESTIMATED_MS * (0.8 + (0.4 * (index % 10)) / 9) * (index % 33 === 20 ? tailFactor : 1)

/** Reports a task that needs `totalMs` until it is `untilPercent` done. */
const reportTask = (
  durations: scheduling.Durations,
  view: workflowState.StepView,
  index: number,
  totalMs: number,
  untilPercent: number,
): void => {
  let before: scheduling.Progress | undefined
  for (let atMs = 0; atMs <= (totalMs * untilPercent) / 100; atMs += REPORT_MS) {
    const percent = Math.floor((100 * atMs) / totalMs)
    const next = scheduling.nextProgress(before, percent, 100, atMs)
    durations.observeTask(view, index, {
      percent,
      elapsedMs: next.listedMs - next.startedMs,
      worked: before && scheduling.workedBetween(before, next),
    })
    before = next
  }
}

describe('expected duration with quantiles', () => {
  const cases: readonly {
    readonly name: string
    readonly durationsMs: readonly number[]
    /** Bounds of the expectation after all observations. */
    readonly expectedMs: readonly [number, number]
    /** Bounds of the quantile 0.99. */
    readonly tailMs: readonly [number, number]
  }[] = [
    {
      name: 'no tail',
      durationsMs: Array.from({ length: 300 }, (_, index) => durationAt(index, 1)),
      expectedMs: [900, 1_100],
      tailMs: [1_100, 1_300],
    },
    {
      name: 'a tail of 3 % at seven times, which does not raise the expectation of all',
      durationsMs: Array.from({ length: 300 }, (_, index) => durationAt(index, 7)),
      expectedMs: [900, 1_100],
      tailMs: [5_000, 9_000],
    },
    {
      name: 'the same tail right after a long task, where a moving average is twice as high',
      durationsMs: [...Array.from({ length: 300 }, (_, index) => durationAt(index, 7)), 7_000],
      expectedMs: [900, 1_100],
      tailMs: [5_000, 9_000],
    },
    {
      name: 'estimates that are too short by half',
      durationsMs: Array.from({ length: 300 }, (_, index) => 2 * durationAt(index, 1)),
      expectedMs: [1_800, 2_200],
      tailMs: [2_200, 2_600],
    },
    {
      name: 'estimates that are too long, with a tail',
      durationsMs: Array.from({ length: 300 }, (_, index) => durationAt(index, 7) / 2),
      expectedMs: [450, 550],
      tailMs: [2_500, 4_500],
    },
    {
      name: 'two observations, which do not replace the estimate',
      durationsMs: [5_000, 6_000],
      expectedMs: [1_000, 1_000],
      tailMs: [1_000, 1_000],
    },
    {
      name: 'a few observations with one long task among them',
      durationsMs: [1_000, 7_000, 1_050, 950, 1_000],
      expectedMs: [900, 1_100],
      tailMs: [6_500, 7_500],
    },
    {
      name: 'one of sixty workers at a fifth of the speed',
      durationsMs: Array.from(
        { length: 300 },
        (_, index) => durationAt(index, 1) * (index % 60 === 7 ? 5 : 1),
      ),
      expectedMs: [900, 1_100],
      tailMs: [3_000, 6_500],
    },
    {
      name: 'a load under which tasks take twice as long, after the window was filled at half of it',
      durationsMs: [
        ...Array.from({ length: 600 }, (_, index) => durationAt(index, 1)),
        ...Array.from({ length: 600 }, (_, index) => 2 * durationAt(index, 1)),
      ],
      expectedMs: [1_800, 2_200],
      tailMs: [2_200, 2_600],
    },
    {
      name: 'a tail that has disappeared from the last few hundred observations',
      durationsMs: [
        ...Array.from({ length: 600 }, (_, index) => durationAt(index, 7)),
        ...Array.from({ length: 600 }, (_, index) => durationAt(index, 1)),
      ],
      expectedMs: [900, 1_100],
      tailMs: [1_100, 1_300],
    },
  ]

  // Each case guards against an expectation or a tail far from the durations that the next tasks have.
  it.each(cases)('$name', ({ durationsMs, expectedMs, tailMs }) => {
    const { view } = createStep()
    const durations = scheduling.createDurations('quantile')
    for (const ms of durationsMs) durations.observe(view, ms)
    const [expectation, tail] = [durations.expect(view), durations.quantileMs(view, 0.99)]
    expect(expectation).toBeGreaterThanOrEqual(expectedMs[0])
    expect(expectation).toBeLessThanOrEqual(expectedMs[1])
    expect(tail).toBeGreaterThanOrEqual(tailMs[0])
    expect(tail).toBeLessThanOrEqual(tailMs[1])
  })

  it('guards against images that share their durations, and steps without image against queues that do', () => {
    const durations = scheduling.createDurations('quantile')
    const named = createStep({ image: 'a' }).view
    const cell = createCell([worker('w')])
    for (const name of ['p', 'q']) cell.submit(name, [step({ image: '' })], queue({ name }))
    const [p, q] = ['p', 'q'].map(
      (id) => cell.state.view.jobs.get(id)?.occurrences.get(0)?.steps[0],
    )
    if (p === undefined || q === undefined) throw new Error('no step')
    for (let run = 0; run < 30; run += 1) durations.observe(p, 3_000)
    expect(durations.expect(p)).toBeCloseTo(3_000, -2)
    expect(durations.expect(q)).toBe(ESTIMATED_MS)
    expect(durations.expect(named)).toBe(ESTIMATED_MS)
    expect(durations.learned()).toEqual({ images: 1, observations: 30 })
  })

  it('guards against cached quantiles that later observations do not change', () => {
    const { view } = createStep()
    const durations = scheduling.createDurations('quantile')
    for (let run = 0; run < 10; run += 1) durations.observe(view, 1_000)
    expect(durations.quantileMs(view, 0.5)).toBeCloseTo(1_000, -2)
    for (let run = 0; run < 30; run += 1) durations.observe(view, 3_000)
    expect(durations.quantileMs(view, 0.5)).toBeCloseTo(3_000, -2)
  })

  it('learns the tail of best-effort images from the full-speed time of their tasks', () => {
    const { view } = createStep({ filling: true, taskCount: 20 })
    const durations = scheduling.createDurations('quantile')
    for (let index = 0; index < 20; index += 1) {
      reportTask(durations, view, index, index === 7 ? 14_000 : 2_000, 95)
      durations.endTask(view, index, 'completed', false)
    }
    const medianMs = durations.quantileMs(view, 0.5)
    expect(durations.quantileMs(view, 0.99) / medianMs).toBeGreaterThan(5)
  })

  it('guards against a remaining share that is not a number after tasks without measurable duration', () => {
    const { view } = createStep()
    const durations = scheduling.createDurations('quantile')
    for (let run = 0; run < 20; run += 1) durations.observe(view, 0)
    expect(durations.remainingShare(view, 0, 40)).toBeCloseTo(0.6)
  })

  it('names the images with the heaviest tails first', () => {
    const durations = scheduling.createDurations('quantile')
    for (const [image, factor] of [
      ['light', 1],
      ['heavy', 7],
      ['heaviest', 20],
    ] as const) {
      const { view } = createStep({ image })
      for (let index = 0; index < 100; index += 1)
        durations.observe(view, durationAt(index, factor))
    }
    expect(durations.heaviestTails(5).map(({ image }) => image)).toEqual(['heaviest', 'heavy'])
    expect(durations.heaviestTails(1)).toHaveLength(1)
  })
})

describe('the default model', () => {
  // Guards against a change of behaviour while the quantile model is off.
  it('answers every query with its expected duration, whatever progress was reported', () => {
    const { view } = createStep({ taskCount: 4 })
    const durations = scheduling.createDurations()
    for (let index = 0; index < 100; index += 1) durations.observe(view, durationAt(index, 7))
    const expectedMs = durations.expect(view)
    reportTask(durations, view, 0, 70_000, 50)
    durations.endTask(view, 1, 'completed', false)
    for (const q of [0, 0.5, 0.99, 1]) expect(durations.quantileMs(view, q)).toBe(expectedMs)
    expect(durations.expect(view)).toBe(expectedMs)
    expect(durations.stepRemainingMs(view)).toBe(expectedMs)
    expect(durations.longestMs(view)).toBe(expectedMs)
    expect(durations.remainingShare(view, 0, 30)).toBe(1 - 30 / 100)
    expect(durations.remainingMs(view, 60_000, 30)).toBe(expectedMs * (1 - 30 / 100))
    expect(durations.heaviestTails(5)).toEqual([])
  })
})

describe('a running task', () => {
  const createLearned = (fields: Parameters<typeof step>[0] = {}) => {
    const { view, cell } = createStep({ taskCount: 4, ...fields })
    const durations = scheduling.createDurations('quantile')
    for (let index = 0; index < 300; index += 1) durations.observe(view, durationAt(index, 7))
    return { view, cell, durations }
  }

  it('shows within a tenth of its time that it is long', () => {
    const { view, durations } = createLearned()
    reportTask(durations, view, 0, 14_000, 15)
    const remainingMs = durations.remainingShare(view, 0, 15) * durations.expect(view)
    expect(remainingMs).toBeGreaterThan(0.7 * 0.85 * 14_000)
    expect(remainingMs).toBeLessThan(1.3 * 0.85 * 14_000)
    expect(durations.expect(view)).toBeLessThan(1_200)
  })

  it('that is long extends the objective of its job, since the objective follows the longest task', () => {
    const { view, durations } = createLearned()
    const before = scheduling.objectiveMs([view], view.job.queue, durations)
    reportTask(durations, view, 0, 14_000, 15)
    const after = scheduling.objectiveMs([view], view.job.queue, durations)
    expect(after - before).toBeGreaterThan(2 * 8_000)
  })

  it('of usual length leaves the objective of its job alone', () => {
    const { view, durations } = createLearned()
    const before = scheduling.objectiveMs([view], view.job.queue, durations)
    reportTask(durations, view, 0, 1_900, 80)
    expect(scheduling.objectiveMs([view], view.job.queue, durations)).toBe(before)
  })

  it('that stalls after quick progress does not look like a long one', () => {
    const { view, durations } = createLearned()
    let before: scheduling.Progress | undefined
    for (let report = 0; report < 40; report += 1) {
      const percent = Math.min(40, 10 * (report + 1))
      const next = scheduling.nextProgress(before, percent, 100, report * REPORT_MS)
      const worked = before && scheduling.workedBetween(before, next)
      durations.observeTask(view, 0, { percent, elapsedMs: report * REPORT_MS, worked })
      before = next
    }
    expect(durations.longestMs(view)).toBeLessThan(6_000)
  })

  it('that is the only one left counts with its own remaining time in the order', () => {
    const { view, cell, durations } = createLearned({ taskCount: 2 })
    reportTask(durations, view, 1, 14_000, 50)
    expect(durations.stepRemainingMs(view)).toBe(durations.expect(view))
    cell.plan()
    const run = { job: 'j', occurrence: 0, step: 0, index: 0, run: 1 }
    const ends = [{ run, kind: 'COMPLETED', checkpoint: '' }] as never
    cell.state.apply({
      nowMs: 1,
      body: { $case: 'ends', value: { worker: worker('w').identity, ends } },
    })
    expect(view.completedCount).toBe(1)
    const remainingMs = durations.stepRemainingMs(view)
    expect(remainingMs).toBeGreaterThan(6_000)
    expect(remainingMs).toBeLessThan(8_500)
    const urgency = scheduling.urgencyOf(view, durations, 0)
    const objective = scheduling.objectiveMs([view], view.job.queue, durations)
    expect(urgency.latestStartMs).toBeCloseTo(objective - remainingMs)
  })

  it.each([
    { kind: 'interrupted', hasCheckpoint: true, percent: 50, isKnown: true },
    { kind: 'interrupted', hasCheckpoint: false, percent: 0, isKnown: true },
    { kind: 'failed', hasCheckpoint: false, percent: 0, isKnown: false },
  ] as const)(
    'after an end as $kind (checkpoint: $hasCheckpoint), its own speed is known: $isKnown',
    ({ kind, hasCheckpoint, percent, isKnown }) => {
      const { view, durations } = createLearned()
      reportTask(durations, view, 0, 14_000, 50)
      durations.endTask(view, 0, kind, hasCheckpoint)
      const remainingMs = durations.remainingShare(view, 0, percent) * durations.expect(view)
      expect(remainingMs > 5_000).toBe(isKnown)
    },
  )

  it('without progress is expected to last longer the longer it has worked', () => {
    const { view, durations } = createLearned()
    const ends = [0, 1_500, 3_000, 7_500].map((ms) => ms + durations.remainingMs(view, ms, 0))
    expect(ends).toEqual([...ends].sort((a, b) => a - b))
    expect(ends.at(-1)).toBeGreaterThan(7_500)
  })
})

describe('properties of the quantile model', () => {
  const observed = fc.array(
    fc.oneof(fc.constant(0), fc.double({ min: 0, max: 1e6, noNaN: true })),
    { maxLength: 600 },
  )
  const share = fc.double({ min: 0, max: 1, noNaN: true })

  const learn = (durationsMs: readonly number[], filling: boolean) => {
    const { view } = createStep({ filling })
    const durations = scheduling.createDurations('quantile')
    for (const ms of durationsMs) durations.observe(view, ms)
    return { view, durations }
  }

  it('quantiles do not fall as q rises', () => {
    fc.assert(
      fc.property(observed, fc.boolean(), share, share, (all, filling, one, other) => {
        const { view, durations } = learn(all, filling)
        const [low, high] = [Math.min(one, other), Math.max(one, other)]
        expect(durations.quantileMs(view, low)).toBeLessThanOrEqual(
          durations.quantileMs(view, high),
        )
      }),
    )
  })

  it('no duration is negative, infinite or not a number', () => {
    const percentages = fc.double({ min: -10, max: 120, noNaN: true })
    const worked = fc.double({ min: -1e3, max: 1e7, noNaN: true })
    fc.assert(
      fc.property(
        observed,
        fc.boolean(),
        share,
        worked,
        percentages,
        (all, filling, q, ms, percent) => {
          const { view, durations } = learn(all, filling)
          durations.observeTask(view, 0, { percent, elapsedMs: ms, worked: undefined })
          for (const value of [
            durations.expect(view),
            durations.quantileMs(view, q),
            durations.remainingMs(view, ms, percent),
            durations.remainingShare(view, 0, percent),
            durations.stepRemainingMs(view),
            durations.longestMs(view),
          ]) {
            expect(value).toBeGreaterThanOrEqual(0)
            expect(Number.isFinite(value)).toBe(true)
          }
        },
      ),
    )
  })

  it('the remaining time of a task falls as its percentage rises at a constant rate', () => {
    const msPerPercent = fc.double({ min: 0.1, max: 1e4, noNaN: true })
    const percentages = fc.integer({ min: 3, max: 99 })
    fc.assert(
      fc.property(observed, msPerPercent, percentages, (all, rateMs, percent) => {
        const { view, durations } = learn(all, false)
        const now = durations.remainingMs(view, percent * rateMs, percent)
        const next = durations.remainingMs(view, (percent + 1) * rateMs, percent + 1)
        expect(next).toBeLessThan(now)
      }),
    )
  })

  // Guards against an observation per submitted image name that exhausts the memory of the leader.
  it('keeps at most 4,096 images, the most recently observed ones', () => {
    const { view } = createStep()
    const durations = scheduling.createDurations('quantile')
    const named = (image: string): workflowState.StepView => ({
      ...view,
      spec: { ...view.spec, image },
    })
    const images = fc.array(fc.integer({ min: 0, max: 20_000 }), { maxLength: 3_000 })
    fc.assert(
      fc.property(images, (names) => {
        for (const name of names) durations.observe(named(`i${name}`), ESTIMATED_MS)
        expect(durations.learned().images).toBeLessThanOrEqual(scheduling.MAX_LEARNED_IMAGES)
      }),
      { numRuns: 20 },
    )
    for (let run = 0; run < 5; run += 1) durations.observe(named('kept'), 3_000)
    for (let index = 0; index < scheduling.MAX_LEARNED_IMAGES - 1; index += 1) {
      durations.observe(named(`new ${index}`), ESTIMATED_MS)
    }
    expect(durations.learned().images).toBe(4_096)
    expect(durations.expect(named('kept'))).toBeCloseTo(3_000, -2)
    durations.observe(named('one more'), ESTIMATED_MS)
    expect(durations.quantileMs(named('kept'), 0.5)).not.toBeCloseTo(3_000, -2)
    expect(durations.learned().images).toBe(4_096)
  })
})
