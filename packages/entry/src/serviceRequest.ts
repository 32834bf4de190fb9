import type * as controlClient from '@ebonyweir/control-client'
import type * as protocol from '@ebonyweir/protocol'
import type * as routing from '@ebonyweir/routing'

/** A request from a caller, received completely. */
export interface ServiceRequest extends routing.fairQueue.QueuedRequest {
  readonly service: string
  readonly policy: controlClient.servicePolicy.ServicePolicy
  readonly idempotent: boolean
  /** Idempotency key of a request that needs a claim, or an empty string. */
  readonly key: string
  readonly method: string
  /** Path and query below /services/{service}. */
  readonly path: string
  readonly headers: readonly protocol.agent.Header[]
  readonly body: Buffer
  readonly arrivedAtMs: number
  /** Aborted when the caller closes its connection. */
  readonly cancelled: AbortSignal
}

/** Agent that produced the answer of a request and keeps it for resends. */
export interface AnsweredBy {
  readonly agent: string
  readonly address: string
  readonly incarnation: number
}

/** Reasons for an error response from the entry itself. */
export type FailureReason =
  | 'agent-refused'
  | 'cancelled'
  | 'claim-failed'
  | 'claim-in-progress'
  | 'claim-mismatch'
  | 'claim-settled'
  | 'config-expired'
  | 'deadline'
  | 'endpoint-failed'
  | 'no-endpoint'
  | 'overloaded'
  | 'queue-full'
  | 'too-late'

/** Final result of a request. */
export type RequestResult =
  | {
      readonly kind: 'answer'
      readonly answer: protocol.agent.Answer
      readonly answeredBy: AnsweredBy | undefined
    }
  | {
      readonly kind: 'failure'
      readonly reason: FailureReason
      readonly outcome: 'not-run' | 'unknown' | 'answered'
      readonly detail: string
      /** Key of the configuration rule that caused the failure. */
      readonly rule?: string
      /** Status recorded for an earlier request with the same idempotency key. */
      readonly recordedStatus?: number
    }

export type RequestFailure = Extract<RequestResult, { readonly kind: 'failure' }>

/** Creates a failure of a request that did not run. */
export const notRun = (reason: FailureReason, detail: string, rule?: string): RequestFailure => ({
  kind: 'failure',
  reason,
  outcome: 'not-run',
  detail,
  rule,
})

/** Creates a failure of a request that may have run. */
export const unknown = (reason: FailureReason, detail: string, rule?: string): RequestFailure => ({
  kind: 'failure',
  reason,
  outcome: 'unknown',
  detail,
  rule,
})
