/** JSON messages between a worker and the leader of its cell: `POST /v1/workers/{worker}/sync`. */

/** CPU in thousandths of a core, memory in MiB, accelerators in whole devices. */
export interface ResourcesJson {
  readonly cpuMillis: number
  readonly memoryMb: number
  readonly accelerators: number
}

/** Names one attempt of one task. */
export interface AttemptJson {
  readonly task: string
  readonly attempt: number
}

/** Measured usage of a task; `atMs` is the worker's wall-clock time of the measurement. */
export interface UsageJson extends ResourcesJson {
  readonly atMs: number
}

/** A task that the worker runs at the time of the sync. */
export interface RunningTaskJson extends AttemptJson {
  readonly usage: UsageJson
  /** Progress so far, in units that the task defines. */
  readonly progressUnits: number
  readonly throttled: boolean
}

/** How an attempt ended on the worker; only the leader decides that one is `lost`. */
export type EndedOutcome = 'completed' | 'failed' | 'evicted' | 'cancelled'

/** An attempt that ended; repeated in every sync until it appears in `ackEnded`. */
export interface EndedTaskJson extends AttemptJson {
  readonly outcome: EndedOutcome
  /** Checkpoint reference of the platform; empty if there is none. */
  readonly checkpoint: string
  readonly reason: string
}

/** Latency of a service as measured on this worker. */
export interface ServiceLatencyJson {
  readonly service: string
  readonly p99Ms: number
  readonly atMs: number
}

/** Body of a worker's sync. */
export interface WorkerSyncRequest {
  readonly cell: string
  readonly worker: string
  /** Increases with each start of the worker. */
  readonly incarnation: number
  /** Increases with each sync of an incarnation. */
  readonly sequence: number
  readonly failureDomain: string
  readonly rack: string
  readonly capacity: ResourcesJson
  readonly running: readonly RunningTaskJson[]
  readonly ended: readonly EndedTaskJson[]
  readonly services: readonly ServiceLatencyJson[]
}

/** Instruction to start an attempt; idempotent by task and attempt. */
export interface StartTaskJson extends AttemptJson, ResourcesJson {
  /** Kind of work, as declared by the job; `service` for a runner of a service. */
  readonly kind: string
  /** Service of a service task; empty for a batch task. */
  readonly service: string
  /** Checkpoint to resume from; empty for a start from the beginning. */
  readonly checkpoint: string
  readonly command: string
}

/** Instruction to limit the CPU of an attempt to a percentage of its declared size; 100 removes the limit. */
export interface ThrottleTaskJson extends AttemptJson {
  readonly cpuPercent: number
}

/** Answer to a worker's sync. */
export interface WorkerSyncReply {
  /** Sequence of the answered sync. */
  readonly sequence: number
  /** Term of the leader; the worker refuses a lower one than it has seen. */
  readonly epoch: number
  /** Time for which tasks may run, counted from the send of the sync. */
  readonly leaseMs: number
  /** Largest age of this answer, counted from the send of the sync, at which it is still applied. */
  readonly startValidMs: number
  readonly nextSyncMs: number
  readonly start: readonly StartTaskJson[]
  readonly stop: readonly AttemptJson[]
  readonly checkpoint: readonly AttemptJson[]
  readonly throttle: readonly ThrottleTaskJson[]
  readonly ackEnded: readonly AttemptJson[]
}

/** Body of a 421 answer from a replica that is not the leader; the address is empty if it knows no leader. */
export interface RedirectJson {
  readonly leader: string
}
