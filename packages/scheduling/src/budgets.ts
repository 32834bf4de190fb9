/**
 * Slowdown budget per runner. The tail latency of the whole service is what counts, so one runner may
 * be slowed by more than the guard rule states while the others are slowed by less.
 */
import type * as controlState from '@ebonyweir/control-state'

/** Slowdown accepted by placement for a service without a guard rule. */
const DEFAULT_MAX_SLOWDOWN_FACTOR = 1.5

/** Share of the accepted rise that is targeted at tail weight 0; the rest is reserve. */
const MAX_TARGET_SHARE = 1

/** Reduction of that share at full tail weight. */
const TARGET_SHARE_REDUCTION_PER_TAIL_WEIGHT = 0.3

/** Standard deviations added to an expected rise, per unit of tail weight. */
const DEVIATIONS_PER_TAIL_WEIGHT = 0.25

/** Exponent of the power mean over runners: slow runners dominate a service's tail latency. */
const POWER_MEAN_EXPONENT = 5

/** Weight of one sample in the moving average: about 30 s for 10 runners that report every second. */
const SAMPLE_EWMA_WEIGHT = 0.003

/** Change of the factor's logarithm per sample, as a share of the difference from the target. */
const FACTOR_GAIN = 0.01

const FACTOR_BOUNDS = { min: 0.6, max: 3 } as const

export interface Budget {
  /** Accepted rise of the logarithm of the tail latency. */
  readonly limit: number
  /** Standard deviations added to an expected rise. */
  readonly safetyDeviations: number
  /** Guard rule, if the service has one. */
  readonly rule: controlState.GuardRule | undefined
}

interface ServiceTail {
  /** Mean of the runners' slowdowns, each raised to `POWER_MEAN_EXPONENT`. */
  meanPower: number
  /** Accepted rise of one runner relative to that of the service. */
  runnerFactor: number
}

export interface Budgets {
  readonly budgetOf: (set: controlState.RuleSet, service: string) => Budget
  /** Records the estimated rise of the logarithm of one runner's tail latency. */
  readonly recordRise: (set: controlState.RuleSet, service: string, rise: number) => void
}

export const createBudgets = (): Budgets => {
  const tails = new Map<string, ServiceTail>()

  const maxSlowdownOf = (set: controlState.RuleSet, service: string): number =>
    Math.max(1.01, set.guards.get(service)?.maxSlowdown ?? DEFAULT_MAX_SLOWDOWN_FACTOR)

  const budgetOf: Budgets['budgetOf'] = (set, service) => ({
    limit: Math.log(maxSlowdownOf(set, service)) * (tails.get(service)?.runnerFactor ?? 1),
    safetyDeviations: set.weighting.tail * DEVIATIONS_PER_TAIL_WEIGHT,
    rule: set.guards.get(service),
  })

  const recordRise: Budgets['recordRise'] = (set, service, rise) => {
    const tail = tails.get(service) ?? { meanPower: 1, runnerFactor: 1 }
    tails.set(service, tail)
    tail.meanPower += SAMPLE_EWMA_WEIGHT * (Math.exp(rise * POWER_MEAN_EXPONENT) - tail.meanPower)
    const targetShare =
      MAX_TARGET_SHARE - TARGET_SHARE_REDUCTION_PER_TAIL_WEIGHT * set.weighting.tail
    const targetRise = Math.log(maxSlowdownOf(set, service)) * targetShare
    const currentRise = Math.log(Math.max(1, tail.meanPower)) / POWER_MEAN_EXPONENT
    const next = tail.runnerFactor * Math.exp(FACTOR_GAIN * (targetRise - currentRise))
    tail.runnerFactor = Math.min(FACTOR_BOUNDS.max, Math.max(FACTOR_BOUNDS.min, next))
  }

  return { budgetOf, recordRise }
}
