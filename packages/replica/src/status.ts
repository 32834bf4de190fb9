import * as consensus from '@ebonyweir/consensus'
import type * as engines from './engine.js'
import type * as types from './types.js'

const toRole = (state: consensus.State): types.Role => {
  if (state.role === 'leader') return 'leader'
  if (state.role === 'candidate' || state.role === 'preCandidate') return 'candidate'
  return consensus.isVoter(state) ? 'follower' : 'learner'
}

const leaderAddress = (state: consensus.State): types.LeaderAddress | undefined => {
  const members = consensus.membership.current(state).members
  const member = members.find((candidate) => candidate.id === state.leaderId)
  if (member === undefined) return undefined
  return { id: member.id, address: member.address, httpAddress: member.httpAddress }
}

/** Leadership as one replica sees it at `nowMs`. */
export const leadership = (engine: engines.Engine<unknown>, nowMs: number): types.Leadership => {
  const { state } = engine
  if (engine.halted) {
    const { term } = state.hardState
    return { role: 'follower', term, leader: undefined, leaseValid: false }
  }
  return {
    role: toRole(state),
    term: state.hardState.term,
    leader: leaderAddress(state),
    leaseValid: engine.appliedIndex >= state.termStartIndex && consensus.leaseValid(state, nowMs),
  }
}

const memberStatus = (
  state: consensus.State,
  member: types.Member,
  nowMs: number,
): types.MemberStatus => {
  if (member.id === state.config.id) {
    const ownValues = { lastContactMs: 0, inFlightBytes: 0, resets: 0, refused: false }
    return { ...member, acknowledgedIndex: state.syncedIndex, ...ownValues }
  }
  const progress = state.role === 'leader' ? state.progress[member.id] : undefined
  const isInContact = progress !== undefined && !progress.lapsed
  return {
    ...member,
    acknowledgedIndex: progress?.matchIndex,
    lastContactMs: isInContact ? nowMs - progress.lastContactMs : undefined,
    inFlightBytes: progress?.inFlight.reduce((sum, { bytes }) => sum + bytes, 0) ?? 0,
    resets: progress?.resets ?? 0,
    refused: progress?.refused ?? false,
  }
}

/** Membership and repair state as one replica sees them at `nowMs`. */
export const membersStatus = (state: consensus.State, nowMs: number): types.MembersStatus => ({
  members: consensus.membership
    .current(state)
    .members.map((member) => memberStatus(state, member, nowMs)),
  commitIndex: state.commitIndex,
  ...consensus.repairStatus(state, nowMs),
})
