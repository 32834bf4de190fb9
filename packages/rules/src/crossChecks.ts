/** Checks that span several fields or rules. */
import type * as types from './types.js'

/** Finds duplicate keys, references to undefined rules and contradicting fields. */
export function checkAcrossRules(
  rules: readonly types.Rule[],
  fileName: string,
): readonly types.RuleMistake[] {
  const byKey = new Map<string, types.Rule>()
  const mistakes: types.RuleMistake[] = []
  for (const rule of rules) {
    const first = byKey.get(rule.key)
    if (first === undefined) byKey.set(rule.key, rule)
    else mistakes.push(createMistake(rule, fileName, '', describeDuplicate(first)))
  }
  for (const rule of rules) {
    for (const { field, message } of checkRule(rule, byKey)) {
      mistakes.push(createMistake(rule, fileName, field, message))
    }
  }
  return mistakes
}

interface Finding {
  readonly field: string
  readonly message: string
}

function checkRule(rule: types.Rule, byKey: ReadonlyMap<string, types.Rule>): readonly Finding[] {
  switch (rule.kind) {
    case 'service':
      return checkService(rule)
    case 'placement':
      return checkPlacement(rule, byKey)
    case 'guard':
      return checkGuard(rule, byKey)
    case 'weighting':
      return checkWeighting(rule)
    case 'team':
    case 'failureDomain':
      return []
  }
}

function checkService(rule: types.ServiceRule): readonly Finding[] {
  if (rule.targetMs <= rule.timeoutMs) return []
  const message = `${rule.targetMs} is above timeoutMs (${rule.timeoutMs}); no answer could be late`
  return [{ field: 'targetMs', message }]
}

function checkPlacement(
  rule: types.PlacementRule,
  byKey: ReadonlyMap<string, types.Rule>,
): readonly Finding[] {
  return rule.failureDomains
    .filter((name) => !byKey.has(`failureDomain.${name}`))
    .map((name) => ({
      field: 'failureDomains',
      message: `"${name}" has no rule; add failureDomain.${name} = { state = "in" } or correct the name`,
    }))
}

function checkGuard(
  rule: types.GuardRule,
  byKey: ReadonlyMap<string, types.Rule>,
): readonly Finding[] {
  if (byKey.has(`service.${rule.name}`)) return []
  return [{ field: '', message: `there is no service.${rule.name} to guard` }]
}

function checkWeighting(rule: types.WeightingRule): readonly Finding[] {
  if (rule.name === 'default') return []
  return [{ field: '', message: 'the only weighting is weighting.default' }]
}

function describeDuplicate(first: types.Rule): string {
  return `already set in line ${first.line} (requested by ${first.requestedBy}); keep one of them`
}

function createMistake(
  rule: types.Rule,
  fileName: string,
  field: string,
  message: string,
): types.RuleMistake {
  return {
    fileName,
    line: rule.line,
    field: field === '' ? rule.key : `${rule.key}.${field}`,
    message,
  }
}
