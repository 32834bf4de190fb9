/** Feeds the interference model from lagging reports. */
import type * as controlState from '@ebonyweir/control-state'
import type * as budgets from './budgets.js'
import type * as interference from './interference.js'
import * as softState from './softState.js'
import type * as types from './types.js'

/** Weight of a new sample in the smoothed unexplained slowdown. */
const RESIDUAL_WEIGHT = 0.15

/** Bounds of the unexplained slowdown, as logarithms: a few wild samples must not evict work. */
const RESIDUAL_BOUNDS = { min: -0.1, max: 0.4 } as const

/** Part of an unexpected measurement that is taken for real and not for noise. */
const SAMPLE_TRUST = 0.3

const FULL_PERCENT = 100

const guardOf = (memory: softState.WorkerMemory, service: string): softState.GuardMemory => {
  const known = memory.guards.get(service)
  if (known !== undefined) return known
  const created = { residual: 0, lastSampleAtMs: Number.NEGATIVE_INFINITY }
  memory.guards.set(service, created)
  return created
}

/** Learns from tail-latency samples, each joined with what ran when it was taken. */
export const learnServices = (
  set: controlState.RuleSet,
  budget: budgets.Budgets,
  memory: softState.WorkerMemory,
  report: types.WorkerReport,
  model: interference.Interference,
): void => {
  for (const { service, p99Ms, atMs } of report.services) {
    const guard = guardOf(memory, service)
    if (atMs <= guard.lastSampleAtMs || p99Ms <= 0) continue
    guard.lastSampleAtMs = atMs
    const composition = softState.compositionAt(memory, atMs)
    const load = composition?.loads.get(service)
    if (composition === undefined || load === undefined) continue
    const measured = Math.log(p99Ms)
    const surprise = model.learn(`service/${service}`, load, composition.shares, measured)
    const level = model.level(`service/${service}`, load) ?? measured
    budget.note(set, service, measured - (1 - SAMPLE_TRUST) * surprise - level)
    const next = guard.residual + RESIDUAL_WEIGHT * (surprise - guard.residual)
    guard.residual = Math.min(RESIDUAL_BOUNDS.max, Math.max(RESIDUAL_BOUNDS.min, next))
  }
}

const withoutOwn = (
  shares: interference.KindShares,
  kind: string,
  own: number,
): interference.KindShares => {
  const others = new Map(shares)
  const rest = (others.get(kind) ?? 0) - own
  if (rest > 0.001) others.set(kind, rest)
  else others.delete(kind)
  return others
}

/** Learns from the progress of batch tasks between two reports of one worker. */
export const learnProgress = (
  view: controlState.ControlView,
  memory: softState.WorkerMemory,
  report: types.WorkerReport,
  model: interference.Interference,
): void => {
  const capacity = view.worker(report.worker)?.capacity.cpuMillis ?? 0
  const shares = memory.compositions.at(-1)?.shares
  if (capacity <= 0 || shares === undefined) return
  for (const running of report.running) {
    const before = memory.running.get(running.task)
    const task = view.task(running.task)
    if (task?.kind !== 'batch' || before?.attempt !== running.attempt) continue
    const elapsedMs = running.usageAtMs - before.usageAtMs
    const progress = running.progressUnits - before.progressUnits
    if (elapsedMs <= 0 || progress <= 0 || before.cpuPercent !== running.cpuPercent) continue
    const kind = view.job(task.owner)?.kind ?? ''
    const slowness = Math.log((elapsedMs * running.cpuPercent) / FULL_PERCENT / progress)
    const own = running.usage.cpuMillis / capacity
    model.learn(`batch/${kind}`, 0, withoutOwn(shares, kind, own), slowness)
  }
}
