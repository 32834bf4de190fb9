import type * as protocol from '@ebonyweir/protocol'
import * as contexts from './context.js'
import * as follower from './follower.js'
import * as logs from './log.js'
import * as replies from './replies.js'
import * as sending from './sending.js'
import type * as types from './types.js'

/** Compacts the log after a snapshot of the local state machine has become durable. */
export const handleSaved = (context: contexts.Context, lastIndex: number): void => {
  const { state } = context
  const lastTerm = logs.termAt(state.log, lastIndex)
  const membership = state.memberships.findLast((item) => item.index <= lastIndex)
  if (lastTerm === undefined || membership === undefined) return
  if (state.snapshot !== undefined && state.snapshot.lastIndex >= lastIndex) return
  const base = Math.max(lastIndex - state.config.trailingEntries, state.log.baseIndex)
  contexts.update(context, {
    snapshot: { lastIndex, lastTerm, membership: membership.membership },
    log: logs.compactTo(state.log, base),
    memberships: state.memberships.filter((item) => item.index >= membership.index),
  })
}

const reply = (
  context: contexts.Context,
  from: string,
  chunk: protocol.replication.SnapshotChunk,
  nextOffset: number,
): void => {
  const value = { lastIndex: chunk.lastIndex, nextOffset }
  contexts.send(context, from, { $case: 'snapshotReply', value })
}

/** Accepts the next chunk of a leader's snapshot; the caller has checked the term. */
export const handleChunk = (
  context: contexts.Context,
  from: string,
  term: number,
  chunk: protocol.replication.SnapshotChunk,
): void => {
  follower.followLeader(context, from, term)
  const { state } = context
  if (chunk.lastIndex <= state.commitIndex) {
    acknowledge(context, from, state.commitIndex)
    return
  }
  const { incoming } = state
  const isSameSnapshot =
    incoming?.lastIndex === chunk.lastIndex && incoming.lastTerm === chunk.lastTerm
  const expectedOffset = isSameSnapshot && chunk.offset > 0 ? incoming.nextOffset : 0
  if (chunk.offset !== expectedOffset) {
    reply(context, from, chunk, expectedOffset)
    return
  }
  const nextOffset = chunk.offset + chunk.data.length
  contexts.update(context, {
    incoming: { lastIndex: chunk.lastIndex, lastTerm: chunk.lastTerm, nextOffset },
  })
  context.outputs.push({ kind: 'storeChunk', chunk })
  // The last chunk is acknowledged once the snapshot is stored.
  if (!chunk.done) reply(context, from, chunk, nextOffset)
}

const acknowledge = (context: contexts.Context, to: string, matchIndex: number): void => {
  const { log, syncedIndex } = context.state
  const value = {
    success: true,
    matchIndex: Math.min(matchIndex, syncedIndex),
    round: 0,
    lastIndex: log.lastIndex,
  }
  contexts.sendAfterSync(context, to, { $case: 'appendReply', value })
}

/** Installs a received snapshot that is now durable. */
export const handleStored = (context: contexts.Context, meta: types.SnapshotMeta): void => {
  const { state } = context
  contexts.update(context, { incoming: undefined })
  if (meta.lastIndex <= state.commitIndex) return
  const consistent = logs.termAt(state.log, meta.lastIndex) === meta.lastTerm
  if (!consistent) contexts.truncate(context, state.log.baseIndex + 1)
  const log = consistent
    ? logs.compactTo(context.state.log, meta.lastIndex)
    : logs.createLog(meta.lastIndex, meta.lastTerm)
  const later = context.state.memberships.filter((item) => item.index > meta.lastIndex)
  contexts.update(context, {
    log,
    snapshot: meta,
    memberships: [{ index: meta.lastIndex, membership: meta.membership }, ...later],
    commitIndex: meta.lastIndex,
    syncedIndex: Math.max(context.state.syncedIndex, meta.lastIndex),
  })
  context.outputs.push({ kind: 'restore', meta })
  if (state.leaderId !== undefined && state.role === 'follower') {
    acknowledge(context, state.leaderId, meta.lastIndex)
  }
}

/** Sends the chunk that the member requests. */
export const handleSnapshotReply = (
  context: contexts.Context,
  from: string,
  snapshotReply: protocol.replication.SnapshotReply,
): void => {
  replies.recordContact(context, from)
  const { state } = context
  const sent = state.progress[from]?.snapshot
  if (sent === undefined || state.snapshot === undefined) return
  if (snapshotReply.lastIndex !== sent.lastIndex || snapshotReply.nextOffset === sent.offset) return
  const current = state.snapshot.lastIndex === sent.lastIndex
  sending.sendChunk(context, from, current ? snapshotReply.nextOffset : 0)
}
