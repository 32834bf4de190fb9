import type * as protocol from '@ebonyweir/protocol'

/** How one request counts for its service. */
export interface CountedRequest {
  readonly service: string
  readonly endpoint: string
  readonly failureDomain: string
  readonly kind: 'good' | 'late' | 'failed' | 'refused'
  readonly tookMs: number
  /** Rule that caused a refusal, as "line N (requested by)"; empty for none. */
  readonly rule: string
}

/** Service-level buckets of the last hours. Times are wall-clock milliseconds. */
export interface ServiceBuckets {
  readonly count: (request: CountedRequest, nowMs: number) => void
  /** Closed buckets that control has not acknowledged. */
  readonly unsent: (nowMs: number) => readonly protocol.control.ServiceBucket[]
  readonly acknowledge: (buckets: readonly protocol.control.ServiceBucket[]) => void
  /** Every closed bucket, oldest first. */
  readonly closed: (nowMs: number) => readonly protocol.control.ServiceBucket[]
}

interface Open {
  readonly service: string
  readonly endpoint: string
  readonly failureDomain: string
  readonly counts: Record<CountedRequest['kind'], number>
  readonly samplesMs: number[]
  readonly rules: Map<string, number>
}

const BUCKET_MS = 10_000
const KEPT_MS = 6 * 3_600_000
/** Bound over all services and endpoints; the oldest buckets go first. */
const MAX_BUCKETS = 50_000
const MAX_UNSENT = 2_000
const MAX_OPEN = 2_000
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

/** Creates empty buckets; `random` returns numbers in [0, 1). */
export const createServiceBuckets = (random: () => number): ServiceBuckets => {
  let open = new Map<string, Open>()
  let startMs = 0
  let kept: protocol.control.ServiceBucket[] = []
  let unsent: protocol.control.ServiceBucket[] = []

  const close = (bucket: Open): protocol.control.ServiceBucket => ({
    service: bucket.service,
    startMs,
    lengthMs: BUCKET_MS,
    ...bucket.counts,
    endpoint: bucket.endpoint,
    failureDomain: bucket.failureDomain,
    p99Ms: p99(bucket.samplesMs),
    rule: mostFrequent(bucket.rules),
  })

  const roll = (nowMs: number): void => {
    const current = Math.floor(nowMs / BUCKET_MS) * BUCKET_MS
    if (current === startMs) return
    const closed = [...open.values()].map(close)
    const firstKept = kept.findIndex((bucket) => bucket.startMs >= nowMs - KEPT_MS)
    kept = [...(firstKept < 0 ? [] : kept.slice(firstKept)), ...closed].slice(-MAX_BUCKETS)
    unsent = [...unsent, ...closed].slice(-MAX_UNSENT)
    open = new Map()
    startMs = current
  }

  const bucketOf = (request: CountedRequest): Open | undefined => {
    const key = `${request.service} ${request.endpoint}`
    const known = open.get(key)
    if (known !== undefined || open.size >= MAX_OPEN) return known
    const { service, endpoint, failureDomain } = request
    const counts = { good: 0, late: 0, failed: 0, refused: 0 }
    const bucket = { service, endpoint, failureDomain, counts, samplesMs: [], rules: new Map() }
    open.set(key, bucket)
    return bucket
  }

  const sample = (bucket: Open, tookMs: number): void => {
    const seen = bucket.counts.good + bucket.counts.late
    if (bucket.samplesMs.length < MAX_SAMPLES) bucket.samplesMs.push(tookMs)
    else if (random() < MAX_SAMPLES / seen) {
      bucket.samplesMs[Math.floor(random() * MAX_SAMPLES)] = tookMs
    }
  }

  return {
    count: (request, nowMs) => {
      roll(nowMs)
      const bucket = bucketOf(request)
      if (bucket === undefined) return
      bucket.counts[request.kind]++
      if (request.kind === 'good' || request.kind === 'late') sample(bucket, request.tookMs)
      if (request.rule !== '') {
        bucket.rules.set(request.rule, (bucket.rules.get(request.rule) ?? 0) + 1)
      }
    },
    unsent: (nowMs) => {
      roll(nowMs)
      return unsent
    },
    acknowledge: (buckets) => {
      const acknowledged = new Set(buckets)
      unsent = unsent.filter((bucket) => !acknowledged.has(bucket))
    },
    closed: (nowMs) => {
      roll(nowMs)
      return kept
    },
  }
}
