/** Read-only views of the state, and the outcomes of commands. */
import type * as protocol from '@ebonyweir/protocol'

export type TaskPhase = 'waiting' | 'assigned' | 'completed'

/** One task of a step. */
export interface TaskView {
  readonly index: number
  readonly phase: TaskPhase
  /** Number of the latest run; 0 before the first. */
  readonly run: number
  /** Runs that ended as failed. */
  readonly failures: number
  /** Latest run whose failure was counted; 0 for none. */
  readonly failedRun: number
  /** Checkpoint from which the next run resumes; empty for none. */
  readonly checkpoint: string
  /** Incarnation that holds the current run. */
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
  /** Steps named in `after` that are not completed. */
  readonly blockedBy: number
}

/** One due time of a job. */
export interface OccurrenceView {
  readonly number: number
  readonly steps: readonly StepView[]
}

export type JobPhase = 'active' | 'completed' | 'failed' | 'cancelled'

export interface JobView {
  readonly spec: protocol.workflow.JobSpec
  /** Queue as it was configured when the job was accepted. */
  readonly queue: protocol.workflow.Queue
  readonly phase: JobPhase
  /** Time of day at the leader. */
  readonly submittedMs: number
  /** Time of day at the leader; 0 while the job is active. */
  readonly endedMs: number
  readonly occurrences: ReadonlyMap<number, OccurrenceView>
  /** Occurrences whose time has come. */
  readonly openedCount: number
  /** Whether a run of any task was ever assigned. */
  readonly hasRun: boolean
}

/** Run that a worker incarnation holds. */
export interface ActiveRun {
  readonly step: StepView
  readonly task: TaskView
}

/** What the active runs of one worker incarnation hold. */
export interface WorkerLoad {
  readonly identity: protocol.workflow.WorkerIdentity
  readonly cpuMillis: number
  readonly memoryMb: number
  readonly accelerators: number
  /** Active runs by task key. */
  readonly runs: ReadonlyMap<string, ActiveRun>
  /** Active runs of each step, by `stepKey`. */
  readonly runsOfStep: ReadonlyMap<StepView, number>
}

/** Read access to the state as of the last applied command. */
export interface WorkflowView {
  readonly configuration: protocol.workflow.QueueConfiguration | undefined
  readonly evacuated: ReadonlySet<string>
  readonly jobs: ReadonlyMap<string, JobView>
  /** Steps of active jobs that have waiting tasks and wait for no other step. */
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
  | { readonly kind: 'applied' }
