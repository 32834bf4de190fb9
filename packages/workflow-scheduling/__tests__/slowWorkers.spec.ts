import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as vitest from 'vitest'

const { describe, expect, it } = vitest

/** Evidence against each worker after runs in turn on `workerCount` workers; `relativeOf` gives their duration. */
const evidenceOf = (
  workerCount: number,
  runCount: number,
  relativeOf: (worker: number, run: number) => number,
  jobOf = (_worker: number, run: number): string => `j${run}`,
): readonly string[] => {
  const slowWorkers = scheduling.createSlowWorkers()
  const found = new Set<string>()
  for (let run = 0; run < runCount; run += 1) {
    for (let index = 0; index < workerCount; index += 1) {
      const worker = `w${index}`
      const isEvidence = slowWorkers.observe({
        worker,
        job: jobOf(index, run),
        image: `i${run % 3}`,
        relativeDuration: relativeOf(index, run),
        startedMs: run * 1_000,
        endedMs: run * 1_000 + relativeOf(index, run) * 1_000,
      })
      if (isEvidence) found.add(worker)
    }
  }
  return [...found]
}

describe('evidence that a worker is slow', () => {
  const cases: readonly {
    readonly name: string
    readonly relativeOf: (worker: number, run: number) => number
    readonly jobOf?: (worker: number, run: number) => string
    readonly found: readonly string[]
  }[] = [
    { name: 'normal runs', relativeOf: () => 1, found: [] },
    {
      name: 'a worker at a fifth of the speed',
      relativeOf: (worker) => (worker === 2 ? 5 : 1),
      found: ['w2'],
    },
    {
      name: 'one long run on each worker',
      relativeOf: (worker, run) => (run === worker ? 7 : 1),
      found: [],
    },
    {
      name: 'a tail of 3 % at seven times on every worker',
      relativeOf: (worker, run) => ((run * 10 + worker) % 33 === 0 ? 7 : 1),
      found: [],
    },
    { name: 'all runs slow everywhere, a change of load', relativeOf: () => 5, found: [] },
    {
      name: 'one image slow everywhere',
      relativeOf: (_, run) => (run % 3 === 0 ? 5 : 1),
      found: [],
    },
    {
      name: 'slow runs of a single job on one worker',
      relativeOf: (worker) => (worker === 2 ? 7 : 1),
      jobOf: (worker, run) => (worker === 2 ? 'one' : `j${run}`),
      found: [],
    },
  ]

  // Each case guards against a quarantine for tasks that are long anywhere, or a slow worker that goes on.
  it.each(cases)('$name: $found', ({ relativeOf, jobOf, found }) => {
    expect(evidenceOf(10, 40, relativeOf, jobOf)).toEqual(found)
  })

  it('guards against evidence that is older than half a minute', () => {
    const slowWorkers = scheduling.createSlowWorkers()
    const observe = (worker: string, relativeDuration: number, atMs: number): boolean =>
      slowWorkers.observe({
        worker,
        job: `${worker} ${atMs}`,
        image: 'i',
        relativeDuration,
        startedMs: atMs - relativeDuration * 1_000,
        endedMs: atMs,
      })
    for (let run = 0; run < 20; run += 1) observe('other', 1, run)
    const found = Array.from({ length: 20 }, (_, run) => observe('w', 5, run * 10_000))
    expect(found).not.toContain(true)
  })
})

describe('evidence after a burst', () => {
  // Guards against the quarantine of a healthy worker on which only the long tasks of a burst are left.
  it('does not consist of the long tasks that end last', () => {
    const slowWorkers = scheduling.createSlowWorkers()
    const observe = (worker: string, job: string, startedMs: number, durationMs: number): boolean =>
      slowWorkers.observe({
        worker,
        job,
        image: 'i',
        relativeDuration: durationMs / 1_000,
        startedMs,
        endedMs: startedMs + durationMs,
      })
    const found: boolean[] = []
    for (let run = 0; run < 60; run += 1) {
      found.push(observe('other', `o${run}`, run * 100, 1_000))
      if (run % 10 !== 0) found.push(observe('w', `j${run}`, run * 100, 1_000))
    }
    for (let run = 0; run < 60; run += 10) found.push(observe('w', `j${run}`, run * 100, 7_000))
    expect(found).not.toContain(true)
  })
})

describe('health of a slow worker', () => {
  it('is quarantined at once, longer each time, although runs complete in between', () => {
    const health = scheduling.createHealth()
    health.recordSlowness('w', 0)
    expect([1_999, 2_000].map((atMs) => health.accepts('w', atMs))).toEqual([false, true])
    health.recordSuccess('w')
    health.recordSlowness('w', 10_000)
    expect([13_999, 14_000].map((atMs) => health.accepts('w', atMs))).toEqual([false, true])
  })

  it('is forgiven an earlier quarantine after a minute', () => {
    const health = scheduling.createHealth()
    health.recordSlowness('w', 0)
    health.recordSlowness('w', 70_000)
    expect(health.accepts('w', 72_000)).toBe(true)
  })
})
