import * as protocol from '@ebonyweir/protocol'
import type * as scheduling from '@ebonyweir/workflow-scheduling'
import * as vitest from 'vitest'
import * as durationLog from '../src/durationLog.js'
import * as harnesses from './termHarness.js'

const { afterEach, describe, expect, it } = vitest
const { EndKind } = protocol.workflow

const REPORT_MS = 400

/** Tasks that take one unit of time, and how long the long ones take. */
const USUAL_MS = 1_200
const LONG_MS = 40_000

let harness: ReturnType<typeof harnesses.createTermHarness> | undefined

afterEach(() => {
  harness?.close()
  harness = undefined
})

const settle = (): Promise<unknown> => harness?.pass(20) ?? Promise.resolve()

/** Term with one worker that has completed tasks of image `i`, every tenth of them a long one. */
const createLearnedTerm = async (durationModel: scheduling.DurationModel) => {
  const created = harnesses.createTermHarness({ durationModel })
  harness = created
  const agent = created.attach('w')
  agent.report()
  let endNumber = 0
  const complete = async (id: string, durationMs: number): Promise<void> => {
    created.submit(id, [{ estimatedMs: 1_000, image: 'i' }])
    await settle()
    const key = `${id}.0.0.0#1`
    for (let atMs = 0; atMs < durationMs; atMs += REPORT_MS) {
      agent.report({ running: [key], percent: Math.floor((100 * atMs) / durationMs) })
      await created.pass(REPORT_MS)
    }
    endNumber += 1
    agent.report({ ended: [[endNumber, key, EndKind.COMPLETED]] })
    await settle()
  }
  for (let job = 0; job < 20; job += 1) {
    await complete(`seen${job}`, job % 10 === 5 ? LONG_MS : USUAL_MS)
  }
  return { harness: created, agent, complete }
}

/** Reports a run that advances at a constant rate until it is `untilPercent` done, then stays there. */
const runTask = async (
  agent: harnesses.Agent,
  key: string,
  totalMs: number,
  untilPercent: number,
  forMs: number,
  fields: harnesses.ReportFields = {},
): Promise<void> => {
  for (let atMs = 0; atMs <= forMs; atMs += REPORT_MS) {
    const percent = Math.min(untilPercent, Math.floor((100 * atMs) / totalMs))
    agent.report({ running: [key], percent, ...fields })
    await harness?.pass(REPORT_MS)
  }
}

describe('runs that are long by themselves', () => {
  // Guards against discarded work: a pause in the progress of a long task is as likely on any other worker.
  it.each([
    { model: 'mean', percent: 10, pauseMs: 6_000, stopCount: 1 },
    { model: 'quantile', percent: 10, pauseMs: 6_000, stopCount: 0 },
    { model: 'quantile', percent: 10, pauseMs: 24_000, stopCount: 1 },
    // After 2 % its own rate is not known, only the tail of the image.
    { model: 'mean', percent: 2, pauseMs: 6_000, stopCount: 1 },
    { model: 'quantile', percent: 2, pauseMs: 6_000, stopCount: 0 },
    { model: 'quantile', percent: 2, pauseMs: 24_000, stopCount: 1 },
  ] as const)(
    '$model: a run of an image with a tail that pauses for $pauseMs ms at $percent % is stopped $stopCount times',
    async ({ model, percent, pauseMs, stopCount }) => {
      const { harness: term, agent } = await createLearnedTerm(model)
      term.submit('j', [{ estimatedMs: 1_000, image: 'i' }])
      await settle()
      await runTask(agent, 'j.0.0.0#1', LONG_MS, percent, (LONG_MS * percent) / 100 + pauseMs)
      expect(new Set(agent.stops()).size).toBe(stopCount)
    },
  )

  // Guards the same for the first task of an image, of which only its own rate is known.
  it.each([
    { model: 'mean', pauseMs: 6_000, stopCount: 1 },
    { model: 'quantile', pauseMs: 6_000, stopCount: 0 },
    { model: 'quantile', pauseMs: 24_000, stopCount: 1 },
  ] as const)(
    '$model: a run of an unknown image that pauses for $pauseMs ms is stopped $stopCount times',
    async ({ model, pauseMs, stopCount }) => {
      harness = harnesses.createTermHarness({ durationModel: model })
      const agent = harness.attach('w')
      agent.report()
      harness.submit('j', [{}])
      await settle()
      await runTask(agent, 'j.0.0.0#1', LONG_MS, 10, LONG_MS / 10 + pauseMs)
      expect(new Set(agent.stops()).size).toBe(stopCount)
    },
  )

  it.each([
    { model: 'mean', stopCount: 1 },
    { model: 'quantile', stopCount: 1 },
  ] as const)(
    '$model: a run of an image without a tail that makes no progress is stopped',
    async ({ model, stopCount }) => {
      harness = harnesses.createTermHarness({ durationModel: model })
      const agent = harness.attach('w')
      agent.report()
      harness.submit('j', [{}])
      await settle()
      await runTask(agent, 'j.0.0.0#1', 1_000, 30, 5_000)
      expect(agent.stops()).toHaveLength(stopCount)
    },
  )
})

describe('runs on a draining worker', () => {
  const cases = [
    // The mean keeps a long run until the worker is gone, and then all of its work is discarded.
    { model: 'mean', totalMs: 14_000, workedMs: 2_000, estimatedMs: 1_000, stopCount: 0 },
    { model: 'quantile', totalMs: 14_000, workedMs: 2_000, estimatedMs: 1_000, stopCount: 1 },
    // By an estimate that is too long, a run that would end in time is stopped and its work discarded.
    { model: 'mean', totalMs: 3_200, workedMs: 2_000, estimatedMs: 10_000, stopCount: 1 },
    { model: 'quantile', totalMs: 3_200, workedMs: 2_000, estimatedMs: 10_000, stopCount: 0 },
    // Where the progress agrees with the estimate, both decide alike.
    { model: 'mean', totalMs: 4_000, workedMs: 2_000, estimatedMs: 4_000, stopCount: 0 },
    { model: 'quantile', totalMs: 4_000, workedMs: 2_000, estimatedMs: 4_000, stopCount: 0 },
  ] as const

  it.each(cases)(
    '$model: a run of $totalMs ms, estimated as $estimatedMs ms, is stopped $stopCount times',
    async ({ model, totalMs, workedMs, estimatedMs, stopCount }) => {
      harness = harnesses.createTermHarness({ durationModel: model })
      const agent = harness.attach('w')
      agent.report()
      harness.submit('j', [{ estimatedMs }])
      await settle()
      await runTask(agent, 'j.0.0.0#1', totalMs, 100, workedMs)
      const percent = Math.floor((100 * workedMs) / totalMs)
      agent.report({
        running: ['j.0.0.0#1'],
        percent,
        draining: true,
        drainRemainingMs: 2_500,
      })
      await harness.pass(REPORT_MS)
      expect(agent.stops()).toHaveLength(stopCount)
    },
  )
})

describe('the evidence of a term', () => {
  it('is counted for the metrics, and starts anew with the next term', async () => {
    const { harness: term } = await createLearnedTerm('quantile')
    expect(term.term.learnedDurations()).toEqual({ images: 1, observations: 20 })
    const next = harnesses.createTermHarness({ durationModel: 'quantile' })
    expect(next.term.learnedDurations()).toEqual({ images: 0, observations: 0 })
    next.close()
  })

  it('guards against more than one log line in ten seconds', async () => {
    const { harness: term } = await createLearnedTerm('quantile')
    const lines = term.logs.filter(({ message }) => message === 'heaviest duration tails')
    const elapsedMs = 18 * USUAL_MS + 2 * LONG_MS
    expect(lines.length).toBeGreaterThan(0)
    expect(lines.length).toBeLessThanOrEqual(1 + elapsedMs / 10_000)
    expect(lines.at(-1)?.heaviest).toEqual([expect.stringMatching(/^i 1\.\d\d [34]\d\.\d\d$/)])
  })

  it('is not logged again without new observations', () => {
    let nowMs = 0
    const lines: string[] = []
    const log = (message: string): void => {
      lines.push(message)
    }
    const sweeper = durationLog.createDurationLog({
      logger: { debug: log, info: log, warn: log, error: log },
      durations: {
        learned: () => ({ images: 1, observations: 5 }),
        heaviestTails: () => [{ image: 'i', median: 1, tail: 7 }],
      },
      nowMs: () => nowMs,
    })
    for (nowMs = 0; nowMs < 60_000; nowMs += 100) sweeper.sweep()
    expect(lines).toHaveLength(1)
  })
})
