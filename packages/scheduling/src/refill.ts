/** Fills a failure domain gradually after its return. */
import type * as controlState from '@ebonyweir/control-state'
import type * as softState from './softState.js'
import type * as waiting from './waiting.js'

/** Used share of a worker that is allowed right after the return. */
const FIRST_SHARE = 0.25

/** Time after the return until a worker may be filled completely, in milliseconds. */
const RAMP_MS = 20_000

/** Runners are placed without a ramp, since they carry requests. */
export const hasRoom = (
  worker: controlState.WorkerView,
  free: controlState.Resources,
  task: waiting.WaitingTask,
  soft: softState.SoftState,
  nowMs: number,
): boolean => {
  const returnedAtMs = soft.returnedAtMs.get(worker.failureDomain)
  if (returnedAtMs === undefined || task.service !== undefined) return true
  const share = FIRST_SHARE + (1 - FIRST_SHARE) * ((nowMs - returnedAtMs) / RAMP_MS)
  const used = worker.capacity.cpuMillis - free.cpuMillis + task.resources.cpuMillis
  // An empty worker takes one task of any size.
  return used === task.resources.cpuMillis || used <= share * worker.capacity.cpuMillis
}

/** Notes which failure domains left and returned; old returns are forgotten after the ramp. */
export const noteDomains = (
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
