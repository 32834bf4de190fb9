/** Admission control for new jobs. */
import type * as protocol from '@ebonyweir/protocol'
import type * as workflowState from '@ebonyweir/workflow-state'

/** Limit on open jobs; bounds the memory of a replica. */
export const MAX_OPEN_JOBS = 20_000

/** Minimum delay before a refused caller may retry. */
const RETRY_AFTER_MS = 1_000

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
}

export type AdmissionReason = 'too-many-open-jobs' | 'share-exceeded'

export type Admission =
  | { readonly kind: 'accepted' }
  | {
      readonly kind: 'refused'
      readonly reason: AdmissionReason
      readonly retryAfterMs: number
      readonly detail: string
    }

export interface AdmissionPolicy {
  /** Decides on one submission at `nowMs`, a monotonic time; has no effect on the replicated state. */
  readonly decide: (request: AdmissionRequest, state: AdmissionState, nowMs: number) => Admission
}

/** Accepts every job until the limit on open jobs is reached. */
export const createAcceptAll = (): AdmissionPolicy => ({
  decide: (_request, { view }) => {
    if (view.jobs.size < MAX_OPEN_JOBS) return { kind: 'accepted' }
    return {
      kind: 'refused',
      reason: 'too-many-open-jobs',
      retryAfterMs: RETRY_AFTER_MS,
      detail: 'too many open jobs',
    }
  },
})
