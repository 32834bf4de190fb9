/** Bounds of a capacity for the next seconds, from its course over the last ones. */

/** Time over which the course is observed, in milliseconds; workers list their runs about ten times in it. */
export const TREND_WINDOW_MS = 5_000

/** Limit on observations; at most one is made every 100 ms. */
const MAX_OBSERVATIONS = 64

export interface Bounds {
  readonly low: number
  readonly high: number
}

export interface CapacityTrend {
  /** Records a capacity and returns its bounds. */
  readonly observe: (capacity: number, nowMs: number) => Bounds
}

interface Observation {
  readonly capacity: number
  readonly atMs: number
}

/**
 * Creates a trend. The bounds are the extremes of the window; a rise or fall over the window is assumed to repeat once, so
 * that workers that are coming back count for the upper bound before they are all there.
 */
export const createCapacityTrend = (): CapacityTrend => {
  let observations: readonly Observation[] = []
  return {
    observe: (capacity, nowMs) => {
      observations = [
        ...observations.filter(({ atMs }) => nowMs - atMs <= TREND_WINDOW_MS),
        { capacity, atMs: nowMs },
      ].slice(-MAX_OBSERVATIONS)
      const capacities = observations.map((one) => one.capacity)
      const change = capacity - (capacities[0] ?? capacity)
      return {
        low: Math.max(0, Math.min(...capacities) + Math.min(0, change)),
        high: Math.max(...capacities) + Math.max(0, change),
      }
    },
  }
}
