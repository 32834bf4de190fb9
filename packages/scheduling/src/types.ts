/** Inputs and decisions of the scheduler. */
import type * as controlState from '@ebonyweir/control-state'
import type * as protocol from '@ebonyweir/protocol'

/** One running task as its worker reported it. */
export interface RunningReport {
  readonly task: string
  readonly attempt: number
  /** Measured use, which may be stale. */
  readonly usage: controlState.Resources
  /** When the usage was measured, by the leader's clock as far as it is known. */
  readonly usageAtMs: number
  /** Processor share the worker allows the task, in percent; 100 without a throttle. */
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

/** Soft state of the leader. */
export interface Signals {
  /** Syncs received since the previous decision, oldest first. */
  readonly reports: readonly WorkerReport[]
  /**
   * True while an earlier batch of assignments is proposed and not yet applied. No assignments
   * are made then, since the view does not show the earlier ones.
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

/** Checkpoint, then end as evicted. */
export interface Eviction extends TaskRef {
  readonly reason: StopReason
  /** Rule that caused the eviction, if one did. */
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

/** Work that cannot be placed, and why. */
export interface Unplaced {
  /** Job, or service/<name>. */
  readonly subject: string
  readonly reason: UnplacedReason
  /** True: it can never run under the rules in force and the registered workers. */
  readonly never: boolean
  readonly rule: controlState.RuleSource | undefined
  readonly sinceMs: number
}

export interface Decision {
  /** To be proposed as one `assignTasks` command. */
  readonly assignments: readonly protocol.command.Assignment[]
  /**
   * Complete sets of what is asked of workers now, repeated in each decision until the task has
   * ended. The shell sends them with the next sync of the worker.
   */
  readonly stops: readonly Stop[]
  readonly evictions: readonly Eviction[]
  readonly throttles: readonly Throttle[]
  /** Tasks whose start directive has to be withheld, since their failure domain is out. */
  readonly withheld: readonly TaskRef[]
  readonly unplaced: readonly Unplaced[]
}

/** Uniform random numbers from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number
