/** Which batch task is evicted first. */
import type * as controlState from '@ebonyweir/control-state'
import type * as options from './options.js'
import * as waiting from './waiting.js'

/** Part of the work since the start that an eviction is expected to lose, beside its fixed cost. */
const FIXED_COST_MS = 3_000

/** Work that an eviction may lose: time since the start or last checkpoint times size. */
export const lostWork = (view: controlState.ControlView, task: controlState.TaskView): number => {
  const ranMs = Math.max(0, view.logTimeMs() - task.assignedAtMs)
  return (ranMs + FIXED_COST_MS) * waiting.sizeOf(task.resources)
}

/** Batch tasks in the order in which they are evicted. */
export const sortVictims = (
  view: controlState.ControlView,
  tasks: readonly controlState.TaskView[],
  kind: options.VictimKind,
): readonly controlState.TaskView[] => {
  if (kind === 'newest') return [...tasks].sort((a, b) => b.assignedAtMs - a.assignedAtMs)
  return [...tasks].sort((a, b) => lostWork(view, a) - lostWork(view, b))
}
