/** Rules file text to typed rules. */
import * as fields from '@ebonyweir/settings/fields'
import * as results from 'ts-results-es'

import * as crossChecks from './crossChecks.js'
import * as line from './line.js'
import * as record from './record.js'
import * as schema from './schema.js'
import type * as types from './types.js'

/** Parses and checks a rules file. Errors list every mistake with file, line, field and accepted form. */
export function parseRules(
  text: string,
  fileName: string,
): results.Result<types.RuleSet, types.RulesError> {
  const mistakes: types.RuleMistake[] = []
  const rules: types.Rule[] = []
  text.split(/\r?\n/u).forEach((lineText, index) => {
    if (line.isBlankOrComment(lineText)) return
    const parsed = parseLine(lineText, { fileName, line: index + 1 })
    if (parsed.isOk()) rules.push(parsed.value)
    else mistakes.push(...parsed.error)
  })
  if (mistakes.length > 0) return results.Err({ mistakes })
  // Checked only when every line is sound; a faulty line would also be reported as a missing rule.
  const conflicts = crossChecks.checkAcrossRules(rules, fileName)
  if (conflicts.length > 0) return results.Err({ mistakes: conflicts })
  return results.Ok(createRuleSet(rules))
}

/** Indexes rules by kind and name. */
export function createRuleSet(rules: readonly types.Rule[]): types.RuleSet {
  const pick = <K extends schema.RuleKind>(kind: K) =>
    new Map(
      rules
        .filter((rule): rule is Extract<types.Rule, { kind: K }> => rule.kind === kind)
        .map((rule) => [rule.name, rule] as const),
    )
  return {
    rules,
    services: pick('service'),
    teams: pick('team'),
    placements: pick('placement'),
    failureDomains: pick('failureDomain'),
    guards: pick('guard'),
    weightings: pick('weighting'),
  }
}

/** "rules.toml:7: service.swap-desk.slots: …". */
export function formatRuleMistake(mistake: types.RuleMistake): string {
  const place = `${mistake.fileName}:${mistake.line}`
  return mistake.field === ''
    ? `${place}: ${mistake.message}`
    : `${place}: ${mistake.field}: ${mistake.message}`
}

interface Place {
  readonly fileName: string
  readonly line: number
}

function parseLine(
  lineText: string,
  place: Place,
): results.Result<types.Rule, readonly types.RuleMistake[]> {
  const fail = (field: string, message: string): results.Err<readonly types.RuleMistake[]> =>
    results.Err([{ ...place, field, message }])
  const parts = line.splitRuleLine(lineText)
  if (parts.isErr()) return fail('', parts.error)
  const { kind, name, table, body, comment } = parts.value
  const key = `${kind}.${name}`
  if (!record.isRuleKind(kind)) {
    return fail(key, `kind "${kind}" is ${fields.describeUnknown(kind, schema.ruleKinds)}`)
  }
  if (!schema.NAME_PATTERN.test(name)) return fail(key, `"${name}" is not ${schema.NAME_FORM}`)
  const checked = fields.checkFields<fields.Fields>(schema.kindFields[kind], table)
  const mistakes = checked.mistakes.map(({ field, message }) => ({
    ...place,
    field: `${key}.${field}`,
    message,
  }))
  if (comment === '') {
    const message = 'the line has no comment; end it with "# NAME" to say who asked for the rule'
    mistakes.push({ ...place, field: key, message })
  }
  if (mistakes.length > 0) return results.Err(mistakes)
  const origin = { kind, name, key, line: place.line, requestedBy: comment, body }
  return results.Ok({ ...checked.values, ...origin } as unknown as types.Rule)
}
