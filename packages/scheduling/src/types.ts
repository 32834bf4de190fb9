/** Inputs and decisions of the scheduler. */
import type * as controlState from '@ebonyweir/control-state'
import type * as protocol from '@ebonyweir/protocol'

/** One running task as reported by its worker. */
export interface RunningReport {
  readonly task: string
  readonly attempt: number
  /** Measured usage; may be stale. */
  readonly usage: controlState.Resources
  /** Time of the measurement on the leader's clock, as far as it is known. */
  readonly usageAtMs: number
  /** CPU share granted to the task by the worker, in percent; 100 if not throttled. */
  readonly cpuPercent: number
  readonly progressUnits: number
}

export interface ServiceSample {
  readonly service: string
  readonly p99Ms: number
  readonly atMs: number
}

/** One sync of a worker. */
export interface WorkerReport {
  readonly worker: string
  readonly incarnation: number
  readonly receivedAtMs: number
  readonly running: readonly RunningReport[]
  readonly services: readonly ServiceSample[]
}

/** Soft state of the leader that enters a decision. */
export interface Signals {
  /** Syncs received since the previous decision, oldest first. */
  readonly reports: readonly WorkerReport[]
  /**
   * True while an earlier batch of assignments is proposed but not yet applied. No assignments are
   * made in this case, since the view does not include the earlier ones.
   */
  readonly assigning: boolean
}

export interface TaskRef {
  readonly task: string
  readonly attempt: number
  readonly worker: string
}

export type StopReason = 'job ended' | 'surplus runner' | 'moved' | 'guard' | 'overcommitted'

export interface Stop extends TaskRef {
  readonly reason: StopReason
}

/** Asks the worker to checkpoint the task and end it as evicted. */
export interface Eviction extends TaskRef {
  readonly reason: StopReason
  /** Rule that caused the eviction, if any. */
  readonly rule: controlState.RuleSource | undefined
}

export interface Throttle extends TaskRef {
  /** 100 lifts the throttle. */
  readonly cpuPercent: number
}

export type UnplacedReason =
  | 'larger than every worker'
  | 'placement rule leaves no worker'
  | 'team quota is too small for one task'
  | 'team has no rule'
  | 'waits for capacity'
  | 'waits for team quota'

/** A job or service whose tasks cannot be placed, and the reason. */
export interface Unplaced {
  /** Job, or "service/<name>". */
  readonly subject: string
  readonly reason: UnplacedReason
  /** True if it can never run with the current rules and registered workers. */
  readonly never: boolean
  readonly rule: controlState.RuleSource | undefined
  readonly sinceMs: number
}

export interface Decision {
  /** Proposed by the caller as one `assignTasks` command. */
  readonly assignments: readonly protocol.command.Assignment[]
  /**
   * Complete sets of current directives, repeated in each decision until the task has ended. The
   * caller sends them with the next sync of the worker.
   */
  readonly stops: readonly Stop[]
  readonly evictions: readonly Eviction[]
  readonly throttles: readonly Throttle[]
  /** Tasks that must not be started, since their failure domain is out of service. */
  readonly withheld: readonly TaskRef[]
  readonly unplaced: readonly Unplaced[]
}

/** Uniform random numbers from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number
