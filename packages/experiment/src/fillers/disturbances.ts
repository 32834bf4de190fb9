/** Utilization that fillers truly add to serving tasks, by pair of images; the scheduler has to learn it. */
import * as random from '../random.js'

/** Share of the pairs that disturb, and the bounds of what those add at full pace. */
const STRONG_SHARE = 0.55
const MIN_STRONG = 0.15
const MAX_STRONG = 0.3
const MAX_WEAK = 0.02

/** Part by which an amount drifts, and the bounds of the period, in milliseconds. */
const DRIFT_PART = 0.25
const MIN_PERIOD_MS = 20_000
const MAX_PERIOD_MS = 60_000

/** Amount at full pace, at a time. */
export type TrueAmount = (servingImage: string, fillingImage: string, atMs: number) => number

interface Pair {
  readonly mean: number
  readonly periodMs: number
  readonly phase: number
}

export const createTrueAmount = (seed: number): TrueAmount => {
  const pairs = new Map<string, Pair>()
  const pairOf = (key: string): Pair => {
    const known = pairs.get(key)
    if (known !== undefined) return known
    const draw = random.createRandom(seed, key)
    // The first numbers of streams whose names are alike are alike too.
    for (let skipped = 0; skipped < 8; skipped += 1) draw()
    const isStrong = draw() < STRONG_SHARE
    const mean = isStrong ? MIN_STRONG + (MAX_STRONG - MIN_STRONG) * draw() : MAX_WEAK * draw()
    const periodMs = MIN_PERIOD_MS + (MAX_PERIOD_MS - MIN_PERIOD_MS) * draw()
    const pair = { mean, periodMs, phase: draw() }
    pairs.set(key, pair)
    return pair
  }
  return (servingImage, fillingImage, atMs) => {
    const { mean, periodMs, phase } = pairOf(`${servingImage}/${fillingImage}`)
    return mean * (1 + DRIFT_PART * Math.sin(2 * Math.PI * (atMs / periodMs + phase)))
  }
}
