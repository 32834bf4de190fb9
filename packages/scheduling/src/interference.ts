/**
 * Learned interference model: by how much a kind of batch task, per share of the machine it uses,
 * raises the logarithm of a victim's tail latency or run time, per load bucket of the victim.
 *
 * Each coefficient is an estimate with a mean and a variance, updated as in a Kalman filter:
 * uncertain coefficients change most, and estimates from few samples are shrunk towards the prior.
 */

/** Upper bounds of the load buckets, as the used share of the victim's allocation. */
const LOAD_BOUNDS = [0.35, 0.6, 0.8] as const

/** Prior mean: an unknown kind that uses a whole machine slows a victim by about 16 %. */
const PRIOR_MEAN = 0.15
const PRIOR_VARIANCE = 0.5

/** Prior variance of the undisturbed baseline, which differs widely between victims. */
const BASELINE_VARIANCE = 4

/** Variance of the logarithm of one tail-latency sample. */
const SAMPLE_VARIANCE = 0.04

/** Variance added per sample, so that the model tracks slow changes. */
const DRIFT_VARIANCE = 0.0002

/** Variance added to a coefficient taken from another load bucket, per bucket of distance. */
const BUCKET_VARIANCE = 0.05

/** Number of samples at which the mean of a kind has the same weight as the general prior. */
const KIND_PRIOR_SAMPLES = 20

/** Bounds memory usage; the oldest entries are dropped first. */
const MAX_VICTIMS = 2_000
const MAX_KINDS_PER_VICTIM = 200

interface Coefficient {
  mean: number
  variance: number
}

interface Victim {
  readonly baseline: Coefficient
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

export interface InterferenceModel {
  /** Updates the model from one measurement; returns the prediction error. */
  readonly learn: (victim: string, load: number, shares: KindShares, measured: number) => number
  readonly estimate: (victim: string, load: number, shares: KindShares) => Estimate
  /** Expected rise per share of the machine for one kind. */
  readonly coefficient: (victim: string, load: number, kind: string) => Estimate
  /** Undisturbed measurement of the victim at this load; undefined before the first sample. */
  readonly baselineOf: (victim: string, load: number) => number | undefined
}

export const loadBucketOf = (load: number): number => {
  const bucket = LOAD_BOUNDS.findIndex((bound) => load < bound)
  return bucket < 0 ? LOAD_BOUNDS.length : bucket
}

const dropOldest = (map: Map<string, unknown>, limit: number): void => {
  for (const key of map.keys()) {
    if (map.size <= limit) return
    map.delete(key)
  }
}

export const createInterferenceModel = (): InterferenceModel => {
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
    const created = { baseline: { mean: measured, variance: BASELINE_VARIANCE }, kinds: new Map() }
    victims.set(key, created)
    dropOldest(victims, MAX_VICTIMS)
    return created
  }

  /** Coefficient of the nearest other load bucket with added variance; else the prior of the kind. */
  const initialCoefficient = (name: string, load: number, kind: string): Coefficient => {
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
    const created = initialCoefficient(name, load, kind)
    victim.kinds.set(kind, created)
    dropOldest(victim.kinds, MAX_KINDS_PER_VICTIM)
    return created
  }

  const updateKindSummary = (kind: string, mean: number): void => {
    const summary = kindSummaries.get(kind) ?? { sum: 0, samples: 0 }
    summary.sum += mean
    summary.samples += 1
    // Halves the weight of old samples, so that the mean follows recent values.
    if (summary.samples >= 10 * KIND_PRIOR_SAMPLES) {
      summary.sum /= 2
      summary.samples /= 2
    }
    kindSummaries.set(kind, summary)
    dropOldest(kindSummaries, MAX_KINDS_PER_VICTIM)
  }

  const learn: InterferenceModel['learn'] = (name, load, shares, measured) => {
    const victim = victimOf(keyOf(name, load), measured)
    const terms = [...shares].map(([kind, share]) => ({
      kind,
      share,
      coefficient: coefficientOf(victim, name, load, kind),
    }))
    const all = [{ kind: '', share: 1, coefficient: victim.baseline }, ...terms]
    let expected = 0
    let total = SAMPLE_VARIANCE
    for (const { share, coefficient } of all) {
      coefficient.variance += DRIFT_VARIANCE * share
      expected += coefficient.mean * share
      total += coefficient.variance * share * share
    }
    const predictionError = measured - expected
    for (const { share, coefficient } of all) {
      const gain = (coefficient.variance * share) / total
      coefficient.mean += gain * predictionError
      coefficient.variance *= 1 - gain * share
    }
    // Interference does not make a victim faster.
    for (const { kind, coefficient } of terms) {
      coefficient.mean = Math.max(0, coefficient.mean)
      updateKindSummary(kind, coefficient.mean)
    }
    return predictionError
  }

  const coefficient: InterferenceModel['coefficient'] = (name, load, kind) => {
    const known =
      victims.get(keyOf(name, load))?.kinds.get(kind) ?? initialCoefficient(name, load, kind)
    return { mean: known.mean, deviation: Math.sqrt(known.variance) }
  }

  const estimate: InterferenceModel['estimate'] = (name, load, shares) => {
    const victim = victims.get(keyOf(name, load))
    let mean = 0
    let variance = 0
    for (const [kind, share] of shares) {
      const known = victim?.kinds.get(kind) ?? initialCoefficient(name, load, kind)
      mean += known.mean * share
      variance += known.variance * share * share
    }
    return { mean, deviation: Math.sqrt(variance) }
  }

  return {
    learn,
    estimate,
    coefficient,
    baselineOf: (name, load) => victims.get(keyOf(name, load))?.baseline.mean,
  }
}
