import * as contexts from './context.js'
import * as election from './election.js'
import * as leader from './leader.js'
import * as membershipChanges from './membershipChanges.js'
import * as memberships from './membership.js'
import * as sending from './sending.js'
import type * as types from './types.js'

const stepDown = (context: contexts.Context): void => {
  election.becomeFollower(context, context.state.hardState.term, undefined)
}

const hasLostQuorum = (context: contexts.Context): boolean => {
  const { state, nowMs } = context
  if (!state.config.guards.quorumStepDown) return false
  const contactMs = leader.quorumTime(state, nowMs, (progress) => progress.lastContactMs)
  return nowMs - contactMs > state.config.electionTimeoutMinMs
}

const markLapsedMembers = (context: contexts.Context): void => {
  const { state, nowMs } = context
  for (const [id, progress] of Object.entries(state.progress)) {
    const sinceContactMs = nowMs - progress.lastContactMs
    if (!progress.lapsed && sinceContactMs > state.config.electionTimeoutMinMs) {
      sending.setProgress(context, id, { lapsed: true })
    }
  }
}

/** A transfer cannot be cancelled once `timeoutNow` is sent, since the message may still arrive. */
const tickTransfer = (context: contexts.Context, transfer: types.Transfer): void => {
  if (context.nowMs < transfer.deadlineMs) {
    advanceTransfer(context)
    return
  }
  if (transfer.sent) stepDown(context)
  else contexts.update(context, { transfer: undefined })
}

/** Runs the periodic work of a leader. */
export const tickLeader = (context: contexts.Context): void => {
  if (hasLostQuorum(context)) {
    stepDown(context)
    return
  }
  markLapsedMembers(context)
  if (context.state.transfer !== undefined) tickTransfer(context, context.state.transfer)
  if (context.state.role !== 'leader') return
  membershipChanges.promoteLearner(context)
  if (context.nowMs - context.state.heartbeatSentMs >= context.state.config.heartbeatMs) {
    sending.sendHeartbeats(context)
  }
}

const chooseTarget = (
  state: types.State,
  requestedTarget: string | undefined,
): string | undefined => {
  const candidates = memberships.others(state).filter((member) => {
    const progress = state.progress[member.id]
    const isEligible =
      member.voter && progress !== undefined && !progress.refused && !progress.lapsed
    return isEligible && (requestedTarget === undefined || requestedTarget === member.id)
  })
  const matchIndexOf = (member: types.Member) => state.progress[member.id]?.matchIndex ?? 0
  return [...candidates].sort((a, b) => matchIndexOf(b) - matchIndexOf(a))[0]?.id
}

/** Starts a leadership transfer; proposals are refused while it is in progress. */
export const startTransfer = (
  context: contexts.Context,
  requestedTarget: string | undefined,
): void => {
  const { state } = context
  if (state.role !== 'leader' || state.transfer !== undefined) return
  const target = chooseTarget(state, requestedTarget)
  if (target === undefined) return
  const deadlineMs = context.nowMs + state.config.electionTimeoutMinMs
  contexts.update(context, { transfer: { target, deadlineMs, sent: false } })
  advanceTransfer(context)
}

/** Sends `timeoutNow` to the target once it has acknowledged the whole log. */
export const advanceTransfer = (context: contexts.Context): void => {
  const { state } = context
  const { transfer } = state
  if (state.role !== 'leader' || transfer === undefined || transfer.sent) return
  if (state.progress[transfer.target]?.matchIndex !== state.log.lastIndex) return
  contexts.update(context, { transfer: { ...transfer, sent: true } })
  contexts.send(context, transfer.target, { $case: 'timeoutNow', value: {} })
}
