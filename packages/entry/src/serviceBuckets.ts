import type * as protocol from '@ebonyweir/protocol'

/** A finished request, as counted towards its service level. */
export interface CountedRequest {
  readonly service: string
  readonly endpoint: string
  readonly failureDomain: string
  readonly kind: 'good' | 'late' | 'failed' | 'refused'
  readonly tookMs: number
  /** Rule that caused a refusal, as "line N (requested by)", or an empty string. */
  readonly rule: string
}

/** Service-level counts of recent hours, in buckets of fixed length. Times are wall-clock milliseconds. */
export interface ServiceBuckets {
  readonly count: (request: CountedRequest, nowMs: number) => void
  /** Closed buckets that have not been acknowledged by control. */
  readonly unsent: (nowMs: number) => readonly protocol.control.ServiceBucket[]
  readonly acknowledge: (buckets: readonly protocol.control.ServiceBucket[]) => void
  /** All retained closed buckets, oldest first. */
  readonly closed: (nowMs: number) => readonly protocol.control.ServiceBucket[]
}

interface OpenBucket {
  readonly service: string
  readonly endpoint: string
  readonly failureDomain: string
  readonly counts: Record<CountedRequest['kind'], number>
  readonly samplesMs: number[]
  readonly rules: Map<string, number>
}

const BUCKET_MS = 10_000
const RETENTION_MS = 6 * 3_600_000
/** Limit on closed buckets of all services and endpoints. The oldest are dropped first. */
const MAX_BUCKETS = 50_000
const MAX_UNSENT = 2_000
const MAX_OPEN = 2_000
/** Samples per bucket. Beyond this, new samples replace random earlier ones (reservoir sampling). */
const MAX_SAMPLES = 256

const p99 = (samplesMs: readonly number[]): number => {
  const sorted = [...samplesMs].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * 0.99))] ?? 0
}

const mostFrequent = (counts: ReadonlyMap<string, number>): string => {
  let best = ''
  for (const [rule, count] of counts) if (count > (counts.get(best) ?? 0)) best = rule
  return best
}

/** Creates empty buckets. `random` returns numbers in [0, 1). */
export const createServiceBuckets = (random: () => number): ServiceBuckets => {
  let open = new Map<string, OpenBucket>()
  let startMs = 0
  let closedBuckets: protocol.control.ServiceBucket[] = []
  let unsent: protocol.control.ServiceBucket[] = []

  const close = (bucket: OpenBucket): protocol.control.ServiceBucket => ({
    service: bucket.service,
    startMs,
    lengthMs: BUCKET_MS,
    ...bucket.counts,
    endpoint: bucket.endpoint,
    failureDomain: bucket.failureDomain,
    p99Ms: p99(bucket.samplesMs),
    rule: mostFrequent(bucket.rules),
  })

  const rotate = (nowMs: number): void => {
    const currentStartMs = Math.floor(nowMs / BUCKET_MS) * BUCKET_MS
    if (currentStartMs === startMs) return
    const closed = [...open.values()].map(close)
    const firstRetained = closedBuckets.findIndex(
      (bucket) => bucket.startMs >= nowMs - RETENTION_MS,
    )
    closedBuckets = [
      ...(firstRetained < 0 ? [] : closedBuckets.slice(firstRetained)),
      ...closed,
    ].slice(-MAX_BUCKETS)
    unsent = [...unsent, ...closed].slice(-MAX_UNSENT)
    open = new Map()
    startMs = currentStartMs
  }

  const bucketOf = (request: CountedRequest): OpenBucket | undefined => {
    const key = `${request.service} ${request.endpoint}`
    const existing = open.get(key)
    if (existing !== undefined || open.size >= MAX_OPEN) return existing
    const { service, endpoint, failureDomain } = request
    const counts = { good: 0, late: 0, failed: 0, refused: 0 }
    const bucket = { service, endpoint, failureDomain, counts, samplesMs: [], rules: new Map() }
    open.set(key, bucket)
    return bucket
  }

  const addSample = (bucket: OpenBucket, tookMs: number): void => {
    const seen = bucket.counts.good + bucket.counts.late
    if (bucket.samplesMs.length < MAX_SAMPLES) bucket.samplesMs.push(tookMs)
    else if (random() < MAX_SAMPLES / seen) {
      bucket.samplesMs[Math.floor(random() * MAX_SAMPLES)] = tookMs
    }
  }

  return {
    count: (request, nowMs) => {
      rotate(nowMs)
      const bucket = bucketOf(request)
      if (bucket === undefined) return
      bucket.counts[request.kind]++
      if (request.kind === 'good' || request.kind === 'late') addSample(bucket, request.tookMs)
      if (request.rule !== '') {
        bucket.rules.set(request.rule, (bucket.rules.get(request.rule) ?? 0) + 1)
      }
    },
    unsent: (nowMs) => {
      rotate(nowMs)
      return unsent
    },
    acknowledge: (buckets) => {
      const acknowledged = new Set(buckets)
      unsent = unsent.filter((bucket) => !acknowledged.has(bucket))
    },
    closed: (nowMs) => {
      rotate(nowMs)
      return closedBuckets
    },
  }
}
