/** Mutable records behind the read-only views; only the state machine changes them. */
import type * as protocol from '@ebonyweir/protocol'
import type * as types from './types.js'

type Writable<T> = { -readonly [K in keyof T]: T[K] }

export type TaskRecord = Writable<types.TaskView>

export interface StepRecord extends Writable<Omit<types.StepView, 'job' | 'tasks'>> {
  readonly job: JobRecord
  readonly tasks: readonly TaskRecord[]
  /** Steps that name this one in `after`. */
  readonly dependents: StepRecord[]
}

export interface OccurrenceRecord extends types.OccurrenceView {
  readonly steps: readonly StepRecord[]
  openSteps: number
}

export interface JobRecord extends Writable<Omit<types.JobView, 'occurrences'>> {
  readonly occurrences: Map<number, OccurrenceRecord>
  completedOccurrences: number
}

/** Creates a job without occurrences. */
export const createJob = (
  spec: protocol.workflow.JobSpec,
  queue: protocol.workflow.Queue,
  submittedMs: number,
  callerDomain: string,
): JobRecord => ({
  spec,
  queue,
  callerDomain,
  phase: 'active',
  submittedMs,
  endedMs: 0,
  occurrences: new Map(),
  openedCount: 0,
  completedOccurrences: 0,
  hasRun: false,
})

const createTask = (index: number): TaskRecord => ({
  index,
  phase: 'waiting',
  run: 0,
  failures: 0,
  failedRuns: [],
  checkpoint: '',
  worker: undefined,
})

/** Adds the next occurrence of a job, with all of its tasks waiting. */
export const openOccurrence = (job: JobRecord): OccurrenceRecord => {
  const number = job.openedCount
  const steps = job.spec.steps.map((spec, index): StepRecord => ({
    job,
    occurrence: number,
    index,
    spec,
    tasks: Array.from({ length: spec.taskCount }, (_, task) => createTask(task)),
    waitingCount: spec.taskCount,
    assignedCount: 0,
    completedCount: 0,
    blockedBy: new Set(spec.after).size,
    dependents: [],
  }))
  for (const step of steps) {
    for (const prerequisite of new Set(step.spec.after)) steps[prerequisite]?.dependents.push(step)
  }
  const occurrence: OccurrenceRecord = { number, steps, openSteps: steps.length }
  job.occurrences.set(number, occurrence)
  job.openedCount = number + 1
  return occurrence
}

/** Total number of occurrences of a job. */
export const occurrenceCount = (job: types.JobView): number => Math.max(1, job.spec.repetitions)
