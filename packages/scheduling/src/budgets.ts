/**
 * How much slowdown is accepted beside one runner. What counts is the tail of the whole service, so
 * a runner may be slowed more than the guard rule says while the others are slowed less.
 */
import type * as controlState from '@ebonyweir/control-state'

/** Slowdown accepted for a service without a guard rule when tasks are placed beside it. */
const DEFAULT_MAX_SLOWDOWN = 1.5

/** Part of the accepted rise that is aimed at when the tail has no weight; the rest is reserve. */
const LARGEST_MARGIN = 1

/** Reduction of that part when the tail has full weight. */
const MARGIN_PER_TAIL = 0.3

/** Standard deviations per weight of the tail that are added to an expected rise. */
const CAUTION_PER_TAIL = 0.25

/** Exponent of the mean over runners: slow runners make up most of a service's tail. */
const TAIL_EXPONENT = 5

/** Weight of one sample in the mean; 10 runners that report each second give about 30 s. */
const SAMPLE_WEIGHT = 0.003

/** Change of the factor per sample and difference of the logarithms. */
const FACTOR_GAIN = 0.01

const FACTOR_BOUNDS = { min: 0.6, max: 3 } as const

export interface Budget {
  /** Accepted rise of the logarithm of the tail latency. */
  readonly limit: number
  /** Standard deviations that are added to an expected rise. */
  readonly caution: number
  /** Guard rule, if the service has one. */
  readonly rule: controlState.GuardRule | undefined
}

interface ServiceTail {
  /** Mean of the slowdowns of the runners, raised to the exponent. */
  power: number
  /** What one runner's rise may be relative to the service's. */
  factor: number
}

export interface Budgets {
  readonly budgetOf: (set: controlState.RuleSet, service: string) => Budget
  /** Takes the estimated rise of the logarithm of one runner's tail. */
  readonly note: (set: controlState.RuleSet, service: string, rise: number) => void
}

export const createBudgets = (): Budgets => {
  const tails = new Map<string, ServiceTail>()

  const maxSlowdownOf = (set: controlState.RuleSet, service: string): number =>
    Math.max(1.01, set.guards.get(service)?.maxSlowdown ?? DEFAULT_MAX_SLOWDOWN)

  const budgetOf: Budgets['budgetOf'] = (set, service) => ({
    limit: Math.log(maxSlowdownOf(set, service)) * (tails.get(service)?.factor ?? 1),
    caution: set.weighting.tail * CAUTION_PER_TAIL,
    rule: set.guards.get(service),
  })

  const note: Budgets['note'] = (set, service, rise) => {
    const tail = tails.get(service) ?? { power: 1, factor: 1 }
    tails.set(service, tail)
    tail.power += SAMPLE_WEIGHT * (Math.exp(rise * TAIL_EXPONENT) - tail.power)
    const margin = LARGEST_MARGIN - MARGIN_PER_TAIL * set.weighting.tail
    const aim = Math.log(maxSlowdownOf(set, service)) * margin
    const now = Math.log(Math.max(1, tail.power)) / TAIL_EXPONENT
    const next = tail.factor * Math.exp(FACTOR_GAIN * (aim - now))
    tail.factor = Math.min(FACTOR_BOUNDS.max, Math.max(FACTOR_BOUNDS.min, next))
  }

  return { budgetOf, note }
}
