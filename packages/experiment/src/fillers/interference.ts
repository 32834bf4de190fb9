/** Utilization that best-effort tasks add to latency-critical ones, by image pair; the scheduler has to learn it. */
import * as random from '../random.js'

/** Share of the pairs with strong interference, and the bounds of what pairs add at full pace. */
const STRONG_SHARE = 0.55
const MIN_STRONG = 0.15
const MAX_STRONG = 0.3
const MAX_WEAK = 0.02

/** Relative amplitude of the drift of a pair's interference, and the bounds of its period. */
const DRIFT_SHARE = 0.25
const MIN_PERIOD_MS = 20_000
const MAX_PERIOD_MS = 60_000

/** Utilization that is added at full pace (full speed of the best-effort task) at a time. */
export type TrueInterference = (
  latencyCriticalImage: string,
  bestEffortImage: string,
  atMs: number,
) => number

interface ImagePair {
  readonly mean: number
  readonly periodMs: number
  readonly phase: number
}

export const createTrueInterference = (seed: number): TrueInterference => {
  const pairs = new Map<string, ImagePair>()
  const pairOf = (key: string): ImagePair => {
    const known = pairs.get(key)
    if (known !== undefined) return known
    const draw = random.createRandom(seed, key)
    // Streams with similar names start with similar numbers.
    for (let skipped = 0; skipped < 8; skipped += 1) draw()
    const isStrong = draw() < STRONG_SHARE
    const mean = isStrong ? MIN_STRONG + (MAX_STRONG - MIN_STRONG) * draw() : MAX_WEAK * draw()
    const periodMs = MIN_PERIOD_MS + (MAX_PERIOD_MS - MIN_PERIOD_MS) * draw()
    const pair = { mean, periodMs, phase: draw() }
    pairs.set(key, pair)
    return pair
  }
  return (latencyCriticalImage, bestEffortImage, atMs) => {
    const { mean, periodMs, phase } = pairOf(`${latencyCriticalImage}/${bestEffortImage}`)
    return mean * (1 + DRIFT_SHARE * Math.sin(2 * Math.PI * (atMs / periodMs + phase)))
  }
}
