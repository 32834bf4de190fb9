/** Interface of the agent's worker; an adapter implements it for the platform's protocol. */
import type * as protocol from '@ebonyweir/protocol'
import type * as workflowState from '@ebonyweir/workflow-state'

type TaskRun = protocol.workflow.TaskRun
type WorkerIdentity = protocol.workflow.WorkerIdentity

/** Order to start a run. */
export interface RunnerStart {
  readonly run: TaskRun
  readonly command: string
  readonly checkpoint: string
  /** End of the lease on the worker's clock, in milliseconds. */
  readonly leaseUntilMs: number
  readonly fence: number
}

/** Why a worker did not start a run. */
export type StartRefusal =
  /** The worker has seen a higher fence. */
  | 'fence'
  /** This or a later run of the task was stopped or has ended on the worker. */
  | 'old'
  /** The lease in the order has expired. */
  | 'late'
  | 'no-room'
  /** The worker is leaving or unhealthy; the order had no effect. */
  | 'unavailable'
  | 'invalid'
  | 'other-incarnation'

/**
 * Result of a start order. An unanswered one may have been carried out, or may still be; one that was not sent never will.
 */
export type StartAnswer =
  | { readonly kind: 'started' }
  | { readonly kind: 'refused'; readonly reason: StartRefusal }
  | { readonly kind: 'unanswered' | 'not-sent' }

export type OrderAnswer = 'done' | 'fence' | 'other-incarnation' | 'unanswered' | 'not-sent'

/** Answer of a worker to a list call. */
export interface WorkerList extends workflowState.RunLists {
  readonly bornMs: number
  readonly clockMs: number
}

export type ListAnswer =
  | { readonly kind: 'list'; readonly list: WorkerList }
  | { readonly kind: 'fence' | 'other-incarnation' | 'unanswered' | 'not-sent' }

export interface ListRequest {
  readonly fence: number
  /** Ends up to this number are committed. */
  readonly acknowledgedEnd: number
  /** End of the lease on the worker's clock, in milliseconds; undefined leaves the lease unchanged. */
  readonly leaseUntilMs: number | undefined
  /** Time for which the worker may wait for an end before it answers (long poll), in milliseconds. */
  readonly waitMs: number
  /** Whether the call only asks which incarnation runs; it does not delay the list of the followed one. @default false */
  readonly isProbe?: boolean
}

/** Calls to the worker; each ends by the adapter's own time limit, which includes the wait for a connection. */
export interface Runner {
  readonly start: (worker: WorkerIdentity, order: RunnerStart) => Promise<StartAnswer>
  readonly stop: (worker: WorkerIdentity, run: TaskRun, fence: number) => Promise<OrderAnswer>
  readonly list: (worker: WorkerIdentity, request: ListRequest) => Promise<ListAnswer>
  readonly pace: (
    worker: WorkerIdentity,
    run: TaskRun,
    percent: number,
    fence: number,
  ) => Promise<OrderAnswer>
}
