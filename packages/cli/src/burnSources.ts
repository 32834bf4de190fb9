/** Merges the service-level buckets of entries and the control leader into a burn report. */
import type * as protocol from '@ebonyweir/protocol'
import * as burn from '@ebonyweir/telemetry/burn'

/** A process whose buckets could not be read. */
export interface UnreachableSource {
  readonly address: string
  readonly detail: string
}

/** Merged buckets and objectives of all sources that answered. */
export interface MergedBurn {
  readonly cell: string
  /** Latest wall-clock time reported by a source. */
  readonly nowMs: number
  readonly objectives: readonly protocol.operatorApi.ServiceObjective[]
  readonly buckets: readonly protocol.operatorApi.BurnBucket[]
}

/** Burn of one service, with the rule that sets its objective. */
export interface ReportedService extends burn.ServiceBurn {
  readonly targetMs: number
  readonly rule: protocol.operatorApi.RuleReference
  /** Buckets of all entries summed over intervals of `INTERVAL_MS`, oldest first. */
  readonly intervals: readonly BurnInterval[]
}

/** Requests of one service in one interval. */
export interface BurnInterval {
  readonly startMs: number
  readonly bad: number
  readonly total: number
  readonly rate: number
  /** Highest p99 of the buckets in this interval. */
  readonly p99Ms: number
}

/** Document of `report burn --json`. */
export interface BurnReport {
  readonly cell: string
  readonly nowMs: number
  readonly services: readonly ReportedService[]
  /** Sources that answered, as "ROLE NAME". */
  readonly sources: readonly string[]
  readonly unreached: readonly UnreachableSource[]
}

/** Length of one plotted interval. */
export const INTERVAL_MS = 60_000

/** Merges answers; a bucket reported by both an entry and the control leader is counted once. */
export function mergeAnswers(answers: readonly protocol.operatorApi.BurnAnswer[]): MergedBurn {
  const objectives = new Map<string, protocol.operatorApi.ServiceObjective>()
  const buckets = new Map<string, protocol.operatorApi.BurnBucket>()
  for (const answer of answers) {
    for (const objective of answer.objectives) objectives.set(objective.service, objective)
    for (const [key, bucket] of mergeRestartedBuckets(answer.buckets)) {
      const known = buckets.get(key)
      // Counts never decrease, so the copy with more requests is the newer one.
      if (known === undefined || countRequests(bucket) > countRequests(known))
        buckets.set(key, bucket)
    }
  }
  return {
    cell: answers[0]?.cell ?? '',
    nowMs: Math.max(0, ...answers.map((answer) => answer.nowMs)),
    objectives: [...objectives.values()],
    buckets: [...buckets.values()],
  }
}

/** Sums the buckets that an entry recorded before and after a restart in the same interval. */
function mergeRestartedBuckets(
  buckets: readonly protocol.operatorApi.BurnBucket[],
): ReadonlyMap<string, protocol.operatorApi.BurnBucket> {
  const sums = new Map<string, protocol.operatorApi.BurnBucket>()
  for (const bucket of buckets) {
    const key = createBucketKey(bucket)
    const known = sums.get(key)
    sums.set(key, known === undefined ? bucket : addBuckets(known, bucket))
  }
  return sums
}

function addBuckets(
  first: protocol.operatorApi.BurnBucket,
  second: protocol.operatorApi.BurnBucket,
): protocol.operatorApi.BurnBucket {
  return {
    ...second,
    good: first.good + second.good,
    late: first.late + second.late,
    failed: first.failed + second.failed,
    refused: first.refused + second.refused,
    p99Ms: Math.max(first.p99Ms, second.p99Ms),
  }
}

function countRequests(bucket: protocol.operatorApi.BurnBucket): number {
  return bucket.good + bucket.late + bucket.failed + bucket.refused
}

/** Merges the answers and computes burn rates and plot intervals for each service. */
export function computeReport(
  answers: readonly protocol.operatorApi.BurnAnswer[],
  unreached: readonly UnreachableSource[],
): BurnReport {
  const merged = mergeAnswers(answers)
  const services = merged.objectives.map((objective) => {
    const serviceBuckets = merged.buckets.filter((bucket) => bucket.service === objective.service)
    return {
      ...burn.computeServiceBurn(
        objective.service,
        objective.objective,
        serviceBuckets,
        merged.nowMs,
      ),
      targetMs: objective.targetMs,
      rule: objective.rule,
      intervals: sumIntervals(serviceBuckets, objective.objective),
    }
  })
  const sources = answers.map((answer) => `${answer.role} ${answer.name}`)
  return { cell: merged.cell, nowMs: merged.nowMs, services, sources, unreached }
}

function sumIntervals(
  buckets: readonly protocol.operatorApi.BurnBucket[],
  objective: number,
): readonly BurnInterval[] {
  const byStart = new Map<number, protocol.operatorApi.BurnBucket[]>()
  for (const bucket of buckets) {
    const startMs = Math.floor(bucket.startMs / INTERVAL_MS) * INTERVAL_MS
    const group = byStart.get(startMs)
    if (group === undefined) byStart.set(startMs, [bucket])
    else group.push(bucket)
  }
  return [...byStart]
    .sort(([a], [b]) => a - b)
    .map(([startMs, group]) => {
      const counts = burn.countWindow(group, startMs + INTERVAL_MS, INTERVAL_MS)
      const p99Ms = Math.max(...group.map((bucket) => bucket.p99Ms))
      return { startMs, ...counts, rate: burn.burnRate(counts, objective), p99Ms }
    })
}

function createBucketKey(bucket: protocol.operatorApi.BurnBucket): string {
  const { entry, service, startMs, endpoint, failureDomain } = bucket
  return JSON.stringify([entry, service, startMs, endpoint, failureDomain])
}
