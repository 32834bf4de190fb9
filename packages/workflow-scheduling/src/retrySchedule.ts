/** Times at which refused callers are told to return. */
import * as admission from './admission.js'

/**
 * Longest delay until a refused caller may retry, in milliseconds. The estimate says little about later times: load and
 * supply change within 15 to 20 s.
 */
export const MAX_RETRY_AFTER_MS = 20_000

/** Width of the window before `MAX_RETRY_AFTER_MS` over which callers without an earlier time are spread. */
const LAST_WINDOW_MS = 10_000

/** Shortest time between two returns of one queue, in milliseconds; keeps a burst of refusals from becoming a burst of returns. */
const MIN_SPACING_MS = 20

/** Fraction of the golden ratio: multiples of it, modulo 1, cover an interval evenly however many are taken. */
const GOLDEN_FRACTION = 0.618_033_988_749_895

/** Limit on queues with returns that are due. */
const MAX_QUEUES = 1_024

interface QueueReturns {
  /** Latest time at which a caller was told to return. */
  readonly lastMs: number
  /** Callers that were spread over the last window so far. */
  readonly overflowCount: number
}

export interface RetrySchedule {
  /**
   * Records one more caller that returns, and returns its delay. `fitsInMs` is the time until a job of this size fits,
   * `ownMs` the time for which the capacity is busy with it.
   */
  readonly book: (queue: string, fitsInMs: number, ownMs: number, nowMs: number) => number
}

export const createRetrySchedule = (): RetrySchedule => {
  const returns = new Map<string, QueueReturns>()

  const dueOf = (queue: string, nowMs: number): QueueReturns => {
    const known = returns.get(queue)
    return known === undefined || known.lastMs < nowMs ? { lastMs: 0, overflowCount: 0 } : known
  }

  return {
    book: (queue, fitsInMs, ownMs, nowMs) => {
      const due = dueOf(queue, nowMs)
      const spacingMs = Math.max(MIN_SPACING_MS, ownMs)
      const earliestMs = nowMs + Math.max(admission.MIN_RETRY_AFTER_MS, fitsInMs)
      const returnMs = Math.max(earliestMs, due.lastMs + spacingMs)
      const isInTime = returnMs <= nowMs + MAX_RETRY_AFTER_MS
      const overflowCount = due.overflowCount + (isInTime ? 0 : 1)
      const lastMs = isInTime ? returnMs : Math.max(due.lastMs, nowMs)
      returns.delete(queue)
      returns.set(queue, { lastMs, overflowCount })
      const oldest = returns.keys().next()
      if (returns.size > MAX_QUEUES && oldest.done !== true) returns.delete(oldest.value)
      if (isInTime) return returnMs - nowMs
      const share = (overflowCount * GOLDEN_FRACTION) % 1
      return MAX_RETRY_AFTER_MS - LAST_WINDOW_MS * (1 - share)
    },
  }
}
