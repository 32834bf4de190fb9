/**
 * Learned interference: how much a kind of batch task, per share of the machine it uses, raises the
 * logarithm of a victim's tail latency or run time, per load bucket of the victim.
 *
 * Each coefficient is a mean with a variance. A measurement moves the uncertain coefficients most,
 * and a coefficient without measurements keeps its prior, so few samples are shrunk towards it.
 */

/** Upper bounds of the load buckets, as used share of what the victim was given. */
const LOAD_BOUNDS = [0.35, 0.6, 0.8] as const

/** Prior of a coefficient: a whole machine of an unknown kind slows a victim by about a third. */
const PRIOR_MEAN = 0.15
const PRIOR_VARIANCE = 0.5

/** Prior variance of the undisturbed level, which differs widely between victims. */
const LEVEL_VARIANCE = 4

/** Variance of the logarithm of one tail-latency sample. */
const SAMPLE_VARIANCE = 0.04

/** Variance added per sample, so that the model follows slow changes. */
const DRIFT_VARIANCE = 0.0002

/** Variance added to a coefficient that is taken from a neighbouring load bucket. */
const BUCKET_VARIANCE = 0.05

/** Weight of a pair's own kind mean against the general prior, in samples of the kind. */
const KIND_PRIOR_SAMPLES = 20

/** Bounds memory; the least recently created victims are dropped first. */
const MAX_VICTIMS = 2_000
const MAX_KINDS_PER_VICTIM = 200

interface Coefficient {
  mean: number
  variance: number
}

interface Victim {
  readonly level: Coefficient
  readonly kinds: Map<string, Coefficient>
}

interface KindSummary {
  sum: number
  samples: number
}

/** Shares of the machine used by each kind, from 0 to 1. */
export type KindShares = ReadonlyMap<string, number>

export interface Estimate {
  /** Expected rise of the logarithm of the victim's latency. */
  readonly mean: number
  readonly deviation: number
}

export interface Interference {
  /** Takes one measurement; returns the part the model did not expect. */
  readonly learn: (victim: string, load: number, shares: KindShares, measured: number) => number
  readonly estimate: (victim: string, load: number, shares: KindShares) => Estimate
  /** Expected rise per share of the machine for one kind. */
  readonly coefficient: (victim: string, load: number, kind: string) => Estimate
  /** Undisturbed measurement of the victim at this load; undefined before the first sample. */
  readonly level: (victim: string, load: number) => number | undefined
}

export const loadBucketOf = (load: number): number => {
  const found = LOAD_BOUNDS.findIndex((bound) => load < bound)
  return found < 0 ? LOAD_BOUNDS.length : found
}

const dropOldest = (map: Map<string, unknown>, limit: number): void => {
  for (const key of map.keys()) {
    if (map.size <= limit) return
    map.delete(key)
  }
}

export const createInterference = (): Interference => {
  const victims = new Map<string, Victim>()
  const kindSummaries = new Map<string, KindSummary>()
  const keyOf = (victim: string, load: number): string => `${victim}/${loadBucketOf(load)}`

  const priorOf = (kind: string): Coefficient => {
    const summary = kindSummaries.get(kind)
    if (summary === undefined) return { mean: PRIOR_MEAN, variance: PRIOR_VARIANCE }
    const weight = summary.samples / (summary.samples + KIND_PRIOR_SAMPLES)
    const kindMean = summary.sum / summary.samples
    const mean = weight * kindMean + (1 - weight) * PRIOR_MEAN
    return { mean, variance: PRIOR_VARIANCE * (1 - weight / 2) }
  }

  const victimOf = (key: string, measured: number): Victim => {
    const known = victims.get(key)
    if (known !== undefined) return known
    const created = { level: { mean: measured, variance: LEVEL_VARIANCE }, kinds: new Map() }
    victims.set(key, created)
    dropOldest(victims, MAX_VICTIMS)
    return created
  }

  /** What the nearest other load bucket of the victim has learned, less certain; else the kind. */
  const nearbyOf = (name: string, load: number, kind: string): Coefficient => {
    const bucket = loadBucketOf(load)
    for (let distance = 1; distance <= LOAD_BOUNDS.length; distance += 1) {
      for (const other of [bucket - distance, bucket + distance]) {
        const known = victims.get(`${name}/${other}`)?.kinds.get(kind)
        if (known === undefined) continue
        return { mean: known.mean, variance: known.variance + BUCKET_VARIANCE * distance }
      }
    }
    return priorOf(kind)
  }

  const coefficientOf = (victim: Victim, name: string, load: number, kind: string): Coefficient => {
    const known = victim.kinds.get(kind)
    if (known !== undefined) return known
    const created = nearbyOf(name, load, kind)
    victim.kinds.set(kind, created)
    dropOldest(victim.kinds, MAX_KINDS_PER_VICTIM)
    return created
  }

  const summarize = (kind: string, mean: number): void => {
    const summary = kindSummaries.get(kind) ?? { sum: 0, samples: 0 }
    summary.sum += mean
    summary.samples += 1
    // Halves old evidence, so that the mean follows the recent values.
    if (summary.samples >= 10 * KIND_PRIOR_SAMPLES) {
      summary.sum /= 2
      summary.samples /= 2
    }
    kindSummaries.set(kind, summary)
    dropOldest(kindSummaries, MAX_KINDS_PER_VICTIM)
  }

  const learn: Interference['learn'] = (name, load, shares, measured) => {
    const victim = victimOf(keyOf(name, load), measured)
    const terms = [...shares].map(([kind, share]) => ({
      kind,
      share,
      coefficient: coefficientOf(victim, name, load, kind),
    }))
    const all = [{ kind: '', share: 1, coefficient: victim.level }, ...terms]
    let expected = 0
    let total = SAMPLE_VARIANCE
    for (const { share, coefficient } of all) {
      coefficient.variance += DRIFT_VARIANCE * share
      expected += coefficient.mean * share
      total += coefficient.variance * share * share
    }
    const surprise = measured - expected
    for (const { share, coefficient } of all) {
      const gain = (coefficient.variance * share) / total
      coefficient.mean += gain * surprise
      coefficient.variance *= 1 - gain * share
    }
    // Interference does not make a victim faster.
    for (const { kind, coefficient } of terms) {
      coefficient.mean = Math.max(0, coefficient.mean)
      summarize(kind, coefficient.mean)
    }
    return surprise
  }

  const coefficient: Interference['coefficient'] = (name, load, kind) => {
    const known = victims.get(keyOf(name, load))?.kinds.get(kind) ?? nearbyOf(name, load, kind)
    return { mean: known.mean, deviation: Math.sqrt(known.variance) }
  }

  const estimate: Interference['estimate'] = (name, load, shares) => {
    const victim = victims.get(keyOf(name, load))
    let mean = 0
    let variance = 0
    for (const [kind, share] of shares) {
      const known = victim?.kinds.get(kind) ?? nearbyOf(name, load, kind)
      mean += known.mean * share
      variance += known.variance * share * share
    }
    return { mean, deviation: Math.sqrt(variance) }
  }

  return {
    learn,
    estimate,
    coefficient,
    level: (name, load) => victims.get(keyOf(name, load))?.level.mean,
  }
}
