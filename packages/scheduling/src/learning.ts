/** Updates the interference model from worker reports, which lag behind. */
import type * as controlState from '@ebonyweir/control-state'
import type * as budgets from './budgets.js'
import type * as interference from './interference.js'
import * as softState from './softState.js'
import type * as types from './types.js'

/** Weight of a new sample in the moving average of the unexplained slowdown. */
const RESIDUAL_EWMA_WEIGHT = 0.15

/** Bounds of the unexplained slowdown, as logarithms, so that a few outliers cause no evictions. */
const RESIDUAL_BOUNDS = { min: -0.1, max: 0.4 } as const

/** Share of a prediction error that is treated as signal; the rest is measurement error. */
const TRUSTED_ERROR_SHARE = 0.3

const FULL_PERCENT = 100

const guardStateOf = (state: softState.WorkerState, service: string): softState.GuardState => {
  const known = state.guards.get(service)
  if (known !== undefined) return known
  const created = { residual: 0, lastSampleAtMs: Number.NEGATIVE_INFINITY }
  state.guards.set(service, created)
  return created
}

/** Learns from tail-latency samples, each matched with what ran when it was taken. */
export const learnServices = (
  set: controlState.RuleSet,
  budget: budgets.Budgets,
  state: softState.WorkerState,
  report: types.WorkerReport,
  model: interference.InterferenceModel,
): void => {
  for (const { service, p99Ms, atMs } of report.services) {
    const guard = guardStateOf(state, service)
    if (atMs <= guard.lastSampleAtMs || p99Ms <= 0) continue
    guard.lastSampleAtMs = atMs
    const composition = softState.compositionAt(state, atMs)
    const load = composition?.loads.get(service)
    if (composition === undefined || load === undefined) continue
    const measured = Math.log(p99Ms)
    const predictionError = model.learn(`service/${service}`, load, composition.shares, measured)
    const baseline = model.baselineOf(`service/${service}`, load) ?? measured
    budget.recordRise(
      set,
      service,
      measured - (1 - TRUSTED_ERROR_SHARE) * predictionError - baseline,
    )
    const next = guard.residual + RESIDUAL_EWMA_WEIGHT * (predictionError - guard.residual)
    guard.residual = Math.min(RESIDUAL_BOUNDS.max, Math.max(RESIDUAL_BOUNDS.min, next))
  }
}

const withoutOwnShare = (
  shares: interference.KindShares,
  kind: string,
  ownShare: number,
): interference.KindShares => {
  const others = new Map(shares)
  const rest = (others.get(kind) ?? 0) - ownShare
  if (rest > 0.001) others.set(kind, rest)
  else others.delete(kind)
  return others
}

/** Learns from the progress of batch tasks between two reports from one worker. */
export const learnProgress = (
  view: controlState.ControlView,
  state: softState.WorkerState,
  report: types.WorkerReport,
  model: interference.InterferenceModel,
): void => {
  const capacity = view.worker(report.worker)?.capacity.cpuMillis ?? 0
  const shares = state.compositions.at(-1)?.shares
  if (capacity <= 0 || shares === undefined) return
  for (const running of report.running) {
    const before = state.running.get(running.task)
    const task = view.task(running.task)
    if (task?.kind !== 'batch' || before?.attempt !== running.attempt) continue
    const elapsedMs = running.usageAtMs - before.usageAtMs
    const progress = running.progressUnits - before.progressUnits
    if (elapsedMs <= 0 || progress <= 0 || before.cpuPercent !== running.cpuPercent) continue
    const kind = view.job(task.owner)?.kind ?? ''
    const logTimePerUnit = Math.log((elapsedMs * running.cpuPercent) / FULL_PERCENT / progress)
    const ownShare = running.usage.cpuMillis / capacity
    model.learn(`batch/${kind}`, 0, withoutOwnShare(shares, kind, ownShare), logTimePerUnit)
  }
}
