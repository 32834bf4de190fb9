import type * as protocol from '@ebonyweir/protocol'

/** Latency per service and endpoint of this agent since the last sync. */
export interface LatencyBuckets {
  readonly record: (service: string, endpoint: string, tookMs: number, failed: boolean) => void
  /** Returns the buckets since the previous call and starts new ones. */
  readonly take: (nowMs: number) => readonly protocol.control.ServiceBucket[]
}

interface Bucket {
  readonly service: string
  readonly endpoint: string
  readonly samplesMs: number[]
  good: number
  failed: number
}

/** Samples per bucket. Beyond this, new samples replace random earlier ones (reservoir sampling). */
const MAX_SAMPLES = 512

/** Creates empty buckets. `random` returns numbers in [0, 1). */
export const createLatencyBuckets = (
  failureDomain: string,
  startMs: number,
  random: () => number,
): LatencyBuckets => {
  let buckets = new Map<string, Bucket>()
  let sinceMs = startMs

  const bucketOf = (service: string, endpoint: string): Bucket => {
    const key = `${service} ${endpoint}`
    const bucket = buckets.get(key) ?? { service, endpoint, samplesMs: [], good: 0, failed: 0 }
    buckets.set(key, bucket)
    return bucket
  }

  const p99 = (samplesMs: readonly number[]): number => {
    const sorted = [...samplesMs].sort((a, b) => a - b)
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * 0.99))] ?? 0
  }

  return {
    record: (service, endpoint, tookMs, failed) => {
      const bucket = bucketOf(service, endpoint)
      if (failed) bucket.failed++
      else bucket.good++
      const seen = bucket.good + bucket.failed
      if (bucket.samplesMs.length < MAX_SAMPLES) bucket.samplesMs.push(tookMs)
      else if (random() < MAX_SAMPLES / seen) {
        bucket.samplesMs[Math.floor(random() * MAX_SAMPLES)] = tookMs
      }
    },
    take: (nowMs) => {
      const taken = [...buckets.values()].map((b) => ({
        service: b.service,
        startMs: Math.floor(sinceMs),
        lengthMs: Math.floor(nowMs - sinceMs),
        good: b.good,
        late: 0,
        failed: b.failed,
        refused: 0,
        endpoint: b.endpoint,
        failureDomain,
        p99Ms: p99(b.samplesMs),
        rule: '',
      }))
      buckets = new Map()
      sinceMs = nowMs
      return taken
    },
  }
}
