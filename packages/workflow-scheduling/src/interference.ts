/**
 * Model of the interference of best-effort tasks with latency-critical tasks on the same worker. Interference differs by
 * pair of images and changes within seconds, and the load of latency-critical tasks fluctuates. The samples are tail
 * latencies, smoothed over about half a second.
 *
 * A tail latency grows like 1 / (1 - utilization), so it is converted to a utilization, to which each best-effort task
 * adds an amount that depends on the pair of images and on its pace, the share of full speed that it may use. Amounts
 * are learned from changes between two samples of one task, which cancels its own load, and are shared between workers.
 */
import type * as colocated from './colocatedTasks.js'
import * as corrections from './cpuCorrections.js'
import * as pacing from './paceController.js'

/** Utilization above which a sample only shows that the worker is overloaded. */
const SATURATED_UTILIZATION = 0.92

/** Time constant of the smoothing of tail latencies, as observed when a best-effort task is paused. */
const TAIL_SMOOTHING_MS = 450

/** Minimum time between two samples for computing the unsmoothed tail latency between them. */
const MIN_SAMPLE_INTERVAL_MS = 300

/** Unsmoothed tail latency, as a share of the smoothed one, below which the tail latency is falling fast. */
const FALLING_SHARE = 0.6

const FULL_PERCENT = 100

/** Delay until the worker applies a change of pace. */
const PACE_DELAY_MS = 100

/** Time for which changes of pace are kept; covers several samples. */
const PACE_HISTORY_MS = 3_000

/** Prior for the utilization that a task of an unknown pair adds at full pace; two such tasks fit at average load. */
const PRIOR_AMOUNT = 0.15
const PRIOR_VARIANCE = 0.04
const PRIOR_PLAUSIBLE_AMOUNT = PRIOR_AMOUNT + Math.sqrt(PRIOR_VARIANCE)

/** Time constant with which the estimate of a paused pair decays to the prior. */
const AMOUNT_DECAY_MS = 20_000

/** Upper bound of the estimated amount of one best-effort task. */
const MAX_AMOUNT = 0.5

/** Prior for a latency-critical task's utilization by its own load, and the upper bound of its estimate. */
const PRIOR_LOAD = 0.45
const PRIOR_LOAD_VARIANCE = 0.01
const MAX_LOAD = 0.75

/** Standard deviation of the change of a latency-critical task's own utilization per second. */
const LOAD_DRIFT_PER_S = 0.04

/** Variance of the measurement error of one sample's utilization. */
const SAMPLE_VARIANCE = 0.002

/** Lower bound of the variance of an amount, so that the estimate keeps following slow changes. */
const MIN_AMOUNT_VARIANCE = 0.0004

/** Age up to which an estimate counts as current; it decays by less than 2 % in this time. */
const MAX_UNDECAYED_AGE_MS = 250

/** Variance above which a pair counts as unknown; an estimate that was not confirmed for a while decays to it. */
const UNKNOWN_VARIANCE = 0.005

/** Tasks that a worker must tolerate at the expected interference before one is started to learn about it. */
const MIN_EXPLORED_COUNT = 1.5

/** Time for which one task of an unknown pair is enough to learn about it; several lists. */
const EXPLORATION_MS = 3_000

/** Limit on latency-critical images with explored pairs; the oldest one is evicted. */
const MAX_EXPLORED_IMAGES = 1_000

/** Limit on learned pairs; beyond it, those of the latency-critical image that was seen first are evicted. */
const MAX_PAIRS = 20_000

interface AmountEstimate {
  mean: number
  variance: number
  usedMs: number
}

interface PaceChange {
  readonly atMs: number
  readonly share: number
}

interface PaceHistory {
  readonly image: string
  /** Oldest first. */
  readonly changes: PaceChange[]
}

interface WorkerState {
  readonly histories: Map<string, PaceHistory>
  readonly samples: Map<string, TailSample>
}

/** Last sample of a latency-critical task, with the estimate of its own load. */
interface TailSample {
  readonly atMs: number
  readonly tailMs: number
  /** Utilization between the previous sample and this one; undefined for the first sample. */
  readonly utilization: number | undefined
  /** Utilization caused by the task's own load. */
  readonly load: number
  readonly loadVariance: number
}

/** Utilization derived from a sample; an upper bound while the tail latency is falling. */
interface MeasuredUtilization {
  readonly utilization: number
  readonly falling: boolean
}

/** Learned interference between images, and the paces of best-effort tasks that follow from it. */
export interface InterferenceModel {
  /** Learns from a worker's newest list. */
  readonly observe: (worker: string, neighbours: colocated.ColocatedTasks, nowMs: number) => void
  /** Pace in percent for each best-effort task of the worker, in their order. */
  readonly paces: (
    worker: string,
    neighbours: colocated.ColocatedTasks,
    nowMs: number,
  ) => readonly number[]
  /** Estimated utilization that a best-effort task adds to a latency-critical task at full pace. */
  readonly amount: (latencyCriticalImage: string, bestEffortImage: string) => number
  /**
   * Number of additional best-effort tasks of an image that the worker's latency-critical tasks tolerate, from its newest
   * list. Running tasks of a higher rank than `rank` would yield; paused ones of the same or a lower rank come first.
   */
  readonly toleratedCount: (worker: string, bestEffortImage: string, rank?: number) => number
  /** The same with the upper estimate of their interference; used before a task starts. */
  readonly safeToleratedCount: (worker: string, bestEffortImage: string, rank?: number) => number
  /**
   * Whether a best-effort task of the image may start on the worker to learn about unknown pairs: its neighbours tolerate it
   * at the expected interference, and no other task explores the same pairs.
   */
  readonly mayExplore: (worker: string, bestEffortImage: string) => boolean
  /** Records that a best-effort task of the image starts on the worker to learn about its unknown pairs. */
  readonly beginExploration: (worker: string, bestEffortImage: string) => void
  /** Upper estimate of the share of its claimed CPU that a latency-critical task uses. */
  readonly utilization: (worker: string, taskKey: string) => number
  /** CPU by which the estimate of what is available to a worker's best-effort tasks is too high. */
  readonly cpuOverestimateMillis: (worker: string) => number
  /** Whether the worker's newest list contains the best-effort task. */
  readonly isListed: (worker: string, taskKey: string) => boolean
  readonly forget: (worker: string) => void
}

export const createInterferenceModel = (): InterferenceModel => {
  /** Learned estimates by latency-critical image, then by best-effort image. */
  const amounts = new Map<string, Map<string, AmountEstimate>>()
  let pairCount = 0
  /** Start of the latest exploration of each pair, by latency-critical image, then by best-effort image. */
  const explorations = new Map<string, Map<string, number>>()
  /** Lowest observed tail latency of each latency-critical image, taken as the latency without load. */
  const minTailsMs = new Map<string, number>()
  const states = new Map<string, WorkerState>()
  const latestLists = new Map<string, colocated.ColocatedTasks>()
  const cpuCorrections = corrections.createCpuCorrections()
  /** Time of the latest list of any worker. */
  let observedMs = 0

  /** Brings a pair's estimate up to date: it decays to the prior while the pair is paused everywhere. */
  const decay = (known: AmountEstimate): AmountEstimate => {
    const ageMs = observedMs - known.usedMs
    if (ageMs <= MAX_UNDECAYED_AGE_MS) return known
    const kept = Math.exp(-ageMs / AMOUNT_DECAY_MS)
    known.mean = PRIOR_AMOUNT + (known.mean - PRIOR_AMOUNT) * kept
    known.variance = PRIOR_VARIANCE + (known.variance - PRIOR_VARIANCE) * kept
    known.usedMs = observedMs
    return known
  }

  const amount: InterferenceModel['amount'] = (latencyCriticalImage, bestEffortImage) => {
    const known = amounts.get(latencyCriticalImage)?.get(bestEffortImage)
    return known === undefined ? PRIOR_AMOUNT : decay(known).mean
  }

  /** Estimate of a pair, which is created if the pair is new. */
  const learnedAmount = (latencyCriticalImage: string, bestEffortImage: string): AmountEstimate => {
    const pairs = amounts.get(latencyCriticalImage) ?? new Map<string, AmountEstimate>()
    const known = pairs.get(bestEffortImage)
    if (known !== undefined) return decay(known)
    const created = { mean: PRIOR_AMOUNT, variance: PRIOR_VARIANCE, usedMs: observedMs }
    amounts.set(latencyCriticalImage, pairs.set(bestEffortImage, created))
    pairCount += 1
    return created
  }

  const evictPairs = (): void => {
    if (pairCount <= MAX_PAIRS) return
    const oldest = amounts.entries().next()
    if (oldest.done === true) return
    const [image, pairs] = oldest.value
    amounts.delete(image)
    pairCount -= pairs.size
  }

  const utilizationOf = (image: string, tailMs: number): number => {
    const minTailMs = minTailsMs.get(image) ?? tailMs
    return tailMs <= minTailMs ? 0 : 1 - minTailMs / tailMs
  }

  /** Utilization left below a share of the target; negative above it. */
  const headroomOf = (
    state: WorkerState | undefined,
    task: colocated.LatencyCriticalTask,
    share: number,
  ): number => {
    const { key, image, tailMs, targetMs } = task
    const current = state?.samples.get(key)?.utilization ?? utilizationOf(image, tailMs)
    return utilizationOf(image, targetMs * share) - current
  }

  const stateOf = (worker: string): WorkerState => {
    const known = states.get(worker)
    if (known !== undefined) return known
    const created: WorkerState = { histories: new Map(), samples: new Map() }
    states.set(worker, created)
    return created
  }

  /** Mean share of full pace at which a best-effort task ran in a time interval. */
  const meanShare = ({ changes }: PaceHistory, fromMs: number, untilMs: number): number => {
    let sum = 0
    for (const [index, { atMs, share }] of changes.entries()) {
      const startMs = Math.max(fromMs, atMs + PACE_DELAY_MS)
      const endMs = Math.min(untilMs, (changes[index + 1]?.atMs ?? untilMs) + PACE_DELAY_MS)
      if (endMs > startMs) sum += (endMs - startMs) * share
    }
    return sum / Math.max(1, untilMs - fromMs)
  }

  const updatePaceHistories = (
    state: WorkerState,
    filling: readonly colocated.BestEffortTask[],
    nowMs: number,
  ): void => {
    const present = new Set(filling.map(({ key }) => key))
    for (const { key, image, pacePercent } of filling) {
      const history = state.histories.get(key) ?? { image, changes: [] }
      state.histories.set(key, history)
      const share = pacePercent / FULL_PERCENT
      if (history.changes.at(-1)?.share !== share) history.changes.push({ atMs: nowMs, share })
    }
    for (const [key, history] of state.histories) {
      const last = history.changes.at(-1)
      if (!present.has(key) && last?.share !== 0) history.changes.push({ atMs: nowMs, share: 0 })
      const gone =
        !present.has(key) && nowMs - (history.changes.at(-1)?.atMs ?? 0) > PACE_HISTORY_MS
      if (gone) state.histories.delete(key)
      // Of the changes before the window only the last one still has an effect.
      while ((history.changes[1]?.atMs ?? nowMs) < nowMs - PACE_HISTORY_MS) history.changes.shift()
    }
  }

  /**
   * Distributes the difference between measured and expected utilization over the task's own load and the amounts of
   * its neighbours, in proportion to their variances as in a Kalman filter. Returns the new load and its variance.
   */
  const updateEstimates = (
    image: string,
    before: TailSample,
    { utilization, falling }: MeasuredUtilization,
    shares: ReadonlyMap<string, number>,
    elapsedMs: number,
  ): Pick<TailSample, 'load' | 'loadVariance'> => {
    const loadVariance = before.loadVariance + (LOAD_DRIFT_PER_S * (elapsedMs / 1_000)) ** 2
    const terms = [...shares].map(([bestEffortImage, share]) => {
      return { known: learnedAmount(image, bestEffortImage), share }
    })
    const expected = terms.reduce((sum, { known, share }) => sum + known.mean * share, before.load)
    const residual = utilization - expected
    // A sample of an overloaded worker is a lower bound of the utilization, one of a falling tail latency an upper bound.
    const isLowerBound = utilization > SATURATED_UTILIZATION && residual <= 0
    const isUpperBound = falling && residual >= 0
    if (isLowerBound || isUpperBound) return { load: before.load, loadVariance }
    const total = terms.reduce(
      (sum, { known, share }) => sum + known.variance * share ** 2,
      loadVariance + SAMPLE_VARIANCE,
    )
    for (const { known, share } of terms) {
      const gain = (known.variance * share) / total
      known.mean = Math.min(MAX_AMOUNT, Math.max(0, known.mean + gain * residual))
      known.variance = Math.max(MIN_AMOUNT_VARIANCE, known.variance * (1 - gain * share))
    }
    evictPairs()
    const gain = loadVariance / total
    const load = Math.min(MAX_LOAD, Math.max(0, before.load + gain * residual))
    return { load, loadVariance: loadVariance * (1 - gain) }
  }

  /** Sample after `before`; undefined if it comes too soon to compute the tail latency between the two. */
  const nextSample = (
    { image, tailMs }: colocated.LatencyCriticalTask,
    before: TailSample | undefined,
    state: WorkerState,
    nowMs: number,
  ): TailSample | undefined => {
    if (before === undefined) {
      const prior = { load: PRIOR_LOAD, loadVariance: PRIOR_LOAD_VARIANCE }
      return { atMs: nowMs, tailMs, utilization: undefined, ...prior }
    }
    const elapsedMs = nowMs - before.atMs
    if (elapsedMs < MIN_SAMPLE_INTERVAL_MS) return undefined
    const decay = Math.exp(-elapsedMs / TAIL_SMOOTHING_MS)
    const betweenMs = (tailMs - before.tailMs * decay) / (1 - decay)
    // Smoothing hides the level to which a fast-falling tail latency falls, so the smoothed value is used instead.
    const falling = betweenMs < tailMs * FALLING_SHARE
    const utilization = utilizationOf(image, falling ? tailMs : betweenMs)
    const shares = new Map<string, number>()
    for (const history of state.histories.values()) {
      const share = meanShare(history, before.atMs, nowMs)
      if (share > 0) shares.set(history.image, (shares.get(history.image) ?? 0) + share)
    }
    const updated = updateEstimates(image, before, { utilization, falling }, shares, elapsedMs)
    return { atMs: nowMs, tailMs, utilization, ...updated }
  }

  const observe: InterferenceModel['observe'] = (worker, neighbours, nowMs) => {
    const state = stateOf(worker)
    observedMs = nowMs
    latestLists.set(worker, neighbours)
    cpuCorrections.observe(worker, neighbours, nowMs)
    updatePaceHistories(state, neighbours.filling, nowMs)
    const present = new Set(neighbours.serving.map(({ key }) => key))
    for (const key of state.samples.keys()) if (!present.has(key)) state.samples.delete(key)
    for (const task of neighbours.serving) {
      const { key, image, tailMs } = task
      if (tailMs <= 0) continue
      minTailsMs.set(image, Math.min(minTailsMs.get(image) ?? tailMs, tailMs))
      const sample = nextSample(task, state.samples.get(key), state, nowMs)
      if (sample !== undefined) state.samples.set(key, sample)
    }
    for (const { image } of neighbours.serving) {
      const pairs = amounts.get(image)
      for (const task of neighbours.filling) {
        const known = task.pacePercent > 0 ? pairs?.get(task.image) : undefined
        if (known !== undefined) known.usedMs = nowMs
      }
    }
  }

  /** Upper estimate of an amount, one standard deviation above the mean. */
  const plausibleAmount: InterferenceModel['amount'] = (latencyCriticalImage, bestEffortImage) => {
    const known = amounts.get(latencyCriticalImage)?.get(bestEffortImage)
    if (known === undefined) return PRIOR_PLAUSIBLE_AMOUNT
    const { mean, variance } = decay(known)
    return mean + Math.sqrt(variance)
  }

  const paceController = pacing.createPaceController({
    amount,
    plausibleAmount,
    headroom: (worker, task, share) => headroomOf(states.get(worker), task, share),
  })

  const toleratedCountBy = (
    amountOfNew: InterferenceModel['amount'],
    worker: string,
    bestEffortImage: string,
    rank: number,
  ): number => {
    const { serving = [], filling = [] } = latestLists.get(worker) ?? {}
    const state = states.get(worker)
    let tolerated = Number.POSITIVE_INFINITY
    for (const task of serving) {
      const effect = amountOfNew(task.image, bestEffortImage)
      if (effect <= pacing.NEGLIGIBLE_AMOUNT) continue
      let free = headroomOf(state, task, pacing.SETPOINT_SHARE)
      for (const neighbour of filling) {
        const share = neighbour.pacePercent / FULL_PERCENT
        const yields = (neighbour.rank ?? 0) > rank
        free += amount(task.image, neighbour.image) * (yields ? share : share - 1)
      }
      if (free <= 0) return 0
      tolerated = Math.min(tolerated, free / effect)
    }
    return tolerated
  }

  const isUnknown = (latencyCriticalImage: string, bestEffortImage: string): boolean => {
    const known = amounts.get(latencyCriticalImage)?.get(bestEffortImage)
    return known === undefined || decay(known).variance > UNKNOWN_VARIANCE
  }

  const isExplored = (latencyCriticalImage: string, bestEffortImage: string): boolean => {
    const sinceMs = explorations.get(latencyCriticalImage)?.get(bestEffortImage)
    return sinceMs !== undefined && observedMs - sinceMs < EXPLORATION_MS
  }

  /** Latency-critical images of a worker whose pair with the best-effort image is unknown. */
  const unknownImages = (worker: string, bestEffortImage: string): readonly string[] => {
    const images = new Set(latestLists.get(worker)?.serving.map(({ image }) => image))
    return [...images].filter((image) => isUnknown(image, bestEffortImage))
  }

  const mayExplore: InterferenceModel['mayExplore'] = (worker, bestEffortImage) => {
    const unknown = unknownImages(worker, bestEffortImage)
    if (unknown.length === 0) return false
    if (unknown.some((image) => isExplored(image, bestEffortImage))) return false
    // Two unknown neighbours cannot be told apart.
    const { serving = [], filling = [] } = latestLists.get(worker) ?? {}
    const isConfounded = filling.some(({ image }) =>
      serving.some((task) => isUnknown(task.image, image)),
    )
    if (isConfounded) return false
    return (
      toleratedCountBy(amount, worker, bestEffortImage, Number.POSITIVE_INFINITY) >=
      MIN_EXPLORED_COUNT
    )
  }

  const beginExploration: InterferenceModel['beginExploration'] = (worker, bestEffortImage) => {
    for (const image of unknownImages(worker, bestEffortImage)) {
      const started = explorations.get(image) ?? new Map<string, number>()
      explorations.set(image, started.set(bestEffortImage, observedMs))
    }
    if (explorations.size <= MAX_EXPLORED_IMAGES) return
    const oldest = explorations.keys().next()
    if (oldest.done !== true) explorations.delete(oldest.value)
  }

  const utilization: InterferenceModel['utilization'] = (worker, taskKey) => {
    const sample = states.get(worker)?.samples.get(taskKey)
    const load = sample?.load ?? PRIOR_LOAD
    const plausible = load + Math.sqrt(sample?.loadVariance ?? PRIOR_LOAD_VARIANCE)
    // The lowest observed tail latency already includes some load, so low estimates are too low.
    return Math.min(1, Math.max(PRIOR_LOAD, plausible))
  }

  return {
    observe,
    paces: paceController.paces,
    amount,
    toleratedCount: (worker, bestEffortImage, rank = Number.POSITIVE_INFINITY) =>
      toleratedCountBy(amount, worker, bestEffortImage, rank),
    safeToleratedCount: (worker, bestEffortImage, rank = Number.POSITIVE_INFINITY) =>
      toleratedCountBy(plausibleAmount, worker, bestEffortImage, rank),
    mayExplore,
    beginExploration,
    utilization,
    cpuOverestimateMillis: cpuCorrections.overestimateMillis,
    isListed: (worker, taskKey) =>
      latestLists.get(worker)?.filling.some(({ key }) => key === taskKey) ?? false,
    forget: (worker) => {
      states.delete(worker)
      latestLists.delete(worker)
      cpuCorrections.forget(worker)
      paceController.forget(worker)
    },
  }
}
