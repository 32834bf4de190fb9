import type * as controlClient from '@ebonyweir/control-client'
import type * as protocol from '@ebonyweir/protocol'
import type * as routing from '@ebonyweir/routing'

/** A caller's request that was received whole. */
export interface ServiceRequest extends routing.fairQueue.Waiting {
  readonly service: string
  readonly policy: controlClient.servicePolicy.ServicePolicy
  readonly idempotent: boolean
  /** Idempotency key of a request that needs a claim; empty for none. */
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

/** Agent that holds the answer of a request. */
export interface AnsweredBy {
  readonly agent: string
  readonly address: string
  readonly incarnation: number
}

/** Reasons for which the system itself answers. */
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

/** How a request ended. */
export type RequestResult =
  | {
      readonly kind: 'answer'
      readonly answer: protocol.agent.Answer
      readonly by: AnsweredBy | undefined
    }
  | {
      readonly kind: 'failure'
      readonly reason: FailureReason
      readonly outcome: 'not-run' | 'unknown' | 'answered'
      readonly detail: string
      /** Key of the rule that caused the failure. */
      readonly rule?: string
      /** Status of the answer of an earlier request with the same key. */
      readonly recordedStatus?: number
    }

export type RequestFailure = Extract<RequestResult, { readonly kind: 'failure' }>

/** A failure of a request that did not run. */
export const notRun = (reason: FailureReason, detail: string, rule?: string): RequestFailure => ({
  kind: 'failure',
  reason,
  outcome: 'not-run',
  detail,
  rule,
})

/** A failure of a request that may have run. */
export const unknown = (reason: FailureReason, detail: string, rule?: string): RequestFailure => ({
  kind: 'failure',
  reason,
  outcome: 'unknown',
  detail,
  rule,
})
