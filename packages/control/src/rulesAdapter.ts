/** Converts rules parsed by the `rules` package to the form that the control state uses. */
import type * as controlState from '@ebonyweir/control-state'
import * as rules from '@ebonyweir/rules'
import * as results from 'ts-results-es'

const FILE_NAME = 'rules'

const DEFAULT_WEIGHTING: controlState.Weighting = { throughput: 0.5, evictions: 0.5, tail: 0.5 }

const sourceOf = ({ key, line, requestedBy }: rules.Rule): controlState.RuleSource => ({
  key,
  line,
  requestedBy,
})

const resourcesOf = (rule: controlState.Resources): controlState.Resources => ({
  cpuMillis: rule.cpuMillis,
  memoryMb: rule.memoryMb,
  accelerators: rule.accelerators,
})

const mapValues = <From, To>(
  source: ReadonlyMap<string, From>,
  convert: (value: From) => To,
): ReadonlyMap<string, To> =>
  new Map([...source].map(([name, value]) => [name, convert(value)] as const))

const adapt = (set: rules.RuleSet): controlState.RuleSet => ({
  records: set.rules.map(rules.toRuleRecord),
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
  weighting: set.weightings.get('default') ?? DEFAULT_WEIGHTING,
})

/** Rules parser for the control state. It must be identical on every replica. */
export const parseRules: controlState.ParseRules = (text) => {
  const parsed = rules.parseRules(text, FILE_NAME)
  if (parsed.isOk()) return results.Ok(adapt(parsed.value))
  return results.Err(
    parsed.error.mistakes.map((mistake) => ({
      line: mistake.line,
      message: rules.formatRuleMistake(mistake),
    })),
  )
}
