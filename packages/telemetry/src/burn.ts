/** Service-level burn: how fast a service uses up the failures that its objective allows. */

/** Requests of one service in one closed interval, counted by one entry instance. */
export interface BurnCounts {
  readonly startMs: number
  readonly lengthMs: number
  readonly good: number
  readonly late: number
  readonly failed: number
  readonly refused: number
}

/** Good and all requests of a window. */
export interface WindowCounts {
  readonly good: number
  readonly total: number
}

/** Counts the buckets that end within the last `windowMs`. */
export function countWindow(
  buckets: readonly BurnCounts[],
  nowMs: number,
  windowMs: number,
): WindowCounts {
  let good = 0
  let total = 0
  for (const bucket of buckets) {
    const endMs = bucket.startMs + bucket.lengthMs
    if (endMs <= nowMs - windowMs || bucket.startMs > nowMs) continue
    good += bucket.good
    total += bucket.good + bucket.late + bucket.failed + bucket.refused
  }
  return { good, total }
}

/** Share of bad requests relative to the share that the objective allows; 1 uses the budget exactly up. */
export function burnRate(counts: WindowCounts, objective: number): number {
  if (counts.total === 0) return 0
  const bad = (counts.total - counts.good) / counts.total
  return bad / (1 - objective)
}
