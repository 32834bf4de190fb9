/** Progress of the runs of one term, as the workers' lists show it. */
import type * as protocol from '@ebonyweir/protocol'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as workflowState from '@ebonyweir/workflow-state'

/** Tasks whose saved progress is remembered; the one saved first is forgotten first. */
const MAX_SAVED = 20_000

type TaskRun = protocol.workflow.TaskRun

export interface RunProgress {
  /** Takes a running task of a worker's list over, and learns the speed of fillers from it. */
  readonly note: (
    active: workflowState.ActiveRun,
    task: protocol.workflow.RunningTask,
    run: TaskRun,
    nowMs: number,
  ) => void
  readonly of: (run: TaskRun) => scheduling.Progress | undefined
  /** Progress of a task in percent: of its run, or of the checkpoint from which it resumes. */
  readonly percentOf: (run: TaskRun) => number
  /** Forgets a run that ended; keeps its percentage if a checkpoint does. */
  readonly end: (run: TaskRun, hasCheckpoint: boolean) => scheduling.Progress | undefined
}

export const createRunProgress = (durations: scheduling.Durations): RunProgress => {
  const progress = new Map<string, scheduling.Progress>()
  /** Percentages at the checkpoints of tasks that wait for their next run, by task key. */
  const saved = new Map<string, number>()

  const save = (key: string, percent: number): void => {
    saved.delete(key)
    saved.set(key, percent)
    const oldest = saved.keys().next()
    if (saved.size > MAX_SAVED && oldest.done !== true) saved.delete(oldest.value)
  }

  return {
    note: ({ step }, { progressPercent, pacePercent }, run, nowMs) => {
      const key = workflowState.runKey(run)
      const before = progress.get(key)
      const next = scheduling.nextProgress(before, progressPercent, pacePercent, nowMs)
      progress.set(key, next)
      const worked = before && scheduling.workedBetween(before, next)
      if (!step.spec.filling || worked === undefined) return
      durations.observeProgress(step, worked.workedMs, worked.part)
    },
    of: (run) => progress.get(workflowState.runKey(run)),
    percentOf: (run) =>
      progress.get(workflowState.runKey(run))?.percent ??
      saved.get(workflowState.taskKey(run)) ??
      0,
    end: (run, hasCheckpoint) => {
      const key = workflowState.runKey(run)
      const last = progress.get(key)
      progress.delete(key)
      if (!hasCheckpoint) saved.delete(workflowState.taskKey(run))
      else if (last !== undefined) save(workflowState.taskKey(run), last.percent)
      return last
    },
  }
}
