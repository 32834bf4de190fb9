/** Time of day and timers of a term; a simulation supplies its own. */

export interface Clock {
  /** Time of day in milliseconds since 1970. */
  readonly timeOfDayMs: () => number
  /** Calls `run` once after a delay; the returned function cancels it. */
  readonly after: (delayMs: number, run: () => void) => () => void
  /** Calls `run` periodically; the returned function cancels it. */
  readonly every: (intervalMs: number, run: () => void) => () => void
}

export const SYSTEM_CLOCK: Clock = {
  timeOfDayMs: () => Date.now(),
  after: (delayMs, run) => {
    const timer = setTimeout(run, delayMs)
    return () => {
      clearTimeout(timer)
    }
  },
  every: (intervalMs, run) => {
    const timer = setInterval(run, intervalMs)
    return () => {
      clearInterval(timer)
    }
  },
}
