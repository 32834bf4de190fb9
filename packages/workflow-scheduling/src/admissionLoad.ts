/** Load of one service as admission sees it. */
import type * as bestEffortRanking from './bestEffortRanking.js'
import type * as capacityTrend from './capacityTrend.js'
import type * as durations from './durations.js'
import type * as order from './order.js'

/** Claims of tasks multiplied by their durations. */
export interface ReservedWork {
  /** Thousandths of a processor times milliseconds. */
  readonly cpuMillisMs: number
  /** Megabytes times milliseconds. */
  readonly memoryMbMs: number
}

/** Work of an open job that uses reserved resources. */
export interface OpenReservedWork extends ReservedWork {
  /** Time from the snapshot until the work can start at the earliest; 0 if it runs or is ready. */
  readonly releaseMs: number
  /** Urgency of the work; undefined if it runs already and so precedes all new jobs. */
  readonly urgency: order.Urgency | undefined
  /** Time from the snapshot after which the work is placed last, because the value of its job has expired. */
  readonly dropMs: number
  /** Label that a worker needs to run the work; empty for none. */
  readonly requiredLabel: string
}

/** Bounds of the resources that are available to tasks other than long-running ones. */
export interface ReservedCapacity {
  readonly cpuMillis: capacityTrend.Bounds
  readonly memoryMb: capacityTrend.Bounds
}

export interface ReservedLoad {
  /** By release time and, among equal ones, in the order of placement. */
  readonly open: readonly OpenReservedWork[]
  readonly capacity: ReservedCapacity
  /** Capacity of the workers with each label that a new job may require. */
  readonly capacityOfLabel: ReadonlyMap<string, ReservedCapacity>
}

export interface BestEffortLoad {
  readonly jobs: readonly bestEffortRanking.BestEffortJob[]
  readonly selected: ReadonlySet<string>
  /** Number of tasks that can run at full speed. */
  readonly supply: capacityTrend.Bounds
}

/** Figures of one queue for the policies that do not estimate completion times. */
export interface QueueLoad {
  readonly openJobs: number
  /** Wait of the oldest job without a run, and its objective; 0 if no job waits. */
  readonly oldestWaitMs: number
  readonly oldestObjectiveMs: number
  /** Mean ratio of completion time to critical path of the jobs that ended recently; undefined if none did. */
  readonly meanStretch: number | undefined
}

export interface ServiceLoad {
  /** Monotonic time of the snapshot. */
  readonly atMs: number
  /** Wall-clock time of the snapshot, on the clock of the jobs' submissions. */
  readonly timeOfDayMs: number
  readonly expected: durations.Durations
  readonly reserved: ReservedLoad
  /** Undefined if no best-effort job competes, so that the supply is not known. */
  readonly bestEffort: BestEffortLoad | undefined
  readonly queues: ReadonlyMap<string, QueueLoad>
}
