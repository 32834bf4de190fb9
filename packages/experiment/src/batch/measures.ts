/** Measures of one run, and its course over time for the plots. */
import * as hdr from 'hdr-histogram-js'
import * as randoms from '../random.js'

/** Deviation of the logarithm of latencies around their median. */
const LATENCY_DEVIATION = 0.5

/** Standard normal quantile of 0.99. */
const P99_QUANTILE = 2.326

const SAMPLES_PER_STEP = 8
const HISTOGRAM_DIGITS = 3

/** Latency of a request that no runner accepts: the caller's timeout. */
const TIMEOUT_MS = 2_000

export interface Measures {
  /** Tail latency of the service over all requests, in milliseconds. */
  readonly p99Ms: number
  /** Work of completed tasks, in core seconds per second. */
  readonly throughput: number
  readonly evictions: number
  /** Work done from the start of the failure domain's outage until 30 s after its return, in core seconds. */
  readonly domainOutageWork: number
  /** Longest wait of an urgent task for its first start, in seconds. */
  readonly urgentStartS: number
  readonly failures: number
}

export interface Point {
  readonly atS: number
  readonly p99Ms: number
  readonly busyCores: number
}

export interface LatencyMeter {
  /** Adds the requests that a runner with this actual tail latency answered in one step. */
  readonly addRunner: (p99Ms: number) => void
  /** Adds the unanswered requests of a step, as the number of runners that would have answered them. */
  readonly addRefused: (runners: number) => void
  readonly p99Ms: () => number
}

export const createLatencyMeter = (seed: number): LatencyMeter => {
  const random = randoms.createRandom(seed, 'latency')
  const histogram = hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 10_000_000,
    numberOfSignificantValueDigits: HISTOGRAM_DIGITS,
  })
  return {
    addRunner: (p99Ms) => {
      const medianMs = p99Ms / Math.exp(P99_QUANTILE * LATENCY_DEVIATION)
      for (let n = 0; n < SAMPLES_PER_STEP; n += 1) {
        const latencyMs = medianMs * randoms.drawFactor(random, LATENCY_DEVIATION)
        histogram.recordValue(Math.round(Math.min(TIMEOUT_MS, latencyMs) * 1000))
      }
    },
    addRefused: (runners) => {
      for (let n = 0; n < runners * SAMPLES_PER_STEP; n += 1)
        histogram.recordValue(TIMEOUT_MS * 1000)
    },
    p99Ms: () => histogram.getValueAtPercentile(99) / 1000,
  }
}
