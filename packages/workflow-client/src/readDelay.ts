/**
 * Bounds how long what this process reads may have waited unread. A frozen process or a suspended instance reads, once it
 * goes on, what arrived in the meantime, and nothing in such a message tells its age.
 */

/** Interval of the ticks whose delay is measured, in milliseconds. */
const TICK_MS = 50

/** Time after a delay in which messages that arrived during it may still be read, in milliseconds. */
const BACKLOG_MS = 1_000

export interface ReadDelayOptions {
  /** Monotonic clock; it may stand still while the instance is suspended. @default performance.now */
  readonly nowMs?: () => number
  /** Time of day, which goes on during a suspension. @default Date.now */
  readonly timeOfDayMs?: () => number
}

export interface ReadDelay {
  readonly start: () => void
  readonly stop: () => void
  /** Starts to measure the age of a message that was just read; the result returns its highest age in milliseconds. */
  readonly trackAge: () => () => number
}

interface Reading {
  readonly nowMs: number
  readonly timeOfDayMs: number
}

interface Gap {
  readonly endMs: number
  readonly lengthMs: number
}

export const createReadDelay = (options: ReadDelayOptions = {}): ReadDelay => {
  const nowMs = options.nowMs ?? (() => performance.now())
  const timeOfDayMs = options.timeOfDayMs ?? (() => Date.now())
  let timer: NodeJS.Timeout | undefined
  let ticked: Reading | undefined
  let gaps: readonly Gap[] = []

  const read = (): Reading => ({ nowMs: nowMs(), timeOfDayMs: timeOfDayMs() })

  /** Time since `before`; a forward step of the time of day looks like a suspension. */
  const since = (before: Reading, now: Reading): number =>
    Math.max(now.nowMs - before.nowMs, now.timeOfDayMs - before.timeOfDayMs)

  const tick = (): void => {
    const now = read()
    const recent = gaps.filter(({ endMs }) => now.nowMs - endMs < BACKLOG_MS)
    const gap = ticked && { endMs: now.nowMs, lengthMs: since(ticked, now) }
    gaps = gap === undefined || gap.lengthMs < 2 * TICK_MS ? recent : [...recent, gap]
    ticked = now
  }

  /** Longest time that a message read now may have waited. */
  const waitedMs = (): number => {
    const now = read()
    const current = ticked === undefined ? 0 : since(ticked, now)
    const recent = gaps.filter(({ endMs }) => now.nowMs - endMs < BACKLOG_MS)
    return Math.max(current, ...recent.map(({ lengthMs }) => lengthMs))
  }

  return {
    start: () => {
      tick()
      timer = setInterval(tick, TICK_MS)
    },
    stop: () => {
      clearInterval(timer)
    },
    trackAge: () => {
      const readAt = read()
      const waitedBeforeMs = waitedMs()
      return () => waitedBeforeMs + since(readAt, read())
    },
  }
}
