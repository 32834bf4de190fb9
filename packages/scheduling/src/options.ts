/** Options of the scheduler and the parts of the policy that can be exchanged or switched off. */
import type * as types from './types.js'

/** Order in which workers are tried. All but `scored` are baselines. */
export type PlacementKind = 'scored' | 'firstFit' | 'random' | 'roundRobin'

/** Choice of the task that is evicted. `newest` is a baseline. */
export type VictimKind = 'leastLost' | 'newest'

/** Parts of the policy. */
export interface PolicyParts {
  /** @default 'scored' */
  readonly placement: PlacementKind
  /** Throttles and evicts batch tasks beside guarded services. @default true */
  readonly guard: boolean
  /** @default 'leastLost' */
  readonly victim: VictimKind
  /**
   * Weighs the expected harm to and by other tasks when workers are compared. The experiment showed no
   * gain beyond noise over deferral alone.
   * @default false
   */
  readonly interferencePlacement: boolean
  /** Lets harmful tasks wait for a quieter worker. @default true */
  readonly deferral: boolean
  /** Keeps tasks of one owner apart in racks and failure domains. @default true */
  readonly spread: boolean
  /** Fills a returned failure domain gradually. @default true */
  readonly refill: boolean
  /** Keeps work away from workers that fail everything. @default true */
  readonly quarantine: boolean
  /** Stops a runner in a domain that leaves only when its replacement runs. @default true */
  readonly drainOrder: boolean
  /** Makes room for runners and urgent tasks by evictions. @default true */
  readonly preemption: boolean
}

export interface SchedulerOptions {
  readonly random: types.Random
  /** Most assignments per decision. @default 200 */
  readonly maxAssignments?: number
  /** Parts that differ from the default policy. */
  readonly parts?: Partial<PolicyParts>
}

export interface ResolvedSchedulerOptions {
  readonly random: types.Random
  readonly maxAssignments: number
  readonly parts: PolicyParts
}

export const DEFAULT_PARTS: PolicyParts = {
  placement: 'scored',
  guard: true,
  victim: 'leastLost',
  interferencePlacement: false,
  deferral: true,
  spread: true,
  refill: true,
  quarantine: true,
  drainOrder: true,
  preemption: true,
}

export const resolveSchedulerOptions = (options: SchedulerOptions): ResolvedSchedulerOptions => ({
  random: options.random,
  maxAssignments: options.maxAssignments ?? 200,
  parts: { ...DEFAULT_PARTS, ...options.parts },
})
