/** Tracks recent response times of one service. */
export interface LatencyTracker {
  readonly record: (tookMs: number) => void
  /** Quantile of recent response times in milliseconds; undefined with too few samples. */
  readonly quantile: (share: number) => number | undefined
}

const WINDOW_SIZE = 256
const MIN_SAMPLES = 20
/** Responses recorded between two sorts of the window. */
const RESPONSES_PER_SORT = 32

/** Creates a tracker of the last `WINDOW_SIZE` response times. */
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
      next = (next + 1) % WINDOW_SIZE
      unsorted++
      if (unsorted >= RESPONSES_PER_SORT || window.length === MIN_SAMPLES) sort()
    },
    quantile: (share) => {
      if (sorted.length < MIN_SAMPLES) return undefined
      return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))]
    },
  }
}
