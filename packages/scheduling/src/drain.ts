/** Moves tasks out of failure domains taken out of service and off overcommitted workers. */
import type * as controlState from '@ebonyweir/control-state'
import type * as options from './options.js'
import type * as softState from './softState.js'
import type * as types from './types.js'
import * as victims from './victims.js'

/** Maximum time for which a runner waits for its replacement. */
const MAX_REPLACEMENT_WAIT_MS = 60_000

export interface Drain {
  readonly run: (view: controlState.ControlView, nowMs: number) => void
  readonly evictOvercommitted: (
    view: controlState.ControlView,
    worker: controlState.WorkerView,
  ) => void
}

export const createDrain = (parts: options.PolicyParts, soft: softState.SoftState): Drain => {
  /** Workers that may still have tasks, per failure domain being drained. */
  const workersToDrain = new Map<string, Set<string>>()

  const evict = (
    { task, attempt, worker }: controlState.TaskView,
    reason: types.StopReason,
    rule: controlState.RuleSource | undefined,
  ): void => {
    if (!soft.evictions.has(task)) soft.evictions.set(task, { task, attempt, worker, reason, rule })
  }

  /** Runners reported as running outside of the failure domains that are out of service. */
  const countReadyRunners = (
    view: controlState.ControlView,
    service: controlState.ServiceView,
  ): number => {
    let ready = 0
    for (const task of service.tasks.values()) {
      if (task.worker === '') continue
      const domain = view.worker(task.worker)?.failureDomain ?? ''
      const running = soft.workers.get(task.worker)?.running.get(task.task)
      if (!view.isOut(domain) && running?.attempt === task.attempt) ready += 1
    }
    return ready
  }

  const moveRunner = (
    view: controlState.ControlView,
    task: controlState.TaskView,
    readyCounts: Map<string, number>,
    isOverdue: boolean,
  ): void => {
    const service = view.service(task.owner)
    if (service === undefined || soft.moves.has(task.task)) return
    const ready = readyCounts.get(task.owner) ?? countReadyRunners(view, service)
    readyCounts.set(task.owner, ready)
    // A runner is stopped only when a replacement is ready; until then it keeps serving.
    const surplusRunners = ready + countLeavingRunners(view, service) - (service.rule?.runners ?? 0)
    if (parts.drainOrder && !isOverdue && surplusRunners <= 0) return
    const { task: id, attempt, worker } = task
    soft.moves.set(id, { task: id, attempt, worker, reason: 'moved' })
  }

  /** Runners in failure domains out of service that have not been asked to stop yet. */
  const countLeavingRunners = (
    view: controlState.ControlView,
    service: controlState.ServiceView,
  ): number => {
    let count = 0
    for (const task of service.tasks.values()) {
      if (task.worker === '' || soft.moves.has(task.task)) continue
      if (view.isOut(view.worker(task.worker)?.failureDomain ?? '')) count += 1
    }
    return count
  }

  const drainWorker = (
    view: controlState.ControlView,
    worker: controlState.WorkerView,
    readyCounts: Map<string, number>,
    isOverdue: boolean,
  ): void => {
    const rule = view.rules().failureDomains.get(worker.failureDomain)
    for (const task of worker.tasks.values()) {
      if (view.stopping().has(task)) continue
      if (task.kind === 'service') moveRunner(view, task, readyCounts, isOverdue)
      else evict(task, 'moved', rule)
    }
  }

  const run: Drain['run'] = (view, nowMs) => {
    const readyCounts = new Map<string, number>()
    for (const domain of workersToDrain.keys())
      if (!soft.outSinceMs.has(domain)) workersToDrain.delete(domain)
    for (const [domain, sinceMs] of soft.outSinceMs) {
      const workers = workersToDrain.get(domain) ?? new Set(view.workersIn(domain))
      workersToDrain.set(domain, workers)
      const isOverdue = nowMs - sinceMs > MAX_REPLACEMENT_WAIT_MS
      for (const name of workers) {
        const worker = view.worker(name)
        if (worker === undefined || worker.tasks.size === 0) workers.delete(name)
        else drainWorker(view, worker, readyCounts, isOverdue)
      }
    }
  }

  /** Evicts tasks one at a time until the committed resources fit a capacity that has shrunk. */
  const evictOvercommitted: Drain['evictOvercommitted'] = (view, worker) => {
    const { cpuMillis, memoryMb, accelerators } = worker.free
    if (Math.min(cpuMillis, memoryMb, accelerators) >= 0) return
    const batch = [...worker.tasks.values()].filter((task) => task.kind === 'batch')
    const hasPendingEviction = batch.some((task) => soft.evictions.has(task.task))
    const victim = victims.sortVictims(view, batch, parts.victim)[0]
    if (!hasPendingEviction && victim !== undefined) evict(victim, 'overcommitted', undefined)
  }

  return { run, evictOvercommitted }
}
