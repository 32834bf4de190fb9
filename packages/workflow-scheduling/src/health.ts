/**
 * Worker health derived from the outcomes of runs. Detects workers that report themselves healthy although all runs on
 * them fail or stall.
 */

/** Consecutive failures after which a worker is quarantined. */
const FAILURES_TO_QUARANTINE = 3

/** Duration of the first quarantine; doubles with each failed retry. */
const FIRST_QUARANTINE_MS = 2_000

/** Longest quarantine before a worker is tried again. */
const MAX_QUARANTINE_MS = 16_000

/** Time after which an earlier quarantine for slowness no longer makes the next one longer. */
const SLOW_QUARANTINE_MEMORY_MS = 60_000

/** Time without new runs after a worker refused one because it lacks capacity or is unhealthy. */
const REFUSAL_PAUSE_MS = 300

interface HealthRecord {
  consecutiveFailures: number
  /** Attempts behind the consecutive failures since the last quarantine; never more than `FAILURES_TO_QUARANTINE`. */
  readonly failedAttempts: Set<string>
  quarantineCount: number
  /** Quarantines for slowness in a row, and the end of the latest one; runs complete there, which resets no count. */
  slowQuarantineCount: number
  slowUntilMs: number
  pausedUntilMs: number
}

/** Health of workers by id. */
export interface Health {
  /** Records that a run completed. */
  readonly recordSuccess: (worker: string) => void
  /**
   * Records that a run failed or stalled.
   *
   * @param attempt names the run, the same for all members of a gang: it counts once for a worker
   */
  readonly recordFailure: (worker: string, nowMs: number, attempt: string) => void
  /** Records that the runs of several jobs were slow there while their images ran at normal speed elsewhere. */
  readonly recordSlowness: (worker: string, nowMs: number) => void
  /** Records that the worker refused to start a run. */
  readonly recordRefusal: (worker: string, nowMs: number) => void
  /** Whether new runs may start there at `nowMs`. */
  readonly accepts: (worker: string, nowMs: number) => boolean
  /** Consecutive failures; placement prefers a worker with fewer. */
  readonly consecutiveFailures: (worker: string) => number
  /** Drops the record of a removed worker. */
  readonly forget: (worker: string) => void
}

export const createHealth = (): Health => {
  const records = new Map<string, HealthRecord>()

  const recordOf = (worker: string): HealthRecord => {
    const known = records.get(worker) ?? {
      consecutiveFailures: 0,
      failedAttempts: new Set<string>(),
      quarantineCount: 0,
      slowQuarantineCount: 0,
      slowUntilMs: 0,
      pausedUntilMs: 0,
    }
    records.set(worker, known)
    return known
  }

  return {
    recordSuccess: (worker) => {
      const record = recordOf(worker)
      record.consecutiveFailures = 0
      record.failedAttempts.clear()
      record.quarantineCount = 0
    },
    recordFailure: (worker, nowMs, attempt) => {
      const record = recordOf(worker)
      // Failures of runs that started before the quarantine are no new evidence.
      if (record.pausedUntilMs > nowMs && record.quarantineCount > 0) return
      if (record.failedAttempts.has(attempt)) return
      record.failedAttempts.add(attempt)
      record.consecutiveFailures += 1
      if (record.consecutiveFailures < FAILURES_TO_QUARANTINE) return
      const pauseMs = Math.min(MAX_QUARANTINE_MS, FIRST_QUARANTINE_MS * 2 ** record.quarantineCount)
      record.quarantineCount += 1
      record.failedAttempts.clear()
      // One more failure after the pause quarantines the worker again.
      record.consecutiveFailures = FAILURES_TO_QUARANTINE - 1
      record.pausedUntilMs = Math.max(record.pausedUntilMs, nowMs + pauseMs)
    },
    recordSlowness: (worker, nowMs) => {
      const record = recordOf(worker)
      if (nowMs - record.slowUntilMs > SLOW_QUARANTINE_MEMORY_MS) record.slowQuarantineCount = 0
      const pauseMs = FIRST_QUARANTINE_MS * 2 ** record.slowQuarantineCount
      record.slowQuarantineCount += 1
      record.slowUntilMs = nowMs + Math.min(MAX_QUARANTINE_MS, pauseMs)
      record.pausedUntilMs = Math.max(record.pausedUntilMs, record.slowUntilMs)
    },
    recordRefusal: (worker, nowMs) => {
      const record = recordOf(worker)
      record.pausedUntilMs = Math.max(record.pausedUntilMs, nowMs + REFUSAL_PAUSE_MS)
    },
    accepts: (worker, nowMs) => (records.get(worker)?.pausedUntilMs ?? 0) <= nowMs,
    consecutiveFailures: (worker) => records.get(worker)?.consecutiveFailures ?? 0,
    forget: (worker) => {
      records.delete(worker)
    },
  }
}
