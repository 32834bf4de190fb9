/**
 * Pace of filling tasks beside tasks that serve users. It answers noise that differs by pair of images and changes
 * within seconds, and a load of the serving tasks that swings. The figures are tail latencies, smoothed over about half
 * a second.
 *
 * A tail grows like 1 / (1 - utilization), so it is turned into a utilization first, to which each filler adds an amount
 * that depends on the pair of images and on its pace. The amounts are learned from changes between two figures of one
 * serving task, which cancels its own load, and are shared between workers.
 */
import type * as lists from './neighbours.js'
import * as missingCpu from './missingCpu.js'
import * as paces from './paces.js'

/** Utilization above which a figure says no more than that the worker is overloaded. */
const SATURATED = 0.92

/** Time constant of the smoothing of figures, in milliseconds, as seen when a filler is paused. */
const FIGURE_SMOOTHING_MS = 450

/** Shortest time between two figures from which the tail between them is worked out, in milliseconds. */
const MIN_FIGURE_INTERVAL_MS = 300

/** Tail between two figures, as a share of the second one, below which the tail falls fast. */
const FALLING_SHARE = 0.6

const FULL_PERCENT = 100

/** Time before the worker carries a pace out, in milliseconds. */
const PACE_DELAY_MS = 100

/** Time for which changes of pace are remembered, in milliseconds: a few figures. */
const CHANGE_MEMORY_MS = 3_000

/** Utilization that one filler of an unknown pair adds at full pace; two of them fit beside an average load. */
const PRIOR_AMOUNT = 0.15
const PRIOR_VARIANCE = 0.04

/** Time constant with which the amount of a paused pair is forgotten, in milliseconds. */
const FORGETTING_MS = 20_000

/** Largest amount that is believed of one filler. */
const MAX_AMOUNT = 0.5

/** Own utilization of a serving task before its first figures, and the bound of what is believed of it. */
const PRIOR_LOAD = 0.45
const PRIOR_LOAD_VARIANCE = 0.01
const MAX_LOAD = 0.75

/** Standard deviation of the change of a serving task's own utilization in a second. */
const LOAD_DRIFT_PER_S = 0.04

/** Variance of the utilization that one figure shows. */
const FIGURE_VARIANCE = 0.002

/** Least variance of an amount, so that the amounts follow slow changes. */
const MIN_VARIANCE = 0.0004

/** Bounds on what is remembered; the pair learned first is forgotten first. */
const MAX_PAIRS = 20_000

interface Amount {
  mean: number
  variance: number
  usedMs: number
}

interface PaceChange {
  readonly atMs: number
  readonly share: number
}

interface Filler {
  readonly image: string
  /** Changes of the pace, oldest first. */
  readonly changes: PaceChange[]
}

interface WorkerMemory {
  readonly fillers: Map<string, Filler>
  readonly figures: Map<string, Figure>
}

/** Last figure of a serving task, and what is believed of its own load. */
interface Figure {
  readonly atMs: number
  readonly tailMs: number
  /** Utilization between the figure before and this one; undefined for the first figure. */
  readonly utilization: number | undefined
  /** Utilization by the task's own users. */
  readonly load: number
  readonly loadVariance: number
}

/** Utilization that a figure shows; a bound from above while the tail falls. */
interface Measured {
  readonly utilization: number
  readonly falling: boolean
}

/** Learned disturbance between images, and the fillers' paces that follow from it. */
export interface Disturbance {
  /** Learns from a worker's newest list. */
  readonly observe: (worker: string, neighbours: lists.Neighbours, nowMs: number) => void
  /** Pace in percent for each filling task of the worker, in their order. */
  readonly paces: (worker: string, neighbours: lists.Neighbours, nowMs: number) => readonly number[]
  /** Utilization that a filler adds to a serving task at full pace. */
  readonly amount: (servingImage: string, fillingImage: string) => number
  /**
   * Fillers of an image that the worker's serving tasks bear beside what runs there, from its newest list. Fillers of a
   * higher rank than `rank` would make way, and paused ones of the same or a lower rank come first.
   */
  readonly room: (worker: string, fillingImage: string, rank?: number) => number
  /** The same if each of them disturbs as much as is possible by what is known; used before one starts. */
  readonly safeRoom: (worker: string, fillingImage: string, rank?: number) => number
  /** Share of its processors that a serving task may use. */
  readonly utilization: (worker: string, servingKey: string) => number
  /** Processors that fillers of a worker were short of against the estimate of what is left to them. */
  readonly missingCpuMillis: (worker: string) => number
  /** Whether the worker's newest list shows a filler. */
  readonly isListed: (worker: string, fillerKey: string) => boolean
  readonly forget: (worker: string) => void
}

export const createDisturbance = (): Disturbance => {
  const amounts = new Map<string, Amount>()
  /** Smallest tail seen of each serving image, the tail without any load. */
  const floorsMs = new Map<string, number>()
  const memories = new Map<string, WorkerMemory>()
  const latest = new Map<string, lists.Neighbours>()
  const missing = missingCpu.createMissingCpu()
  /** Time of the newest list of any worker. */
  let observedMs = 0

  const pairKey = (servingImage: string, fillingImage: string): string =>
    `${servingImage}/${fillingImage}`

  /** Amount of a pair; while it is paused everywhere it returns to what is believed of an unknown pair. */
  const amountOf = (key: string): Amount => {
    const known = amounts.get(key)
    if (known === undefined) {
      return { mean: PRIOR_AMOUNT, variance: PRIOR_VARIANCE, usedMs: observedMs }
    }
    const kept = Math.exp(-(observedMs - known.usedMs) / FORGETTING_MS)
    return {
      mean: PRIOR_AMOUNT + (known.mean - PRIOR_AMOUNT) * kept,
      variance: PRIOR_VARIANCE + (known.variance - PRIOR_VARIANCE) * kept,
      usedMs: observedMs,
    }
  }

  const amount: Disturbance['amount'] = (servingImage, fillingImage) =>
    amountOf(pairKey(servingImage, fillingImage)).mean

  const utilizationOf = (image: string, tailMs: number): number => {
    const floorMs = floorsMs.get(image) ?? tailMs
    return tailMs <= floorMs ? 0 : 1 - floorMs / tailMs
  }

  /** Utilization that is left below a share of the target; negative above it. */
  const headroomOf = (
    memory: WorkerMemory | undefined,
    task: lists.ServingTask,
    share: number,
  ): number => {
    const { key, image, tailMs, targetMs } = task
    const now = memory?.figures.get(key)?.utilization ?? utilizationOf(image, tailMs)
    return utilizationOf(image, targetMs * share) - now
  }

  const memoryOf = (worker: string): WorkerMemory => {
    const known = memories.get(worker)
    if (known !== undefined) return known
    const created: WorkerMemory = { fillers: new Map(), figures: new Map() }
    memories.set(worker, created)
    return created
  }

  /** Mean share of full pace at which a filler worked in a span of time. */
  const meanShare = ({ changes }: Filler, fromMs: number, untilMs: number): number => {
    let sum = 0
    for (const [index, { atMs, share }] of changes.entries()) {
      const startMs = Math.max(fromMs, atMs + PACE_DELAY_MS)
      const endMs = Math.min(untilMs, (changes[index + 1]?.atMs ?? untilMs) + PACE_DELAY_MS)
      if (endMs > startMs) sum += (endMs - startMs) * share
    }
    return sum / Math.max(1, untilMs - fromMs)
  }

  const noteFillers = (
    memory: WorkerMemory,
    filling: readonly lists.FillingTask[],
    nowMs: number,
  ): void => {
    const present = new Set(filling.map(({ key }) => key))
    for (const { key, image, pacePercent } of filling) {
      const filler = memory.fillers.get(key) ?? { image, changes: [] }
      memory.fillers.set(key, filler)
      const share = pacePercent / FULL_PERCENT
      if (filler.changes.at(-1)?.share !== share) filler.changes.push({ atMs: nowMs, share })
    }
    for (const [key, filler] of memory.fillers) {
      const last = filler.changes.at(-1)
      if (!present.has(key) && last?.share !== 0) filler.changes.push({ atMs: nowMs, share: 0 })
      const gone =
        !present.has(key) && nowMs - (filler.changes.at(-1)?.atMs ?? 0) > CHANGE_MEMORY_MS
      if (gone) memory.fillers.delete(key)
      // Only the last change before the window still counts.
      while ((filler.changes[1]?.atMs ?? nowMs) < nowMs - CHANGE_MEMORY_MS) filler.changes.shift()
    }
  }

  /**
   * Splits the difference between a measured and the expected utilization among the task's own load and the amounts of
   * its neighbours, in proportion to how uncertain each of them is. Returns the new load and its variance.
   */
  const learn = (
    image: string,
    before: Figure,
    { utilization, falling }: Measured,
    shares: ReadonlyMap<string, number>,
    elapsedMs: number,
  ): Pick<Figure, 'load' | 'loadVariance'> => {
    const loadVariance = before.loadVariance + (LOAD_DRIFT_PER_S * (elapsedMs / 1_000)) ** 2
    const terms = [...shares].map(([fillingImage, share]) => {
      const pair = pairKey(image, fillingImage)
      const known = amountOf(pair)
      amounts.set(pair, known)
      return { known, share }
    })
    const expected = terms.reduce((sum, { known, share }) => sum + known.mean * share, before.load)
    const surprise = utilization - expected
    // An overloaded worker shows that the utilization is at least so high, and a tail that falls that it is at most so
    // high.
    const isLowerBound = utilization > SATURATED && surprise <= 0
    const isUpperBound = falling && surprise >= 0
    if (isLowerBound || isUpperBound) return { load: before.load, loadVariance }
    const total = terms.reduce(
      (sum, { known, share }) => sum + known.variance * share ** 2,
      loadVariance + FIGURE_VARIANCE,
    )
    for (const { known, share } of terms) {
      const gain = (known.variance * share) / total
      known.mean = Math.min(MAX_AMOUNT, Math.max(0, known.mean + gain * surprise))
      known.variance = Math.max(MIN_VARIANCE, known.variance * (1 - gain * share))
    }
    const oldest = amounts.keys().next()
    if (amounts.size > MAX_PAIRS && oldest.done !== true) amounts.delete(oldest.value)
    const gain = loadVariance / total
    const load = Math.min(MAX_LOAD, Math.max(0, before.load + gain * surprise))
    return { load, loadVariance: loadVariance * (1 - gain) }
  }

  /** Figure after `before`; undefined if it comes too soon to tell the tail between the two. */
  const nextFigure = (
    { image, tailMs }: lists.ServingTask,
    before: Figure | undefined,
    memory: WorkerMemory,
    nowMs: number,
  ): Figure | undefined => {
    if (before === undefined) {
      const unknown = { load: PRIOR_LOAD, loadVariance: PRIOR_LOAD_VARIANCE }
      return { atMs: nowMs, tailMs, utilization: undefined, ...unknown }
    }
    const elapsedMs = nowMs - before.atMs
    if (elapsedMs < MIN_FIGURE_INTERVAL_MS) return undefined
    const kept = Math.exp(-elapsedMs / FIGURE_SMOOTHING_MS)
    const betweenMs = (tailMs - before.tailMs * kept) / (1 - kept)
    // The smoothing of a tail that falls fast hides what it falls to.
    const falling = betweenMs < tailMs * FALLING_SHARE
    const utilization = utilizationOf(image, falling ? tailMs : betweenMs)
    const shares = new Map<string, number>()
    for (const filler of memory.fillers.values()) {
      const share = meanShare(filler, before.atMs, nowMs)
      if (share > 0) shares.set(filler.image, (shares.get(filler.image) ?? 0) + share)
    }
    const learned = learn(image, before, { utilization, falling }, shares, elapsedMs)
    return { atMs: nowMs, tailMs, utilization, ...learned }
  }

  const observe: Disturbance['observe'] = (worker, neighbours, nowMs) => {
    const memory = memoryOf(worker)
    observedMs = nowMs
    latest.set(worker, neighbours)
    missing.observe(worker, neighbours, nowMs)
    noteFillers(memory, neighbours.filling, nowMs)
    const present = new Set(neighbours.serving.map(({ key }) => key))
    for (const key of memory.figures.keys()) if (!present.has(key)) memory.figures.delete(key)
    for (const task of neighbours.serving) {
      const { key, image, tailMs } = task
      if (tailMs <= 0) continue
      floorsMs.set(image, Math.min(floorsMs.get(image) ?? tailMs, tailMs))
      const figure = nextFigure(task, memory.figures.get(key), memory, nowMs)
      if (figure !== undefined) memory.figures.set(key, figure)
    }
    for (const { image } of neighbours.serving) {
      for (const filler of neighbours.filling) {
        const known = amounts.get(pairKey(image, filler.image))
        if (known !== undefined && filler.pacePercent > 0) known.usedMs = nowMs
      }
    }
  }

  /** Amount that is possible by what is known. */
  const suspicion: Disturbance['amount'] = (servingImage, fillingImage) => {
    const { mean, variance } = amountOf(pairKey(servingImage, fillingImage))
    return mean + Math.sqrt(variance)
  }

  const choosePaces = paces.createPaces({
    amount,
    suspicion,
    headroom: (worker, task, share) => headroomOf(memories.get(worker), task, share),
  })

  const roomBy = (
    amountOfNew: Disturbance['amount'],
    worker: string,
    fillingImage: string,
    rank: number,
  ): number => {
    const { serving = [], filling = [] } = latest.get(worker) ?? {}
    const shares = serving.map((task) => {
      const effect = amountOfNew(task.image, fillingImage)
      if (effect <= paces.HARMLESS_AMOUNT) return Number.POSITIVE_INFINITY
      let free = headroomOf(memories.get(worker), task, paces.HELD_SHARE)
      for (const filler of filling) {
        const share = filler.pacePercent / FULL_PERCENT
        const yields = (filler.rank ?? 0) > rank
        free += amount(task.image, filler.image) * (yields ? share : share - 1)
      }
      return Math.max(0, free) / effect
    })
    return Math.min(...shares)
  }

  const utilization: Disturbance['utilization'] = (worker, servingKey) => {
    const figure = memories.get(worker)?.figures.get(servingKey)
    const load = figure?.load ?? PRIOR_LOAD
    const possible = load + Math.sqrt(figure?.loadVariance ?? PRIOR_LOAD_VARIANCE)
    // The smallest tail seen was not without load, so that a low figure shows less than is used.
    return Math.min(1, Math.max(PRIOR_LOAD, possible))
  }

  return {
    observe,
    paces: choosePaces.paces,
    amount,
    room: (worker, fillingImage, rank = Number.POSITIVE_INFINITY) =>
      roomBy(amount, worker, fillingImage, rank),
    safeRoom: (worker, fillingImage, rank = Number.POSITIVE_INFINITY) =>
      roomBy(suspicion, worker, fillingImage, rank),
    utilization,
    missingCpuMillis: missing.millis,
    isListed: (worker, fillerKey) =>
      latest.get(worker)?.filling.some(({ key }) => key === fillerKey) ?? false,
    forget: (worker) => {
      memories.delete(worker)
      latest.delete(worker)
      missing.forget(worker)
      choosePaces.forget(worker)
    },
  }
}
