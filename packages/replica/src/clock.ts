import type * as types from './types.js'

/** Monotonic clock and timers of the process. The clock stops while the whole machine is suspended. */
export class ProcessClock implements types.Clock {
  nowMs(): number {
    return performance.now()
  }

  setTimer(delayMs: number, callback: () => void): types.CancelTimer {
    const timer = setTimeout(callback, delayMs)
    return () => {
      clearTimeout(timer)
    }
  }
}
