/** Scheduler of a cell: decides on assignments, throttles, evictions and stops. */
import type * as controlState from '@ebonyweir/control-state'
import * as budgets from './budgets.js'
import * as drains from './drain.js'
import * as guards from './guard.js'
import * as interference from './interference.js'
import * as learning from './learning.js'
import * as options from './options.js'
import * as placement from './placement.js'
import * as placers from './placers.js'
import * as plans from './plan.js'
import * as preemption from './preemption.js'
import * as refill from './refill.js'
import * as softState from './softState.js'
import type * as types from './types.js'
import * as unplaced from './unplaced.js'
import * as waiting from './waiting.js'

/** Maximum number of queue cursors; a limit is needed because team names come from submitted jobs. */
const MAX_CURSORS = 10_000

export interface Scheduler {
  /**
   * Decides from the durable state and the leader's soft state; keeps soft state of its own.
   * `nowMs` uses the clock of the reports' `receivedAtMs`, which may differ from that of the log.
   */
  readonly decide: (
    view: controlState.ControlView,
    signals: types.Signals,
    nowMs: number,
  ) => types.Decision
}

const stopsOf = (view: controlState.ControlView, soft: softState.SoftState): types.Stop[] => {
  const stops: types.Stop[] = []
  for (const { task, attempt, worker, kind } of view.stopping()) {
    const reason = kind === 'batch' ? 'job ended' : 'surplus runner'
    stops.push({ task, attempt, worker, reason })
  }
  return [...stops, ...soft.moves.values()]
}

/** Attempts in failure domains out of service that no report shows as running. */
const withheldOf = (view: controlState.ControlView, soft: softState.SoftState): types.TaskRef[] => {
  const refs: types.TaskRef[] = []
  for (const ref of [...soft.evictions.values(), ...soft.moves.values()]) {
    const { task, attempt, worker } = ref
    if (!view.isOut(view.worker(worker)?.failureDomain ?? '')) continue
    if (soft.workers.get(worker)?.running.get(task)?.attempt === attempt) continue
    refs.push({ task, attempt, worker })
  }
  return refs
}

export const createScheduler = (schedulerOptions: options.SchedulerOptions): Scheduler => {
  const resolved = options.resolveSchedulerOptions(schedulerOptions)
  const { parts } = resolved
  const soft = softState.createSoftState()
  const model = interference.createInterferenceModel()
  const budget = budgets.createBudgets()
  const guard = guards.createGuard(parts, soft, model, budget)
  const drain = drains.createDrain(parts, soft)
  const cursors = new Map<string, waiting.QueueCursor>()
  const dependencies: placement.PlacementDependencies = {
    resolved,
    placer: placers.createPlacer(resolved, model, budget),
    unplacedReports: unplaced.createUnplacedReports(),
    preemptor: preemption.createPreemptor(resolved),
    cursorOf: (queue) => {
      if (cursors.size > MAX_CURSORS) cursors.clear()
      const cursor = cursors.get(queue) ?? waiting.createQueueCursor()
      cursors.set(queue, cursor)
      return cursor
    },
  }

  const processReport = (
    view: controlState.ControlView,
    report: types.WorkerReport,
    nowMs: number,
  ): void => {
    const before = soft.workers.get(report.worker)
    if (before !== undefined) learning.learnProgress(view, before, report, model)
    const state = softState.recordReport(soft, view, report)
    const worker = view.worker(report.worker)
    if (state === undefined || worker === undefined) return
    learning.learnServices(view.rules(), budget, state, report, model)
    drain.evictOvercommitted(view, worker)
    if (parts.guard) guard.review(view, worker, state, nowMs)
  }

  const decide: Scheduler['decide'] = (view, signals, nowMs) => {
    refill.trackFailureDomains(view, soft, nowMs)
    softState.pruneSoftState(soft, view, nowMs)
    for (const report of signals.reports) processReport(view, report, nowMs)
    drain.run(view, nowMs)
    const { sinceMs: waitingSinceMs } = dependencies.unplacedReports
    const plan = plans.createPlan({ view, soft, parts, nowMs, waitingSinceMs })
    if (!signals.assigning) placement.runPlacement(plan, dependencies)
    return {
      assignments: plan.assignments,
      stops: stopsOf(view, soft),
      evictions: [...soft.evictions.values()],
      throttles: [...soft.throttles.values()],
      withheld: withheldOf(view, soft),
      unplaced: dependencies.unplacedReports.list(view),
    }
  }

  return { decide }
}
