/** Order in which batch tasks are evicted. */
import type * as controlState from '@ebonyweir/control-state'
import type * as options from './options.js'
import * as waiting from './waiting.js'

/** Fixed cost of an eviction, added to the run time that it may lose. */
const EVICTION_COST_MS = 3_000

/** Work that an eviction may lose: run time since the assignment plus fixed cost, times size. */
export const lostWork = (view: controlState.ControlView, task: controlState.TaskView): number => {
  const ranMs = Math.max(0, view.logTimeMs() - task.assignedAtMs)
  return (ranMs + EVICTION_COST_MS) * waiting.cpuEquivalentOf(task.resources)
}

/** Sorts batch tasks in eviction order. */
export const sortVictims = (
  view: controlState.ControlView,
  tasks: readonly controlState.TaskView[],
  kind: options.VictimKind,
): readonly controlState.TaskView[] => {
  if (kind === 'newest') return [...tasks].sort((a, b) => b.assignedAtMs - a.assignedAtMs)
  return [...tasks].sort((a, b) => lostWork(view, a) - lostWork(view, b))
}
