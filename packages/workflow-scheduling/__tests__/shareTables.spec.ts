import * as vitest from 'vitest'
import * as bestEffortSimulation from './bestEffortSimulation.js'
import * as simulation from './shareSimulation.js'

const { describe, expect, it } = vitest

type Callers = ReadonlyMap<string, simulation.Outcomes>

/** Part of the jobs of a caller that counts as undisturbed by the burst of another. */
const UNDISTURBED = 0.95

/** Part of the goodput without shares that fairness may not fall below. */
const MIN_GOODPUT = 0.9

/** A size class is starved if it is served less than half as often as all jobs of its kind. */
const MIN_SERVED_RATIO = 0.5

const SMALL_TASKS = 4
const LARGE_TASKS = 40

/** Arrivals of `load` times the capacity of the pool. */
const arrivals = (
  caller: string,
  load: number,
  { tasks = SMALL_TASKS, fromMs = 0, untilMs = 20_000 }: Partial<simulation.Arrivals> = {},
): simulation.Arrivals => {
  const [queue = '', callerDomain = ''] = caller.split(' ')
  const taskMs = 1_000
  const jobsPerS = (load * simulation.CAPACITY_CORE_MS) / (tasks * taskMs)
  return { caller, queue, callerDomain, fromMs, untilMs, jobsPerS, tasks, taskMs }
}

const BURST = { fromMs: 5_000, untilMs: 11_000 }

const describeCallers = (callers: Callers): string =>
  [...callers]
    .map(([caller, { jobs, inTime, late, expired, refused, retryAfterMs }]) => {
      const returns = retryAfterMs.map((ms) => Math.round(ms))
      const retry = refused === 0 ? '' : ` in ${Math.min(...returns)} to ${Math.max(...returns)} ms`
      const rest = `${late} late, ${expired} expired, ${refused} refused${retry}`
      return `${caller}: ${inTime} of ${jobs} in time, ${rest}`
    })
    .join('; ')

const inTimeOf = (callers: Callers): number =>
  [...callers.values()].reduce((sum, { inTime }) => sum + inTime, 0)

const partOf = (callers: Callers, caller: string): number => {
  const outcomes = callers.get(caller)
  return outcomes === undefined ? Number.NaN : simulation.part(outcomes)
}

const compare = (load: readonly simulation.Arrivals[]) => {
  const off = simulation.simulate(load, { shares: false })
  const on = simulation.simulate(load, { shares: true })
  const admitted = simulation.simulate(load, { shares: true, admission: true })
  const table = [
    `off: ${describeCallers(off.callers)}`,
    `on: ${describeCallers(on.callers)}`,
    `with admission: ${describeCallers(admitted.callers)}`,
  ].join('\n')
  return { off, on, admitted, table }
}

describe('steps that reserve CPU', () => {
  it.each([
    {
      name: 'steady load',
      load: [arrivals('web a', 0.25), arrivals('web b', 0.25), arrivals('api a', 0.2)],
    },
    {
      name: 'load of the capacity',
      load: [arrivals('web a', 0.35), arrivals('web b', 0.35), arrivals('api a', 0.3)],
    },
  ])('$name: guards against shares that cost anybody a job in time', ({ load }) => {
    const { off, on, admitted, table } = compare(load)
    for (const { callers, idleTicks } of [off, on, admitted]) {
      for (const { jobs, inTime, refused } of callers.values()) {
        expect(inTime, table).toBe(jobs)
        expect(refused, table).toBe(0)
      }
      expect(idleTicks).toBe(0)
    }
  })

  it('guards against a deferral while there is capacity for all', () => {
    const load = [arrivals('web a', 0.25), arrivals('web b', 0.25), arrivals('api a', 0.2)]
    expect(simulation.simulate(load, { shares: true }).aboveCount).toBe(0)
  })

  it('three times the capacity: guards against less goodput, and capacity left unused', () => {
    const { off, on, admitted, table } = compare(
      ['web a', 'web b', 'api a'].map((caller) => arrivals(caller, 1)),
    )
    for (const { callers, idleTicks } of [on, admitted]) {
      expect(inTimeOf(callers), table).toBeGreaterThanOrEqual(MIN_GOODPUT * inTimeOf(off.callers))
      expect(idleTicks).toBe(0)
      // Both queues weigh the same, and the two callers of one share its half.
      const ofApi = callers.get('api a')?.inTime ?? 0
      const ofWeb = (callers.get('web a')?.inTime ?? 0) + (callers.get('web b')?.inTime ?? 0)
      expect(Math.min(ofApi, ofWeb) / Math.max(ofApi, ofWeb), table).toBeGreaterThan(0.75)
    }
  })

  it('guards against weights without effect', () => {
    const load = [arrivals('web a', 1.5), arrivals('api a', 1.5)]
    const weights = new Map([['web', 3]])
    const { callers } = simulation.simulate(load, { shares: true, weights })
    const ratio = partOf(callers, 'web a') / partOf(callers, 'api a')
    expect(ratio, describeCallers(callers)).toBeGreaterThan(2)
    expect(ratio, describeCallers(callers)).toBeLessThan(4)
  })

  const long = { untilMs: 50_000 }
  it.each([
    {
      name: 'one queue',
      load: [arrivals('web a', 0.3), arrivals('api a', 0.3), arrivals('api a', 2.2, BURST)],
      bursting: 'api a',
      others: ['web a'],
    },
    {
      name: 'one failure domain',
      load: [
        ...['web a', 'web b'].map((caller) => arrivals(caller, 0.2)),
        arrivals('api a', 0.3),
        arrivals('web b', 2.2, BURST),
      ],
      bursting: 'web b',
      others: ['web a', 'api a'],
    },
    {
      name: 'large jobs',
      load: [
        arrivals('web a', 0.4, long),
        arrivals('api a', 0.3, long),
        { ...arrivals('web a', 0.2, { tasks: LARGE_TASKS, ...long }), caller: 'large' },
        {
          ...arrivals('web a', 2, { tasks: LARGE_TASKS, fromMs: 35_000, untilMs: 41_000 }),
          caller: 'large burst',
        },
      ],
      bursting: 'large burst',
      others: ['web a', 'api a'],
    },
  ])('burst of $name: guards against a burst that delays others', ({ load, bursting, others }) => {
    const { off, on, admitted, table } = compare(load)
    for (const caller of others) {
      expect(partOf(on.callers, caller), table).toBeGreaterThanOrEqual(UNDISTURBED)
      expect(partOf(admitted.callers, caller), table).toBeGreaterThanOrEqual(UNDISTURBED)
      expect(partOf(off.callers, caller), table).toBeLessThan(partOf(on.callers, caller))
      expect(admitted.callers.get(caller)?.refused, table).toBe(0)
    }
    expect(admitted.callers.get(bursting)?.refused, table).toBeGreaterThan(0)
    for (const { idleTicks } of [on, admitted]) expect(idleTicks).toBe(0)
  })
})

describe('best-effort jobs', () => {
  const bestEffort = (
    caller: string,
    load: number,
    { tasks = 10, fromMs = 0, untilMs = 40_000 }: Partial<simulation.Arrivals> = {},
  ): simulation.Arrivals => {
    const taskMs = 2_000
    const jobsPerS = (load * bestEffortSimulation.SUPPLY * 1_000) / (tasks * taskMs)
    const [queue = '', callerDomain = ''] = caller.split(' ')
    return { caller, queue, callerDomain, fromMs, untilMs, jobsPerS, tasks, taskMs }
  }

  const compareBestEffort = (load: readonly simulation.Arrivals[]) => {
    const off = bestEffortSimulation.simulate(load, false)
    const on = bestEffortSimulation.simulate(load, true)
    return { off, on, table: `off: ${describeCallers(off)}\non: ${describeCallers(on)}` }
  }

  it.each([0.2, 0.5, 1.5])(
    'two alike callers with %f of the supply each: guards against fairness that makes all jobs late',
    (load) => {
      const { off, on, table } = compareBestEffort([
        bestEffort('plan a', load),
        bestEffort('plan b', load),
      ])
      expect(inTimeOf(on), table).toBeGreaterThanOrEqual(MIN_GOODPUT * inTimeOf(off))
      expect(partOf(on, 'plan a'), table).toBeCloseTo(partOf(on, 'plan b'), 1)
    },
  )

  it.each([
    { name: 'one queue', other: 'plan a', bursting: 'fit a' },
    { name: 'one failure domain', other: 'plan a', bursting: 'plan b' },
  ])('burst of $name: guards against a burst that delays others', ({ other, bursting }) => {
    const { off, on, table } = compareBestEffort([
      bestEffort(other, 0.2),
      bestEffort(bursting, 0.2),
      bestEffort(bursting, 2, { fromMs: 15_000, untilMs: 21_000 }),
    ])
    expect(partOf(on, other), table).toBeGreaterThanOrEqual(UNDISTURBED)
    expect(partOf(off, other), table).toBeLessThan(partOf(on, other))
    expect(inTimeOf(on), table).toBeGreaterThanOrEqual(MIN_GOODPUT * inTimeOf(off))
  })

  it.each([
    { name: '1.2 times', small: 0.9, large: 0.3 },
    { name: '2.7 times', small: 2, large: 0.7 },
  ])('$name the supply: guards against large jobs that starve behind small ones', (loads) => {
    const { off, on, table } = compareBestEffort([
      bestEffort('plan a', loads.small),
      { ...bestEffort('plan a', loads.large, { tasks: LARGE_TASKS }), caller: 'large' },
    ])
    const servedRatio = (callers: Callers): number => {
      const servedOf = (all: readonly simulation.Outcomes[]): number =>
        all.reduce((sum, { inTime, late }) => sum + inTime + late, 0) /
        all.reduce((sum, { jobs }) => sum + jobs, 0)
      const large = callers.get('large')
      return large === undefined ? 0 : servedOf([large]) / servedOf([...callers.values()])
    }
    expect(servedRatio(on), table).toBeGreaterThanOrEqual(MIN_SERVED_RATIO)
    expect(servedRatio(off), table).toBeLessThan(MIN_SERVED_RATIO)
  })
})
