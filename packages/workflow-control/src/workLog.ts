/** Logs once per second, while this replica leads, how long its event loop was busy and with what. */
import type * as telemetry from '@ebonyweir/telemetry/logger'
import type * as workStatistics from './workStatistics.js'

/** Interval of the log lines, in milliseconds; also the bound on their number. */
const LOG_INTERVAL_MS = 1_000

export interface WorkLogOptions {
  readonly logger: telemetry.Logger
  readonly work: Pick<workStatistics.WorkStatistics, 'totals'>
  /** Time for which the event loop has been busy since the start of the process, in milliseconds. */
  readonly busyMs: () => number
  readonly isLeading: () => boolean
}

export interface WorkLog {
  readonly start: () => void
  readonly stop: () => void
}

/** Difference of each total to an earlier one, rounded, with a suffix on its name. */
const differences = (
  totals: Readonly<Record<string, number>>,
  before: Readonly<Record<string, number>>,
  suffix: string,
): Readonly<Record<string, number>> =>
  Object.fromEntries(
    Object.entries(totals).map(([name, total]) => [
      `${name}${suffix}`,
      Math.round(total - (before[name] ?? 0)),
    ]),
  )

export const createWorkLog = ({ logger, work, busyMs, isLeading }: WorkLogOptions): WorkLog => {
  let timer: NodeJS.Timeout | undefined
  let before = work.totals()
  let busyBeforeMs = busyMs()

  const log = (): void => {
    const totals = work.totals()
    const busyNowMs = busyMs()
    if (isLeading()) {
      logger.info('leader work', {
        busyMs: Math.round(busyNowMs - busyBeforeMs),
        ...differences(totals.spentMs, before.spentMs, 'Ms'),
        ...differences(totals.counts, before.counts, ''),
      })
    }
    before = totals
    busyBeforeMs = busyNowMs
  }

  return {
    start: () => {
      timer = setInterval(log, LOG_INTERVAL_MS)
    },
    stop: () => {
      clearInterval(timer)
    },
  }
}
