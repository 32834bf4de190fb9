/** Read-only views of the state, and the outcomes of commands. */
import type * as protocol from '@ebonyweir/protocol'

export type TaskPhase = 'waiting' | 'assigned' | 'completed'

/** One task of a step. */
export interface TaskView {
  readonly index: number
  readonly phase: TaskPhase
  /** Number of the latest run; 0 before the first. */
  readonly run: number
  /** Number of runs that ended as failed. A gang has one count, kept on its first member. */
  readonly failures: number
  /** Runs whose failure was counted; a snapshot of an earlier version names only the latest one. */
  readonly failedRuns: readonly number[]
  /** Checkpoint from which the next run resumes; empty for none. */
  readonly checkpoint: string
  /** Worker incarnation that the current run is assigned to. */
  readonly worker: protocol.workflow.WorkerIdentity | undefined
}

/** One step of one occurrence of a job. */
export interface StepView {
  readonly job: JobView
  readonly occurrence: number
  readonly index: number
  readonly spec: protocol.workflow.Step
  readonly tasks: readonly TaskView[]
  readonly waitingCount: number
  readonly assignedCount: number
  readonly completedCount: number
  /** Number of steps named in `after` that are not completed. */
  readonly blockedBy: number
}

/** One occurrence of a job; a recurring job has one for each due time. */
export interface OccurrenceView {
  readonly number: number
  readonly steps: readonly StepView[]
}

export type JobPhase = 'active' | 'completed' | 'failed' | 'cancelled'

export interface JobView {
  readonly spec: protocol.workflow.JobSpec
  /** Queue as it was configured when the job was accepted. */
  readonly queue: protocol.workflow.Queue
  /** Failure domain of the entry that the caller reached; empty if unknown. */
  readonly callerDomain: string
  readonly phase: JobPhase
  /** Wall-clock time at the leader. */
  readonly submittedMs: number
  /** Wall-clock time at the leader; 0 while the job is active. */
  readonly endedMs: number
  readonly occurrences: ReadonlyMap<number, OccurrenceView>
  /** Number of occurrences opened so far. */
  readonly openedCount: number
  /** Whether a run of any task was ever assigned. */
  readonly hasRun: boolean
}

/** Run that is assigned to a worker incarnation. */
export interface ActiveRun {
  readonly step: StepView
  readonly task: TaskView
}

/** Resources that the active runs of one worker incarnation claim. */
export interface WorkerLoad {
  readonly identity: protocol.workflow.WorkerIdentity
  readonly cpuMillis: number
  readonly memoryMb: number
  readonly accelerators: number
  /** Active runs by task key. */
  readonly runs: ReadonlyMap<string, ActiveRun>
  /** Number of active runs of each step. */
  readonly runsOfStep: ReadonlyMap<StepView, number>
}

/** Read access to the state as of the last applied command. */
export interface WorkflowView {
  readonly configuration: protocol.workflow.QueueConfiguration | undefined
  readonly evacuated: ReadonlySet<string>
  /** Number of changes of each failure domain that was ever evacuated. */
  readonly evacuationRevisions: ReadonlyMap<string, number>
  readonly jobs: ReadonlyMap<string, JobView>
  /** Steps of active jobs that have waiting tasks and only completed dependencies. */
  readonly readySteps: ReadonlySet<StepView>
  /** Worker incarnations with active runs, by `workerKey`. */
  readonly loads: ReadonlyMap<string, WorkerLoad>
}

/** Result of applying one command. */
export type Outcome =
  | { readonly kind: 'configured'; readonly inForce: boolean }
  | { readonly kind: 'submitted'; readonly repeated: boolean }
  | { readonly kind: 'cancelled'; readonly found: boolean }
  | { readonly kind: 'assigned'; readonly accepted: readonly protocol.workflow.Assignment[] }
  | { readonly kind: 'ended'; readonly ignored: number }
  /** `isInForce` is false for an order that a later one has overtaken. */
  | { readonly kind: 'evacuation'; readonly isInForce: boolean }
  | { readonly kind: 'applied' }
