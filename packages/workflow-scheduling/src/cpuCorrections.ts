/**
 * Corrections to the estimate of the CPU available to a worker's best-effort tasks, learned from tasks that get less
 * than the estimate. A pace is the share of full speed that a best-effort task may use.
 */
import type * as colocated from './colocatedTasks.js'

/** Time until measurements reflect a change of pace: two smoothing time constants and the delay of the change. */
const PACE_SETTLING_MS = 1_000

/** Share of the requested CPU below which best-effort tasks are short of CPU; allows for measurement error. */
const SHORTAGE_SHARE = 0.85

/** Share of the difference to the estimate that one list corrects; allows for measurement error. */
const CORRECTION_SHARE = 0.5

/** Time constant of the decay of a correction; the load of latency-critical tasks fluctuates within 20 s. */
const CORRECTION_DECAY_MS = 5_000

const FULL_PERCENT = 100

interface Pace {
  readonly percent: number
  readonly sinceMs: number
}

interface WorkerState {
  readonly paces: Map<string, Pace>
  correctionMillis: number
  atMs: number
}

export interface CpuCorrections {
  /** Learns from a worker's newest list, whose `leftCpuMillis` is the estimate with the current correction. */
  readonly observe: (worker: string, neighbours: colocated.ColocatedTasks, nowMs: number) => void
  /** CPU by which the uncorrected estimate for a worker is too high. */
  readonly overestimateMillis: (worker: string) => number
  readonly forget: (worker: string) => void
}

export const createCpuCorrections = (): CpuCorrections => {
  const states = new Map<string, WorkerState>()

  const stateOf = (worker: string, nowMs: number): WorkerState => {
    const known = states.get(worker)
    if (known !== undefined) return known
    const created: WorkerState = { paces: new Map(), correctionMillis: 0, atMs: nowMs }
    states.set(worker, created)
    return created
  }

  /** CPU that best-effort tasks request, counting only paces that measurements already reflect. */
  const requestedMillis = (
    { paces }: WorkerState,
    filling: readonly colocated.BestEffortTask[],
    nowMs: number,
  ): number => {
    let requested = 0
    for (const { key, pacePercent, cpuMillis = 0 } of filling) {
      const known = paces.get(key)
      const isSame = known?.percent === pacePercent
      if (!isSame) paces.set(key, { percent: pacePercent, sinceMs: nowMs })
      if (isSame && nowMs - known.sinceMs >= PACE_SETTLING_MS) {
        requested += cpuMillis * (pacePercent / FULL_PERCENT)
      }
    }
    const present = new Set(filling.map(({ key }) => key))
    for (const key of paces.keys()) if (!present.has(key)) paces.delete(key)
    return requested
  }

  return {
    observe: (worker, { filling, leftCpuMillis }, nowMs) => {
      const state = stateOf(worker, nowMs)
      state.correctionMillis *= Math.exp(-(nowMs - state.atMs) / CORRECTION_DECAY_MS)
      state.atMs = nowMs
      const requested = requestedMillis(state, filling, nowMs)
      if (leftCpuMillis === undefined || requested === 0) return
      const used = filling.reduce((sum, { usedCpuMillis = 0 }) => sum + usedCpuMillis, 0)
      const isShort = used < requested * SHORTAGE_SHARE
      // Tasks that get what they request give only a lower bound of the CPU that is left.
      const difference = isShort ? leftCpuMillis - used : Math.min(0, leftCpuMillis - used)
      state.correctionMillis = Math.max(0, state.correctionMillis + difference * CORRECTION_SHARE)
    },
    overestimateMillis: (worker) => states.get(worker)?.correctionMillis ?? 0,
    forget: (worker) => {
      states.delete(worker)
    },
  }
}
