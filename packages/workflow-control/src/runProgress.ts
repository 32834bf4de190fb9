/** Progress of the runs of one term, as reported by the workers. */
import type * as protocol from '@ebonyweir/protocol'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as workflowState from '@ebonyweir/workflow-state'

/** Maximum number of tasks whose saved progress is kept; the oldest is evicted first. */
const MAX_SAVED_TASKS = 20_000

type TaskRun = protocol.workflow.TaskRun

export interface RunProgress {
  /** Updates the progress of a running task, and what the model of durations knows about it. */
  readonly update: (
    active: workflowState.ActiveRun,
    task: protocol.workflow.RunningTask,
    /** `runKey` of the run. */
    key: string,
    nowMs: number,
    /** How many times as long the task takes where it runs. @default 1 */
    slowdown?: number,
  ) => void
  readonly get: (run: TaskRun) => scheduling.Progress | undefined
  /** Progress of a task in percent: of its run, or of the checkpoint from which it resumes. */
  readonly percentOf: (run: TaskRun) => number
  /** Removes an ended run and returns its progress; the percentage is kept if a checkpoint holds it. */
  readonly remove: (run: TaskRun, hasCheckpoint: boolean) => scheduling.Progress | undefined
}

export const createRunProgress = (durations: scheduling.Durations): RunProgress => {
  const progress = new Map<string, scheduling.Progress>()
  /** Percentages at the checkpoints of tasks waiting for their next run, by task key. */
  const saved = new Map<string, number>()

  const save = (key: string, percent: number): void => {
    saved.delete(key)
    saved.set(key, percent)
    const oldest = saved.keys().next()
    if (saved.size > MAX_SAVED_TASKS && oldest.done !== true) saved.delete(oldest.value)
  }

  return {
    update: ({ step, task }, { progressPercent, pacePercent }, key, nowMs, slowdown = 1) => {
      const before = progress.get(key)
      const next = scheduling.nextProgress(before, progressPercent, pacePercent, nowMs)
      progress.set(key, next)
      const worked = before && scheduling.workedBetween(before, next)
      durations.observeTask(step, task.index, {
        percent: next.percent,
        elapsedMs: next.listedMs - next.startedMs,
        worked,
      })
      if (!step.spec.filling || worked === undefined) return
      durations.observeProgress(step, worked.workedMs / slowdown, worked.part)
    },
    get: (run) => progress.get(workflowState.runKey(run)),
    percentOf: (run) => {
      // A task without a run has at most a checkpoint.
      const running = run.run === 0 ? undefined : progress.get(workflowState.runKey(run))
      return running?.percent ?? saved.get(workflowState.taskKey(run)) ?? 0
    },
    remove: (run, hasCheckpoint) => {
      const key = workflowState.runKey(run)
      const last = progress.get(key)
      progress.delete(key)
      if (!hasCheckpoint) saved.delete(workflowState.taskKey(run))
      else if (last !== undefined) save(workflowState.taskKey(run), last.percent)
      return last
    },
  }
}
