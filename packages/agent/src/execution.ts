import * as protocol from '@ebonyweir/protocol'
import * as executionResult from './executionResult.js'
import * as executionState from './executionState.js'
import * as settlement from './settlement.js'

type State = executionState.ExecutionState
type Result = executionState.ExecutionResult

/** Events that change the state of the agent. */
export type Input =
  | { readonly kind: 'announce'; readonly announcement: Announcement }
  | { readonly kind: 'withdraw'; readonly endpoint: string }
  | { readonly kind: 'config'; readonly untilMs: number; readonly outDetail: string }
  | { readonly kind: 'execute'; readonly request: ExecuteInput }
  | { readonly kind: 'cancel'; readonly requestId: string }
  | {
      readonly kind: 'resolve'
      readonly requestId: string
      readonly incarnation: number
      /** Query only: leaves the state unchanged. */
      readonly peek: boolean
    }
  | { readonly kind: 'confirm'; readonly requestIds: readonly string[] }
  | { readonly kind: 'ended'; readonly requestId: string; readonly result: Result }
  | { readonly kind: 'tick' }
  | { readonly kind: 'close' }

export interface Announcement {
  readonly endpoint: string
  readonly service: string
  readonly address: string
  readonly slots: number
  readonly connections: number
  readonly leaving: boolean
}

/** Fields of an ExecuteRequest that determine whether and where it runs. */
export interface ExecuteInput {
  readonly requestId: string
  readonly agentIncarnation: number
  readonly agentTimeMs: number
  readonly service: string
  readonly endpoint: string
  readonly caller: string
  readonly timeoutMs: number
  readonly retain: boolean
}

/** Side effects that the caller of `step` has to perform. */
export type Effect =
  | { readonly kind: 'dispatch'; readonly requestId: string; readonly endpoint: string }
  /** Answers all calls that wait for this request id. */
  | { readonly kind: 'reply'; readonly requestId: string; readonly result: Result }
  | {
      readonly kind: 'resolved'
      readonly state: protocol.agent.ResolveState
      readonly result?: Result | undefined
    }
  /** Closes the endpoint connection of an abandoned request. */
  | { readonly kind: 'abort'; readonly requestId: string }

const { RefusalReason, ResolveState } = protocol.agent
const { notRun, unknown } = executionResult

/** Weight of the newest sample in the average service time. */
const SERVICE_TIME_GAIN = 0.1

const reply = (requestId: string, result: Result): Effect => ({ kind: 'reply', requestId, result })

// Refusals that apply to the agent as a whole, independent of the endpoint.
const agentRefusal = (state: State, nowMs: number): Result | undefined => {
  if (state.closing) return notRun(RefusalReason.SHUTTING_DOWN, 'the agent is shutting down')
  if (nowMs >= state.configUntilMs) {
    return notRun(RefusalReason.CONFIG_EXPIRED, 'the agent has no valid configuration')
  }
  if (state.outDetail !== '') return notRun(RefusalReason.FAILURE_DOMAIN_OUT, state.outDetail)
  return undefined
}

const endpointRefusal = (
  state: State,
  name: string,
  service: string | undefined,
  nowMs: number,
): Result | undefined => {
  const endpoint = state.endpoints.get(name)
  if (endpoint === undefined || endpoint.expiresAtMs <= nowMs) {
    return notRun(RefusalReason.NO_ENDPOINT, `endpoint ${name} is not announced`)
  }
  if (service !== undefined && endpoint.service !== service) {
    return notRun(RefusalReason.NO_ENDPOINT, `endpoint ${name} serves ${endpoint.service}`)
  }
  if (endpoint.leaving) return notRun(RefusalReason.LEAVING, `endpoint ${name} is leaving`)
  return undefined
}

const adjustRunning = (state: State, name: string, change: number): void => {
  const endpoint = state.endpoints.get(name)
  if (endpoint === undefined) return
  state.endpoints.set(name, { ...endpoint, running: Math.max(0, endpoint.running + change) })
}

const start = (state: State, record: executionState.ActiveRecord, nowMs: number): Effect => {
  const { requestId, endpoint } = record
  state.active.set(requestId, { ...record, phase: 'running', startedAtMs: nowMs })
  adjustRunning(state, endpoint, 1)
  return { kind: 'dispatch', requestId, endpoint }
}

// Prefers the caller with the fewest running requests, then the oldest request.
const nextQueued = (state: State, endpoint: string): executionState.ActiveRecord | undefined => {
  const running = new Map<string, number>()
  for (const r of state.active.values()) {
    if (r.phase === 'running') running.set(r.caller, (running.get(r.caller) ?? 0) + 1)
  }
  let best: executionState.ActiveRecord | undefined
  for (const r of executionState.queuedFor(state, endpoint)) {
    if (best === undefined || (running.get(r.caller) ?? 0) < (running.get(best.caller) ?? 0))
      best = r
  }
  return best
}

const refuseQueued = (state: State, nowMs: number): readonly Effect[] => {
  const effects: Effect[] = []
  for (const record of state.active.values()) {
    if (record.phase !== 'queued') continue
    const refused =
      agentRefusal(state, nowMs) ??
      endpointRefusal(state, record.endpoint, undefined, nowMs) ??
      (record.deadlineMs <= nowMs
        ? notRun(RefusalReason.DEADLINE, 'the deadline passed in the queue of the agent')
        : undefined)
    if (refused === undefined) continue
    state.active.delete(record.requestId)
    effects.push(reply(record.requestId, refused))
  }
  return effects
}

const fillSlots = (state: State, nowMs: number): readonly Effect[] => {
  const effects: Effect[] = [...refuseQueued(state, nowMs)]
  for (const name of state.endpoints.keys()) {
    for (;;) {
      const endpoint = state.endpoints.get(name)
      if (endpoint === undefined || endpoint.running >= endpoint.slots) break
      const next = nextQueued(state, name)
      if (next === undefined) break
      effects.push(start(state, next, nowMs))
    }
  }
  return effects
}

// An endpoint that was removed and announces itself again may still be running earlier requests.
const countRunning = (state: State, endpoint: string): number =>
  [...state.active.values()].filter((r) => r.phase === 'running' && r.endpoint === endpoint).length

const announce = (state: State, a: Announcement, nowMs: number): readonly Effect[] => {
  const existing = state.endpoints.get(a.endpoint)
  state.endpoints.set(a.endpoint, {
    ...a,
    expiresAtMs: nowMs + state.limits.announcementMs,
    running: existing?.running ?? countRunning(state, a.endpoint),
    serviceTimeMs: existing?.serviceTimeMs ?? 0,
  })
  return fillSlots(state, nowMs)
}

const replyToRepeat = (state: State, requestId: string): readonly Effect[] | undefined => {
  if (!state.guards.dedup) return undefined
  if (state.active.has(requestId)) return []
  const settled = settlement.settledOf(state, requestId)
  if (settled === undefined) return undefined
  if (settled.phase === 'fenced') {
    return [reply(requestId, notRun(RefusalReason.FENCED, 'fenced by an earlier Resolve'))]
  }
  const gone = unknown(RefusalReason.FENCED, 'it ran before and its answer is no longer kept')
  return [reply(requestId, settlement.resultOf(state, requestId) ?? gone)]
}

const admissionRefusal = (state: State, r: ExecuteInput, nowMs: number): Result | undefined => {
  if (state.guards.timestamps && r.agentTimeMs < nowMs - state.limits.rememberMs) {
    return notRun(RefusalReason.STALE, 'the request is older than the records of the agent')
  }
  const refused = agentRefusal(state, nowMs) ?? endpointRefusal(state, r.endpoint, r.service, nowMs)
  if (refused !== undefined) return refused
  if (r.timeoutMs <= 0) return notRun(RefusalReason.DEADLINE, 'the deadline passed before arrival')
  const records = state.active.size + state.settled.size + state.retained.size
  if (records >= state.limits.maxRecords) {
    return notRun(RefusalReason.QUEUE_FULL, 'the agent remembers too many requests')
  }
  return undefined
}

const execute = (state: State, r: ExecuteInput, nowMs: number): readonly Effect[] => {
  if (state.guards.incarnation && r.agentIncarnation !== state.incarnation) {
    const detail = `addressed to incarnation ${r.agentIncarnation}, this is ${state.incarnation}`
    return [reply(r.requestId, notRun(RefusalReason.OTHER_INCARNATION, detail))]
  }
  const earlier = replyToRepeat(state, r.requestId)
  if (earlier !== undefined) return earlier
  const refused = admissionRefusal(state, r, nowMs)
  if (refused !== undefined) return [reply(r.requestId, refused)]
  const record: executionState.ActiveRecord = {
    requestId: r.requestId,
    phase: 'queued',
    endpoint: r.endpoint,
    caller: r.caller,
    retain: r.retain,
    deadlineMs: nowMs + r.timeoutMs,
    startedAtMs: nowMs,
    overdue: false,
  }
  const endpoint = state.endpoints.get(r.endpoint)
  if (endpoint === undefined) return []
  if (endpoint.running < endpoint.slots || !state.guards.slots) return [start(state, record, nowMs)]
  if (executionState.queuedFor(state, r.endpoint).length >= state.limits.queuePerEndpoint) {
    const detail = `${endpoint.slots} slots and the queue of ${r.endpoint} are full`
    return [reply(r.requestId, notRun(RefusalReason.QUEUE_FULL, detail))]
  }
  state.active.set(r.requestId, record)
  return []
}

const resolve = (
  state: State,
  { requestId, incarnation, peek }: Extract<Input, { kind: 'resolve' }>,
  nowMs: number,
): readonly Effect[] => {
  if (incarnation !== state.incarnation) {
    return [{ kind: 'resolved', state: ResolveState.RESOLVED_UNKNOWN }]
  }
  const active = state.active.get(requestId)
  if (active?.phase === 'running') {
    return [{ kind: 'resolved', state: ResolveState.RESOLVED_RUNNING }]
  }
  const settled = settlement.settledOf(state, requestId)
  if (settled?.phase === 'finished') {
    const result = settlement.resultOf(state, requestId)
    return [{ kind: 'resolved', state: ResolveState.RESOLVED_FINISHED, result }]
  }
  if (peek) {
    const isQueued = active !== undefined
    const found = isQueued ? ResolveState.RESOLVED_RUNNING : ResolveState.RESOLVED_UNKNOWN
    return [{ kind: 'resolved', state: found }]
  }
  const effects: Effect[] = []
  if (active !== undefined) {
    state.active.delete(requestId)
    effects.push(reply(requestId, notRun(RefusalReason.FENCED, 'fenced by Resolve in the queue')))
  }
  if (settled === undefined && state.guards.tombstones) settlement.fence(state, requestId, nowMs)
  return [...effects, { kind: 'resolved', state: ResolveState.RESOLVED_NOT_RUN }]
}

const recordServiceTime = (
  state: State,
  record: executionState.ActiveRecord,
  nowMs: number,
): void => {
  const endpoint = state.endpoints.get(record.endpoint)
  if (endpoint === undefined) return
  const tookMs = nowMs - record.startedAtMs
  const before = endpoint.serviceTimeMs === 0 ? tookMs : endpoint.serviceTimeMs
  const serviceTimeMs = before + SERVICE_TIME_GAIN * (tookMs - before)
  state.endpoints.set(record.endpoint, { ...endpoint, serviceTimeMs })
}

const ended = (
  state: State,
  requestId: string,
  result: Result,
  nowMs: number,
): readonly Effect[] => {
  const record = state.active.get(requestId)
  if (record?.phase !== 'running') return []
  state.active.delete(requestId)
  adjustRunning(state, record.endpoint, -1)
  if (result.$case === 'answer') recordServiceTime(state, record, nowMs)
  if (!executionResult.isNotRun(result)) {
    settlement.finish(state, requestId, result, record.retain, nowMs)
  }
  const replies = record.overdue ? [] : [reply(requestId, result)]
  return [...replies, ...fillSlots(state, nowMs)]
}

const cancel = (state: State, requestId: string): readonly Effect[] => {
  const record = state.active.get(requestId)
  // A running request keeps its slot until the endpoint answers, because closing the connection does
  // not prove that the endpoint stopped, and a resend with the same key may need the answer.
  if (record?.phase === 'queued') state.active.delete(requestId)
  return []
}

const expireRunning = (state: State, nowMs: number): readonly Effect[] => {
  const effects: Effect[] = []
  for (const record of [...state.active.values()]) {
    if (record.phase !== 'running' || record.deadlineMs > nowMs) continue
    const late = unknown(RefusalReason.DEADLINE, 'the endpoint did not answer in time')
    if (!record.overdue) {
      state.active.set(record.requestId, { ...record, overdue: true })
      effects.push(reply(record.requestId, late))
    }
    if (record.deadlineMs + state.limits.abandonMs > nowMs) continue
    effects.push({ kind: 'abort', requestId: record.requestId })
    effects.push(...ended(state, record.requestId, late, nowMs))
  }
  return effects
}

const expireEndpoints = (state: State, nowMs: number): void => {
  for (const [name, endpoint] of state.endpoints) {
    if (endpoint.expiresAtMs <= nowMs && endpoint.running === 0) state.endpoints.delete(name)
  }
}

const tick = (state: State, nowMs: number): readonly Effect[] => {
  settlement.evict(state, nowMs)
  const effects = [...expireRunning(state, nowMs), ...fillSlots(state, nowMs)]
  expireEndpoints(state, nowMs)
  return effects
}

/** Applies one input to the state, in place, and returns the side effects to perform. */
export const step = (state: State, input: Input, nowMs: number): readonly Effect[] => {
  switch (input.kind) {
    case 'announce':
      return announce(state, input.announcement, nowMs)
    case 'withdraw':
      state.endpoints.delete(input.endpoint)
      return fillSlots(state, nowMs)
    case 'config':
      state.configUntilMs = Math.max(state.configUntilMs, input.untilMs)
      state.outDetail = input.outDetail
      return fillSlots(state, nowMs)
    case 'execute':
      return execute(state, input.request, nowMs)
    case 'cancel':
      return cancel(state, input.requestId)
    case 'resolve':
      return resolve(state, input, nowMs)
    case 'confirm':
      for (const id of input.requestIds) settlement.confirm(state, id)
      return []
    case 'ended':
      return ended(state, input.requestId, input.result, nowMs)
    case 'tick':
      return tick(state, nowMs)
    case 'close':
      state.closing = true
      return fillSlots(state, nowMs)
  }
}
