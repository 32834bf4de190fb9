/** Parses the text of a rules file into typed rules. */
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
  // Runs only if every line is valid; otherwise an invalid line would also be reported as a missing rule.
  const conflicts = crossChecks.checkAcrossRules(rules, fileName)
  if (conflicts.length > 0) return results.Err({ mistakes: conflicts })
  return results.Ok(createRuleSet(rules))
}

/** Indexes rules by kind and name. */
export function createRuleSet(rules: readonly types.Rule[]): types.RuleSet {
  const indexKind = <K extends schema.RuleKind>(kind: K) =>
    new Map(
      rules
        .filter((rule): rule is Extract<types.Rule, { kind: K }> => rule.kind === kind)
        .map((rule) => [rule.name, rule] as const),
    )
  return {
    rules,
    services: indexKind('service'),
    teams: indexKind('team'),
    placements: indexKind('placement'),
    failureDomains: indexKind('failureDomain'),
    guards: indexKind('guard'),
    weightings: indexKind('weighting'),
  }
}

/** Formats a mistake as "rules.toml:7: service.swap-desk.slots: …". */
export function formatRuleMistake(mistake: types.RuleMistake): string {
  const location = `${mistake.fileName}:${mistake.line}`
  return mistake.field === ''
    ? `${location}: ${mistake.message}`
    : `${location}: ${mistake.field}: ${mistake.message}`
}

interface LineLocation {
  readonly fileName: string
  readonly line: number
}

function parseLine(
  lineText: string,
  location: LineLocation,
): results.Result<types.Rule, readonly types.RuleMistake[]> {
  const fail = (field: string, message: string): results.Err<readonly types.RuleMistake[]> =>
    results.Err([{ ...location, field, message }])
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
    ...location,
    field: `${key}.${field}`,
    message,
  }))
  if (comment === '') {
    const message = 'the line has no comment; end it with "# NAME" to say who asked for the rule'
    mistakes.push({ ...location, field: key, message })
  }
  if (mistakes.length > 0) return results.Err(mistakes)
  const origin = { kind, name, key, line: location.line, requestedBy: comment, body }
  return results.Ok({ ...checked.values, ...origin } as unknown as types.Rule)
}
