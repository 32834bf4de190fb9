import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as vitest from 'vitest'

const { describe, expect, it } = vitest

const FLOOR_MS = 10
const TARGET_MS = 50
const LIST_INTERVAL_MS = 400
const STEP_MS = 50
const PACE_DELAY_MS = 100
const SMOOTHING_MS = 450
const SIMULATED_MS = 60_000
const WORKERS = 6
const LATENCY_CRITICAL_PER_WORKER = 4
const BEST_EFFORT_PER_WORKER = 4
const TASK_WORK_MS = 3_000
const SEEDS: readonly number[] = [1, 2, 3]
/** Longest acceptable time for which a target is missed without interruption. */
const MAX_MISS_MS = 4_000

const fullPacePolicy: Pick<scheduling.InterferenceModel, 'observe' | 'paces'> = {
  observe: () => undefined,
  paces: (_, { filling }) => filling.map(() => 100),
}

/** Seeded generator of random numbers from 0 to 1. */
const createRandom = (seed: number) => {
  let state = seed * 7_919
  return (): number => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648
    return state / 2_147_483_648
  }
}

interface SimulatedTask {
  readonly key: string
  readonly image: string
  pacePercent: number
  effectivePercent: number
  leftMs: number
}

/**
 * Simulates workers with latency-critical tasks of fluctuating load and a constant number of best-effort tasks. Most pairs
 * of images interfere strongly, some hardly. Tail latencies are smoothed, and a pace takes effect after a delay.
 */
const simulate = (
  policy: Pick<scheduling.InterferenceModel, 'observe' | 'paces'>,
  seed: number,
) => {
  const random = createRandom(seed)
  const amounts = new Map<string, number>()
  const amountOf = (serving: string, filling: string): number => {
    const key = `${serving}/${filling}`
    const known = amounts.get(key)
    if (known !== undefined) return known
    const drawn = random() < 0.6 ? 0.2 + 0.15 * random() : 0.03 * random()
    amounts.set(key, drawn)
    return drawn
  }
  const workers = Array.from({ length: WORKERS }, (_, worker) => ({
    name: `w${worker}`,
    serving: Array.from({ length: LATENCY_CRITICAL_PER_WORKER }, (__, index) => ({
      key: `s${worker}.${index}`,
      image: `S${Math.floor(random() * 5)}`,
      phase: random(),
      tailMs: FLOOR_MS,
      missedMs: 0,
    })),
    bestEffort: [] as SimulatedTask[],
  }))
  let started = 0
  let completed = 0
  let missedCount = 0
  let sampleCount = 0
  let longestMissMs = 0
  for (let atMs = 0; atMs < SIMULATED_MS; atMs += LIST_INTERVAL_MS) {
    for (const worker of workers) {
      while (worker.bestEffort.length < BEST_EFFORT_PER_WORKER) {
        started += 1
        const image = `F${Math.floor(random() * 9)}`
        const pace = { pacePercent: 50, effectivePercent: 100, leftMs: TASK_WORK_MS }
        worker.bestEffort.push({ key: `f${started}`, image, ...pace })
      }
      for (let passedMs = 0; passedMs < LIST_INTERVAL_MS; passedMs += STEP_MS) {
        for (const task of worker.bestEffort) {
          if (passedMs === PACE_DELAY_MS) task.effectivePercent = task.pacePercent
          task.leftMs -= (STEP_MS * task.effectivePercent) / 100
        }
        for (const task of worker.serving) {
          const angle = 2 * Math.PI * ((atMs + passedMs) / 14_000 + task.phase)
          const ownLoad = 0.45 * (1 + 0.5 * Math.sin(angle))
          const utilization = worker.bestEffort.reduce(
            (sum, { image, effectivePercent }) =>
              sum + amountOf(task.image, image) * (effectivePercent / 100),
            ownLoad,
          )
          const tailMs = FLOOR_MS / Math.max(0.02, 1 - utilization)
          task.tailMs += (tailMs - task.tailMs) * (1 - Math.exp(-STEP_MS / SMOOTHING_MS))
        }
      }
      const before = worker.bestEffort.length
      worker.bestEffort = worker.bestEffort.filter(({ leftMs }) => leftMs > 0)
      completed += before - worker.bestEffort.length
      const neighbours: scheduling.ColocatedTasks = {
        serving: worker.serving.map(({ key, image, tailMs }) => ({
          key,
          image,
          tailMs: Math.round(tailMs),
          targetMs: TARGET_MS,
        })),
        filling: worker.bestEffort.map(({ key, image, pacePercent }) => ({
          key,
          image,
          pacePercent,
        })),
      }
      policy.observe(worker.name, neighbours, atMs)
      const paces = policy.paces(worker.name, neighbours, atMs)
      for (const [index, task] of worker.bestEffort.entries()) {
        task.pacePercent = paces[index] ?? 0
      }
      for (const task of worker.serving) {
        sampleCount += 1
        const isMissed = task.tailMs > TARGET_MS
        task.missedMs = isMissed ? task.missedMs + LIST_INTERVAL_MS : 0
        if (isMissed) missedCount += 1
        longestMissMs = Math.max(longestMissMs, task.missedMs)
      }
    }
  }
  return { completed, missedShare: missedCount / sampleCount, longestMissMs }
}

describe('latency-critical tasks of fluctuating load beside best-effort tasks', () => {
  it.each(SEEDS)('seed %i: guards against targets that are missed for several seconds', (seed) => {
    const disturbance = scheduling.createInterferenceModel()
    const paced = simulate(disturbance, seed)
    const unpaced = simulate(fullPacePolicy, seed)
    expect(unpaced.longestMissMs).toBeGreaterThan(MAX_MISS_MS)
    expect(paced.longestMissMs).toBeLessThan(MAX_MISS_MS)
    expect(paced.missedShare).toBeLessThan(0.2)
  })

  it.each(SEEDS)(
    'seed %i: guards against best-effort tasks that make hardly any progress',
    (seed) => {
      const disturbance = scheduling.createInterferenceModel()
      const paced = simulate(disturbance, seed)
      const paused = simulate(
        { ...fullPacePolicy, paces: (_, { filling }) => filling.map(() => 0) },
        seed,
      )
      expect(paused.completed).toBe(0)
      expect(paced.completed).toBeGreaterThan(40)
    },
  )

  it('tolerates fewer best-effort tasks where a latency-critical task is near its target', () => {
    const disturbance = scheduling.createInterferenceModel()
    const observe = (worker: string, tailMs: number): void => {
      const serving = [{ key: 's', image: 'serve', tailMs, targetMs: TARGET_MS }]
      disturbance.observe(worker, { serving, filling: [] }, 0)
    }
    observe('idle', 10)
    observe('busy', 34)
    expect(disturbance.toleratedCount('unknown', 'f')).toBe(Number.POSITIVE_INFINITY)
    expect(disturbance.toleratedCount('idle', 'f')).toBeGreaterThan(2)
    expect(disturbance.toleratedCount('busy', 'f')).toBeLessThan(0.5)
  })
})

describe('best-effort tasks of jobs in time and late', () => {
  const LATENCY_CRITICAL = { key: 's', image: 'serve', targetMs: TARGET_MS }
  const IN_TIME = 0
  const LATE = 1
  const cases: readonly {
    readonly name: string
    readonly tailMs: number
    readonly pacePercent: number
    /** The task that a policy without ranks would change comes first. */
    readonly ranks: readonly number[]
  }[] = [
    { name: 'slows the late one', tailMs: 45, pacePercent: 100, ranks: [IN_TIME, LATE] },
    { name: 'speeds up the one in time', tailMs: 20, pacePercent: 0, ranks: [LATE, IN_TIME] },
  ]

  // Guards against jobs that are all late because they share capacity that would let one of them end in time.
  it.each(cases)('$name', ({ tailMs, pacePercent, ranks }) => {
    const disturbance = scheduling.createInterferenceModel()
    const filling = ranks.map((rank) => ({ key: `f${rank}`, image: 'f', rank, pacePercent }))
    disturbance.observe(
      'w',
      { serving: [{ ...LATENCY_CRITICAL, tailMs: FLOOR_MS }], filling: [] },
      0,
    )
    const neighbours = { serving: [{ ...LATENCY_CRITICAL, tailMs }], filling }
    disturbance.observe('w', neighbours, LIST_INTERVAL_MS)
    const paces = disturbance.paces('w', neighbours, LIST_INTERVAL_MS)
    const paceOf = (rank: number): number => paces[ranks.indexOf(rank)] ?? 0
    expect(paceOf(IN_TIME)).toBeGreaterThan(paceOf(LATE))
  })
})

describe('best-effort tasks that compete on one worker', () => {
  const LATENCY_CRITICAL = { key: 's', image: 'serve', targetMs: TARGET_MS }
  const FIRST = { key: 'first', image: 'f', rank: 0, pacePercent: 0 }
  const LAST = { key: 'last', image: 'f', rank: 3, pacePercent: 100 }

  // Guards against tasks that all take twice their time because the CPU suffices for only half of them.
  it.each([
    { name: 'does not suffice for all', leftCpuMillis: 4_000, expected: [100, 0, 100] },
    { name: 'suffices for part of a task', leftCpuMillis: 3_000, expected: [100, 0, 50] },
    { name: 'is unknown', leftCpuMillis: undefined, expected: [100, 100, 100] },
  ])('sets paces by rank where the CPU $name', ({ leftCpuMillis, expected }) => {
    const disturbance = scheduling.createInterferenceModel()
    const filling = [0, 2, 1].map((rank) => ({
      key: `f${rank}`,
      image: 'f',
      rank,
      pacePercent: 100,
      cpuMillis: 2_000,
    }))
    const bound = leftCpuMillis === undefined ? {} : { leftCpuMillis }
    const neighbours = { serving: [], filling, ...bound }
    disturbance.observe('w', neighbours, 0)
    expect(disturbance.paces('w', neighbours, 0)).toEqual(expected)
  })

  it('guards against best-effort tasks that are paused beside CPU that is reserved but unused', () => {
    const pacesOf = (usedCpuMillis: number): readonly number[] => {
      const disturbance = scheduling.createInterferenceModel()
      const filling = [0, 2, 1].map((rank) => ({
        key: `f${rank}`,
        image: 'f',
        rank,
        pacePercent: 100,
        cpuMillis: 2_000,
        usedCpuMillis,
      }))
      const neighbours = { serving: [], filling, leftCpuMillis: 0 }
      disturbance.observe('w', neighbours, 0)
      return disturbance.paces('w', neighbours, 0)
    }
    expect(pacesOf(2_000)).toEqual([100, 100, 100])
    expect(pacesOf(1_000)).toEqual([100, 0, 50])
  })

  it.each([
    { name: 'includes what later-ranked tasks would yield', rank: 0, least: 2, most: Infinity },
    { name: 'excludes what paused tasks of a lower rank need', rank: 9, least: 0, most: 1.2 },
  ])('the tolerated count $name', ({ rank, least, most }) => {
    const disturbance = scheduling.createInterferenceModel()
    disturbance.observe(
      'w',
      { serving: [{ ...LATENCY_CRITICAL, tailMs: FLOOR_MS }], filling: [] },
      0,
    )
    const filling = [{ ...LAST, key: 'a' }, LAST, { ...FIRST, rank: 1 }]
    disturbance.observe('w', { serving: [{ ...LATENCY_CRITICAL, tailMs: 20 }], filling }, 100)
    const count = disturbance.toleratedCount('w', 'f', rank)
    expect(count).toBeGreaterThanOrEqual(least)
    expect(count).toBeLessThanOrEqual(most)
  })
})

describe('alarm of an agent', () => {
  it.each([
    { name: 'a short miss', tails: [60, 60, 60], raised: false },
    { name: 'a long miss', tails: [60, 60, 60, 60, 60, 60], raised: true },
    { name: 'a miss that ended', tails: [60, 60, 60, 60, 60, 60, 30], raised: false },
    {
      name: 'a miss followed by a tail latency just below the target',
      tails: [60, 60, 60, 60, 60, 60, 45],
      raised: true,
    },
  ])('$name: raised $raised', ({ tails, raised }) => {
    let alarm = scheduling.NO_ALARM
    for (const [index, tailMs] of tails.entries()) {
      alarm = scheduling.nextAlarm(
        alarm,
        [{ tailMs, targetMs: TARGET_MS }],
        index * LIST_INTERVAL_MS,
      )
    }
    expect(alarm.raised).toBe(raised)
  })
})
