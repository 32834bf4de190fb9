import * as control from '@ebonyweir/control'
import * as protocol from '@ebonyweir/protocol'
import type * as engine from './engine.js'

const { WORKER_LEASE_MS } = protocol.limits

/** True time of one step. */
const quantumMs = 2_000

type Leader = 1 | 2

interface SyncRequest {
  readonly sequence: number
  /** By the worker's clock. */
  readonly sentMs: number
}

interface SyncReply extends SyncRequest {
  readonly epoch: Leader
}

interface Note {
  readonly leader: Leader
  readonly sequence: number
  /** By the leaders' clock. */
  readonly receivedMs: number
}

/** A worker that runs one attempt, and the leaders that may give the task to another worker. */
export interface LeaseWorld {
  readonly trueMs: number
  readonly syncsLeft: number
  readonly requests: readonly SyncRequest[]
  readonly replies: readonly SyncReply[]
  readonly notes: readonly Note[]
  readonly newestSequence: number
  readonly epoch: number
  readonly leaseEndMs: number
  readonly stopped: boolean
  readonly current: Leader
  /** By the leaders' clock. */
  readonly electedMs: number
  readonly reassigned: boolean
}

export type LeaseAction =
  | { readonly kind: 'advance' | 'sync' | 'elect' | 'reassign' }
  | { readonly kind: 'receive'; readonly request: SyncRequest }
  | { readonly kind: 'reply'; readonly reply: SyncReply }

/** Parts of the protocol that can be weakened, and clock speeds. */
export interface LeaseOptions {
  readonly workerRate: number
  readonly leaderRate: number
  /** When the leader regards the worker as lost, by its own clock. */
  readonly isLost: (world: LeaseWorld, nowMs: number) => boolean
  /** The lease counts from the send time of the sync, not from the arrival of the reply. */
  readonly fromSendTime: boolean
}

/** Decision of the production sessions of the current leader. */
export const productionIsLost = (world: LeaseWorld, nowMs: number): boolean => {
  const sessions = control.workerSessions.createWorkerSessions(world.electedMs)
  for (const { leader, sequence, receivedMs } of world.notes) {
    if (leader !== world.current) continue
    const report = {
      worker: 'w',
      incarnation: 1,
      receivedAtMs: receivedMs,
      running: [],
      services: [],
    }
    sessions.note('w', { ...report, sequence }, receivedMs)
  }
  return sessions.isLost('w', nowMs)
}

/** Leader that waits for the plain lease, without drift and margin. */
export const lostWithoutMargin = (world: LeaseWorld, nowMs: number): boolean => {
  const received = world.notes.filter((note) => note.leader === world.current)
  const sinceMs = Math.max(world.electedMs, ...received.map((note) => note.receivedMs))
  return nowMs - sinceMs > WORKER_LEASE_MS
}

/** New leader that does not wait for workers that it has not heard from. */
export const lostWithoutWait = (world: LeaseWorld, nowMs: number): boolean => {
  const heard = world.notes.some((note) => note.leader === world.current)
  return world.current === 2 && !heard ? true : productionIsLost(world, nowMs)
}

const runs = (world: LeaseWorld, options: LeaseOptions): boolean =>
  !world.stopped && world.trueMs * options.workerRate < world.leaseEndMs

const oneRunner = (options: LeaseOptions): engine.Invariant<LeaseWorld> => ({
  name: 'no task runs in two places',
  check: (world) =>
    world.reassigned && runs(world, options)
      ? `reassigned at ${world.trueMs} ms while the worker's lease still runs`
      : undefined,
})

const start: LeaseWorld = {
  trueMs: 0,
  syncsLeft: 2,
  requests: [],
  replies: [],
  notes: [{ leader: 1, sequence: 0, receivedMs: 0 }],
  newestSequence: 0,
  epoch: 1,
  leaseEndMs: WORKER_LEASE_MS,
  stopped: false,
  current: 1,
  electedMs: 0,
  reassigned: false,
}

const applyReply = (world: LeaseWorld, reply: SyncReply, options: LeaseOptions): LeaseWorld => {
  const replies = world.replies.filter((other) => other !== reply)
  const nowMs = world.trueMs * options.workerRate
  const isCurrent = reply.sequence === world.newestSequence && reply.epoch >= world.epoch
  if (!isCurrent) return { ...world, replies }
  const fromMs = options.fromSendTime ? reply.sentMs : nowMs
  const stopped = world.stopped || nowMs >= world.leaseEndMs
  return { ...world, replies, stopped, epoch: reply.epoch, leaseEndMs: fromMs + WORKER_LEASE_MS }
}

const receive = (world: LeaseWorld, request: SyncRequest, options: LeaseOptions): LeaseWorld => {
  const { sequence } = request
  const receivedMs = world.trueMs * options.leaderRate
  return {
    ...world,
    requests: world.requests.filter((other) => other !== request),
    notes: [...world.notes, { leader: world.current, sequence, receivedMs }],
    replies: [...world.replies, { ...request, epoch: world.current }],
  }
}

const act = (world: LeaseWorld, action: LeaseAction, options: LeaseOptions): LeaseWorld => {
  switch (action.kind) {
    case 'advance':
      return { ...world, trueMs: world.trueMs + quantumMs }
    case 'sync': {
      const sequence = world.newestSequence + 1
      const request = { sequence, sentMs: world.trueMs * options.workerRate }
      const requests = [...world.requests, request]
      return { ...world, requests, newestSequence: sequence, syncsLeft: world.syncsLeft - 1 }
    }
    case 'elect':
      return { ...world, current: 2, electedMs: world.trueMs * options.leaderRate }
    case 'reassign':
      return { ...world, reassigned: true }
    case 'receive':
      return receive(world, action.request, options)
    case 'reply':
      return applyReply(world, action.reply, options)
  }
}

const actionsOf = (world: LeaseWorld, options: LeaseOptions): readonly LeaseAction[] => {
  if (world.reassigned) return []
  const actions: LeaseAction[] = []
  if (world.trueMs < 20_000) actions.push({ kind: 'advance' })
  if (world.syncsLeft > 0 && runs(world, options)) actions.push({ kind: 'sync' })
  if (world.current === 1) actions.push({ kind: 'elect' })
  if (options.isLost(world, world.trueMs * options.leaderRate)) actions.push({ kind: 'reassign' })
  for (const request of world.requests) actions.push({ kind: 'receive', request })
  for (const reply of world.replies) actions.push({ kind: 'reply', reply })
  return actions
}

/** Replies to an older sync and notes of a former leader have no effect any more. */
const keyOf = (world: LeaseWorld): string =>
  JSON.stringify({
    ...world,
    replies: world.replies.filter((reply) => reply.sequence === world.newestSequence),
    notes: world.notes.filter((note) => note.leader === world.current),
  })

/** Model of a worker's lease against reassignment by the same or a new leader. */
export const createLeaseModel = (options: LeaseOptions): engine.Model<LeaseWorld, LeaseAction> => ({
  name: 'worker lease and reassignment',
  initial: [start],
  actions: (world) => actionsOf(world, options),
  next: (world, action) => act(world, action, options),
  key: keyOf,
  describe: (action, world) => `${action.kind} at ${world.trueMs} ms`,
  invariants: [oneRunner(options)],
})

const drifting = { workerRate: 0.98, leaderRate: 1.02, fromSendTime: true }

/** The production rule and three weakened ones. */
export const leaseOptions = {
  production: { ...drifting, isLost: productionIsLost },
  withoutMargin: { ...drifting, isLost: lostWithoutMargin },
  withoutWait: { ...drifting, isLost: lostWithoutWait },
  fromReply: { ...drifting, isLost: productionIsLost, fromSendTime: false },
} satisfies Readonly<Record<string, LeaseOptions>>
