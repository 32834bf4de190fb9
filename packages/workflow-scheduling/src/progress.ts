/** Progress of one run, to find runs that stand still. */

/** Time without progress after which a run counts as stalled, in milliseconds: several reports of half a second. */
export const STALL_MS = 3_000

/** Last progress seen of a run. */
export interface Progress {
  readonly percent: number
  readonly startedMs: number
  /** When the percentage last rose. */
  readonly advancedMs: number
  readonly listedMs: number
  /** Pace from this list on, in percent. */
  readonly pacePercent: number
}

/** What one run did between two lists. */
export interface Worked {
  /** Time at full pace, in milliseconds. */
  readonly workedMs: number
  /** Part of the task, from 0 to 1. */
  readonly part: number
}

const FULL_PERCENT = 100

/** Progress after a report at `nowMs`, a monotonic time. */
export const nextProgress = (
  before: Progress | undefined,
  percent: number,
  pacePercent: number,
  nowMs: number,
): Progress => {
  if (before === undefined) {
    return { percent, startedMs: nowMs, advancedMs: nowMs, listedMs: nowMs, pacePercent }
  }
  const listed = { ...before, listedMs: nowMs, pacePercent }
  return percent > before.percent ? { ...listed, percent, advancedMs: nowMs } : listed
}

/** Work between two lists of a run; undefined if its pace changed, it had not begun, or it stands still. */
export const workedBetween = (before: Progress, after: Progress): Worked | undefined => {
  const { pacePercent } = before
  if (pacePercent !== after.pacePercent || pacePercent <= 0 || before.percent <= 0) return undefined
  if (after.percent >= FULL_PERCENT || after.listedMs - before.advancedMs > STALL_MS)
    return undefined
  return {
    workedMs: (after.listedMs - before.listedMs) * (pacePercent / FULL_PERCENT),
    part: (after.percent - before.percent) / FULL_PERCENT,
  }
}

/**
 * Whether a run stands still. A long task may need several seconds for one percent, so the bound grows with the
 * expected duration.
 */
export const isStalled = (progress: Progress, expectedMs: number, nowMs: number): boolean =>
  nowMs - progress.advancedMs > Math.max(STALL_MS, expectedMs / 4)
