/** Tasks that run beside each other on one worker, as its newest list shows them. */

/** A task that serves users. */
export interface ServingTask {
  readonly key: string
  readonly image: string
  /** Tail latency of the last half second; 0 if unknown. */
  readonly tailMs: number
  readonly targetMs: number
}

/** A filling task. */
export interface FillingTask {
  readonly key: string
  readonly image: string
  /** Pace that the worker confirmed, in percent. */
  readonly pacePercent: number
  /** Place of its job among the jobs that compete: fillers of a higher rank are slowed first. @default 0 */
  readonly rank?: number
  /** Processors that it uses at full pace. @default 0 */
  readonly cpuMillis?: number
  /** Processors that it used in the last half second. @default 0 */
  readonly usedCpuMillis?: number
}

/** What runs on one worker, from one list. */
export interface Neighbours {
  readonly serving: readonly ServingTask[]
  readonly filling: readonly FillingTask[]
  /** Processors that the other tasks leave to the fillers; unbounded if it is not known. */
  readonly leftCpuMillis?: number
}
