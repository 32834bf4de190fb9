/**
 * Detects that the instance was suspended. The monotonic clock stops during a suspension while the time of day advances,
 * so a resumed leader would still consider its lease valid. A step of the time of day looks the same, and treating the
 * lease as void for a moment is safe in both cases.
 */

/** Largest advance of the time of day over the monotonic clock that ordinary clock corrections explain, in milliseconds. */
const MAX_CLOCK_STEP_MS = 200

export interface SuspensionOptions {
  /** Monotonic clock. @default performance.now */
  readonly nowMs?: () => number
  /** Time of day. @default Date.now */
  readonly timeOfDayMs?: () => number
  /** Time for which leases are void after a suspension, in milliseconds. */
  readonly voidMs: number
}

export interface SuspensionGuard {
  /** Whether leases acquired before a suspension may be void. */
  readonly isVoid: () => boolean
}

export const createSuspensionGuard = (options: SuspensionOptions): SuspensionGuard => {
  const nowMs = options.nowMs ?? (() => performance.now())
  const timeOfDayMs = options.timeOfDayMs ?? (() => Date.now())
  let offsetMs = timeOfDayMs() - nowMs()
  let voidUntilMs = Number.NEGATIVE_INFINITY

  return {
    isVoid: () => {
      const now = nowMs()
      const currentOffsetMs = timeOfDayMs() - now
      if (currentOffsetMs - offsetMs > MAX_CLOCK_STEP_MS) voidUntilMs = now + options.voidMs
      offsetMs = currentOffsetMs
      return now < voidUntilMs
    },
  }
}
