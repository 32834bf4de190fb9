import type * as protocol from '@ebonyweir/protocol'

/** Bounds of an agent's tables; times in milliseconds, sizes in bytes. */
export interface ExecutionLimits {
  /** Lifetime of an endpoint announcement. */
  readonly announcementMs: number
  /** Requests that wait for one endpoint. */
  readonly queuePerEndpoint: number
  /**
   * Time for which a settled request id is remembered. A request whose stamp is older than this is
   * refused, so that no late arrival finds its record gone.
   */
  readonly rememberMs: number
  /** Time for which an answer is kept for Resolve if its entry has not confirmed it. */
  readonly unconfirmedMs: number
  /** Time for which an answer with an idempotency key is kept for resends. */
  readonly retainMs: number
  readonly retainedBytes: number
  /** Request ids in all phases; above it new requests are refused. */
  readonly maxRecords: number
  /** Time after its deadline at which a running request gives up its slot. */
  readonly abandonMs: number
}

export const DEFAULT_LIMITS: ExecutionLimits = {
  announcementMs: 3_000,
  queuePerEndpoint: 8,
  rememberMs: 3_000,
  unconfirmedMs: 3_000,
  retainMs: 300_000,
  retainedBytes: 4 * 1024 * 1024,
  maxRecords: 20_000,
  abandonMs: 10_000,
}

/** Mechanisms that tests and the model checker switch off to see the promise break. */
export interface ExecutionGuards {
  /** Refuse requests addressed to another incarnation. */
  readonly incarnation: boolean
  /** Remember request ids that Resolve called "not run". */
  readonly tombstones: boolean
  /** Refuse requests whose stamp is older than the records. */
  readonly stamps: boolean
  /** Run a request id once. */
  readonly dedup: boolean
  /** Keep to the endpoint's slots. */
  readonly slots: boolean
}

export const ALL_GUARDS: ExecutionGuards = {
  incarnation: true,
  tombstones: true,
  stamps: true,
  dedup: true,
  slots: true,
}

/** An endpoint that announced itself to this agent. */
export interface EndpointState {
  readonly endpoint: string
  readonly service: string
  /** "host:port" for HTTP. */
  readonly address: string
  readonly slots: number
  readonly connections: number
  readonly leaving: boolean
  readonly expiresAtMs: number
  readonly running: number
  /** Moving average of the service time. */
  readonly serviceTimeMs: number
}

/** A request that waits or runs. */
export interface ActiveRecord {
  readonly requestId: string
  readonly phase: 'queued' | 'running'
  readonly endpoint: string
  readonly caller: string
  readonly retain: boolean
  readonly deadlineMs: number
  readonly startedAtMs: number
  /** The callers of this agent were already told that the deadline passed. */
  readonly overdue: boolean
}

/** A request id that will not run again. */
export interface SettledRecord {
  readonly phase: 'finished' | 'fenced'
  readonly keepUntilMs: number
}

/** The result of a finished request. */
export interface KeptResult {
  readonly result: ExecutionResult
  readonly bytes: number
  readonly keepUntilMs: number
}

export type ExecutionResult =
  | { readonly $case: 'answer'; readonly value: protocol.agent.Answer }
  | { readonly $case: 'refusal'; readonly value: protocol.agent.Refusal }

/** State of one agent incarnation. `step` changes it in place; `cloneState` copies it. */
export interface ExecutionState {
  readonly incarnation: number
  readonly limits: ExecutionLimits
  readonly guards: ExecutionGuards
  readonly endpoints: Map<string, EndpointState>
  readonly active: Map<string, ActiveRecord>
  /** Settled ids in the order in which they were settled. */
  readonly settled: Map<string, SettledRecord>
  /** Settled ids with an idempotency key. */
  readonly retained: Map<string, SettledRecord>
  /** Results for Resolve, oldest first. */
  readonly results: Map<string, KeptResult>
  /** Results for resends, oldest first. */
  readonly retainedResults: Map<string, KeptResult>
  answerBytes: number
  /** End of the config lease. */
  configUntilMs: number
  /** Why this failure domain takes no work; empty when it is in service. */
  outDetail: string
  closing: boolean
}

/** Creates the state of a new incarnation. */
export const createState = (
  incarnation: number,
  limits: ExecutionLimits = DEFAULT_LIMITS,
  guards: ExecutionGuards = ALL_GUARDS,
): ExecutionState => ({
  incarnation,
  limits,
  guards,
  endpoints: new Map(),
  active: new Map(),
  settled: new Map(),
  retained: new Map(),
  results: new Map(),
  retainedResults: new Map(),
  answerBytes: 0,
  configUntilMs: -Infinity,
  outDetail: '',
  closing: false,
})

/** Copies a state; records are never changed in place, so they are shared. */
export const cloneState = (state: ExecutionState): ExecutionState => ({
  ...state,
  endpoints: new Map(state.endpoints),
  active: new Map(state.active),
  settled: new Map(state.settled),
  retained: new Map(state.retained),
  results: new Map(state.results),
  retainedResults: new Map(state.retainedResults),
})

/** Requests that wait for an endpoint, oldest first. */
export const queuedFor = (state: ExecutionState, endpoint: string): readonly ActiveRecord[] =>
  [...state.active.values()].filter((r) => r.phase === 'queued' && r.endpoint === endpoint)

/** Load of every endpoint, for Probe and for each answer. */
export const loadReport = (state: ExecutionState, nowMs: number): protocol.agent.LoadReport => {
  const queued = new Map<string, number>()
  for (const record of state.active.values()) {
    if (record.phase !== 'queued') continue
    queued.set(record.endpoint, (queued.get(record.endpoint) ?? 0) + 1)
  }
  const out = state.outDetail !== '' || state.closing
  return {
    agentIncarnation: state.incarnation,
    agentTimeMs: Math.floor(nowMs),
    endpoints: [...state.endpoints.values()].map((e) => ({
      endpoint: e.endpoint,
      service: e.service,
      running: e.running,
      queued: queued.get(e.endpoint) ?? 0,
      slots: e.slots,
      leaving: state.closing || e.leaving || out || e.expiresAtMs <= nowMs,
      serviceTimeMs: e.serviceTimeMs,
    })),
  }
}
