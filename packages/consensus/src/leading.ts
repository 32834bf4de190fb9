import * as contexts from './context.js'
import * as election from './election.js'
import * as leader from './leader.js'
import * as members from './members.js'
import * as memberships from './membership.js'
import * as sending from './sending.js'
import type * as types from './types.js'

const stepDown = (context: contexts.Context): void => {
  election.becomeFollower(context, context.state.hardState.term, undefined)
}

const lostQuorum = (context: contexts.Context): boolean => {
  const { state, nowMs } = context
  if (!state.config.guards.quorumStepDown) return false
  const contactMs = leader.quorumTime(state, nowMs, (progress) => progress.lastContactMs)
  return nowMs - contactMs > state.config.electionTimeoutMinMs
}

const markLapsed = (context: contexts.Context): void => {
  const { state, nowMs } = context
  for (const [id, progress] of Object.entries(state.progress)) {
    const silentMs = nowMs - progress.lastContactMs
    if (!progress.lapsed && silentMs > state.config.electionTimeoutMinMs) {
      sending.setProgress(context, id, { lapsed: true })
    }
  }
}

/** A transfer that was announced cannot be taken back, since the message may still arrive. */
const tickTransfer = (context: contexts.Context, transfer: types.Transfer): void => {
  if (context.nowMs < transfer.deadlineMs) {
    advanceTransfer(context)
    return
  }
  if (transfer.sent) stepDown(context)
  else contexts.update(context, { transfer: undefined })
}

/** Periodic work of a leader. */
export const tickLeader = (context: contexts.Context): void => {
  if (lostQuorum(context)) {
    stepDown(context)
    return
  }
  markLapsed(context)
  if (context.state.transfer !== undefined) tickTransfer(context, context.state.transfer)
  if (context.state.role !== 'leader') return
  members.promoteLearner(context)
  if (context.nowMs - context.state.heartbeatSentMs >= context.state.config.heartbeatMs) {
    sending.sendHeartbeats(context)
  }
}

const chooseTarget = (state: types.State, wanted: string | undefined): string | undefined => {
  const candidates = memberships.others(state).filter((member) => {
    const progress = state.progress[member.id]
    const usable = member.voter && progress !== undefined && !progress.refused && !progress.lapsed
    return usable && (wanted === undefined || wanted === member.id)
  })
  const matchOf = (member: types.Member) => state.progress[member.id]?.matchIndex ?? 0
  return [...candidates].sort((a, b) => matchOf(b) - matchOf(a))[0]?.id
}

/** Starts to hand leadership over; proposals are refused from now on. */
export const startTransfer = (context: contexts.Context, wanted: string | undefined): void => {
  const { state } = context
  if (state.role !== 'leader' || state.transfer !== undefined) return
  const target = chooseTarget(state, wanted)
  if (target === undefined) return
  const deadlineMs = context.nowMs + state.config.electionTimeoutMinMs
  contexts.update(context, { transfer: { target, deadlineMs, sent: false } })
  advanceTransfer(context)
}

/** Tells the target to take over once it has the whole log. */
export const advanceTransfer = (context: contexts.Context): void => {
  const { state } = context
  const { transfer } = state
  if (state.role !== 'leader' || transfer === undefined || transfer.sent) return
  if (state.progress[transfer.target]?.matchIndex !== state.log.lastIndex) return
  contexts.update(context, { transfer: { ...transfer, sent: true } })
  contexts.send(context, transfer.target, { $case: 'timeoutNow', value: {} })
}
