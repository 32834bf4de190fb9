/** Placement, urgency, quotas, interference, throttling, eviction and drain order of a cell. */
import type * as controlState from '@ebonyweir/control-state'
import * as firstFit from './firstFit.js'
import type * as types from './types.js'

export interface SchedulerOptions {
  readonly random: types.Random
  /** Most assignments per decision. @default 200 */
  readonly maxAssignments?: number
}

export interface Scheduler {
  /** Decides from the durable state and the leader's soft state. Keeps soft state of its own. */
  readonly decide: (
    view: controlState.ControlView,
    signals: types.Signals,
    nowMs: number,
  ) => types.Decision
}

export const createScheduler = (options: SchedulerOptions): Scheduler => {
  const { maxAssignments = 200 } = options

  const decide: Scheduler['decide'] = (view, signals) => ({
    assignments: signals.assigning ? [] : firstFit.placeFirstFit(view, maxAssignments),
    stops: [...view.stopping()].map(({ task, attempt, worker, kind }) => ({
      task,
      attempt,
      worker,
      reason: kind === 'batch' ? 'job ended' : 'surplus runner',
    })),
    evictions: [],
    throttles: [],
    withheld: [],
    unplaced: [],
  })

  return { decide }
}
