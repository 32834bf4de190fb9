/** Admission control for new jobs: the interface of the policies, and the one that accepts all jobs. */
import type * as protocol from '@ebonyweir/protocol'
import type * as workflowState from '@ebonyweir/workflow-state'
import type * as admissionLoad from './admissionLoad.js'

/** Limit on open jobs; bounds the memory of a replica. */
export const MAX_OPEN_JOBS = 20_000

/** Shortest delay before a refused caller may retry; `Retry-After` counts whole seconds. */
export const MIN_RETRY_AFTER_MS = 1_000

/** Submission of a job that is not open yet. */
export interface AdmissionRequest {
  readonly spec: protocol.workflow.JobSpec
  readonly queue: protocol.workflow.Queue
  /** Failure domain of the entry that the caller reached; empty if unknown. */
  readonly callerDomain: string
}

/** State of the leader on which a decision depends. */
export interface AdmissionState {
  readonly view: workflowState.WorkflowView
  /** Load of the request's service; undefined while it is not known well enough for a refusal. */
  readonly load?: admissionLoad.ServiceLoad
}

export type AdmissionReason =
  | 'too-many-open-jobs'
  | 'no-capacity-in-time'
  | 'queue-delay'
  | 'concurrency-limit'
  | 'share-exceeded'

/** Inputs of a refusal, for the log line. */
export interface AdmissionInputs {
  /** Lower bound of the completion time, from the submission. */
  readonly expectedEndMs: number
  readonly objectiveMs: number
  /** Time that the capacity needs for the work ahead of the job. */
  readonly aheadMs: number
  /** Capacity on which the estimate is based: tasks at full speed, or processors that tasks may reserve. */
  readonly capacity: number
  /** Age of the load. */
  readonly ageMs: number
}

export type Admission =
  | {
      readonly kind: 'accepted'
      /** Expected time from the submission to the completion, if the policy estimates it. */
      readonly expectedEndMs?: number
    }
  | {
      readonly kind: 'refused'
      readonly reason: AdmissionReason
      readonly retryAfterMs: number
      readonly detail: string
      readonly inputs?: AdmissionInputs
    }

export const ACCEPTED: Admission = { kind: 'accepted' }

export interface AdmissionPolicy {
  /** Decides on one submission at `nowMs`, a monotonic time; has no effect on the replicated state. */
  readonly decide: (request: AdmissionRequest, state: AdmissionState, nowMs: number) => Admission
}

/** Accepts every job until the limit on open jobs is reached. */
export const createAcceptAll = (): AdmissionPolicy => ({
  decide: (_request, { view }) => {
    if (view.jobs.size < MAX_OPEN_JOBS) return ACCEPTED
    return {
      kind: 'refused',
      reason: 'too-many-open-jobs',
      retryAfterMs: MIN_RETRY_AFTER_MS,
      detail: 'too many open jobs',
    }
  },
})
