/** How much slowdown of a service is accepted, from its guard rule and the weighting. */
import type * as controlState from '@ebonyweir/control-state'

/** Slowdown accepted for a service without a guard rule when tasks are placed beside it. */
const DEFAULT_MAX_SLOWDOWN = 1.5

/** Part of the accepted slowdown that is used when the tail has no weight; the rest is reserve. */
const LARGEST_MARGIN = 0.9

/** Reduction of that part when the tail has full weight. */
const MARGIN_PER_TAIL = 0.4

export interface Budget {
  /** Accepted rise of the logarithm of the tail latency. */
  readonly limit: number
  /** Standard deviations that are added to an expected rise. */
  readonly caution: number
  /** Guard rule, if the service has one. */
  readonly rule: controlState.GuardRule | undefined
}

export const budgetOf = (set: controlState.RuleSet, service: string): Budget => {
  const rule = set.guards.get(service)
  const { tail } = set.weighting
  const margin = LARGEST_MARGIN - MARGIN_PER_TAIL * tail
  const slowdown = Math.max(1, rule?.maxSlowdown ?? DEFAULT_MAX_SLOWDOWN)
  return { limit: Math.log(slowdown) * margin, caution: tail / 2, rule }
}
