/** Read-only types of the durable control state, for queries and the scheduler. */
import type * as protocol from '@ebonyweir/protocol'
import type * as result from 'ts-results-es'

export type Resources = protocol.common.Resources

/** Origin of a rule: its line in the rules file and the requester named in that line's comment. */
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
  /** Upper limit for the resources of all assigned batch tasks. 0 allows none of that resource. */
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

/** Weights of the scheduling objectives, each from 0 to 1. */
export interface Weighting {
  readonly throughput: number
  readonly evictions: number
  readonly tail: number
}

/** Rules that control state and scheduler use. Rules of other kinds appear in `records` only. */
export interface RuleSet {
  readonly records: readonly Omit<protocol.common.RuleRecord, 'changedAtRevision'>[]
  readonly services: ReadonlyMap<string, ServiceRule>
  readonly teams: ReadonlyMap<string, TeamRule>
  readonly placements: readonly PlacementRule[]
  readonly failureDomains: ReadonlyMap<string, FailureDomainRule>
  readonly guards: ReadonlyMap<string, GuardRule>
  readonly weighting: Weighting
}

/** Error in a rules text. `line` is 0 if the error does not belong to a single line. */
export interface RulesError {
  readonly line: number
  readonly message: string
}

/** Parses a rules text. Must be deterministic, so that all replicas agree. */
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
  /** Position in submission order. */
  readonly sequence: number
  readonly assignedTasks: number
  readonly completedTasks: number
  readonly failedTasks: number
  readonly evictions: number
  /** Tasks with this number or a higher one have never been assigned. */
  readonly nextFresh: number
  /** Tasks below `nextFresh` that wait for an assignment. */
  readonly waiting: ReadonlySet<number>
  readonly endedAtMs: number
  /** Number of assigned tasks by worker, rack and failure domain; see `topologyKeys`. */
  readonly placedIn: ReadonlyMap<string, number>
}

export interface TaskView {
  /** "<job>/<n>" or "service/<name>/<n>". */
  readonly task: string
  readonly kind: 'batch' | 'service'
  /** Job or service. */
  readonly owner: string
  readonly number: number
  /** Current attempt or, while the task waits, the next one. */
  readonly attempt: number
  /** Worker of the current attempt; empty while the task waits. */
  readonly worker: string
  readonly workerIncarnation: number
  /** Resources committed for the current attempt. */
  readonly resources: Resources
  /** Checkpoint from which the next attempt resumes; empty for none. */
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
  /** Distinct jobs with a failed task since the last completed task, at most `MAX_FAILED_JOBS`. */
  readonly failedJobs: readonly string[]
  /** Failures since the last completed task. */
  readonly failureStreak: number
  readonly lastFailureMs: number
}

export interface ServiceView {
  readonly service: string
  /** Undefined after the rule was removed. */
  readonly rule: ServiceRule | undefined
  readonly tasks: ReadonlyMap<number, TaskView>
  /** Number of assigned runners in failure domains that are in, without those that have to stop. */
  readonly activeRunners: number
  /** Number of assigned runners by worker, rack and failure domain; see `topologyKeys`. */
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
  /** Agent that retains the answer; empty if unknown. */
  readonly agent: string
  readonly agentAddress: string
  readonly agentIncarnation: number
}
