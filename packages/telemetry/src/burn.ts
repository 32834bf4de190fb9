/** Burn rate: how fast a service uses up the error budget that its objective allows. */

/** Requests of one service in one closed interval, counted by one entry instance. */
export interface BurnCounts {
  readonly startMs: number
  readonly lengthMs: number
  readonly good: number
  readonly late: number
  readonly failed: number
  readonly refused: number
}

/** Counts and what their bad requests are attributed to; an empty string attributes to nothing. */
export interface AttributedCounts extends BurnCounts {
  readonly endpoint: string
  readonly failureDomain: string
  readonly rule: string
}

/** Bad requests and all requests in a window. */
export interface WindowCounts {
  readonly bad: number
  readonly total: number
}

/** Two windows whose burn rates must both reach the threshold before the service counts as burning. */
export interface WindowPair {
  readonly name: 'fast' | 'slow'
  readonly shortMs: number
  readonly longMs: number
  readonly threshold: number
}

const MINUTE_MS = 60_000

/** Window over which buckets are kept and the error budget is computed. */
export const BUDGET_WINDOW_MS = 360 * MINUTE_MS

/**
 * Fast and slow window pairs. Burning at the threshold uses up 2 % of a 30-day budget in one hour
 * (fast) or 5 % in six hours (slow).
 */
export const WINDOW_PAIRS: readonly WindowPair[] = [
  { name: 'fast', shortMs: 5 * MINUTE_MS, longMs: 60 * MINUTE_MS, threshold: 14.4 },
  { name: 'slow', shortMs: 30 * MINUTE_MS, longMs: BUDGET_WINDOW_MS, threshold: 6 },
]

/** Burn rates of one window pair. */
export interface PairBurn {
  readonly name: WindowPair['name']
  readonly shortRate: number
  readonly longRate: number
  readonly threshold: number
  /** True if both rates are at or above the threshold. */
  readonly burning: boolean
}

/** Bad requests of a service that are attributed to one failure domain, endpoint or rule. */
export interface BurnCause {
  readonly place: 'failureDomain' | 'endpoint' | 'rule'
  readonly name: string
  readonly bad: number
  /** Share of all bad requests of the service in the budget window, from 0 to 1. */
  readonly share: number
}

/** Burn rates and error budget of one service. */
export interface ServiceBurn {
  readonly service: string
  readonly objective: number
  readonly pairs: readonly PairBurn[]
  /** Requests in the budget window. */
  readonly window: WindowCounts
  /** Remaining share of the error budget of the budget window; negative once it is overspent. */
  readonly budgetLeft: number
  /** Grouped by `place`, largest causes first in each group. */
  readonly causes: readonly BurnCause[]
}

/** Sums the buckets that overlap with the last `windowMs`. */
export function countWindow(
  buckets: readonly BurnCounts[],
  nowMs: number,
  windowMs: number,
): WindowCounts {
  let bad = 0
  let total = 0
  for (const bucket of buckets) {
    if (!isInWindow(bucket, nowMs, windowMs)) continue
    bad += countBad(bucket)
    total += bucket.good + countBad(bucket)
  }
  return { bad, total }
}

/** Share of bad requests relative to the allowed share; at 1 the budget is used up exactly. */
export function burnRate(counts: WindowCounts, objective: number): number {
  if (counts.total === 0) return 0
  return counts.bad / counts.total / (1 - objective)
}

/** Computes burn rates, remaining budget and causes of one service from its buckets. */
export function computeServiceBurn(
  service: string,
  objective: number,
  buckets: readonly AttributedCounts[],
  nowMs: number,
): ServiceBurn {
  const rate = (windowMs: number) => burnRate(countWindow(buckets, nowMs, windowMs), objective)
  const window = countWindow(buckets, nowMs, BUDGET_WINDOW_MS)
  return {
    service,
    objective,
    pairs: WINDOW_PAIRS.map((pair) => computePairBurn(pair, rate(pair.shortMs), rate(pair.longMs))),
    window,
    budgetLeft: 1 - burnRate(window, objective),
    causes: findCauses(buckets.filter((bucket) => isInWindow(bucket, nowMs, BUDGET_WINDOW_MS))),
  }
}

function computePairBurn(pair: WindowPair, shortRate: number, longRate: number): PairBurn {
  const { name, threshold } = pair
  const burning = shortRate >= threshold && longRate >= threshold
  return { name, shortRate, longRate, threshold, burning }
}

const CAUSE_DIMENSIONS: readonly BurnCause['place'][] = ['failureDomain', 'endpoint', 'rule']

function findCauses(buckets: readonly AttributedCounts[]): readonly BurnCause[] {
  const totalBad = buckets.reduce((sum, bucket) => sum + countBad(bucket), 0)
  return CAUSE_DIMENSIONS.flatMap((place) => {
    const badByName = new Map<string, number>()
    for (const bucket of buckets) {
      const bad = countBad(bucket)
      const name = bucket[place]
      if (name === '' || bad === 0) continue
      badByName.set(name, (badByName.get(name) ?? 0) + bad)
    }
    return [...badByName]
      .sort(([, a], [, b]) => b - a)
      .map(([name, bad]) => ({ place, name, bad, share: bad / totalBad }))
  })
}

function isInWindow(bucket: BurnCounts, nowMs: number, windowMs: number): boolean {
  return bucket.startMs + bucket.lengthMs > nowMs - windowMs && bucket.startMs <= nowMs
}

function countBad(bucket: BurnCounts): number {
  return bucket.late + bucket.failed + bucket.refused
}
