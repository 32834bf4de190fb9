import * as contexts from './context.js'
import * as logs from './log.js'
import * as memberships from './membership.js'
import type * as types from './types.js'

export const setProgress = (
  context: contexts.Context,
  id: string,
  change: Partial<types.Progress>,
): void => {
  const progress = context.state.progress[id]
  if (progress === undefined) return
  contexts.update(context, {
    progress: { ...context.state.progress, [id]: { ...progress, ...change } },
  })
}

/** Sends one append message and records it as lease sample unless an earlier sample is still unanswered. */
const sendAppend = (
  context: contexts.Context,
  id: string,
  progress: types.Progress,
  entries: readonly types.LogEntry[],
): void => {
  const { state, nowMs } = context
  const previousIndex = progress.nextIndex - 1
  const previousTerm = logs.termAt(state.log, previousIndex)
  if (previousTerm === undefined) return
  const round = state.round + 1
  const expired =
    progress.sample !== undefined &&
    nowMs - progress.sample.sentMs > state.config.electionTimeoutMinMs
  const sample =
    progress.sample === undefined || expired ? { round, sentMs: nowMs } : progress.sample
  contexts.update(context, { round })
  setProgress(context, id, { sample })
  const value = { previousIndex, previousTerm, entries, commitIndex: state.commitIndex, round }
  contexts.send(context, id, { $case: 'appendRequest', value })
}

/** Requests the driver to send the snapshot chunk at `offset` to a member. */
export const sendChunk = (context: contexts.Context, id: string, offset: number): void => {
  const { state, nowMs } = context
  const meta = state.snapshot
  if (meta === undefined) return
  setProgress(context, id, {
    snapshot: { lastIndex: meta.lastIndex, offset, sentMs: nowMs },
    inFlight: [],
  })
  context.outputs.push({ kind: 'sendChunk', to: id, term: state.hardState.term, meta, offset })
}

const inFlightBytes = (progress: types.Progress): number =>
  progress.inFlight.reduce((sum, message) => sum + message.bytes, 0)

const hasWindowCapacity = (config: types.Config, progress: types.Progress): boolean =>
  progress.inFlight.length < progress.window && inFlightBytes(progress) < config.maxInFlightBytes

/** Sends entries to one member up to its limits for data in flight. */
export const sendEntries = (context: contexts.Context, id: string): void => {
  for (;;) {
    const { state } = context
    const progress = state.progress[id]
    if (progress === undefined || progress.refused || progress.snapshot !== undefined) return
    if (progress.nextIndex > state.log.lastIndex || !hasWindowCapacity(state.config, progress))
      return
    if (progress.nextIndex <= state.log.baseIndex) {
      sendChunk(context, id, 0)
      return
    }
    const entries = logs.slice(state.log, progress.nextIndex, state.config.maxMessageBytes)
    const bytes = entries.reduce((sum, entry) => sum + entry.payload.length, 0)
    const lastIndex = progress.nextIndex + entries.length - 1
    sendAppend(context, id, progress, entries)
    const sent = { lastIndex, bytes, round: context.state.round, sentMs: context.nowMs }
    setProgress(context, id, { nextIndex: lastIndex + 1, inFlight: [...progress.inFlight, sent] })
  }
}

export const sendToAll = (context: contexts.Context): void => {
  for (const member of memberships.others(context.state)) sendEntries(context, member.id)
}

/** Progress whose `nextIndex` is the known or assumed match, limited to entries that the leader's log still has. */
const heartbeatProgress = (state: types.State, progress: types.Progress): types.Progress => {
  const knownNextIndex =
    progress.snapshot === undefined ? progress.nextIndex : progress.matchIndex + 1
  return { ...progress, nextIndex: Math.max(knownNextIndex, state.log.baseIndex + 1) }
}

/** Sends an empty append message to every member; resends a snapshot chunk that got no reply. */
export const sendHeartbeats = (context: contexts.Context): void => {
  contexts.update(context, { heartbeatSentMs: context.nowMs })
  for (const member of memberships.others(context.state)) {
    const progress = context.state.progress[member.id]
    if (progress === undefined || progress.refused) continue
    sendAppend(context, member.id, heartbeatProgress(context.state, progress), [])
    const { snapshot } = progress
    if (snapshot === undefined) continue
    const waitedMs = context.nowMs - snapshot.sentMs
    if (waitedMs >= context.state.config.electionTimeoutMinMs) {
      const current = context.state.snapshot?.lastIndex === snapshot.lastIndex
      sendChunk(context, member.id, current ? snapshot.offset : 0)
    }
  }
}
