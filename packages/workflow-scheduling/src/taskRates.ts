/** Progress rate of each task of the open jobs, from the percentages that workers report. */
import type * as workflowState from '@ebonyweir/workflow-state'
import type * as progress from './progress.js'

/**
 * Part of a task that must be observed before its own rate replaces the expectation. Workers report whole percents, so
 * the rate is then known to about a fifth; a task of 10 s gets there within a second.
 */
const MIN_PART = 0.05

/** Report of the progress of one task. */
export interface TaskSample {
  readonly percent: number
  /** Time since the run was first listed. */
  readonly elapsedMs: number
  /** Work since the previous report; undefined if it cannot be told. */
  readonly worked: progress.WorkSample | undefined
}

/** How a run of a task ended. An interrupted run may go on from a checkpoint; a failed one says nothing about the task. */
export type TaskEndKind = 'completed' | 'interrupted' | 'failed'

interface TaskRate {
  percent: number
  elapsedMs: number
  /** Observed work, at full speed, and the part of the task that it did. */
  workedMs: number
  part: number
  /** Work since the percentage last rose; a stalled task must not look like a long one. */
  pendingMs: number
}

export interface TaskRates {
  readonly observe: (step: workflowState.StepView, index: number, sample: TaskSample) => void
  readonly end: (
    step: workflowState.StepView,
    index: number,
    kind: TaskEndKind,
    hasCheckpoint: boolean,
  ) => void
  /** Last reported progress; 0 without a report. */
  readonly percentOf: (step: workflowState.StepView, index: number) => number
  /** Time since the current run was first listed; 0 without a report. */
  readonly elapsedMs: (step: workflowState.StepView, index: number) => number
  /** Full-speed time of the whole task by its own rate; undefined while too little of it was observed. */
  readonly totalMs: (step: workflowState.StepView, index: number) => number | undefined
  /** Largest `totalMs` of the tasks of a step; 0 if none is known. */
  readonly largestTotalMs: (step: workflowState.StepView) => number
}

const totalOf = (rate: TaskRate | undefined): number | undefined =>
  rate !== undefined && rate.part >= MIN_PART && rate.workedMs > 0
    ? rate.workedMs / rate.part
    : undefined

const addWork = (rate: TaskRate, worked: progress.WorkSample | undefined): void => {
  rate.pendingMs = worked === undefined ? 0 : rate.pendingMs + worked.workedMs
  if (worked === undefined || worked.part <= 0) return
  rate.workedMs += rate.pendingMs
  rate.part += worked.part
  rate.pendingMs = 0
}

export const createTaskRates = (): TaskRates => {
  const byStep = new WeakMap<workflowState.StepView, Map<number, TaskRate>>()

  const rateOf = (step: workflowState.StepView, index: number): TaskRate | undefined =>
    byStep.get(step)?.get(index)

  return {
    observe: (step, index, { percent, elapsedMs, worked }) => {
      const rates = byStep.get(step) ?? new Map<number, TaskRate>()
      const rate = rates.get(index) ?? {
        percent: 0,
        elapsedMs: 0,
        workedMs: 0,
        part: 0,
        pendingMs: 0,
      }
      rate.percent = percent
      rate.elapsedMs = elapsedMs
      addWork(rate, worked)
      byStep.set(step, rates.set(index, rate))
    },
    end: (step, index, kind, hasCheckpoint) => {
      const rates = byStep.get(step)
      const rate = rates?.get(index)
      if (rates === undefined || rate === undefined) return
      if (kind === 'failed') {
        rates.delete(index)
        return
      }
      rate.elapsedMs = 0
      rate.pendingMs = 0
      if (kind === 'interrupted' && !hasCheckpoint) rate.percent = 0
    },
    percentOf: (step, index) => rateOf(step, index)?.percent ?? 0,
    elapsedMs: (step, index) => rateOf(step, index)?.elapsedMs ?? 0,
    totalMs: (step, index) => totalOf(rateOf(step, index)),
    largestTotalMs: (step) => {
      let largestMs = 0
      for (const rate of byStep.get(step)?.values() ?? []) {
        largestMs = Math.max(largestMs, totalOf(rate) ?? 0)
      }
      return largestMs
    },
  }
}
