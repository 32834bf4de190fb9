import * as protocol from '@ebonyweir/protocol'
import * as contexts from './context.js'
import * as logs from './log.js'
import * as memberships from './membership.js'
import * as sending from './sending.js'
import type * as types from './types.js'

const { EntryKind } = protocol.replication

/** Creates entries of the current term that follow the end of the log. */
export const newEntries = (
  state: types.State,
  kind: protocol.replication.EntryKind,
  payloads: readonly Uint8Array[],
): readonly types.LogEntry[] =>
  payloads.map((payload, offset) => ({
    term: state.hardState.term,
    index: state.log.lastIndex + 1 + offset,
    kind,
    payload: Buffer.from(payload.buffer, payload.byteOffset, payload.byteLength),
  }))

const initialProgress = (state: types.State, nowMs: number): types.Progress => ({
  nextIndex: state.log.lastIndex + 1,
  matchIndex: 0,
  matchRound: 0,
  resetRound: 0,
  inFlight: [],
  window: state.config.maxInFlightMessages,
  resets: 0,
  lastContactMs: nowMs,
  sample: undefined,
  leaseSentMs: undefined,
  refused: false,
  lapsed: true,
  fenceIndex: memberships.currentIndex(state),
  snapshot: undefined,
})

/** Adds progress records of new members and deletes those of removed ones. */
export const refreshProgress = (context: contexts.Context): void => {
  const { state, nowMs } = context
  const entries = memberships
    .others(state)
    .map((member) => [member.id, state.progress[member.id] ?? initialProgress(state, nowMs)])
  contexts.update(context, {
    progress: Object.fromEntries(entries) as Record<string, types.Progress>,
  })
}

export const becomeLeader = (context: contexts.Context): void => {
  const { state } = context
  contexts.update(context, {
    role: 'leader',
    leaderId: state.config.id,
    votes: [],
    progress: {},
    transfer: undefined,
    termStartIndex: state.log.lastIndex + 1,
  })
  refreshProgress(context)
  if (state.config.guards.emptyEntryFirst) {
    contexts.appendEntries(context, newEntries(state, EntryKind.EMPTY, [Buffer.alloc(0)]))
  }
  sending.sendHeartbeats(context)
  sending.sendToAll(context)
}

/** Whether an entry of the leader's own term is committed. */
export const ownTermCommitted = (state: types.State): boolean =>
  state.commitIndex >= state.termStartIndex

const matchIndexOf = (state: types.State, id: string): number => {
  if (id === state.config.id) {
    return state.config.guards.syncBeforeSend ? state.syncedIndex : state.log.lastIndex
  }
  const progress = state.progress[id]
  return progress === undefined || progress.refused ? 0 : progress.matchIndex
}

/** Commits the entries that a quorum has synced. */
export const advanceCommit = (context: contexts.Context): void => {
  const { state } = context
  const membership = memberships.current(state)
  const index = memberships.quorumValue(membership, (id) => matchIndexOf(state, id))
  if (index <= state.commitIndex) return
  const ownTerm = logs.termAt(state.log, index) === state.hardState.term
  if (state.config.guards.commitOwnTermOnly && !ownTerm) return
  contexts.update(context, { commitIndex: index })
  context.outputs.push({ kind: 'commit', index })
}

/**
 * Latest time at which a quorum was known to follow this leader.
 *
 * @param timeOf last confirmed time of another member
 */
export const quorumTime = (
  state: types.State,
  nowMs: number,
  timeOf: (progress: types.Progress) => number | undefined,
): number =>
  memberships.quorumValue(memberships.current(state), (id) => {
    if (id === state.config.id) return nowMs
    const progress = state.progress[id]
    if (progress === undefined || progress.refused) return Number.NEGATIVE_INFINITY
    return timeOf(progress) ?? Number.NEGATIVE_INFINITY
  })

/** Bytes of entries that are not committed yet, counted up to `limit`. */
const uncommittedBytes = (state: types.State, limit: number): number => {
  let bytes = 0
  for (let index = state.commitIndex + 1; index <= state.log.lastIndex; index += 1) {
    bytes += logs.entryAt(state.log, index)?.payload.length ?? 0
    if (bytes > limit) break
  }
  return bytes
}

export const refuse = (
  context: contexts.Context,
  reason: types.RefusalReason,
  detail: string,
): void => {
  context.outputs.push({ kind: 'refused', reason, detail })
}

/** Appends proposed commands and starts their replication. */
export const propose = (context: contexts.Context, payloads: readonly Uint8Array[]): void => {
  const { state } = context
  if (state.role !== 'leader') {
    refuse(context, 'not-leader', 'this replica is not the leader')
    return
  }
  if (state.transfer !== undefined) {
    refuse(context, 'not-leader', 'leadership is being transferred')
    return
  }
  const limit = state.config.maxUncommittedBytes
  if (uncommittedBytes(state, limit) > limit) {
    refuse(context, 'overloaded', `more than ${limit} bytes wait for commitment`)
    return
  }
  const entries = newEntries(state, EntryKind.COMMAND, payloads)
  contexts.appendEntries(context, entries)
  context.outputs.push({
    kind: 'accepted',
    firstIndex: state.log.lastIndex + 1,
    term: state.hardState.term,
    count: entries.length,
  })
  sending.sendToAll(context)
}
