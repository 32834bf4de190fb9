/** Choice of the fillers' paces from what each of them is believed to add to the serving tasks beside it. */
import type * as lists from './neighbours.js'

/** Share of its target at which a serving task's tail is held. */
export const HELD_SHARE = 0.75

/** Share of its target above which fillers slow down. */
const SLOW_DOWN_SHARE = 0.88

/** Part of the free utilization that one change may use, since the serving tasks' own load rises meanwhile. */
const SPEED_UP_PART = 0.6

/** Time between two changes that let fillers work faster, in milliseconds: one figure after the one before. */
const SPEED_UP_INTERVAL_MS = 500

/** Lowest pace that is worth ordering, in percent. */
const MIN_PACE_PERCENT = 10

const FULL_PERCENT = 100

/** Share of the processors that their paces ask for below which fillers are short of them; figures are rough. */
const SHORT_SHARE = 0.85

/** Pace of a filler that is tried again, in percent: enough of a change to learn from. */
const PROBE_PERCENT = 45

/** Free utilization that a trial needs; a strong filler adds about this much at the pace of a trial. */
const PROBE_HEADROOM = 0.12

/** Time between two trials on one worker, in milliseconds. */
const PROBE_INTERVAL_MS = 1_500

/** Amount up to which a filler counts as harmless; pausing it would not help. */
export const HARMLESS_AMOUNT = 0.03

interface WorkerMemory {
  spedUpMs: number
  probedMs: number
  probes: number
}

export interface PacesOptions {
  /** Utilization that a filler adds to a serving task at full pace. */
  readonly amount: (servingImage: string, fillingImage: string) => number
  /** The same as far as it is possible by what is known. */
  readonly suspicion: (servingImage: string, fillingImage: string) => number
  /** Utilization that is left to a serving task below a share of its target; negative above it. */
  readonly headroom: (worker: string, task: lists.ServingTask, share: number) => number
}

export interface Paces {
  /** Pace in percent for each filling task of the worker, in their order. */
  readonly paces: (worker: string, neighbours: lists.Neighbours, nowMs: number) => readonly number[]
  readonly forget: (worker: string) => void
}

/** One worker at one moment. */
interface Place extends lists.Neighbours {
  readonly headroom: (task: lists.ServingTask, share: number) => number
}

const rankOf = (filler: lists.FillingTask | undefined): number => filler?.rank ?? 0

export const createPaces = (options: PacesOptions): Paces => {
  const { amount } = options
  const memories = new Map<string, WorkerMemory>()

  const memoryOf = (worker: string): WorkerMemory => {
    const known = memories.get(worker)
    if (known !== undefined) return known
    const created: WorkerMemory = {
      spedUpMs: Number.NEGATIVE_INFINITY,
      probedMs: Number.NEGATIVE_INFINITY,
      probes: 0,
    }
    memories.set(worker, created)
    return created
  }

  /** Slows fillers until every serving task is back at its held share: the highest rank first, then what disturbs most. */
  const slowDown = (chosen: number[], { serving, filling, headroom }: Place): void => {
    for (const task of serving) {
      if (headroom(task, SLOW_DOWN_SHARE) >= 0) continue
      let excess = -headroom(task, HELD_SHARE)
      const effects = filling.map(({ image }) => amount(task.image, image))
      const order = [...effects.keys()].sort(
        (a, b) => rankOf(filling[b]) - rankOf(filling[a]) || (effects[b] ?? 0) - (effects[a] ?? 0),
      )
      for (const index of order) {
        const effect = effects[index] ?? 0
        const share = (chosen[index] ?? 0) / FULL_PERCENT
        if (excess <= 0 || share === 0 || effect <= HARMLESS_AMOUNT) continue
        const cut = Math.min(share, excess / effect)
        chosen[index] = Math.round((share - cut) * FULL_PERCENT)
        excess -= cut * effect
      }
      if (excess > 0 && task.tailMs > task.targetMs) pauseSuspect(chosen, task, filling)
    }
  }

  /** Pauses one more filler when the learned amounts do not explain why a target is missed. */
  const pauseSuspect = (
    chosen: number[],
    task: lists.ServingTask,
    filling: readonly lists.FillingTask[],
  ): void => {
    let suspect: number | undefined
    let highest = Number.NEGATIVE_INFINITY
    for (const [index, { image }] of filling.entries()) {
      if ((chosen[index] ?? 0) === 0) continue
      const possible = options.suspicion(task.image, image)
      if (possible <= highest) continue
      suspect = index
      highest = possible
    }
    if (suspect !== undefined) chosen[suspect] = 0
  }

  /** Lets fillers use part of the free utilization: the lowest rank first, then what disturbs least; true if a pace rose. */
  const speedUp = (chosen: number[], { serving, filling, headroom }: Place): boolean => {
    const free = serving.map((task) => headroom(task, HELD_SHARE) * SPEED_UP_PART)
    const worst = filling.map(({ image }) =>
      Math.max(0, ...serving.map((task) => amount(task.image, image))),
    )
    const order = [...worst.keys()].sort(
      (a, b) => rankOf(filling[a]) - rankOf(filling[b]) || (worst[a] ?? 0) - (worst[b] ?? 0),
    )
    let changed = false
    for (const index of order) {
      const image = filling[index]?.image ?? ''
      const share = (chosen[index] ?? 0) / FULL_PERCENT
      let gain = 1 - share
      for (const [position, task] of serving.entries()) {
        const effect = amount(task.image, image)
        if (effect <= HARMLESS_AMOUNT) continue
        gain = Math.min(gain, Math.max(0, free[position] ?? 0) / effect)
      }
      if (gain <= 0 || (gain * FULL_PERCENT < MIN_PACE_PERCENT && share + gain < 1)) continue
      for (const [position, task] of serving.entries()) {
        free[position] = (free[position] ?? 0) - gain * amount(task.image, image)
      }
      chosen[index] = Math.round((share + gain) * FULL_PERCENT)
      changed = true
    }
    return changed
  }

  /** Tries a paused filler again, since a pair that is always paused teaches nothing; true if one is tried. */
  const probe = (
    chosen: number[],
    { serving, filling, headroom }: Place,
    memory: WorkerMemory,
    nowMs: number,
  ): boolean => {
    if (nowMs - memory.probedMs < PROBE_INTERVAL_MS) return false
    if (serving.some((task) => headroom(task, HELD_SHARE) < PROBE_HEADROOM)) return false
    const paused = [...filling.keys()].filter((index) => chosen[index] === 0)
    const next = paused[memory.probes % Math.max(1, paused.length)]
    if (next === undefined) return false
    memory.probes += 1
    memory.probedMs = nowMs
    chosen[next] = PROBE_PERCENT
    return true
  }

  /**
   * Pauses the last ones where all together would only share the processors: each would end later than it could. The
   * estimate of what is left binds only as far as the fillers get less than their paces ask for.
   */
  const boundByProcessors = (chosen: number[], { filling, leftCpuMillis }: Place): void => {
    let pacedMillis = 0
    let usedMillis = 0
    for (const { pacePercent, cpuMillis = 0, usedCpuMillis = 0 } of filling) {
      pacedMillis += cpuMillis * (pacePercent / FULL_PERCENT)
      usedMillis += usedCpuMillis
    }
    const isShort = usedMillis < pacedMillis * SHORT_SHARE
    const spareMillis = isShort ? 0 : Math.max(0, ...filling.map(({ cpuMillis = 0 }) => cpuMillis))
    let leftMillis = Math.max(leftCpuMillis ?? Number.POSITIVE_INFINITY, usedMillis + spareMillis)
    const order = [...filling.keys()].sort((a, b) => rankOf(filling[a]) - rankOf(filling[b]))
    for (const index of order) {
      const claimMillis = filling[index]?.cpuMillis ?? 0
      const wanted = (chosen[index] ?? 0) / FULL_PERCENT
      if (claimMillis <= 0 || wanted === 0) continue
      const part = Math.min(wanted, Math.max(0, leftMillis) / claimMillis)
      leftMillis -= part * claimMillis
      chosen[index] = Math.round(part * FULL_PERCENT)
    }
  }

  return {
    paces: (worker, neighbours, nowMs) => {
      const { serving, filling } = neighbours
      const chosen = filling.map(({ pacePercent }) => pacePercent)
      const memory = memoryOf(worker)
      const headroom: Place['headroom'] = (task, heldShare) =>
        options.headroom(worker, task, heldShare)
      const place: Place = { ...neighbours, headroom }
      if (serving.some((task) => headroom(task, SLOW_DOWN_SHARE) < 0)) slowDown(chosen, place)
      else if (nowMs - memory.spedUpMs >= SPEED_UP_INTERVAL_MS) {
        if (speedUp(chosen, place) || probe(chosen, place, memory, nowMs)) memory.spedUpMs = nowMs
      }
      boundByProcessors(chosen, place)
      return chosen.map((percent) => (percent < MIN_PACE_PERCENT ? 0 : percent))
    },
    forget: (worker) => {
      memories.delete(worker)
    },
  }
}
