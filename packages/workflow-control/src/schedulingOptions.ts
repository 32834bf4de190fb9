/** Optional parts of the scheduling of jobs. All are off by default. */

/** How the leader decides whether it accepts a job. */
export type AdmissionPolicyName = 'accept-all' | 'queue-delay' | 'gradient' | 'expected-completion'

/** How task durations are predicted. */
export type DurationModelName = 'mean' | 'quantile'

export interface SchedulingOptions {
  /** @default 'accept-all' */
  readonly admissionPolicy: AdmissionPolicyName
  /** Whether queues, callers' failure domains and size classes get weighted fair shares. @default false */
  readonly fairShares: boolean
  /** Weight of each queue by name; a queue that is not named weighs 1. @default empty */
  readonly shareWeights: ReadonlyMap<string, number>
  /** @default 'mean' */
  readonly durationModel: DurationModelName
  /** Whether a task may wait for a worker near its data or its group. @default false */
  readonly localityWait: boolean
  /** How many times as long a task takes away from its data or its group. @default 1 */
  readonly remoteFactor: number
}

export const DEFAULT_SCHEDULING_OPTIONS: SchedulingOptions = {
  admissionPolicy: 'accept-all',
  fairShares: false,
  shareWeights: new Map(),
  durationModel: 'mean',
  localityWait: false,
  remoteFactor: 1,
}
