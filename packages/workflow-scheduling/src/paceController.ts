/**
 * Feedback controller for the paces of best-effort tasks, based on the utilization that each of them is estimated to add
 * to the latency-critical tasks on its worker. A pace is the share of full speed that a task may use.
 */
import type * as colocated from './colocatedTasks.js'

/** Share of its target at which the tail latency of a latency-critical task is held. */
export const SETPOINT_SHARE = 0.75

/** Share of the target above which best-effort tasks are slowed down. */
const SLOW_DOWN_SHARE = 0.88

/** Share of the headroom that one change may use, since the load of the latency-critical tasks may rise meanwhile. */
const SPEED_UP_SHARE = 0.6

/** Minimum time between two speed-ups, so that a new measurement shows the effect of the previous one. */
const SPEED_UP_INTERVAL_MS = 500

/** Minimum pace; a task that would get less is paused. */
const MIN_PACE_PERCENT = 10

const FULL_PERCENT = 100

/** Share of the requested CPU below which best-effort tasks are short of CPU; allows for measurement error. */
const SHORTAGE_SHARE = 0.85

/** Pace at which a paused task is probed; a smaller change would reveal too little about the pair. */
const PROBE_PERCENT = 45

/** Headroom required for a probe; about what a strongly interfering task adds at the pace of a probe. */
const PROBE_HEADROOM = 0.12

/** Minimum time between two probes on one worker. */
const PROBE_INTERVAL_MS = 1_500

/** Added utilization up to which interference is negligible; pausing the task would not help. */
export const NEGLIGIBLE_AMOUNT = 0.03

interface WorkerState {
  lastSpeedUpMs: number
  lastProbeMs: number
  probeCount: number
}

export interface PaceControllerOptions {
  /** Estimated utilization that a best-effort task adds to a latency-critical task at full pace. */
  readonly amount: (latencyCriticalImage: string, bestEffortImage: string) => number
  /** Upper estimate of the same, one standard deviation above the mean. */
  readonly plausibleAmount: (latencyCriticalImage: string, bestEffortImage: string) => number
  /** Utilization left to a latency-critical task below a share of its target; negative above it. */
  readonly headroom: (worker: string, task: colocated.LatencyCriticalTask, share: number) => number
}

export interface PaceController {
  /** Pace in percent for each best-effort task of the worker, in their order. */
  readonly paces: (
    worker: string,
    neighbours: colocated.ColocatedTasks,
    nowMs: number,
  ) => readonly number[]
  readonly forget: (worker: string) => void
}

/** State of one worker at one moment. */
interface WorkerSnapshot extends colocated.ColocatedTasks {
  readonly headroom: (task: colocated.LatencyCriticalTask, share: number) => number
}

const rankOf = (task: colocated.BestEffortTask | undefined): number => task?.rank ?? 0

export const createPaceController = (options: PaceControllerOptions): PaceController => {
  const { amount } = options
  const states = new Map<string, WorkerState>()

  const stateOf = (worker: string): WorkerState => {
    const known = states.get(worker)
    if (known !== undefined) return known
    const created: WorkerState = {
      lastSpeedUpMs: Number.NEGATIVE_INFINITY,
      lastProbeMs: Number.NEGATIVE_INFINITY,
      probeCount: 0,
    }
    states.set(worker, created)
    return created
  }

  /** Slows tasks until all latency-critical tasks are back at the setpoint: highest rank, then most interference first. */
  const slowDown = (chosen: number[], { serving, filling, headroom }: WorkerSnapshot): void => {
    for (const task of serving) {
      if (headroom(task, SLOW_DOWN_SHARE) >= 0) continue
      let excess = -headroom(task, SETPOINT_SHARE)
      const effects = filling.map(({ image }) => amount(task.image, image))
      const order = [...effects.keys()].sort(
        (a, b) => rankOf(filling[b]) - rankOf(filling[a]) || (effects[b] ?? 0) - (effects[a] ?? 0),
      )
      for (const index of order) {
        const effect = effects[index] ?? 0
        const share = (chosen[index] ?? 0) / FULL_PERCENT
        if (excess <= 0 || share === 0 || effect <= NEGLIGIBLE_AMOUNT) continue
        const cut = Math.min(share, excess / effect)
        chosen[index] = Math.round((share - cut) * FULL_PERCENT)
        excess -= cut * effect
      }
      if (excess > 0 && task.tailMs > task.targetMs) pauseLikelyCause(chosen, task, filling)
    }
  }

  /** Pauses one more task when the learned amounts do not explain why a target is missed. */
  const pauseLikelyCause = (
    chosen: number[],
    task: colocated.LatencyCriticalTask,
    filling: readonly colocated.BestEffortTask[],
  ): void => {
    let likelyCause: number | undefined
    let highest = Number.NEGATIVE_INFINITY
    for (const [index, { image }] of filling.entries()) {
      if ((chosen[index] ?? 0) === 0) continue
      const plausible = options.plausibleAmount(task.image, image)
      if (plausible <= highest) continue
      likelyCause = index
      highest = plausible
    }
    if (likelyCause !== undefined) chosen[likelyCause] = 0
  }

  /** Spends part of the headroom: lowest rank first, then least interference. Returns whether a pace was raised. */
  const speedUp = (chosen: number[], { serving, filling, headroom }: WorkerSnapshot): boolean => {
    const free = serving.map((task) => headroom(task, SETPOINT_SHARE) * SPEED_UP_SHARE)
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
        if (effect <= NEGLIGIBLE_AMOUNT) continue
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

  /** Probes a paused task, since nothing is learned about a pair that stays paused. Returns whether one is probed. */
  const probe = (
    chosen: number[],
    { serving, filling, headroom }: WorkerSnapshot,
    state: WorkerState,
    nowMs: number,
  ): boolean => {
    if (nowMs - state.lastProbeMs < PROBE_INTERVAL_MS) return false
    if (serving.some((task) => headroom(task, SETPOINT_SHARE) < PROBE_HEADROOM)) return false
    const paused = [...filling.keys()].filter((index) => chosen[index] === 0)
    const next = paused[state.probeCount % Math.max(1, paused.length)]
    if (next === undefined) return false
    state.probeCount += 1
    state.lastProbeMs = nowMs
    chosen[next] = PROBE_PERCENT
    return true
  }

  /**
   * Slows or pauses the last-ranked tasks when the CPU does not suffice for all; sharing it would delay each of them.
   * The estimate of the available CPU limits the tasks only as far as they get less than their paces request.
   */
  const limitByCpu = (chosen: number[], { filling, leftCpuMillis }: WorkerSnapshot): void => {
    let requestedMillis = 0
    let usedMillis = 0
    for (const { pacePercent, cpuMillis = 0, usedCpuMillis = 0 } of filling) {
      requestedMillis += cpuMillis * (pacePercent / FULL_PERCENT)
      usedMillis += usedCpuMillis
    }
    const isShort = usedMillis < requestedMillis * SHORTAGE_SHARE
    const spareMillis = isShort ? 0 : Math.max(0, ...filling.map(({ cpuMillis = 0 }) => cpuMillis))
    let leftMillis = Math.max(leftCpuMillis ?? Number.POSITIVE_INFINITY, usedMillis + spareMillis)
    const order = [...filling.keys()].sort((a, b) => rankOf(filling[a]) - rankOf(filling[b]))
    for (const index of order) {
      const claimMillis = filling[index]?.cpuMillis ?? 0
      const wanted = (chosen[index] ?? 0) / FULL_PERCENT
      if (claimMillis <= 0 || wanted === 0) continue
      const share = Math.min(wanted, Math.max(0, leftMillis) / claimMillis)
      leftMillis -= share * claimMillis
      chosen[index] = Math.round(share * FULL_PERCENT)
    }
  }

  return {
    paces: (worker, neighbours, nowMs) => {
      const { serving, filling } = neighbours
      const chosen = filling.map(({ pacePercent }) => pacePercent)
      const state = stateOf(worker)
      const headroom: WorkerSnapshot['headroom'] = (task, targetShare) =>
        options.headroom(worker, task, targetShare)
      const snapshot: WorkerSnapshot = { ...neighbours, headroom }
      if (serving.some((task) => headroom(task, SLOW_DOWN_SHARE) < 0)) slowDown(chosen, snapshot)
      else if (nowMs - state.lastSpeedUpMs >= SPEED_UP_INTERVAL_MS) {
        if (speedUp(chosen, snapshot) || probe(chosen, snapshot, state, nowMs))
          state.lastSpeedUpMs = nowMs
      }
      limitByCpu(chosen, snapshot)
      return chosen.map((percent) => (percent < MIN_PACE_PERCENT ? 0 : percent))
    },
    forget: (worker) => {
      states.delete(worker)
    },
  }
}
