/**
 * Admission by gradient: a baseline with a limit on the open jobs of each queue that falls when completion times rise
 * relative to those without load.
 */
import * as admission from './admission.js'
import * as expectedCompletion from './expectedCompletion.js'
import * as retrySchedule from './retrySchedule.js'

/** Limit before the first observation; far above what one queue of the known workloads has open without overload. */
const INITIAL_LIMIT = 100

/** Smallest limit; with fewer open jobs, a queue could not use its workers. */
const MIN_LIMIT = 4

/** Interval of the updates of a limit, in milliseconds: a few jobs end in it. */
const UPDATE_INTERVAL_MS = 1_000

/** Largest decrease of the limit in one update. */
const MIN_GRADIENT = 0.5

/** Rise of the least observed stretch with each update, so that a new level of load counts as unloaded in time. */
const BASE_GROWTH = 1.005

/** Ratio of present to unloaded completion time that does not lower the limit. */
const TOLERANCE = 1.5

/** Limit on queues with a concurrency limit. */
const MAX_QUEUES = 1_024

interface ConcurrencyLimit {
  readonly limit: number
  readonly unloadedStretch: number
  readonly updatedMs: number
}

const nextLimit = (
  before: ConcurrencyLimit,
  stretch: number,
  openJobs: number,
  nowMs: number,
): ConcurrencyLimit => {
  const unloadedStretch = Math.min(stretch, before.unloadedStretch * BASE_GROWTH)
  const gradient = Math.max(MIN_GRADIENT, Math.min(1, (TOLERANCE * unloadedStretch) / stretch))
  const grown = before.limit * gradient + Math.sqrt(before.limit)
  // A limit that is not reached says nothing about a higher one.
  const limit = grown > before.limit && openJobs < before.limit / 2 ? before.limit : grown
  return { limit: Math.max(MIN_LIMIT, limit), unloadedStretch, updatedMs: nowMs }
}

export const createGradient = (): admission.AdmissionPolicy => {
  const acceptAll = admission.createAcceptAll()
  const schedule = retrySchedule.createRetrySchedule()
  const limits = new Map<string, ConcurrencyLimit>()

  const limitOf = (
    queue: string,
    stretch: number | undefined,
    openJobs: number,
    nowMs: number,
  ): number => {
    const before = limits.get(queue) ?? {
      limit: INITIAL_LIMIT,
      unloadedStretch: Number.POSITIVE_INFINITY,
      updatedMs: Number.NEGATIVE_INFINITY,
    }
    if (stretch === undefined || nowMs - before.updatedMs < UPDATE_INTERVAL_MS) return before.limit
    const next = nextLimit(before, stretch, openJobs, nowMs)
    limits.delete(queue)
    limits.set(queue, next)
    const oldest = limits.keys().next()
    if (limits.size > MAX_QUEUES && oldest.done !== true) limits.delete(oldest.value)
    return next.limit
  }

  return {
    decide: (request, state, nowMs) => {
      const limited = acceptAll.decide(request, state, nowMs)
      const load = expectedCompletion.currentLoad(state, nowMs)
      if (limited.kind === 'refused' || load === undefined) return limited
      const { spec, queue } = request
      if (spec.repetitions > 0 || spec.steps.some(({ lasting }) => lasting)) return limited
      const { openJobs = 0, meanStretch } = load.queues.get(queue.name) ?? {}
      const limit = limitOf(queue.name, meanStretch, openJobs, nowMs)
      if (openJobs < limit) return limited
      return {
        kind: 'refused',
        reason: 'concurrency-limit',
        retryAfterMs: schedule.book(queue.name, 0, 0, nowMs),
        detail: `the queue has ${openJobs} open jobs of ${Math.floor(limit)}`,
        inputs: {
          expectedEndMs: 0,
          objectiveMs: 0,
          aheadMs: 0,
          capacity: limit,
          ageMs: nowMs - load.atMs,
        },
      }
    },
  }
}
