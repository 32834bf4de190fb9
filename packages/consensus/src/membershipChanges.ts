import * as protocol from '@ebonyweir/protocol'
import * as contexts from './context.js'
import * as election from './election.js'
import * as leader from './leader.js'
import * as memberships from './membership.js'
import * as sending from './sending.js'
import type * as types from './types.js'

const { EntryKind } = protocol.replication

const appendMembership = (context: contexts.Context, membership: types.Membership): void => {
  const payload = memberships.encode(membership)
  const entries = leader.newEntries(context.state, EntryKind.MEMBERSHIP, [payload])
  contexts.appendEntries(context, entries)
  leader.refreshProgress(context)
  const index = context.state.log.lastIndex
  for (const id of Object.keys(context.state.progress)) {
    sending.setProgress(context, id, { fenceIndex: index })
  }
}

/** Reason why no membership change can start now, if any. */
const blockedReason = (state: types.State): string | undefined => {
  if (!state.config.guards.oneChangeAtATime) return undefined
  if (!leader.ownTermCommitted(state)) return 'no entry of this term is committed yet'
  if (memberships.currentIndex(state) > state.commitIndex) {
    return 'the change before is not committed yet'
  }
  return undefined
}

/** Starts to add or remove one member. */
export const changeMembers = (context: contexts.Context, change: types.MembershipChange): void => {
  const { state } = context
  if (state.role !== 'leader' || state.transfer !== undefined) {
    leader.refuse(context, 'not-leader', 'this replica is not the leader')
    return
  }
  const reason = blockedReason(state)
  if (reason !== undefined) {
    leader.refuse(context, 'change-in-progress', reason)
    return
  }
  const changed = memberships.applyChange(memberships.current(state), change)
  if (changed.isErr()) {
    leader.refuse(context, 'invalid-change', changed.error)
    return
  }
  appendMembership(context, changed.value)
  emitAccepted(context)
  sending.sendToAll(context)
}

const emitAccepted = (context: contexts.Context): void => {
  const { state } = context
  context.outputs.push({
    kind: 'accepted',
    firstIndex: state.log.lastIndex,
    term: state.hardState.term,
    count: 1,
  })
}

/** Promotes a learner to voter once it has acknowledged all committed entries. */
export const promoteLearner = (context: contexts.Context): void => {
  const { state } = context
  if (state.transfer !== undefined || blockedReason(state) !== undefined) return
  const caughtUp = memberships.others(state).find((member) => {
    const progress = state.progress[member.id]
    if (member.voter || progress === undefined || progress.refused || progress.lapsed) return false
    return progress.matchIndex >= Math.max(state.commitIndex, progress.fenceIndex)
  })
  if (caughtUp === undefined) return
  appendMembership(context, memberships.promote(memberships.current(state), caughtUp.id))
  sending.sendToAll(context)
}

/** Forms the group with an initial membership entry that is identical on every replica. */
export const bootstrap = (context: contexts.Context, membership: types.Membership): void => {
  const { state } = context
  if (state.log.lastIndex > 0 || state.hardState.term > 0) {
    leader.refuse(context, 'already-formed', 'the log is not empty')
    return
  }
  contexts.setHardState(context, { term: 1, votedFor: undefined })
  const payload = memberships.encode(membership)
  contexts.appendEntries(context, leader.newEntries(context.state, EntryKind.MEMBERSHIP, [payload]))
  contexts.update(context, { electionStartMs: context.nowMs })
  emitAccepted(context)
}

/** Steps down once a membership in which this replica is not a voter is committed. */
export const stepDownIfRemoved = (context: contexts.Context): void => {
  const { state } = context
  if (state.role !== 'leader' || memberships.currentIndex(state) > state.commitIndex) return
  if (memberships.isVoter(memberships.current(state), state.config.id)) return
  sending.sendHeartbeats(context)
  election.becomeFollower(context, state.hardState.term, undefined)
}
