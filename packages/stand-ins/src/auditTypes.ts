/** Rules, options and findings of the audit, and helpers for observer records. */
import type * as record from './record.js'

/** Rules that the audit checks. */
export type AuditRule =
  | 'task in two places'
  | 'attempt order'
  | 'completed again'
  | 'checkpoint'
  | 'capacity'
  | 'start in a failure domain that is out'
  | 'execution in a failure domain that is out'
  | 'endpoint limits'
  | 'ran more than once'
  | 'ran after not run'
  | 'cut body reached an endpoint'
  | 'answer not whole or not matched'
  | 'answer without execution'
  | 'work at a leaving endpoint'
  | 'cut by a graceful shutdown'
  | 'revision went back'
  | 'two changes under one revision'

/** One violation of a rule. */
export interface Finding {
  readonly rule: AuditRule
  readonly detail: string
  /** Monotonic time of the record that shows the violation. */
  readonly atMs: number
}

/** Time limits of the audit; the defaults are the limits that the product guarantees. */
export interface AuditOptions {
  /** Time after a failure domain was taken out in which tasks may start. @default 3000 */
  readonly outStartMs?: number
  /** Time after a failure domain was taken out in which requests may start. @default 5000 */
  readonly outRequestMs?: number
  /** Time after an endpoint announced that it is leaving in which requests may start. @default 1000 */
  readonly leavingMs?: number
  /** The same for an endpoint whose announcement was lost. @default 3000 */
  readonly unannouncedLeavingMs?: number
  /** Time within which an accepted revision has to be in force everywhere. @default 5000 */
  readonly configMs?: number
  /** True if all processes were stopped gracefully, so no request may be cut or have an unknown outcome. */
  readonly gracefulOnly?: boolean
}

/** One run of a task on a worker, from start to stop. */
export interface TaskRun {
  readonly worker: string
  readonly pid: number
  readonly task: string
  readonly attempt: number
  readonly checkpoint: string
  readonly failureDomain: string
  readonly resources: record.Resources
  readonly startMs: number
  /** Latest time at which the task can have done work. */
  readonly endMs: number
  /** Undefined if the worker recorded no stop. */
  readonly stop?: Extract<record.ObserverRecord, { readonly kind: 'taskStopped' }>
}

/** Records of one kind. */
export type RecordOf<K extends record.ObserverRecord['kind']> = Extract<
  record.ObserverRecord,
  { readonly kind: K }
>

/** Selects the records of one kind, in order. */
export const ofKind = <K extends record.ObserverRecord['kind']>(
  records: readonly record.ObserverRecord[],
  kind: K,
): readonly RecordOf<K>[] => records.filter((r): r is RecordOf<K> => r.kind === kind)

/** Groups values by key; order is kept. */
export const groupBy = <T>(
  values: readonly T[],
  keyOf: (value: T) => string,
): ReadonlyMap<string, readonly T[]> => {
  const groups = new Map<string, T[]>()
  for (const value of values) {
    const group = groups.get(keyOf(value))
    if (group === undefined) groups.set(keyOf(value), [value])
    else group.push(value)
  }
  return groups
}

/** Intervals during which failure domains were out. */
export const outages = (
  records: readonly record.ObserverRecord[],
): readonly {
  readonly failureDomain: string
  readonly fromMs: number
  readonly toMs: number
}[] => {
  const changes = ofKind(records, 'failureDomainChanged')
  return changes.flatMap((change, index) => {
    if (change.state !== 'out') return []
    const { failureDomain } = change
    const back = changes
      .slice(index + 1)
      .find((c) => c.failureDomain === failureDomain && c.state === 'in')
    return [{ failureDomain, fromMs: change.atMs, toMs: back?.atMs ?? Infinity }]
  })
}
