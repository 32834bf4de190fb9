import type * as protocol from '@ebonyweir/protocol'

/** Limits on an agent's state. Times are in milliseconds, sizes in bytes. */
export interface ExecutionLimits {
  /** Lifetime of an endpoint announcement. */
  readonly announcementMs: number
  /** Queue length per endpoint. */
  readonly queuePerEndpoint: number
  /**
   * Time for which a settled request id is remembered. Requests with an older timestamp are refused,
   * so that a late duplicate cannot run after its record was evicted.
   */
  readonly rememberMs: number
  /** Time for which an answer is kept for Resolve unless its entry confirms it. */
  readonly unconfirmedMs: number
  /** Time for which the answer to a request with an idempotency key is kept for resends. */
  readonly retainMs: number
  readonly retainedBytes: number
  /** Limit on request ids in all phases. Further requests are refused. */
  readonly maxRecords: number
  /** Time after its deadline at which a running request is aborted and its slot released. */
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

/** Safety mechanisms. Tests disable each one to verify that the guarantee depends on it. */
export interface ExecutionGuards {
  /** Refuse requests for another incarnation. */
  readonly incarnation: boolean
  /** Remember request ids that Resolve reported as "not run". */
  readonly tombstones: boolean
  /** Refuse requests whose timestamp is older than the retained records. */
  readonly timestamps: boolean
  /** Run each request id at most once. */
  readonly dedup: boolean
  /** Limit running requests to the endpoint's slots. */
  readonly slots: boolean
}

export const ALL_GUARDS: ExecutionGuards = {
  incarnation: true,
  tombstones: true,
  timestamps: true,
  dedup: true,
  slots: true,
}

/** An endpoint that announced itself to this agent. */
export interface EndpointState {
  readonly endpoint: string
  readonly service: string
  /** HTTP address as "host:port". */
  readonly address: string
  readonly slots: number
  readonly connections: number
  readonly leaving: boolean
  readonly expiresAtMs: number
  readonly running: number
  /** Moving average of the service time. */
  readonly serviceTimeMs: number
}

/** A queued or running request. */
export interface ActiveRecord {
  readonly requestId: string
  readonly phase: 'queued' | 'running'
  readonly endpoint: string
  readonly caller: string
  readonly retain: boolean
  readonly deadlineMs: number
  readonly startedAtMs: number
  /** The expired deadline has already been reported to the waiting calls. */
  readonly overdue: boolean
}

/** A request id that must not run again. */
export interface SettledRecord {
  readonly phase: 'finished' | 'fenced'
  readonly keepUntilMs: number
}

/** The stored result of a finished request. */
export interface StoredResult {
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
  /** Settled ids without an idempotency key and fenced ids, in order of settlement. */
  readonly settled: Map<string, SettledRecord>
  /** Settled ids with an idempotency key. */
  readonly retained: Map<string, SettledRecord>
  /** Results for Resolve, oldest first. */
  readonly results: Map<string, StoredResult>
  /** Results for resends, oldest first. */
  readonly retainedResults: Map<string, StoredResult>
  answerBytes: number
  /** Expiry of the config lease. */
  configUntilMs: number
  /** Why this failure domain is out, or an empty string if it is in service. */
  outDetail: string
  closing: boolean
}

/** Creates the state of a new agent incarnation. */
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

/** Copies a state. Records are immutable and therefore shared. */
export const cloneState = (state: ExecutionState): ExecutionState => ({
  ...state,
  endpoints: new Map(state.endpoints),
  active: new Map(state.active),
  settled: new Map(state.settled),
  retained: new Map(state.retained),
  results: new Map(state.results),
  retainedResults: new Map(state.retainedResults),
})

/** Queued requests of an endpoint, oldest first. */
export const queuedFor = (state: ExecutionState, endpoint: string): readonly ActiveRecord[] =>
  [...state.active.values()].filter((r) => r.phase === 'queued' && r.endpoint === endpoint)

/** Load of all endpoints, sent in Probe and Execute replies. */
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
