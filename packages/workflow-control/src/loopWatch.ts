/** Watches how late the loop of a control replica is. */
import type * as telemetry from '@ebonyweir/telemetry/logger'
import type * as workMeter from './workMeter.js'

/** Interval of the ticks whose lateness is measured, in milliseconds; far below the shortest time limit of a peer. */
const TICK_MS = 50

/** Lateness that is logged, in milliseconds: agents and entries give up a connection after 300 ms without an answer. */
const LOGGED_LATENESS_MS = 250

/** Shortest time between two log lines, in milliseconds, so that a loop that is always late does not fill the log. */
const LOG_INTERVAL_MS = 1_000

export interface LoopWatchOptions {
  readonly nowMs: () => number
  readonly logger: telemetry.Logger
  readonly work: Pick<workMeter.WorkMeter, 'totals'>
}

export interface LoopWatch {
  readonly start: () => void
  /** Largest lateness of a tick since the last call, in milliseconds. */
  readonly takeMaxLatenessMs: () => number
  readonly stop: () => void
}

export const createLoopWatch = ({ nowMs, logger, work }: LoopWatchOptions): LoopWatch => {
  let timer: NodeJS.Timeout | undefined
  let tickedMs = 0
  let maxLatenessMs = 0
  let loggedMs = Number.NEGATIVE_INFINITY
  let logged = work.totals()

  const log = (latenessMs: number, now: number): void => {
    const totals = work.totals()
    const { counts, spentMs } = totals
    logger.warn('loop late', {
      latenessMs: Math.round(latenessMs),
      // Of the time since the line before, or since the start.
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
    const latenessMs = Math.max(0, now - tickedMs - TICK_MS)
    tickedMs = now
    maxLatenessMs = Math.max(maxLatenessMs, latenessMs)
    if (latenessMs > LOGGED_LATENESS_MS && now - loggedMs >= LOG_INTERVAL_MS) log(latenessMs, now)
  }

  return {
    start: () => {
      tickedMs = nowMs()
      timer = setInterval(tick, TICK_MS)
    },
    takeMaxLatenessMs: () => {
      const taken = maxLatenessMs
      maxLatenessMs = 0
      return taken
    },
    stop: () => {
      clearInterval(timer)
    },
  }
}
