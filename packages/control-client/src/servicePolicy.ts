import type * as protocol from '@ebonyweir/protocol'
import * as toml from 'smol-toml'

/** What a service rule asks of the request path. */
export interface ServicePolicy {
  readonly service: string
  /** Requests that one endpoint runs at a time. */
  readonly slots: number
  /** Connections that are held to one endpoint. */
  readonly connections: number
  /** Requests of the service that may wait in one entry instance. */
  readonly queue: number
  /** Deadline of a request that names none. */
  readonly timeoutMs: number
  /** Answer time up to which a request counts as good. */
  readonly targetMs: number
  /** Share of requests that have to be good. */
  readonly objective: number
  /** Idempotent requests may be hedged. */
  readonly quick: boolean
  /** Weights of callers in the fair share; others weigh 1. */
  readonly callerWeights: ReadonlyMap<string, number>
  readonly line: number
  readonly requestedBy: string
}

const DEFAULT_SLOTS = 8
const DEFAULT_CONNECTIONS = 64
const DEFAULT_QUEUE = 64
const DEFAULT_TIMEOUT_MS = 2_000
const DEFAULT_TARGET_MS = 100
const DEFAULT_OBJECTIVE = 0.99

/** Splits "kind.name"; the name may contain dots. */
export const splitKey = (key: string): readonly [kind: string, name: string] => {
  const dot = key.indexOf('.')
  return dot < 0 ? [key, ''] : [key.slice(0, dot), key.slice(dot + 1)]
}

// Control checked the rule before it committed it; a body that cannot be read yields defaults.
const readBody = (rule: protocol.common.RuleRecord): Readonly<Record<string, unknown>> => {
  try {
    const { body } = toml.parse(`body = ${rule.body}`)
    return typeof body === 'object' ? (body as Readonly<Record<string, unknown>>) : {}
  } catch {
    return {}
  }
}

const numberOf = (value: unknown, fallback: number): number =>
  typeof value === 'number' && Number.isFinite(value) && value >= 0 ? value : fallback

const readWeights = (value: unknown): ReadonlyMap<string, number> => {
  if (typeof value !== 'object' || value === null) return new Map()
  const pairs = Object.entries(value).map(([name, weight]) => [name, numberOf(weight, 1)] as const)
  return new Map(pairs.filter(([, weight]) => weight > 0))
}

/** Reads the fields of a service rule that the request path uses. */
export const readServicePolicy = (
  service: string,
  rule: protocol.common.RuleRecord,
): ServicePolicy => {
  const body = readBody(rule)
  return {
    service,
    slots: numberOf(body.slots, DEFAULT_SLOTS),
    connections: numberOf(body.connections, DEFAULT_CONNECTIONS),
    queue: numberOf(body.queue, DEFAULT_QUEUE),
    timeoutMs: numberOf(body.timeoutMs, DEFAULT_TIMEOUT_MS),
    targetMs: numberOf(body.targetMs, DEFAULT_TARGET_MS),
    objective: numberOf(body.objective, DEFAULT_OBJECTIVE),
    quick: body.quick === true,
    callerWeights: readWeights(body.callerWeights),
    line: rule.line,
    requestedBy: rule.requestedBy,
  }
}

/** True if a failure domain rule says that the failure domain is out. */
export const takesOut = (rule: protocol.common.RuleRecord): boolean =>
  readBody(rule).state === 'out'
