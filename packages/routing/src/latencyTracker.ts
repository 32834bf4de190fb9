/** Recent answer times of one service. */
export interface LatencyTracker {
  readonly record: (tookMs: number) => void
  /** Quantile of the recent answer times in milliseconds; undefined before enough were seen. */
  readonly quantile: (share: number) => number | undefined
}

const WINDOW = 256
const MIN_SAMPLES = 20
/** Answers between two sorts of the window. */
const SORT_EVERY = 32

/** Creates a tracker of the last answers. */
export const createLatencyTracker = (): LatencyTracker => {
  const window: number[] = []
  let next = 0
  let sorted: readonly number[] = []
  let unsorted = 0

  const sort = (): void => {
    sorted = [...window].sort((a, b) => a - b)
    unsorted = 0
  }

  return {
    record: (tookMs) => {
      window[next] = tookMs
      next = (next + 1) % WINDOW
      unsorted++
      if (unsorted >= SORT_EVERY || window.length === MIN_SAMPLES) sort()
    },
    quantile: (share) => {
      if (sorted.length < MIN_SAMPLES) return undefined
      return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))]
    },
  }
}
