import * as protocol from '@ebonyweir/protocol'
import * as results from 'ts-results-es'
import * as servicePolicy from './servicePolicy.js'

/** Why a configuration from control was refused. */
export interface ConfigRefusal {
  readonly reason: 'older-epoch' | 'older-revision'
  readonly detail: string
}

/** Configuration of a process and its lease. Times are those of the process's monotonic clock. */
export interface ConfigView {
  /** Applies the reply to a sync; the lease starts at `sentAtMs`, when that sync was sent. */
  readonly apply: (
    delta: protocol.control.ConfigDelta,
    sentAtMs: number,
  ) => results.Result<void, ConfigRefusal>
  /** False before the first sync and after the lease has expired; new work is then refused as "not run". */
  readonly inForce: (nowMs: number) => boolean
  readonly revision: () => number
  readonly epoch: () => number
  readonly rule: (key: string) => protocol.common.RuleRecord | undefined
  readonly service: (name: string) => servicePolicy.ServicePolicy | undefined
  readonly services: () => readonly servicePolicy.ServicePolicy[]
  /** The rule that takes a failure domain out of service; undefined if it is in service. */
  readonly outOfServiceRule: (failureDomain: string) => protocol.common.RuleRecord | undefined
}

/** Creates the configuration of one process; it is empty and not in force until the first sync. */
export const createConfigView = (leaseMs = protocol.limits.CONFIG_LEASE_MS): ConfigView => {
  const rules = new Map<string, protocol.common.RuleRecord>()
  const services = new Map<string, servicePolicy.ServicePolicy>()
  const outRules = new Map<string, protocol.common.RuleRecord>()
  let revision = 0
  let epoch = 0
  let leaseUntilMs = -Infinity

  const removeRule = (key: string): void => {
    const [kind, name] = servicePolicy.splitKey(key)
    rules.delete(key)
    if (kind === 'service') services.delete(name)
    if (kind === 'failureDomain') outRules.delete(name)
  }

  const storeRule = (rule: protocol.common.RuleRecord): void => {
    removeRule(rule.key)
    rules.set(rule.key, rule)
    const [kind, name] = servicePolicy.splitKey(rule.key)
    const policy = kind === 'service' ? servicePolicy.readServicePolicy(rule) : undefined
    if (policy !== undefined) services.set(name, policy)
    if (kind === 'failureDomain' && servicePolicy.takesOutOfService(rule)) outRules.set(name, rule)
  }

  const refuse = (reason: ConfigRefusal['reason'], detail: string) =>
    results.Err({ reason, detail })

  return {
    apply: (delta, sentAtMs) => {
      if (delta.epoch < epoch) {
        return refuse('older-epoch', `epoch ${delta.epoch} is below ${epoch}`)
      }
      if (delta.revision < revision) {
        return refuse('older-revision', `revision ${delta.revision} is below ${revision}`)
      }
      if (delta.full) for (const key of [...rules.keys()]) removeRule(key)
      for (const key of delta.removed) removeRule(key)
      for (const rule of delta.rules) storeRule(rule)
      epoch = delta.epoch
      revision = delta.revision
      leaseUntilMs = Math.max(leaseUntilMs, sentAtMs + leaseMs)
      return results.Ok(undefined)
    },
    inForce: (nowMs) => nowMs < leaseUntilMs,
    revision: () => revision,
    epoch: () => epoch,
    rule: (key) => rules.get(key),
    service: (name) => services.get(name),
    services: () => [...services.values()],
    outOfServiceRule: (failureDomain) => outRules.get(failureDomain),
  }
}
