import type * as protocol from '@ebonyweir/protocol'
import * as contexts from './context.js'
import * as leader from './leader.js'
import * as memberships from './membership.js'
import * as sending from './sending.js'
import type * as types from './types.js'

type AppendReply = protocol.replication.AppendReply

/** Records contact; after lost contact a member must acknowledge the current commit index to count as repaired. */
export const recordContact = (context: contexts.Context, id: string): void => {
  const { state, nowMs } = context
  const progress = state.progress[id]
  if (progress === undefined) return
  const fenceIndex = Math.max(state.commitIndex, memberships.currentIndex(state))
  sending.setProgress(
    context,
    id,
    progress.lapsed
      ? { lastContactMs: nowMs, lapsed: false, fenceIndex }
      : { lastContactMs: nowMs },
  )
}

const recordLeaseAcknowledgement = (context: contexts.Context, id: string, round: number): void => {
  const sample = context.state.progress[id]?.sample
  if (sample === undefined || round < sample.round) return
  sending.setProgress(context, id, { sample: undefined, leaseSentMs: sample.sentMs })
}

/** Whether the reply to a request sent after an acknowledgement reports a shorter log than was acknowledged. */
const isRolledBack = (progress: types.Progress, reply: AppendReply): boolean =>
  reply.round > progress.matchRound && reply.lastIndex < progress.matchIndex

const doubledWindow = (context: contexts.Context, { window }: types.Progress): number =>
  Math.min(context.state.config.maxInFlightMessages, 2 * window)

/** Maximum number of doublings of `resendMs`. */
const MAX_RESEND_DOUBLINGS = 3

/**
 * Whether messages in flight may still arrive after another one was rejected: a heartbeat can overtake large or delayed
 * appends.
 */
const mayStillArrive = (
  context: contexts.Context,
  { inFlight, resets }: types.Progress,
  { round }: AppendReply,
): boolean => {
  const [oldest] = inFlight
  if (oldest === undefined || inFlight.some((message) => message.round === round)) return false
  const resendMs = context.state.config.resendMs * 2 ** Math.min(resets, MAX_RESEND_DOUBLINGS)
  return context.nowMs - oldest.sentMs < resendMs
}

const applyAcknowledgement = (
  context: contexts.Context,
  id: string,
  progress: types.Progress,
  reply: AppendReply,
): void => {
  const { snapshot } = progress
  const matchIndex = Math.max(progress.matchIndex, reply.matchIndex)
  const advanced = matchIndex > progress.matchIndex
  sending.setProgress(context, id, {
    matchIndex,
    matchRound: advanced ? context.state.round : progress.matchRound,
    nextIndex: Math.max(progress.nextIndex, matchIndex + 1),
    inFlight: progress.inFlight.filter((message) => message.lastIndex > matchIndex),
    ...(advanced ? { window: doubledWindow(context, progress), resets: 0 } : {}),
    snapshot: snapshot !== undefined && matchIndex >= snapshot.lastIndex ? undefined : snapshot,
  })
  if (advanced) leader.advanceCommit(context)
}

const resetProgress = (
  context: contexts.Context,
  id: string,
  progress: types.Progress,
  reply: AppendReply,
): void => {
  if (progress.snapshot !== undefined || reply.round <= progress.resetRound) return
  if (mayStillArrive(context, progress, reply)) return
  const hint = Math.min(reply.matchIndex, progress.nextIndex - 1)
  sending.setProgress(context, id, {
    nextIndex: Math.max(progress.matchIndex, hint) + 1,
    inFlight: [],
    window: 1,
    resets: progress.resets + 1,
    resetRound: context.state.round,
  })
}

/** Processes the reply to an append of the current term. */
export const handleAppendReply = (
  context: contexts.Context,
  from: string,
  reply: AppendReply,
): void => {
  const before = context.state.progress[from]
  if (before === undefined || before.refused) return
  if (context.state.config.guards.refuseRolledBack && isRolledBack(before, reply)) {
    sending.setProgress(context, from, { refused: true })
    return
  }
  recordContact(context, from)
  recordLeaseAcknowledgement(context, from, reply.round)
  const progress = context.state.progress[from] ?? before
  if (reply.success) applyAcknowledgement(context, from, progress, reply)
  else resetProgress(context, from, progress, reply)
  sending.sendEntries(context, from)
}
