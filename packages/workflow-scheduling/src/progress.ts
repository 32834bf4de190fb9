/** Progress of one run, used to detect stalled runs and to measure speed. */

/** Minimum time without progress before a run counts as stalled: several reports, which come every half second. */
export const STALL_MS = 3_000

/** Last known progress of a run. */
export interface Progress {
  readonly percent: number
  readonly startedMs: number
  /** When the percentage last rose. */
  readonly advancedMs: number
  readonly listedMs: number
  /** Pace from this list on, in percent: the share of full speed at which the run may work. */
  readonly pacePercent: number
}

/** Work that one run did between two lists of its worker. */
export interface WorkSample {
  /** Elapsed time converted to full pace. */
  readonly workedMs: number
  /** Part of the task that was done, from 0 to 1. */
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

/** Work of a run between two lists; undefined if its pace changed, it has not progressed yet, or is done or stalled. */
export const workedBetween = (before: Progress, after: Progress): WorkSample | undefined => {
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
 * Whether a run has stalled. A long task may need several seconds for one percent, so the threshold grows with the
 * expected duration.
 */
export const isStalled = (progress: Progress, expectedMs: number, nowMs: number): boolean =>
  nowMs - progress.advancedMs > Math.max(STALL_MS, expectedMs / 4)
