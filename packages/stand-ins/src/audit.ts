/** Checks the records that the observers wrote during a run against the audit rules. */
import * as auditRequests from './auditRequests.js'
import * as auditTasks from './auditTasks.js'
import * as types from './auditTypes.js'
import type * as record from './record.js'

export type { AuditOptions, AuditRule, Finding } from './auditTypes.js'

/** Result of an audit, with the number of records checked by kind. */
export interface AuditResult {
  readonly findings: readonly types.Finding[]
  readonly counts: Readonly<Partial<Record<record.ObserverRecord['kind'], number>>>
}

const auditRevisionsSeen = (
  records: readonly record.ObserverRecord[],
  configMs: number,
): readonly types.Finding[] => {
  const accepted = types.ofKind(records, 'revisionAccepted')
  // Revision 0: the process has no configuration in force and refuses new work.
  const seen = types.ofKind(records, 'revisionSeen').filter((r) => r.revision > 0)
  const perProcess = types.groupBy(seen, (r) => r.process)
  return [...perProcess.values()].flatMap((views) =>
    views.flatMap((view, index) => {
      const highestSeen = Math.max(0, ...views.slice(0, index).map((v) => v.revision))
      const highestDue = Math.max(
        0,
        ...accepted.filter((a) => a.atMs + configMs < view.askedMs).map((a) => a.revision),
      )
      const minimum = Math.max(highestSeen, highestDue)
      if (view.revision >= minimum) return []
      const detail = `${view.process} has revision ${view.revision} in force, expected ${minimum} or later`
      return [{ rule: 'revision went back' as const, detail, atMs: view.atMs }]
    }),
  )
}

const auditRevisionsAccepted = (
  records: readonly record.ObserverRecord[],
): readonly types.Finding[] => {
  const accepted = types.groupBy(types.ofKind(records, 'revisionAccepted'), (r) => `${r.revision}`)
  return [...accepted.values()].flatMap((group) => {
    const other = group.find((r) => r.digest !== group[0]?.digest)
    if (other === undefined) return []
    const detail = `revision ${other.revision} was accepted with two contents`
    return [{ rule: 'two changes under one revision' as const, detail, atMs: other.atMs }]
  })
}

/** Audits the records of one run, given in any order. */
export const audit = (
  unordered: readonly record.ObserverRecord[],
  options: types.AuditOptions = {},
): AuditResult => {
  const records = unordered.toSorted((a, b) => a.atMs - b.atMs)
  const counts: Partial<Record<record.ObserverRecord['kind'], number>> = {}
  for (const r of records) counts[r.kind] = (counts[r.kind] ?? 0) + 1
  const findings = [
    ...auditTasks.auditTasks(records, options),
    ...auditRequests.auditRequests(records, options),
    ...auditRevisionsSeen(records, options.configMs ?? 5000),
    ...auditRevisionsAccepted(records),
  ]
  return { findings: findings.toSorted((a, b) => a.atMs - b.atMs), counts }
}
