import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as vitest from 'vitest'
import * as support from './support.js'

const { describe, expect, it } = vitest
const { createCell, step, worker } = support

describe('health of a worker', () => {
  it.each([
    { name: 'accepts runs after two failures', ends: 'bb', atMs: 0, accepts: true },
    {
      name: 'is quarantined after three consecutive failures',
      ends: 'bbb',
      atMs: 1_000,
      accepts: false,
    },
    { name: 'is tried again after the quarantine', ends: 'bbb', atMs: 2_001, accepts: true },
    { name: 'counts only consecutive failures', ends: 'bbgb', atMs: 0, accepts: true },
  ])('$name', ({ ends, atMs, accepts }) => {
    const health = scheduling.createHealth()
    for (const [index, end] of Array.from(ends).entries()) {
      if (end === 'b') health.recordFailure('w', 0, `run ${index}`)
      else health.recordSuccess('w')
    }
    expect(health.accepts('w', atMs)).toBe(accepts)
  })

  it('is quarantined for longer after a failed retry', () => {
    const health = scheduling.createHealth()
    for (const [index, atMs] of [0, 0, 0, 2_500].entries()) {
      health.recordFailure('w', atMs, `run ${index}`)
    }
    expect(health.accepts('w', 2_500 + 2_001)).toBe(false)
    expect(health.accepts('w', 2_500 + 4_001)).toBe(true)
  })

  it('gets no new run for a short time after it refused one', () => {
    const health = scheduling.createHealth()
    health.recordRefusal('w', 0)
    expect(health.accepts('w', 100)).toBe(false)
    expect(health.accepts('w', 301)).toBe(true)
  })
})

describe('progress of a run', () => {
  it.each([
    { name: 'a run that advances', percents: [0, 5, 10], expectedMs: 1_000, stalled: false },
    { name: 'a run without progress', percents: [5, 5, 5], expectedMs: 1_000, stalled: true },
    {
      name: 'a long run with little progress',
      percents: [5, 5, 5],
      expectedMs: 60_000,
      stalled: false,
    },
  ])('$name: stalled $stalled', ({ percents, expectedMs, stalled }) => {
    let progress: scheduling.Progress | undefined
    for (const [index, percent] of percents.entries()) {
      progress = scheduling.nextProgress(progress, percent, 100, index * 2_000)
    }
    if (progress === undefined) throw new Error('no progress')
    expect(scheduling.isStalled(progress, expectedMs, 4_001)).toBe(stalled)
  })
})

describe('learned durations', () => {
  it('corrects a rough estimate by the durations of completed runs of the image', () => {
    const durations = scheduling.createDurations()
    const spec = { estimatedMs: 1_000, image: 'i' }
    const step = { spec, job: { queue: { name: 'q' } } } as unknown as Parameters<
      typeof durations.expect
    >[0]
    expect(durations.expect(step)).toBe(1_000)
    for (let run = 0; run < 30; run += 1) durations.observe(step, 3_000)
    expect(durations.expect(step)).toBeCloseTo(3_000, -1)
  })
})

describe('measured speed of a step', () => {
  const before = { percent: 20, startedMs: 0, advancedMs: 1_000, listedMs: 1_000, pacePercent: 50 }
  const cases: readonly {
    readonly name: string
    readonly after: Partial<scheduling.Progress>
    readonly worked: scheduling.WorkSample | undefined
  }[] = [
    {
      name: 'converts elapsed time to full pace',
      after: { percent: 30 },
      worked: { workedMs: 500, part: 0.1 },
    },
    { name: 'counts an interval without progress', after: {}, worked: { workedMs: 500, part: 0 } },
    {
      name: 'ignores an interval with a change of pace',
      after: { percent: 30, pacePercent: 100 },
      worked: undefined,
    },
    { name: 'ignores a stalled run', after: { listedMs: 9_000 }, worked: undefined },
    {
      name: 'ignores a completed run, which ended before the list',
      after: { percent: 100 },
      worked: undefined,
    },
  ]

  // Guards against estimates that stay wrong by a factor of two or more.
  it.each(cases)('$name', ({ after, worked }) => {
    const seen = scheduling.workedBetween(before, { ...before, listedMs: 2_000, ...after })
    if (worked === undefined) expect(seen).toBeUndefined()
    else {
      expect(seen?.workedMs).toBe(worked.workedMs)
      expect(seen?.part).toBeCloseTo(worked.part)
    }
  })

  it('replaces the estimate once enough progress was observed', () => {
    const cell = createCell([worker('v')])
    cell.submit('fill', [step({ filling: true, estimatedMs: 1_000 })])
    const [ready] = [...cell.state.view.readySteps]
    if (ready === undefined) throw new Error('no ready step')
    cell.expected.observeProgress(ready, 400, 0.1)
    expect(cell.expected.expect(ready)).toBe(1_000)
    cell.expected.observeProgress(ready, 400, 0.1)
    expect(cell.expected.expect(ready)).toBe(4_000)
  })
})
