/** Quantiles of the ratio of actual to estimated duration, per image, over the last few hundred observations. */
// The package's entry point also loads its WebAssembly and codecs, which cost each process 9 MB and 15 ms at the start.
import * as int16Histogram from 'hdr-histogram-js/dist/Int16Histogram.js'

/** Observations required before the quantiles of an image are used; fewer say nothing about its tail. */
const MIN_OBSERVATIONS = 3

/** Limit on learned images; the least recently observed one is evicted. An image takes about 3 KB. */
export const MAX_LEARNED_IMAGES = 4_096

/**
 * Observations in one half of an image's window. The older half is dropped when the newer one is full, so that between
 * 256 and 512 observations count: enough for about eight of a tail of 3 %.
 */
const HALF_WINDOW = 256

/** Histogram units per ratio of 1; the smallest ratio told apart is 0.01. */
const UNITS_PER_RATIO = 100

/** Largest ratio recorded, in histogram units: 100 times the estimate. */
const MAX_UNITS = 10_000

/**
 * Precision of the histograms. One digit means an error of at most 6 %, far below that of the estimates; two digits take
 * 25 MB instead of 11 MB for all images.
 */
const SIGNIFICANT_DIGITS = 1

/** Cached quantiles per image; users ask for fewer different ones. */
const MAX_CACHED_QUANTILES = 16

const FULL_PERCENT = 100

interface ImageWindow {
  newer: Histogram
  older: Histogram | undefined
  newerCount: number
  olderCount: number
  /** Quantiles since the latest observation. */
  readonly cache: Map<number, number>
}

export interface RatioQuantiles {
  readonly observe: (image: string, ratio: number) => void
  /** Ratio that a share `q` (0 to 1) of the observations do not exceed; undefined with too few of them. */
  readonly quantile: (image: string, q: number) => number | undefined
  readonly imageCount: () => number
  /** Observations since the creation of the model. */
  readonly observationCount: () => number
  /** The `limit` most recently observed images. */
  readonly recentImages: (limit: number) => readonly string[]
}

const { default: exported } = int16Histogram

/** Node and the bundler expose the exports of a CommonJS module as its default; vitest unwraps them. */
const Int16Histogram = 'default' in exported ? exported.default : exported

/** Histogram with counters of 16 bits: a half holds at most `HALF_WINDOW` observations. */
type Histogram = InstanceType<typeof Int16Histogram>

const createHistogram = (): Histogram => new Int16Histogram(1, MAX_UNITS, SIGNIFICANT_DIGITS)

const toUnits = (ratio: number): number =>
  Math.min(MAX_UNITS, Math.max(1, Math.round(ratio * UNITS_PER_RATIO)))

export const createRatioQuantiles = (): RatioQuantiles => {
  /** By image, the most recently observed one last. */
  const windows = new Map<string, ImageWindow>()
  /** Sum of both halves of the image that is queried; shared, so that images need no third histogram. */
  const merged = createHistogram()
  let observationCount = 0

  const rotate = (window: ImageWindow): void => {
    const reused = window.older ?? createHistogram()
    reused.reset()
    window.older = window.newer
    window.olderCount = window.newerCount
    window.newer = reused
    window.newerCount = 0
  }

  const compute = ({ newer, older }: ImageWindow, q: number): number => {
    merged.reset()
    merged.add(newer)
    if (older !== undefined) merged.add(older)
    const share = Math.min(1, Math.max(0, q))
    return merged.getValueAtPercentile(share * FULL_PERCENT) / UNITS_PER_RATIO
  }

  return {
    observe: (image, ratio) => {
      if (!Number.isFinite(ratio) || ratio <= 0) return
      const window = windows.get(image) ?? {
        newer: createHistogram(),
        older: undefined,
        newerCount: 0,
        olderCount: 0,
        cache: new Map<number, number>(),
      }
      if (window.newerCount >= HALF_WINDOW) rotate(window)
      window.newer.recordValue(toUnits(ratio))
      window.newerCount += 1
      window.cache.clear()
      observationCount += 1
      windows.delete(image)
      windows.set(image, window)
      const oldest = windows.keys().next()
      if (windows.size > MAX_LEARNED_IMAGES && oldest.done !== true) windows.delete(oldest.value)
    },
    quantile: (image, q) => {
      const window = windows.get(image)
      if (window === undefined || window.newerCount + window.olderCount < MIN_OBSERVATIONS) {
        return undefined
      }
      const known = window.cache.get(q)
      if (known !== undefined) return known
      const ratio = compute(window, q)
      if (window.cache.size >= MAX_CACHED_QUANTILES) window.cache.clear()
      window.cache.set(q, ratio)
      return ratio
    },
    imageCount: () => windows.size,
    observationCount: () => observationCount,
    recentImages: (limit) => [...windows.keys()].slice(-limit).reverse(),
  }
}
