/** Reproducible random numbers; each use has its own stream. */
import * as pureRand from 'pure-rand'

export type Random = () => number

const SPAN = 2 ** 32

/** Stream of uniform numbers from 0 to 1, determined by a seed and the name of its use. */
export const createRandom = (seed: number, use: string): Random => {
  let mixed = seed | 0
  for (const character of use)
    mixed = Math.imul(mixed ^ (character.codePointAt(0) ?? 0), 16_777_619)
  const generator = pureRand.xoroshiro128plus(mixed)
  return () => (generator.unsafeNext() >>> 0) / SPAN
}

/** Normally distributed number with mean 0 and deviation 1. */
export const drawNormal = (random: Random): number =>
  Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())

/** Factor with median 1 whose logarithm has the given deviation. */
export const drawFactor = (random: Random, deviation: number): number =>
  Math.exp(drawNormal(random) * deviation)
