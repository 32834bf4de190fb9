/** Scheduler options and the parts of the policy that can be exchanged or disabled. */
import type * as types from './types.js'

/** How a worker is chosen. All but `scored` are baselines. */
export type PlacementKind = 'scored' | 'firstFit' | 'random' | 'roundRobin'

/** How the task to evict is chosen. `newest` is a baseline. */
export type VictimKind = 'leastLost' | 'newest'

/** Parts of the policy. */
export interface PolicyParts {
  /** @default 'scored' */
  readonly placement: PlacementKind
  /** Throttles and evicts batch tasks on workers with guarded services. @default true */
  readonly guard: boolean
  /** @default 'leastLost' */
  readonly victim: VictimKind
  /**
   * Includes the expected interference with other tasks in the score of a worker. Off by default, since
   * it brings no measurable gain over deferral alone.
   * @default false
   */
  readonly interferencePlacement: boolean
  /** Defers tasks that would exceed the slowdown budget of a service. @default true */
  readonly deferral: boolean
  /** Spreads tasks of one owner over workers, racks and failure domains. @default true */
  readonly spread: boolean
  /** Refills a returned failure domain gradually. @default true */
  readonly refill: boolean
  /** Stops placing tasks on workers that fail everything. @default true */
  readonly quarantine: boolean
  /** Stops a runner in a draining failure domain only when its replacement runs. @default true */
  readonly drainOrder: boolean
  /** Evicts batch tasks to free capacity for runners and urgent tasks. @default true */
  readonly preemption: boolean
}

export interface SchedulerOptions {
  readonly random: types.Random
  /** Maximum number of assignments per decision. @default 200 */
  readonly maxAssignments?: number
  /** Overrides of the default policy. */
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
