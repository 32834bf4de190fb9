import type * as protocol from '@ebonyweir/protocol'
import * as record from '@ebonyweir/rules/record'

/** Settings of a service rule that apply to the request path; see the fields of `service.NAME`. */
export type ServicePolicy = Omit<record.ServiceRule, 'key' | 'kind' | 'body'>

/** Splits a rule key, "kind.name". */
export const splitKey = (key: string): readonly [kind: string, name: string] => {
  const dot = key.indexOf('.')
  return dot < 0 ? [key, ''] : [key.slice(0, dot), key.slice(dot + 1)]
}

/** Parses a service rule; undefined if this version does not support it. */
export const readServicePolicy = (rule: protocol.common.RuleRecord): ServicePolicy | undefined => {
  const parsed = record.parseRuleRecord(rule)
  return parsed.isOk() && parsed.value.kind === 'service' ? parsed.value : undefined
}

/** Whether a rule takes its failure domain out of service; an unreadable rule does. */
export const takesOutOfService = (rule: protocol.common.RuleRecord): boolean => {
  const parsed = record.parseRuleRecord(rule)
  return parsed.isErr() || (parsed.value.kind === 'failureDomain' && parsed.value.state === 'out')
}
