/** Converts rules parsed by the `rules` package to the form that the control state uses. */
import * as rules from '@ebonyweir/rules'
import * as result from 'ts-results-es'
import * as records from './records.js'
import type * as types from './types.js'

/** File name in parse errors. The CLI replaces it with the name of the actual file. */
const SOURCE_NAME = 'rules'

const sourceOf = ({ key, line, requestedBy }: types.RuleSource): types.RuleSource => ({
  key,
  line,
  requestedBy,
})

const resourcesOf = ({ cpuMillis, memoryMb, accelerators }: types.Resources): types.Resources => ({
  cpuMillis,
  memoryMb,
  accelerators,
})

const mapValues = <A, B>(map: ReadonlyMap<string, A>, change: (value: A) => B): Map<string, B> =>
  new Map([...map].map(([name, value]) => [name, change(value)]))

const weightingOf = (set: rules.RuleSet): types.Weighting => {
  const rule = set.weightings.get('default')
  if (rule === undefined) return records.EMPTY_RULES.weighting
  const { throughput, evictions, tail } = rule
  return { throughput, evictions, tail }
}

const toRuleSet = (set: rules.RuleSet): types.RuleSet => ({
  records: set.rules.map((rule) => rules.toRuleRecord(rule)),
  services: mapValues(set.services, (rule) => ({
    ...sourceOf(rule),
    runners: rule.runners,
    resources: resourcesOf(rule),
    targetMs: rule.targetMs,
  })),
  teams: mapValues(set.teams, (rule) => ({
    ...sourceOf(rule),
    quota: resourcesOf(rule),
    weight: rule.weight,
  })),
  placements: [...set.placements.values()].map((rule) => ({
    ...sourceOf(rule),
    match: rule.match,
    failureDomains: rule.failureDomains,
    spread: rule.spread,
  })),
  failureDomains: mapValues(set.failureDomains, (rule) => ({
    ...sourceOf(rule),
    state: rule.state,
  })),
  guards: mapValues(set.guards, (rule) => ({
    ...sourceOf(rule),
    maxSlowdown: rule.maxSlowdown,
    throttleFloorPercent: rule.throttleFloorPercent,
  })),
  weighting: weightingOf(set),
})

/** Parses a rules text with the `rules` package. */
export const parseRulesText: types.ParseRules = (text) => {
  const parsed = rules.parseRules(text, SOURCE_NAME)
  if (parsed.isOk()) return result.Ok(toRuleSet(parsed.value))
  const errors = parsed.error.mistakes.map(({ line, field, message }) => ({
    line,
    message: field === '' ? message : `${field}: ${message}`,
  }))
  return result.Err(errors)
}
