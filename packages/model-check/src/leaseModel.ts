import * as control from '@ebonyweir/control'
import * as protocol from '@ebonyweir/protocol'
import type * as engine from './engine.js'

const { WORKER_LEASE_MS } = protocol.limits

/** True time that passes in one `advance`. */
const TICK_MS = 2_000

type Leader = 1 | 2

interface SyncRequest {
  readonly sequence: number
  /** By the worker's clock. */
  readonly sentMs: number
}

interface SyncReply extends SyncRequest {
  readonly epoch: Leader
}

/** Sync request as a leader received it. */
interface SyncRecord {
  readonly leader: Leader
  readonly sequence: number
  /** By the leaders' clock. */
  readonly receivedMs: number
}

/** A worker that runs one attempt, and the leaders that may reassign its task to another worker. */
export interface LeaseModelState {
  readonly trueMs: number
  readonly remainingSyncs: number
  readonly requests: readonly SyncRequest[]
  readonly replies: readonly SyncReply[]
  readonly syncRecords: readonly SyncRecord[]
  readonly newestSequence: number
  readonly epoch: number
  readonly leaseEndMs: number
  readonly stopped: boolean
  readonly currentLeader: Leader
  /** By the leaders' clock. */
  readonly electedMs: number
  readonly reassigned: boolean
}

export type LeaseAction =
  | { readonly kind: 'advance' | 'sync' | 'elect' | 'reassign' }
  | { readonly kind: 'receive'; readonly request: SyncRequest }
  | { readonly kind: 'reply'; readonly reply: SyncReply }

/** Clock rates, and the rules of the protocol that can be weakened. */
export interface LeaseOptions {
  readonly workerRate: number
  readonly leaderRate: number
  /** Whether the leader regards the worker as lost at a time on its own clock. */
  readonly isLost: (state: LeaseModelState, nowMs: number) => boolean
  /** Whether the lease starts when the worker sends the sync instead of when the reply arrives. */
  readonly fromSendTime: boolean
}

/** Decision of the production worker sessions at the current leader. */
export const productionIsLost = (state: LeaseModelState, nowMs: number): boolean => {
  const sessions = control.workerSessions.createWorkerSessions(state.electedMs)
  for (const { leader, sequence, receivedMs } of state.syncRecords) {
    if (leader !== state.currentLeader) continue
    const report = {
      worker: 'w',
      incarnation: 1,
      receivedAtMs: receivedMs,
      running: [],
      services: [],
    }
    sessions.record('w', { ...report, sequence }, receivedMs)
  }
  return sessions.isLost('w', nowMs)
}

/** Weakened rule: waits only for the lease duration, without clock drift and safety margin. */
export const lostWithoutMargin = (state: LeaseModelState, nowMs: number): boolean => {
  const received = state.syncRecords.filter((record) => record.leader === state.currentLeader)
  const sinceMs = Math.max(state.electedMs, ...received.map((record) => record.receivedMs))
  return nowMs - sinceMs > WORKER_LEASE_MS
}

/** Weakened rule: a new leader does not wait for workers that have not synced with it. */
export const lostWithoutWait = (state: LeaseModelState, nowMs: number): boolean => {
  const hasSynced = state.syncRecords.some((record) => record.leader === state.currentLeader)
  return state.currentLeader === 2 && !hasSynced ? true : productionIsLost(state, nowMs)
}

const isRunning = (state: LeaseModelState, options: LeaseOptions): boolean =>
  !state.stopped && state.trueMs * options.workerRate < state.leaseEndMs

const singleRunner = (options: LeaseOptions): engine.Invariant<LeaseModelState> => ({
  name: 'no task runs in two places',
  check: (state) =>
    state.reassigned && isRunning(state, options)
      ? `reassigned at ${state.trueMs} ms while the worker's lease still runs`
      : undefined,
})

const initialState: LeaseModelState = {
  trueMs: 0,
  remainingSyncs: 2,
  requests: [],
  replies: [],
  syncRecords: [{ leader: 1, sequence: 0, receivedMs: 0 }],
  newestSequence: 0,
  epoch: 1,
  leaseEndMs: WORKER_LEASE_MS,
  stopped: false,
  currentLeader: 1,
  electedMs: 0,
  reassigned: false,
}

const applyReply = (
  state: LeaseModelState,
  reply: SyncReply,
  options: LeaseOptions,
): LeaseModelState => {
  const replies = state.replies.filter((other) => other !== reply)
  const nowMs = state.trueMs * options.workerRate
  const isCurrent = reply.sequence === state.newestSequence && reply.epoch >= state.epoch
  if (!isCurrent) return { ...state, replies }
  const fromMs = options.fromSendTime ? reply.sentMs : nowMs
  const stopped = state.stopped || nowMs >= state.leaseEndMs
  return { ...state, replies, stopped, epoch: reply.epoch, leaseEndMs: fromMs + WORKER_LEASE_MS }
}

const receive = (
  state: LeaseModelState,
  request: SyncRequest,
  options: LeaseOptions,
): LeaseModelState => {
  const { sequence } = request
  const receivedMs = state.trueMs * options.leaderRate
  return {
    ...state,
    requests: state.requests.filter((other) => other !== request),
    syncRecords: [...state.syncRecords, { leader: state.currentLeader, sequence, receivedMs }],
    replies: [...state.replies, { ...request, epoch: state.currentLeader }],
  }
}

const applyAction = (
  state: LeaseModelState,
  action: LeaseAction,
  options: LeaseOptions,
): LeaseModelState => {
  switch (action.kind) {
    case 'advance':
      return { ...state, trueMs: state.trueMs + TICK_MS }
    case 'sync': {
      const sequence = state.newestSequence + 1
      const request = { sequence, sentMs: state.trueMs * options.workerRate }
      const requests = [...state.requests, request]
      return {
        ...state,
        requests,
        newestSequence: sequence,
        remainingSyncs: state.remainingSyncs - 1,
      }
    }
    case 'elect':
      return { ...state, currentLeader: 2, electedMs: state.trueMs * options.leaderRate }
    case 'reassign':
      return { ...state, reassigned: true }
    case 'receive':
      return receive(state, action.request, options)
    case 'reply':
      return applyReply(state, action.reply, options)
  }
}

const actionsOf = (state: LeaseModelState, options: LeaseOptions): readonly LeaseAction[] => {
  if (state.reassigned) return []
  const actions: LeaseAction[] = []
  if (state.trueMs < 20_000) actions.push({ kind: 'advance' })
  if (state.remainingSyncs > 0 && isRunning(state, options)) actions.push({ kind: 'sync' })
  if (state.currentLeader === 1) actions.push({ kind: 'elect' })
  if (options.isLost(state, state.trueMs * options.leaderRate)) actions.push({ kind: 'reassign' })
  for (const request of state.requests) actions.push({ kind: 'receive', request })
  for (const reply of state.replies) actions.push({ kind: 'reply', reply })
  return actions
}

/** State key without replies to older syncs and records of former leaders, which no longer have an effect. */
const stateKey = (state: LeaseModelState): string =>
  JSON.stringify({
    ...state,
    replies: state.replies.filter((reply) => reply.sequence === state.newestSequence),
    syncRecords: state.syncRecords.filter((record) => record.leader === state.currentLeader),
  })

/** Creates the model of a worker's lease and reassignment by the same or a new leader. */
export const createLeaseModel = (
  options: LeaseOptions,
): engine.Model<LeaseModelState, LeaseAction> => ({
  name: 'worker lease and reassignment',
  initial: [initialState],
  actions: (state) => actionsOf(state, options),
  next: (state, action) => applyAction(state, action, options),
  key: stateKey,
  describe: (action, state) => `${action.kind} at ${state.trueMs} ms`,
  invariants: [singleRunner(options)],
})

const driftingClocks = { workerRate: 0.98, leaderRate: 1.02, fromSendTime: true }

/** The production rules and three weakened variants. */
export const leaseOptions = {
  production: { ...driftingClocks, isLost: productionIsLost },
  withoutMargin: { ...driftingClocks, isLost: lostWithoutMargin },
  withoutWait: { ...driftingClocks, isLost: lostWithoutWait },
  fromReply: { ...driftingClocks, isLost: productionIsLost, fromSendTime: false },
} satisfies Readonly<Record<string, LeaseOptions>>
