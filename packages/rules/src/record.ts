/** Distributed rules; a separate module so that entries and agents load little code. */
import * as fields from '@ebonyweir/settings/fields'
import * as toml from 'smol-toml'
import * as results from 'ts-results-es'

import * as schema from './schema.js'
import type * as types from './types.js'

export type * from './types.js'

/** File name in the errors of a distributed rule. */
const RECORD_SOURCE = 'distributed rule'

/**
 * Parses one distributed rule. The control group validated it on acceptance, so unknown fields come
 * from a newer version and are ignored. An error means that this version cannot apply the rule.
 */
export function parseRuleRecord(
  record: types.DistributedRule,
): results.Result<types.Rule, types.RuleMistake> {
  const fail = (message: string): results.Result<types.Rule, types.RuleMistake> =>
    results.Err({ fileName: RECORD_SOURCE, line: record.line, field: record.key, message })
  const [kind = '', name = ''] = record.key.split('.')
  if (!isRuleKind(kind)) return fail(`unknown kind "${kind}"`)
  const table = parseBody(record.body)
  if (table === undefined) return fail('the body is not a TOML inline table')
  const values = fields.readFields<fields.Fields>(schema.kindFields[kind], table)
  if (values === undefined) return fail('a field does not have the form that this version accepts')
  const { key, line, requestedBy, body } = record
  return results.Ok({ ...values, kind, name, key, line, requestedBy, body } as types.Rule)
}

/** Returns the form in which a rule is distributed. */
export function toRuleRecord(rule: types.Rule): types.DistributedRule {
  const { key, line, requestedBy, body } = rule
  return { key, line, requestedBy, body }
}

/** Formats a rule's origin as "rules line 7 (requested by Yann Le Goff)", for errors and logs. */
export function describeRule(rule: Pick<types.Rule, 'line' | 'requestedBy'>): string {
  return `rules line ${rule.line} (requested by ${rule.requestedBy})`
}

/** True if `kind` is a kind of rule that this version knows. */
export function isRuleKind(kind: string): kind is schema.RuleKind {
  return Object.hasOwn(schema.kindFields, kind)
}

function parseBody(body: string): Readonly<Record<string, unknown>> | undefined {
  try {
    const parsed = toml.parse(`body = ${body}`).body
    return isTable(parsed) ? parsed : undefined
  } catch (error) {
    if (error instanceof toml.TomlError) return undefined
    throw error
  }
}

function isTable(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
