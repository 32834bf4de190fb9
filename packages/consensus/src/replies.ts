import type * as protocol from '@ebonyweir/protocol'
import * as contexts from './context.js'
import * as leader from './leader.js'
import * as memberships from './membership.js'
import * as sending from './sending.js'
import type * as types from './types.js'

type AppendReply = protocol.replication.AppendReply

/** Notes contact with a member; after a gap it has to acknowledge the commit index of now before it is repaired. */
export const noteContact = (context: contexts.Context, id: string): void => {
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

const noteLease = (context: contexts.Context, id: string, round: number): void => {
  const sample = context.state.progress[id]?.sample
  if (sample === undefined || round < sample.round) return
  sending.setProgress(context, id, { sample: undefined, leaseSentMs: sample.sentMs })
}

/** Whether a reply that was requested after an acknowledgement reports less than was acknowledged. */
const isRolledBack = (progress: types.Progress, reply: AppendReply): boolean =>
  reply.round > progress.matchRound && reply.lastIndex < progress.matchIndex

const grownWindow = (context: contexts.Context, { window }: types.Progress): number =>
  Math.min(context.state.config.maxInFlightMessages, 2 * window)

/** Most doublings of the time after which messages are sent again. */
const MAX_RESEND_DOUBLINGS = 3

/**
 * Whether messages in flight may still arrive after a rejection of another one: a heartbeat overtakes appends that are
 * large or late.
 */
const mayArrive = (
  context: contexts.Context,
  { inFlight, resets }: types.Progress,
  { round }: AppendReply,
): boolean => {
  const [oldest] = inFlight
  if (oldest === undefined || inFlight.some((message) => message.round === round)) return false
  const resendMs = context.state.config.resendMs * 2 ** Math.min(resets, MAX_RESEND_DOUBLINGS)
  return context.nowMs - oldest.sentMs < resendMs
}

const accept = (
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
    ...(advanced ? { window: grownWindow(context, progress), resets: 0 } : {}),
    snapshot: snapshot !== undefined && matchIndex >= snapshot.lastIndex ? undefined : snapshot,
  })
  if (advanced) leader.advanceCommit(context)
}

const resume = (
  context: contexts.Context,
  id: string,
  progress: types.Progress,
  reply: AppendReply,
): void => {
  if (progress.snapshot !== undefined || reply.round <= progress.resetRound) return
  if (mayArrive(context, progress, reply)) return
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
  noteContact(context, from)
  noteLease(context, from, reply.round)
  const progress = context.state.progress[from] ?? before
  if (reply.success) accept(context, from, progress, reply)
  else resume(context, from, progress, reply)
  sending.sendEntries(context, from)
}
