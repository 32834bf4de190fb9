import * as vitest from 'vitest'
import type * as load from '../src/fillers/load.js'
import * as jobValue from '../src/fillers/jobValue.js'
import * as simulation from '../src/fillers/simulation.js'
import * as variants from '../src/fillers/variants.js'

const { describe, expect, test } = vitest

/** A day of a large fleet takes several seconds of processor time. */
const LARGE_FLEET_TIMEOUT_MS = 120_000

const simulateVariant = (
  name: string,
  seed: number,
  fields: Partial<simulation.DayOptions> = {},
) => {
  const variant = variants.VARIANTS.find((one) => one.name === name)
  if (variant === undefined) throw new Error('no policy variant has this name')
  return simulation.simulateDay({
    seed,
    workers: 6,
    cores: 16,
    width: 4,
    widthSpread: 0.3,
    demand: 0.1,
    reserved: 0.9,
    trafficMs: 20_000,
    variant,
    ...fields,
  })
}

describe('simulation of best-effort jobs', () => {
  test('a day depends only on its seed and its policy', async () => {
    const day = await simulateVariant('as it is', 3)
    expect(await simulateVariant('as it is', 3)).toEqual(day)
    expect(await simulateVariant('as it is', 4)).not.toEqual(day)
  })

  test('all eligible best-effort jobs complete when there is enough free capacity', async () => {
    const day = await simulateVariant('as it is', 1, {
      reserved: 0.3,
      demand: 0.05,
      trafficMs: 40_000,
    })
    expect(day.eligible).toBeGreaterThan(0)
    expect(day.completed).toBe(day.eligible)
    expect(day.bestEffortValue).toBeGreaterThan(0.5)
    expect(day.longRunningValue).toBeGreaterThan(0.95)
  })

  test('best-effort work lowers the value of long-running tasks on the same workers', async () => {
    const busy = { demand: 0.4 }
    const none = await simulateVariant('as it is', 1, { demand: 0 })
    const paced = await simulateVariant('as it is', 1, busy)
    const careless = await simulateVariant('all may disturb', 1, busy)
    expect(none.longRunningValue).toBeGreaterThan(0.98)
    expect(careless.fullSpeedTasksPerWorker).toBeGreaterThan(paced.fullSpeedTasksPerWorker)
    expect(careless.longRunningValue).toBeLessThan(none.longRunningValue)
  })

  test(
    'wide best-effort jobs earn more on a large fleet when unknown interference is explored',
    { timeout: LARGE_FLEET_TIMEOUT_MS },
    async () => {
      const fleet = { workers: 36, width: 16, widthSpread: 0.6, demand: 0.36, reserved: 0.8 }
      const values = async (name: string): Promise<readonly simulation.DayResult[]> =>
        Promise.all([1, 2].map((seed) => simulateVariant(name, seed, fleet)))
      const explored = await values('as it is')
      const unexplored = await values('no exploration')
      const sumOf = (days: readonly simulation.DayResult[]): number =>
        days.reduce((sum, day) => sum + day.bestEffortValue, 0)
      expect(sumOf(explored)).toBeGreaterThan(sumOf(unexplored))
      for (const day of explored) expect(day.longRunningValue).toBeGreaterThan(0.9)
    },
  )

  describe('durations with a tail of 3 % at seven times, and estimates off by half', () => {
    const tailedDay: Partial<simulation.DayOptions> = {
      workers: 24,
      width: 8,
      demand: 0.25,
      reserved: 0.5,
      trafficMs: 40_000,
      coolDownMs: 40_000,
      tailShare: 0.03,
      estimateSpread: 0.5,
    }
    const daysOf = (
      durationModel: simulation.DayOptions['durationModel'],
      fields: Partial<simulation.DayOptions>,
    ): Promise<readonly simulation.DayResult[]> =>
      Promise.all(
        [1, 2, 3].map((seed) =>
          simulateVariant('as it is', seed, { ...tailedDay, ...fields, durationModel }),
        ),
      )
    const sumOf = (
      days: readonly simulation.DayResult[],
      get: (day: simulation.DayResult) => number,
    ): number => days.reduce((sum, day) => sum + get(day), 0)

    test('the mean is the default', async () => {
      const day = await simulateVariant('as it is', 1, tailedDay)
      expect(await simulateVariant('as it is', 1, { ...tailedDay, durationModel: 'mean' })).toEqual(
        day,
      )
    })

    // Guards against callers that wait for a slow worker, and against its long runs that are lost in a drain.
    test(
      'with slow and draining workers, quantiles find the slow ones and serve more callers in time',
      { timeout: LARGE_FLEET_TIMEOUT_MS },
      async () => {
        const trouble = { slowWorkers: 2, drainIntervalMs: 4_000 }
        const mean = await daysOf('mean', trouble)
        const quantile = await daysOf('quantile', trouble)
        const inTime = (day: simulation.DayResult): number => day.callers.serving.inTime
        expect(sumOf(quantile, inTime)).toBeGreaterThan(sumOf(mean, inTime))
        expect(sumOf(mean, (day) => day.rightlyQuarantined)).toBe(0)
        for (const day of quantile) expect(day.rightlyQuarantined).toBeGreaterThan(0)
        expect(sumOf(quantile, (day) => day.wronglyQuarantined)).toBe(0)
      },
    )

    // Guards against long tasks that are taken for failures of their workers.
    test(
      'with equal workers, quantiles quarantine none of them and no callers are late',
      { timeout: LARGE_FLEET_TIMEOUT_MS },
      async () => {
        const days = await daysOf('quantile', {})
        expect(sumOf(days, (day) => day.wronglyQuarantined)).toBe(0)
        for (const { callers } of days) expect(callers.serving).toMatchObject({ late: 0, open: 0 })
      },
    )
  })

  test('a late job earns a reduced value, and none after three times its objective', () => {
    const job: load.SimulatedJob = {
      kind: 'filling',
      atMs: 0,
      spec: { id: 'j', command: '', steps: [], repetitions: 0, firstDueMs: 0, intervalMs: 0 },
      queue: {
        name: 'filling',
        host: '',
        pathPrefix: '',
        timeoutMs: 0,
        latencyTargetMs: 0,
        priority: 0,
        service: '',
        maxAttempts: 1,
        slackFactor: 2,
      },
      workMs: [
        [1_000, 2_000],
        [3_000, 500],
      ],
    }
    expect(jobValue.objectiveMs(job)).toBe(11_000)
    const valueAt = (endedMs: number): number =>
      jobValue.bestEffortValue([job], new Map([['j', endedMs]]))
    expect(valueAt(11_000)).toBeCloseTo(1)
    expect(valueAt(33_000)).toBeCloseTo(0.15)
    expect(valueAt(33_001)).toBe(0)
    expect(jobValue.bestEffortValue([job], new Map())).toBe(0)
  })
})
