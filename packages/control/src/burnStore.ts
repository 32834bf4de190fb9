/** Stores service-level buckets reported by entry instances, so that they survive an entry restart. */
import type * as protocol from '@ebonyweir/protocol'

const RETENTION_MS = 6 * 60 * 60 * 1000
const MAX_BUCKETS = 400_000

export interface BurnStore {
  /** Adds closed buckets. A newer report of the same bucket replaces the older one. */
  readonly add: (
    entry: string,
    incarnation: number,
    buckets: readonly protocol.control.ServiceBucket[],
  ) => void
  readonly all: () => readonly protocol.operatorApi.BurnBucket[]
  readonly expire: (wallNowMs: number) => void
}

export const createBurnStore = (): BurnStore => {
  const buckets = new Map<string, protocol.operatorApi.BurnBucket>()

  const add: BurnStore['add'] = (entry, incarnation, reported) => {
    for (const bucket of reported) {
      const key = [
        entry,
        incarnation,
        bucket.service,
        bucket.endpoint,
        bucket.failureDomain,
        bucket.startMs,
      ].join('\n')
      buckets.set(key, { ...bucket, entry })
    }
    for (const key of buckets.keys()) {
      if (buckets.size <= MAX_BUCKETS) return
      buckets.delete(key)
    }
  }

  const expire = (wallNowMs: number): void => {
    for (const [key, bucket] of buckets) {
      if (bucket.startMs + bucket.lengthMs < wallNowMs - RETENTION_MS) buckets.delete(key)
    }
  }

  return { add, all: () => [...buckets.values()], expire }
}
