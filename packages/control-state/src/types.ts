/** Read-only shapes of the durable control state, as queries and the scheduler see them. */
import type * as protocol from '@ebonyweir/protocol'
import type * as result from 'ts-results-es'

export type Resources = protocol.common.Resources

/** Origin of a rule: its line in the rules file and the person named in the line's comment. */
export interface RuleSource {
  /** "kind.name", for example "service.swap-desk". */
  readonly key: string
  readonly line: number
  readonly requestedBy: string
}

export interface ServiceRule extends RuleSource {
  readonly runners: number
  readonly resources: Resources
  readonly targetMs: number
}

export interface TeamRule extends RuleSource {
  /** Largest sum of assigned batch tasks; a field of 0 in a rule means none of that resource. */
  readonly quota: Resources
  readonly weight: number
}

export interface PlacementRule extends RuleSource {
  /** Glob over job kinds and service names; `*` matches any run of characters. */
  readonly match: string
  /** Empty: any failure domain. */
  readonly failureDomains: readonly string[]
  readonly spread: 'none' | 'rack' | 'failureDomain'
}

export interface FailureDomainRule extends RuleSource {
  readonly state: 'in' | 'out'
}

export interface GuardRule extends RuleSource {
  readonly maxSlowdown: number
  readonly throttleFloorPercent: number
}

/** Weights of the measures, each from 0 to 1. */
export interface Weighting {
  readonly throughput: number
  readonly evictions: number
  readonly tail: number
}

/** The rules the control state and the scheduler act on; other kinds appear in `records` only. */
export interface RuleSet {
  readonly records: readonly Omit<protocol.common.RuleRecord, 'changedAtRevision'>[]
  readonly services: ReadonlyMap<string, ServiceRule>
  readonly teams: ReadonlyMap<string, TeamRule>
  readonly placements: readonly PlacementRule[]
  readonly failureDomains: ReadonlyMap<string, FailureDomainRule>
  readonly guards: ReadonlyMap<string, GuardRule>
  readonly weighting: Weighting
}

/** A refusal of a rules text; `line` is 0 when the fault belongs to no single line. */
export interface RulesError {
  readonly line: number
  readonly message: string
}

/** Turns a rules text into rules. Has to give the same answer on every replica. */
export type ParseRules = (text: string) => result.Result<RuleSet, readonly RulesError[]>

export type JobState = 'active' | 'completed' | 'failed' | 'cancelled'

export interface JobView {
  readonly job: string
  readonly team: string
  readonly kind: string
  readonly tasks: number
  readonly resources: Resources
  readonly urgent: boolean
  readonly declaredRunMs: number
  readonly maxFailures: number
  readonly command: string
  readonly submittedBy: string
  /** Wall clock of the leader that proposed the submission. */
  readonly submittedAtMs: number
  readonly state: JobState
  /** Position in the order of submission. */
  readonly sequence: number
  readonly assignedTasks: number
  readonly completedTasks: number
  readonly failedTasks: number
  readonly evictions: number
  /** Tasks from this number on have never been assigned. */
  readonly nextFresh: number
  /** Numbers below `nextFresh` that wait for their next attempt. */
  readonly waiting: ReadonlySet<number>
  readonly endedAtMs: number
  /** Assigned tasks by place; see `placeKeys`. */
  readonly placedIn: ReadonlyMap<string, number>
}

export interface TaskView {
  /** "<job>/<n>" or "service/<name>/<n>". */
  readonly task: string
  readonly kind: 'batch' | 'service'
  /** Job or service. */
  readonly owner: string
  readonly number: number
  /** The attempt that runs now or, while the task waits, the attempt that comes next. */
  readonly attempt: number
  /** Worker of the current attempt; empty while the task waits. */
  readonly worker: string
  readonly workerIncarnation: number
  /** What the ledger holds for the current attempt. */
  readonly resources: Resources
  /** Checkpoint that the next start receives; empty for none. */
  readonly checkpoint: string
  readonly failures: number
  /** Worker on which the last attempt failed; empty for none. */
  readonly failedOn: string
  readonly assignedAtMs: number
}

export interface WorkerView {
  readonly worker: string
  readonly incarnation: number
  readonly rack: string
  readonly failureDomain: string
  readonly capacity: Resources
  readonly free: Resources
  /** Tasks assigned to the worker, by task id. */
  readonly tasks: ReadonlyMap<string, TaskView>
  /** Different jobs that failed here since the last completed task, at most `MAX_FAILED_JOBS`. */
  readonly failedJobs: readonly string[]
  /** Failures since the last completed task. */
  readonly failureStreak: number
  readonly lastFailureMs: number
}

export interface ServiceView {
  readonly service: string
  /** Undefined after the rule was removed, until the last runner ended. */
  readonly rule: ServiceRule | undefined
  readonly tasks: ReadonlyMap<number, TaskView>
  /** Assigned runners on workers whose failure domain is in. */
  readonly serving: number
  /** Assigned runners by place; see `placeKeys`. */
  readonly placedIn: ReadonlyMap<string, number>
}

/** Workers of equal capacity in one failure domain. */
export interface CapacityClass {
  readonly failureDomain: string
  readonly capacity: Resources
  readonly workers: number
}

export interface ConfigChanges {
  readonly revision: number
  /** True: `rules` is the complete set. */
  readonly full: boolean
  readonly rules: readonly protocol.common.RuleRecord[]
  readonly removed: readonly string[]
}

export interface ClaimView {
  readonly requestId: string
  readonly digest: string
  readonly entry: string
  /** Undefined while the claim is open. */
  readonly outcome: protocol.command.ClaimOutcome | undefined
  readonly answerStatus: number
  /** Agent that retains the finished answer; empty if none was named. */
  readonly agent: string
  readonly agentAddress: string
  readonly agentIncarnation: number
}
