/** Measures the event loop delay of a control replica. */
import type * as telemetry from '@ebonyweir/telemetry/logger'
import type * as workStatistics from './workStatistics.js'

/** Interval of the ticks whose delay is measured, in milliseconds; far below the shortest timeout of a peer. */
const TICK_MS = 50

/** Delay above which a line is logged, in milliseconds: agents and entries abandon a connection after 300 ms. */
const MIN_LOGGED_DELAY_MS = 250

/** Minimum time between two log lines, in milliseconds, so that a permanent delay does not flood the log. */
const LOG_INTERVAL_MS = 1_000

export interface EventLoopMonitorOptions {
  readonly nowMs: () => number
  readonly logger: telemetry.Logger
  readonly work: Pick<workStatistics.WorkStatistics, 'totals'>
}

export interface EventLoopMonitor {
  readonly start: () => void
  /** Largest delay of a tick since the last call, in milliseconds. */
  readonly takeMaxDelayMs: () => number
  readonly stop: () => void
}

export const createEventLoopMonitor = ({
  nowMs,
  logger,
  work,
}: EventLoopMonitorOptions): EventLoopMonitor => {
  let timer: NodeJS.Timeout | undefined
  let tickedMs = 0
  let maxDelayMs = 0
  let loggedMs = Number.NEGATIVE_INFINITY
  let logged = work.totals()

  const log = (delayMs: number, now: number): void => {
    const totals = work.totals()
    const { counts, spentMs } = totals
    logger.warn('loop late', {
      latenessMs: Math.round(delayMs),
      // Since the previous line, or since the start of the process.
      planningMs: Math.round(spentMs.plan - logged.spentMs.plan),
      reportsMs: Math.round(spentMs.report - logged.spentMs.report),
      sweepsMs: Math.round(spentMs.sweep - logged.spentMs.sweep),
      ranksMs: Math.round(spentMs.rank - logged.spentMs.rank),
      reports: counts.reports - logged.counts.reports,
      rounds: counts.rounds - logged.counts.rounds,
      rankings: counts.rankings - logged.counts.rankings,
      proposals: counts.proposals - logged.counts.proposals,
      commits: counts.commits - logged.counts.commits,
    })
    loggedMs = now
    logged = totals
  }

  const tick = (): void => {
    const now = nowMs()
    const delayMs = Math.max(0, now - tickedMs - TICK_MS)
    tickedMs = now
    maxDelayMs = Math.max(maxDelayMs, delayMs)
    if (delayMs > MIN_LOGGED_DELAY_MS && now - loggedMs >= LOG_INTERVAL_MS) log(delayMs, now)
  }

  return {
    start: () => {
      tickedMs = nowMs()
      timer = setInterval(tick, TICK_MS)
    },
    takeMaxDelayMs: () => {
      const taken = maxDelayMs
      maxDelayMs = 0
      return taken
    },
    stop: () => {
      clearInterval(timer)
    },
  }
}
