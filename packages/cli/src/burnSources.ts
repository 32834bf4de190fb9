/** Collects the service-level buckets from entries and the control leader. */
import type * as protocol from '@ebonyweir/protocol'
import * as burn from '@ebonyweir/telemetry/burn'

/** A process that the report could not read. */
export interface UnreachedSource {
  readonly address: string
  readonly detail: string
}

/** Merged buckets and objectives of all sources that answered. */
export interface MergedBurn {
  readonly cell: string
  /** Latest wall clock of a source. */
  readonly nowMs: number
  readonly objectives: readonly protocol.operatorApi.ServiceObjective[]
  readonly buckets: readonly protocol.operatorApi.BurnBucket[]
}

/** Burn of one service with its objective's rule and its buckets. */
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
  /** Highest p99 of the buckets in it, in milliseconds. */
  readonly p99Ms: number
}

/** Document of `report burn --json`. */
export interface BurnReport {
  readonly cell: string
  readonly nowMs: number
  readonly services: readonly ReportedService[]
  /** Names of the sources whose answers the report is made from. */
  readonly sources: readonly string[]
  readonly unreached: readonly UnreachedSource[]
}

/** Length of one interval of the plots. */
export const INTERVAL_MS = 60_000

/** Merges answers; a bucket that an entry and the control leader both hold is counted once. */
export function mergeAnswers(answers: readonly protocol.operatorApi.BurnAnswer[]): MergedBurn {
  const objectives = new Map<string, protocol.operatorApi.ServiceObjective>()
  const buckets = new Map<string, protocol.operatorApi.BurnBucket>()
  for (const answer of answers) {
    for (const objective of answer.objectives) objectives.set(objective.service, objective)
    for (const [key, bucket] of sumRestarts(answer.buckets)) {
      const known = buckets.get(key)
      // Counts only grow, so the copy with more requests is the newer one.
      if (known === undefined || countAll(bucket) > countAll(known)) buckets.set(key, bucket)
    }
  }
  return {
    cell: answers[0]?.cell ?? '',
    nowMs: Math.max(0, ...answers.map((answer) => answer.nowMs)),
    objectives: [...objectives.values()],
    buckets: [...buckets.values()],
  }
}

/** Sums buckets that an entry counted before and after a restart within the same interval. */
function sumRestarts(
  buckets: readonly protocol.operatorApi.BurnBucket[],
): ReadonlyMap<string, protocol.operatorApi.BurnBucket> {
  const sums = new Map<string, protocol.operatorApi.BurnBucket>()
  for (const bucket of buckets) {
    const key = keyOf(bucket)
    const known = sums.get(key)
    sums.set(key, known === undefined ? bucket : add(known, bucket))
  }
  return sums
}

function add(
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

function countAll(bucket: protocol.operatorApi.BurnBucket): number {
  return bucket.good + bucket.late + bucket.failed + bucket.refused
}

/** Computes the report. */
export function computeReport(
  answers: readonly protocol.operatorApi.BurnAnswer[],
  unreached: readonly UnreachedSource[],
): BurnReport {
  const merged = mergeAnswers(answers)
  const services = merged.objectives.map((objective) => {
    const own = merged.buckets.filter((bucket) => bucket.service === objective.service)
    return {
      ...burn.computeServiceBurn(objective.service, objective.objective, own, merged.nowMs),
      targetMs: objective.targetMs,
      rule: objective.rule,
      intervals: sumIntervals(own, objective.objective),
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

function keyOf(bucket: protocol.operatorApi.BurnBucket): string {
  const { entry, service, startMs, endpoint, failureDomain } = bucket
  return JSON.stringify([entry, service, startMs, endpoint, failureDomain])
}
