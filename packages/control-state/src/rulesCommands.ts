/** Acceptance of rule revisions, with digests that detect resends, and deltas for receivers. */
import * as crypto from 'node:crypto'
import type * as protocol from '@ebonyweir/protocol'
import * as limits from './limits.js'
import type * as outcome from './outcome.js'
import * as records from './records.js'
import * as serviceTasks from './serviceTasks.js'
import type * as types from './types.js'

const digestOf = (operator: string, text: string): string =>
  crypto
    .createHash('sha256')
    .update(JSON.stringify([operator, text]))
    .digest('base64')

const dropOldest = (map: Map<unknown, unknown>, limit: number): void => {
  for (const key of map.keys()) {
    if (map.size <= limit) return
    map.delete(key)
  }
}

const answerKnownRevision = (
  rules: records.RuleState,
  revision: number,
  digest: string,
): outcome.Outcome => {
  const entry = rules.history.get(revision)
  if (entry === undefined) {
    const oldestRevision = rules.history.keys().next().value ?? rules.revision
    return { kind: 'rulesTooOld', oldestRevision }
  }
  if (entry.digest === digest) return { kind: 'rulesAccepted', revision, resent: true }
  return { kind: 'rulesConflict', revision, operator: entry.operator }
}

const sameRecord = (
  a: protocol.common.RuleRecord | undefined,
  b: Omit<protocol.common.RuleRecord, 'changedAtRevision'>,
): a is protocol.common.RuleRecord =>
  a?.body === b.body && a.line === b.line && a.requestedBy === b.requestedBy

const replaceRecords = (rules: records.RuleState, set: types.RuleSet, revision: number): void => {
  const next = new Map<string, protocol.common.RuleRecord>()
  for (const record of set.records) {
    const old = rules.records.get(record.key)
    const { key, line, requestedBy, body } = record
    const changed = { key, line, requestedBy, body, changedAtRevision: revision }
    next.set(key, sameRecord(old, record) ? old : changed)
    rules.removed.delete(key)
  }
  for (const key of rules.records.keys()) {
    if (!next.has(key)) rules.removed.set(key, revision)
  }
  for (const [key, removedAt] of rules.removed) {
    if (rules.removed.size <= limits.MAX_REMOVED_RULES) break
    rules.removed.delete(key)
    rules.deltaFrom = removedAt
  }
  rules.records = next
}

export const applyRules = (
  tables: records.Tables,
  command: protocol.command.ApplyRules,
  parseRules: types.ParseRules,
): outcome.Outcome => {
  const { rules } = tables
  const { expectedRevision, operator, text } = command
  const revision = expectedRevision + 1
  const digest = digestOf(operator, text)
  if (expectedRevision < 0 || expectedRevision > rules.revision) {
    const reason = `expected revision ${expectedRevision} is not in the history; the current revision is ${rules.revision}`
    return { kind: 'refused', reason }
  }
  if (expectedRevision < rules.revision) return answerKnownRevision(rules, revision, digest)
  const parsed = parseRules(text)
  if (parsed.isErr()) return { kind: 'rulesRefused', errors: parsed.error }
  rules.revision = revision
  rules.operator = operator
  rules.acceptedAtMs = tables.logTimeMs
  rules.text = text
  rules.history.set(revision, { digest, operator })
  dropOldest(rules.history, limits.MAX_RULE_HISTORY)
  replaceRecords(rules, parsed.value, revision)
  tables.rules.set = parsed.value
  serviceTasks.refreshServices(tables)
  return { kind: 'rulesAccepted', revision, resent: false }
}

/** Changes after `knownRevision`, or the complete set if no delta can be built. */
export const changesSince = (
  rules: records.RuleState,
  knownRevision: number,
): types.ConfigChanges => {
  const { revision } = rules
  const all = [...rules.records.values()]
  const full = knownRevision < rules.deltaFrom || knownRevision <= 0 || knownRevision > revision
  if (full) return { revision, full, rules: all, removed: [] }
  const removed = [...rules.removed].filter(([, at]) => at > knownRevision).map(([key]) => key)
  const changed = all.filter((record) => record.changedAtRevision > knownRevision)
  return { revision, full, rules: changed, removed }
}
