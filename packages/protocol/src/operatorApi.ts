/** JSON messages of the operator API on control replicas, and of `GET /v1/burn` on entries. */
import type * as workerApi from './workerApi.js'

/** Rule behind a decision, and the person who requested it. */
export interface RuleReference {
  /** "kind.name", for example "failureDomain.brest". */
  readonly key: string
  /** Line in the rules file, from 1. */
  readonly line: number
  readonly requestedBy: string
}

/** Outcome of a change that was not confirmed. */
export type ChangeOutcome = 'not-run' | 'unknown'

/** Body of every answer with a status of 400 or above, except 421. */
export interface ErrorAnswer {
  /** Short code, for example "conflict". */
  readonly error: string
  readonly detail: string
  /** For changes: with `not-run` it was certainly not accepted, with `unknown` it may have been. */
  readonly outcome?: ChangeOutcome
  readonly rule?: RuleReference
}

/** Body of a 421 answer: HTTP address of the leader, "host:port"; empty if unknown. */
export type RedirectAnswer = workerApi.RedirectJson

/** Answer of `GET /v1/rules`; the text of revision 0 is empty. */
export interface RulesAnswer {
  readonly revision: number
  readonly digest: string
  /** Operator whose change was accepted as this revision. */
  readonly operator: string
  readonly text: string
  /** Wall-clock time of acceptance at the leader. */
  readonly acceptedAtMs: number
}

/** Body of `POST /v1/rules`. */
export interface ApplyRulesRequest {
  readonly expectedRevision: number
  readonly operator: string
  readonly text: string
}

/** Answer 200 of `POST /v1/rules`; a resend of the same request gets the same answer. */
export interface ApplyRulesAnswer {
  readonly revision: number
  readonly digest: string
}

/** Answer 409 of `POST /v1/rules`: another change was accepted under the expected revision. */
export interface RulesConflictAnswer extends ErrorAnswer {
  readonly error: 'conflict'
  /** Revision in force now. */
  readonly revision: number
  /** Operator whose change was accepted as `expectedRevision + 1`; empty if none was. */
  readonly winner: string
}

/** One mistake in a rules text. */
export interface RuleMistake {
  readonly line: number
  readonly field: string
  readonly message: string
}

/** Answer 422 of `POST /v1/rules`; 410 with code "too-old" has the plain error form. */
export interface RulesRefusedAnswer extends ErrorAnswer {
  readonly error: 'refused'
  readonly mistakes: readonly RuleMistake[]
}

/** State of a failure domain in `GET /v1/status`. */
export interface FailureDomainStatus {
  readonly failureDomain: string
  readonly state: 'in' | 'out'
  readonly rule?: RuleReference
  readonly workers: number
  readonly runningTasks: number
  readonly endpoints: number
}

/** State of a service in `GET /v1/status`. */
export interface ServiceStatus {
  readonly service: string
  readonly wantedRunners: number
  readonly runningRunners: number
  readonly endpoints: number
  readonly leavingEndpoints: number
  readonly rule: RuleReference
}

/** Use of a team's quota in `GET /v1/status`. */
export interface TeamStatus {
  readonly team: string
  readonly used: workerApi.ResourcesJson
  readonly quota: workerApi.ResourcesJson
  readonly rule: RuleReference
}

/** State of a worker in `GET /v1/status`. */
export interface WorkerStatus {
  readonly worker: string
  readonly failureDomain: string
  readonly rack: string
  readonly incarnation: number
  readonly state: 'ready' | 'quarantined' | 'silent' | 'lost'
  readonly capacity: workerApi.ResourcesJson
  readonly committed: workerApi.ResourcesJson
  readonly runningTasks: number
}

/** Work that cannot be placed now, with the reason and the rule behind it. */
export interface WaitingWork {
  /** Job or service task. */
  readonly subject: string
  readonly reason: string
  readonly rule?: RuleReference
}

/** An entry or agent that synced within its lease. */
export interface ProcessStatus {
  readonly role: 'entry' | 'agent'
  readonly name: string
  readonly failureDomain: string
  readonly revision: number
  /** HTTP address of an entry, "host:port"; empty if it did not report one. */
  readonly httpAddress: string
}

/** Answer of `GET /v1/status`. */
export interface StatusAnswer {
  readonly cell: string
  /** Identity of the replica that answered. */
  readonly leader: string
  readonly term: number
  readonly revision: number
  readonly failureDomains: readonly FailureDomainStatus[]
  readonly services: readonly ServiceStatus[]
  readonly teams: readonly TeamStatus[]
  readonly workers: readonly WorkerStatus[]
  readonly processes: readonly ProcessStatus[]
  readonly jobs: Readonly<Record<JobState, number>>
  readonly waiting: readonly WaitingWork[]
}

/** Lifecycle state of a job. */
export type JobState = 'waiting' | 'running' | 'completed' | 'failed' | 'cancelled'

/** Body of `POST /v1/jobs`; idempotent by `job` and content. */
export interface SubmitJobRequest {
  readonly job: string
  readonly team: string
  /** Kind of work, for placement rules and the interference model. */
  readonly kind: string
  readonly tasks: number
  /** Declared size of one task. */
  readonly resources: workerApi.ResourcesJson
  readonly urgent: boolean
  /** Declared run time of a task; not verified. */
  readonly declaredRunMs: number
  /** Failed attempts of one task after which the job fails. */
  readonly maxFailures: number
  readonly command: string
  readonly submittedBy: string
}

/** State of one task of a job. */
export interface TaskStatus {
  readonly task: string
  readonly attempt: number
  readonly state: 'waiting' | 'assigned' | 'running' | 'completed' | 'failed' | 'cancelled'
  /** Worker of the current attempt; empty for none. */
  readonly worker: string
  readonly checkpoint: string
  readonly evictions: number
  readonly failures: number
}

/** One job in `GET /v1/jobs`, and the answer 200 of `POST /v1/jobs`. */
export interface JobSummary {
  readonly job: string
  readonly team: string
  readonly kind: string
  readonly state: JobState
  readonly tasks: number
  readonly completedTasks: number
  readonly runningTasks: number
  readonly submittedBy: string
  /** Why the job waits or failed; otherwise empty. */
  readonly reason: string
  readonly rule?: RuleReference
}

/** Answer of `GET /v1/jobs`. */
export interface JobsAnswer {
  readonly jobs: readonly JobSummary[]
}

/** Answer of `GET /v1/jobs/{job}`. */
export interface JobAnswer extends JobSummary {
  readonly taskStates: readonly TaskStatus[]
}

/** Body of `POST /v1/jobs/cancel`. */
export interface CancelJobsRequest {
  readonly jobs: readonly string[]
  readonly operator: string
}

/** Result of the cancellation for one job. */
export interface CancelResult {
  readonly job: string
  readonly result: 'cancelled' | 'already-ended' | 'unknown-job'
}

/** Answer 200 of `POST /v1/jobs/cancel`. */
export interface CancelJobsAnswer {
  readonly results: readonly CancelResult[]
}

/** One decision about the subject of `GET /v1/explain?subject=…`. */
export interface Explanation {
  /** Wall-clock time of the decision; 0 for a current condition without a point in time. */
  readonly atMs: number
  readonly text: string
  readonly rule?: RuleReference
}

/** Answer of `GET /v1/explain`; 404 for an unknown subject. */
export interface ExplainAnswer {
  readonly subject: string
  /** Type of the subject, for example "job" or "worker". */
  readonly subjectKind: string
  readonly state: string
  readonly explanations: readonly Explanation[]
}

/** One replica in `GET /v1/members`. */
export interface MemberStatus {
  /** Random identity created with the replica's data folder. */
  readonly id: string
  readonly address: string
  readonly httpAddress: string
  readonly failureDomain: string
  readonly voter: boolean
  readonly leader: boolean
  /** Highest index that the replica acknowledged as synced. */
  readonly syncedIndex: number
  /** Time since its last answer to the leader; -1 if there was none in this term. */
  readonly lastAnswerAgeMs: number
}

/** Answer of `GET /v1/members` and 200 of `POST /v1/members`. */
export interface MembersAnswer {
  readonly term: number
  readonly commitIndex: number
  readonly members: readonly MemberStatus[]
  /** True if a quorum with all committed entries survives the loss of any one other instance. */
  readonly repaired: boolean
  /** What is missing for `repaired`; empty if repaired. */
  readonly missing: string
  /** True while a membership change is in progress. */
  readonly changing: boolean
}

/** Replica named in a membership change. */
export interface MemberAddress {
  readonly id: string
  readonly address: string
  readonly httpAddress: string
  readonly failureDomain: string
}

/** Body of `POST /v1/members`; idempotent, a resend gets the same answer. */
export type ChangeMembersRequest =
  | { readonly add: MemberAddress; readonly operator: string }
  | { readonly remove: string; readonly operator: string }

/** Body of `POST /v1/members/bootstrap`; refused with 409 unless the log is empty or equal. */
export interface BootstrapRequest {
  readonly cell: string
  readonly members: readonly MemberAddress[]
}

/** Answer of `GET /v1/identity`, on any replica, whether it is a member or not. */
export interface IdentityAnswer extends MemberAddress {
  readonly cell: string
  /** True if the log has no entries, so that the replica can join a new group. */
  readonly empty: boolean
}

/** Requests of one service that one entry instance counted in one completed interval. */
export interface BurnBucket {
  readonly entry: string
  readonly service: string
  readonly startMs: number
  readonly lengthMs: number
  readonly good: number
  readonly late: number
  readonly failed: number
  readonly refused: number
  readonly endpoint: string
  readonly failureDomain: string
  readonly p99Ms: number
  /** Rule that caused most of the refusals, as "file line (requested by)"; empty for none. */
  readonly rule: string
}

/** Objective of one service, from its rule. */
export interface ServiceObjective {
  readonly service: string
  /** Target fraction of good requests, for example 0.995. */
  readonly objective: number
  readonly targetMs: number
  readonly rule: RuleReference
}

/** Answer of `GET /v1/burn` on entries and on the control leader. */
export interface BurnAnswer {
  readonly cell: string
  readonly role: 'entry' | 'control'
  readonly name: string
  /** Wall-clock time of the answering process. */
  readonly nowMs: number
  readonly objectives: readonly ServiceObjective[]
  readonly buckets: readonly BurnBucket[]
}
