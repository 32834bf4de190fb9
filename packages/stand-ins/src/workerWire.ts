/** JSON messages of the worker protocol, `POST /v1/workers/{worker}/sync`. */
import type * as record from './record.js'

/** Names one attempt of one task. */
export interface TaskAttempt {
  readonly task: string
  readonly attempt: number
}

/** An ended attempt; repeated until the leader acknowledges it. */
export interface EndedTask extends TaskAttempt {
  readonly outcome: 'completed' | 'failed' | 'evicted' | 'cancelled'
  readonly checkpoint: string
  readonly reason: string
}

/** A task that runs on the worker. */
export interface RunningTask extends TaskAttempt {
  readonly usage: record.Resources & { readonly atMs: number }
  readonly progressUnits: number
  readonly throttled: boolean
}

/** Body of a sync. */
export interface WorkerSyncRequest {
  readonly cell: string
  readonly worker: string
  readonly incarnation: number
  readonly sequence: number
  readonly failureDomain: string
  readonly rack: string
  readonly capacity: record.Resources
  readonly running: readonly RunningTask[]
  readonly ended: readonly EndedTask[]
  readonly services: readonly {
    readonly service: string
    readonly p99Ms: number
    readonly atMs: number
  }[]
}

/** A task to start. */
export interface StartDirective extends TaskAttempt, record.Resources {
  readonly kind: string
  readonly service: string
  readonly checkpoint: string
  readonly command: string
}

/** Answer to a sync. */
export interface WorkerSyncReply {
  readonly sequence: number
  readonly epoch: number
  readonly leaseMs: number
  readonly startValidMs: number
  readonly nextSyncMs: number
  readonly start: readonly StartDirective[]
  readonly stop: readonly TaskAttempt[]
  readonly checkpoint: readonly TaskAttempt[]
  readonly throttle: readonly (TaskAttempt & { readonly cpuPercent: number })[]
  readonly ackEnded: readonly TaskAttempt[]
}
