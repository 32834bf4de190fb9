import * as protocol from '@ebonyweir/protocol'
import * as contexts from './context.js'
import * as leader from './leader.js'
import * as logs from './log.js'
import * as memberships from './membership.js'
import type * as types from './types.js'

/** Becomes a follower in `term`; the vote is kept if the term is unchanged. */
export const becomeFollower = (
  context: contexts.Context,
  term: number,
  leaderId: string | undefined,
): void => {
  const { state } = context
  if (term > state.hardState.term) contexts.setHardState(context, { term, votedFor: undefined })
  if (state.role !== 'follower') contexts.update(context, { electionStartMs: context.nowMs })
  contexts.update(context, {
    role: 'follower',
    leaderId,
    votes: [],
    progress: {},
    transfer: undefined,
  })
}

const mayVote = (state: types.State): boolean =>
  !state.config.guards.identity || memberships.isVoter(memberships.current(state), state.config.id)

const requestVotes = (context: contexts.Context, term: number, request: VoteFlags): void => {
  const { log } = context.state
  const value = { ...request, lastIndex: log.lastIndex, lastTerm: logs.lastTerm(log) }
  for (const member of memberships.others(context.state)) {
    if (!member.voter) continue
    contexts.send(context, member.id, { $case: 'voteRequest', value }, term)
  }
}

interface VoteFlags {
  readonly preVote: boolean
  readonly transfer: boolean
}

/** Raises the term and starts an election. */
export const campaign = (context: contexts.Context, transfer: boolean): void => {
  const { state } = context
  const term = state.hardState.term + 1
  contexts.setHardState(context, { term, votedFor: state.config.id })
  contexts.update(context, {
    role: 'candidate',
    leaderId: undefined,
    votes: [state.config.id],
    electionStartMs: context.nowMs,
  })
  requestVotes(context, term, { preVote: false, transfer })
}

const preCampaign = (context: contexts.Context): void => {
  const { state } = context
  contexts.update(context, {
    role: 'preCandidate',
    leaderId: undefined,
    votes: [state.config.id],
    electionStartMs: context.nowMs,
  })
  requestVotes(context, state.hardState.term + 1, { preVote: true, transfer: false })
  tallyVotes(context)
}

/** Advances from pre-vote to election, or to leader, once a quorum has granted its vote. */
export const tallyVotes = (context: contexts.Context): void => {
  const { state } = context
  const membership = memberships.current(state)
  const granted = memberships
    .voters(membership)
    .filter((member) => state.votes.includes(member.id)).length
  if (granted < memberships.quorumSize(memberships.voters(membership).length)) return
  if (state.role === 'preCandidate') {
    campaign(context, false)
    return
  }
  // This replica's own vote counts only once it is durable, like any other vote.
  const ownVoteSynced = !context.hardStateChanged && state.hardStateSequence <= state.syncedSequence
  if (state.role === 'candidate' && (ownVoteSynced || !state.config.guards.syncBeforeSend)) {
    leader.becomeLeader(context)
  }
}

/**
 * Randomized time without a leader after which an election starts. A leader that is alive contacts a replica within a few
 * heartbeats of its start, so a replica that has just started need not wait for the timeout that detects a failed leader.
 */
const electionTimeoutMs = ({ config, jitter, leaderContactMs }: types.State): number => {
  const isStartup = leaderContactMs === undefined
  const minMs = isStartup ? config.startupTimeoutMinMs : config.electionTimeoutMinMs
  const maxMs = isStartup ? config.startupTimeoutMaxMs : config.electionTimeoutMaxMs
  return minMs + jitter * (maxMs - minMs)
}

/** Starts an election if there was no contact with a leader within the randomized election timeout. */
export const tickElection = (context: contexts.Context, jitter: number): void => {
  const { state } = context
  if (!memberships.isVoter(memberships.current(state), state.config.id)) return
  const timeoutMs = electionTimeoutMs(state)
  const sinceMs = Math.max(state.electionStartMs, state.leaderContactMs ?? state.startedMs)
  if (context.nowMs - sinceMs < timeoutMs) return
  contexts.update(context, { jitter })
  if (state.config.guards.preVote) preCampaign(context)
  else campaign(context, false)
}

/** Whether a leader may still rely on this replica not voting for another candidate. */
const isSticky = (context: contexts.Context): boolean => {
  const { state, nowMs } = context
  const { guards, electionTimeoutMinMs } = state.config
  if (guards.stickyLeader) {
    if (state.role === 'leader') return true
    if (state.leaderContactMs !== undefined) {
      if (nowMs - state.leaderContactMs < electionTimeoutMinMs) return true
    }
  }
  return guards.restartGrace && nowMs - state.processStartMs < electionTimeoutMinMs
}

const isUpToDate = (log: logs.Log, request: protocol.replication.VoteRequest): boolean => {
  const lastTerm = logs.lastTerm(log)
  if (request.lastTerm !== lastTerm) return request.lastTerm > lastTerm
  return request.lastIndex >= log.lastIndex
}

const replyVote = (
  context: contexts.Context,
  to: string,
  preVote: boolean,
  granted: boolean,
  term = context.state.hardState.term,
): void => {
  contexts.send(context, to, { $case: 'voteReply', value: { preVote, granted } }, term)
}

/** Answers a vote request; a sticky replica ignores requests that do not come from a leadership transfer. */
export const handleVoteRequest = (
  context: contexts.Context,
  from: string,
  term: number,
  request: protocol.replication.VoteRequest,
): void => {
  if (!request.transfer && isSticky(context)) return
  if (!mayVote(context.state)) return
  const upToDate = isUpToDate(context.state.log, request)
  if (request.preVote) {
    const granted = upToDate && term > context.state.hardState.term
    replyVote(context, from, true, granted, granted ? term : undefined)
    return
  }
  if (term > context.state.hardState.term) becomeFollower(context, term, undefined)
  const { hardState } = context.state
  const voteAvailable = hardState.votedFor === undefined || hardState.votedFor === from
  const granted = term === hardState.term && voteAvailable && upToDate
  if (granted && hardState.votedFor === undefined) {
    contexts.setHardState(context, { term, votedFor: from })
    contexts.update(context, { electionStartMs: context.nowMs })
  }
  replyVote(context, from, false, granted)
}

/** Counts a vote that was granted for the current role and term. */
export const handleVoteReply = (
  context: contexts.Context,
  from: string,
  term: number,
  reply: protocol.replication.VoteReply,
): void => {
  const { state } = context
  const expectedRole = reply.preVote ? 'preCandidate' : 'candidate'
  const expectedTerm = state.hardState.term + (reply.preVote ? 1 : 0)
  if (state.role !== expectedRole || term !== expectedTerm || !reply.granted) return
  if (!state.votes.includes(from)) contexts.update(context, { votes: [...state.votes, from] })
  tallyVotes(context)
}

/** Starts an election without a pre-vote at the leader's request. */
export const handleTimeoutNow = (context: contexts.Context, from: string, term: number): void => {
  const { state } = context
  if (term !== state.hardState.term || from !== state.leaderId) return
  if (!memberships.isVoter(memberships.current(state), state.config.id)) return
  campaign(context, true)
}
