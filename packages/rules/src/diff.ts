/** Digest and comparison of rules. */
import * as crypto from 'node:crypto'

import type * as types from './types.js'

/** SHA-256 over operator and text, in hexadecimal; identifies a change so that a resend is recognised. */
export function digestRules(operator: string, text: string): string {
  return crypto
    .createHash('sha256')
    .update(JSON.stringify([operator, text]))
    .digest('hex')
}

/** How a rule differs between two rule sets; `moved` means that only its line changed. */
export interface RuleChange {
  readonly key: string
  readonly change: 'added' | 'removed' | 'changed' | 'moved'
  readonly before?: types.Rule
  readonly after?: types.Rule
}

/** Lists the rules that differ: in the order of the newer file, followed by the removed ones. */
export function diffRules(before: types.RuleSet, after: types.RuleSet): readonly RuleChange[] {
  const unmatched = new Map(before.rules.map((rule) => [rule.key, rule] as const))
  const changes: RuleChange[] = []
  for (const rule of after.rules) {
    const previous = unmatched.get(rule.key)
    unmatched.delete(rule.key)
    const change = compare(previous, rule)
    if (change === undefined) continue
    changes.push({ key: rule.key, change, after: rule, ...(previous && { before: previous }) })
  }
  for (const rule of unmatched.values())
    changes.push({ key: rule.key, change: 'removed', before: rule })
  return changes
}

function compare(
  previous: types.Rule | undefined,
  rule: types.Rule,
): RuleChange['change'] | undefined {
  if (previous === undefined) return 'added'
  const same = previous.body === rule.body && previous.requestedBy === rule.requestedBy
  if (!same) return 'changed'
  return previous.line === rule.line ? undefined : 'moved'
}
