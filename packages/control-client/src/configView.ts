import * as protocol from '@ebonyweir/protocol'
import * as results from 'ts-results-es'
import * as servicePolicy from './servicePolicy.js'

/** Why a configuration from control was refused. */
export interface ConfigRefusal {
  readonly reason: 'older-epoch' | 'older-revision'
  readonly detail: string
}

/** Configuration that a process has in force, with its lease. Times are the process's monotonic clock. */
export interface ConfigView {
  /** Applies an answered sync; the lease runs from `sentAtMs`, when that sync was sent. */
  readonly apply: (
    delta: protocol.control.ConfigDelta,
    sentAtMs: number,
  ) => results.Result<void, ConfigRefusal>
  /** False before the first sync and after the lease: new work is refused as "not run". */
  readonly inForce: (nowMs: number) => boolean
  readonly revision: () => number
  readonly epoch: () => number
  readonly rule: (key: string) => protocol.common.RuleRecord | undefined
  readonly service: (name: string) => servicePolicy.ServicePolicy | undefined
  readonly services: () => readonly servicePolicy.ServicePolicy[]
  /** The rule that takes a failure domain out, or undefined when it is in service. */
  readonly outRule: (failureDomain: string) => protocol.common.RuleRecord | undefined
}

/** Creates the configuration of one process. It starts empty and not in force. */
export const createConfigView = (leaseMs = protocol.limits.CONFIG_LEASE_MS): ConfigView => {
  const rules = new Map<string, protocol.common.RuleRecord>()
  const services = new Map<string, servicePolicy.ServicePolicy>()
  const out = new Map<string, protocol.common.RuleRecord>()
  let revision = 0
  let epoch = 0
  let leaseUntilMs = -Infinity

  const forget = (key: string): void => {
    const [kind, name] = servicePolicy.splitKey(key)
    rules.delete(key)
    if (kind === 'service') services.delete(name)
    if (kind === 'failureDomain') out.delete(name)
  }

  const remember = (rule: protocol.common.RuleRecord): void => {
    forget(rule.key)
    rules.set(rule.key, rule)
    const [kind, name] = servicePolicy.splitKey(rule.key)
    const policy = kind === 'service' ? servicePolicy.readServicePolicy(rule) : undefined
    if (policy !== undefined) services.set(name, policy)
    if (kind === 'failureDomain' && servicePolicy.takesOut(rule)) out.set(name, rule)
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
      if (delta.full) for (const key of [...rules.keys()]) forget(key)
      for (const key of delta.removed) forget(key)
      for (const rule of delta.rules) remember(rule)
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
    outRule: (failureDomain) => out.get(failureDomain),
  }
}
