/** Tasks that share one worker, from the worker's newest list of running tasks. */

/** A task with a target for its tail latency. */
export interface LatencyCriticalTask {
  readonly key: string
  readonly image: string
  /** Tail latency over the last half second; 0 if unknown. */
  readonly tailMs: number
  readonly targetMs: number
}

/** A best-effort task: it uses CPU that latency-critical tasks leave unused. */
export interface BestEffortTask {
  readonly key: string
  readonly image: string
  /** Share of full speed that the task may use, as confirmed by the worker, in percent. */
  readonly pacePercent: number
  /** Rank of its job among the competing jobs; tasks of a higher rank are slowed down first. @default 0 */
  readonly rank?: number
  /** CPU that it uses at full pace. @default 0 */
  readonly cpuMillis?: number
  /** CPU that it used in the last half second. @default 0 */
  readonly usedCpuMillis?: number
}

/** Tasks running on one worker, from one list. */
export interface ColocatedTasks {
  readonly serving: readonly LatencyCriticalTask[]
  readonly filling: readonly BestEffortTask[]
  /** CPU that the other tasks leave to best-effort tasks; unbounded if unknown. */
  readonly leftCpuMillis?: number
}
