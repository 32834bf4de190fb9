/** Records attempts to attach to a leader in metrics and in a bounded number of log lines. */
import type * as telemetry from '@ebonyweir/telemetry/logger'

/** Attempts listed in one log line: about as many as fit into the time after which a worker counts as lost. */
const MAX_LISTED_ATTEMPT_COUNT = 12

/** Interval of the log lines of a search without a result: a few lines for an outage of a minute. */
const SEARCH_REPORT_INTERVAL_MS = 10_000

/**
 * Progress of an attempt: `connecting` until the replica's HTTP/2 settings arrive, `connected` until it has accepted
 * the stream, then `waiting for orders`.
 */
export type AttachStage = 'connecting' | 'connected' | 'waiting for orders'

/** How an attempt ended: `silent` without an answer in time, `superseded` by another stream to a leader. */
export type AttemptOutcome = 'attached' | 'silent' | 'redirected' | 'failed' | 'superseded'

export interface Attempt {
  readonly address: string
  readonly startedMs: number
  readonly stage: AttachStage
}

export interface AttachMetrics {
  /** Counts an attempt by its outcome and the stage in which it ended. */
  readonly recordAttempt: (outcome: AttemptOutcome, stage: AttachStage) => void
  /** Records the time spent without a leader, in milliseconds. */
  readonly recordAttached: (searchMs: number) => void
}

export interface AttachTraceOptions {
  readonly logger: telemetry.Logger
  readonly nowMs: () => number
  /** @default no metrics */
  readonly metrics?: AttachMetrics | undefined
}

export interface AttachTrace {
  /** Records an attempt that ended without being attached. */
  readonly recordEnded: (
    attempt: Attempt,
    outcome: Exclude<AttemptOutcome, 'attached'>,
    why: string,
  ) => void
  readonly recordAttached: (attempt: Attempt, fence: number) => void
  /** Records that the leader answers again on the stream that was unresponsive. */
  readonly recordResumed: (address: string) => void
  readonly recordDetached: (address: string, why: string) => void
  /** Logs a search that takes long; to be called regularly. */
  readonly reportLongSearch: () => void
}

export const createAttachTrace = (options: AttachTraceOptions): AttachTrace => {
  const { logger, nowMs, metrics } = options
  let searchStartMs: number | undefined = nowMs()
  let lastReportMs = nowMs()
  let attempts = 0
  let listed: string[] = []

  const describe = ({ address, startedMs, stage }: Attempt, outcome: AttemptOutcome): string =>
    `${address} ${outcome} after ${Math.round(nowMs() - startedMs)} ms, ${stage}`

  const countAttempt = (attempt: Attempt, outcome: AttemptOutcome): void => {
    metrics?.recordAttempt(outcome, attempt.stage)
    if (searchStartMs === undefined) return
    attempts += 1
    listed = [...listed, describe(attempt, outcome)].slice(-MAX_LISTED_ATTEMPT_COUNT)
  }

  const startSearch = (): void => {
    searchStartMs = nowMs()
    lastReportMs = searchStartMs
    attempts = 0
    listed = []
  }

  const endSearch = (): number => {
    if (searchStartMs === undefined) return 0
    const searchMs = Math.round(nowMs() - searchStartMs)
    metrics?.recordAttached(searchMs)
    searchStartMs = undefined
    return searchMs
  }

  return {
    recordEnded: (attempt, outcome, why) => {
      countAttempt(attempt, outcome)
      const { address, startedMs, stage } = attempt
      const lengthMs = Math.round(nowMs() - startedMs)
      logger.debug('attempt to attach ended', { address, outcome, stage, lengthMs, why })
    },
    recordAttached: (attempt, fence) => {
      countAttempt(attempt, 'attached')
      const searchMs = endSearch()
      const { address } = attempt
      logger.info('attached to the leader', { address, fence, searchMs, attempts, listed })
    },
    recordResumed: (address) => {
      const searchMs = endSearch()
      logger.info('the leader answers again', { address, searchMs, attempts, listed })
    },
    recordDetached: (address, why) => {
      logger.warn('detached from the leader', { address, why })
      startSearch()
    },
    reportLongSearch: () => {
      if (searchStartMs === undefined || nowMs() - lastReportMs < SEARCH_REPORT_INTERVAL_MS) return
      lastReportMs = nowMs()
      const searchMs = Math.round(lastReportMs - searchStartMs)
      logger.warn('no leader found yet', { searchMs, attempts, listed })
    },
  }
}
