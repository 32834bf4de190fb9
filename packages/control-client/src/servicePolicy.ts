import type * as protocol from '@ebonyweir/protocol'
import * as record from '@ebonyweir/rules/record'

/** What a service rule asks of the request path; see the fields of `service.NAME`. */
export type ServicePolicy = Omit<record.ServiceRule, 'key' | 'kind' | 'body'>

/** Splits "kind.name". */
export const splitKey = (key: string): readonly [kind: string, name: string] => {
  const dot = key.indexOf('.')
  return dot < 0 ? [key, ''] : [key.slice(0, dot), key.slice(dot + 1)]
}

/** Reads a service rule; undefined if this version cannot follow it. */
export const readServicePolicy = (rule: protocol.common.RuleRecord): ServicePolicy | undefined => {
  const parsed = record.parseRuleRecord(rule)
  return parsed.isOk() && parsed.value.kind === 'service' ? parsed.value : undefined
}

/** True if a failure domain rule says that the failure domain is out, or cannot be read. */
export const takesOut = (rule: protocol.common.RuleRecord): boolean => {
  const parsed = record.parseRuleRecord(rule)
  return parsed.isErr() || (parsed.value.kind === 'failureDomain' && parsed.value.state === 'out')
}
