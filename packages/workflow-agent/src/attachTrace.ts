/** Trace of the attempts to attach to a leader: log lines, bounded in number, and metrics. */
import type * as telemetry from '@ebonyweir/telemetry/logger'

/** Attempts listed in one log line; about as many as fit into the time after which a worker counts as lost. */
const MAX_LISTED_ATTEMPTS = 12

/** Interval of the lines that say that no leader was found yet, in milliseconds: a few per outage of a minute. */
const SEARCH_REPORT_INTERVAL_MS = 10_000

/**
 * How far an attempt came: `connecting` until the replica's HTTP/2 settings arrive, `connected` until it has accepted
 * the stream, then `waiting for orders`.
 */
export type AttachStage = 'connecting' | 'connected' | 'waiting for orders'

/** How an attempt ended; `superseded` if another stream to a leader was used. */
export type AttemptOutcome = 'attached' | 'silent' | 'redirected' | 'failed' | 'superseded'

export interface Attempt {
  readonly address: string
  readonly startedMs: number
  readonly stage: AttachStage
}

export interface AttachMetrics {
  /** Counts one attempt by its outcome and by the stage in which it ended. */
  readonly noteAttempt: (outcome: AttemptOutcome, stage: AttachStage) => void
  /** Notes the time without a leader, in milliseconds. */
  readonly noteAttached: (searchMs: number) => void
}

export interface AttachTraceOptions {
  readonly logger: telemetry.Logger
  readonly nowMs: () => number
  /** @default no metrics */
  readonly metrics?: AttachMetrics | undefined
}

export interface AttachTrace {
  /** An attempt ended without orders. */
  readonly noteEnded: (
    attempt: Attempt,
    outcome: Exclude<AttemptOutcome, 'attached'>,
    why: string,
  ) => void
  readonly noteAttached: (attempt: Attempt, fence: number) => void
  /** The leader answers again on the stream that was silent. */
  readonly noteResumed: (address: string) => void
  readonly noteDetached: (address: string, why: string) => void
  /** Logs a search that goes on for long; to be called regularly. */
  readonly check: () => void
}

export const createAttachTrace = (options: AttachTraceOptions): AttachTrace => {
  const { logger, nowMs, metrics } = options
  let searchSinceMs: number | undefined = nowMs()
  let reportedMs = nowMs()
  let attempts = 0
  let listed: string[] = []

  const describe = ({ address, startedMs, stage }: Attempt, outcome: AttemptOutcome): string =>
    `${address} ${outcome} after ${Math.round(nowMs() - startedMs)} ms, ${stage}`

  const count = (attempt: Attempt, outcome: AttemptOutcome): void => {
    metrics?.noteAttempt(outcome, attempt.stage)
    if (searchSinceMs === undefined) return
    attempts += 1
    listed = [...listed, describe(attempt, outcome)].slice(-MAX_LISTED_ATTEMPTS)
  }

  const beginSearch = (): void => {
    searchSinceMs = nowMs()
    reportedMs = searchSinceMs
    attempts = 0
    listed = []
  }

  const endSearch = (): number => {
    if (searchSinceMs === undefined) return 0
    const searchMs = Math.round(nowMs() - searchSinceMs)
    metrics?.noteAttached(searchMs)
    searchSinceMs = undefined
    return searchMs
  }

  return {
    noteEnded: (attempt, outcome, why) => {
      count(attempt, outcome)
      const { address, startedMs, stage } = attempt
      const lengthMs = Math.round(nowMs() - startedMs)
      logger.debug('attempt to attach ended', { address, outcome, stage, lengthMs, why })
    },
    noteAttached: (attempt, fence) => {
      count(attempt, 'attached')
      const searchMs = endSearch()
      const { address } = attempt
      logger.info('attached to the leader', { address, fence, searchMs, attempts, listed })
    },
    noteResumed: (address) => {
      const searchMs = endSearch()
      logger.info('the leader answers again', { address, searchMs, attempts, listed })
    },
    noteDetached: (address, why) => {
      logger.warn('detached from the leader', { address, why })
      beginSearch()
    },
    check: () => {
      if (searchSinceMs === undefined || nowMs() - reportedMs < SEARCH_REPORT_INTERVAL_MS) return
      reportedMs = nowMs()
      const searchMs = Math.round(reportedMs - searchSinceMs)
      logger.warn('no leader found yet', { searchMs, attempts, listed })
    },
  }
}
