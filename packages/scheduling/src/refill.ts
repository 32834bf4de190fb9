/** Refills a failure domain gradually after it returns to service. */
import type * as controlState from '@ebonyweir/control-state'
import type * as softState from './softState.js'
import type * as waiting from './waiting.js'

/** Share of a worker that may be used immediately after the return. */
const INITIAL_SHARE = 0.25

/** Time after the return until a worker may be fully used. */
const RAMP_MS = 20_000

/** Whether the task fits the ramp; runners are exempt, since they serve requests. */
export const isWithinRamp = (
  worker: controlState.WorkerView,
  free: controlState.Resources,
  task: waiting.WaitingTask,
  soft: softState.SoftState,
  nowMs: number,
): boolean => {
  const returnedAtMs = soft.returnedAtMs.get(worker.failureDomain)
  if (returnedAtMs === undefined || task.service !== undefined) return true
  const share = INITIAL_SHARE + (1 - INITIAL_SHARE) * ((nowMs - returnedAtMs) / RAMP_MS)
  const used = worker.capacity.cpuMillis - free.cpuMillis + task.resources.cpuMillis
  // An empty worker accepts one task of any size.
  return used === task.resources.cpuMillis || used <= share * worker.capacity.cpuMillis
}

/** Tracks which failure domains left and returned; returns are dropped after the ramp. */
export const trackFailureDomains = (
  view: controlState.ControlView,
  soft: softState.SoftState,
  nowMs: number,
): void => {
  for (const name of view.rules().failureDomains.keys()) {
    if (view.isOut(name) && !soft.outSinceMs.has(name)) soft.outSinceMs.set(name, nowMs)
  }
  for (const name of soft.outSinceMs.keys()) {
    if (view.isOut(name)) continue
    soft.outSinceMs.delete(name)
    soft.returnedAtMs.set(name, nowMs)
  }
  for (const [name, atMs] of soft.returnedAtMs)
    if (nowMs - atMs > RAMP_MS || view.isOut(name)) soft.returnedAtMs.delete(name)
}
