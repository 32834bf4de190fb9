import * as contexts from './context.js'
import * as election from './election.js'
import * as follower from './follower.js'
import * as leader from './leader.js'
import * as leading from './leading.js'
import * as members from './members.js'
import * as memberships from './membership.js'
import * as replies from './replies.js'
import * as snapshots from './snapshots.js'
import type * as types from './types.js'

/** New state and ordered outputs of one step. */
export interface StepResult {
  readonly state: types.State
  readonly outputs: readonly types.Output[]
}

/** Keeps only the newest acknowledgement for each member among messages released together. */
const coalesce = (envelopes: readonly types.Envelope[]): readonly types.Envelope[] => {
  const newest = new Map<string, types.Envelope>()
  for (const envelope of envelopes) {
    if (envelope.body?.$case === 'appendReply' && envelope.body.value.success) {
      newest.set(envelope.to, envelope)
    }
  }
  return envelopes.filter((envelope) => {
    if (envelope.body?.$case !== 'appendReply' || !envelope.body.value.success) return true
    return newest.get(envelope.to) === envelope
  })
}

const handleSynced = (context: contexts.Context, sequence: number): void => {
  const { state } = context
  const done = state.pending.filter((write) => write.sequence <= sequence)
  const released = state.held.filter((message) => message.sequence <= sequence)
  contexts.update(context, {
    syncedSequence: Math.max(state.syncedSequence, sequence),
    syncedIndex: Math.max(state.syncedIndex, done.at(-1)?.lastIndex ?? 0),
    pending: state.pending.filter((write) => write.sequence > sequence),
    held: state.held.filter((message) => message.sequence > sequence),
  })
  for (const envelope of coalesce(released.map((message) => message.envelope))) {
    context.outputs.push({ kind: 'send', envelope })
  }
  election.tallyVotes(context)
  if (context.state.role === 'leader') leader.advanceCommit(context)
}

/** Follows a higher term; a vote request or a granted pre-vote does not raise it by itself. */
const followTerm = (context: contexts.Context, envelope: types.Envelope): void => {
  const { term, body } = envelope
  if (term <= context.state.hardState.term || body === undefined) return
  if (body.$case === 'voteRequest') return
  if (body.$case === 'voteReply' && body.value.preVote && body.value.granted) return
  election.becomeFollower(context, term, undefined)
}

/** Tells a leader of an older term about the current one. */
const rejectOldLeader = (context: contexts.Context, from: string, round: number): void => {
  const { lastIndex } = context.state.log
  const value = { success: false, matchIndex: 0, round, lastIndex }
  contexts.send(context, from, { $case: 'appendReply', value })
}

const handleMessage = (context: contexts.Context, envelope: types.Envelope): void => {
  const { from, term, body } = envelope
  const { config } = context.state
  if (envelope.cell !== config.cell || envelope.to !== config.id || body === undefined) return
  followTerm(context, envelope)
  const current = term === context.state.hardState.term
  const leads = current && context.state.role === 'leader'
  switch (body.$case) {
    case 'voteRequest':
      election.handleVoteRequest(context, from, term, body.value)
      return
    case 'voteReply':
      election.handleVoteReply(context, from, term, body.value)
      return
    case 'appendRequest':
      if (leads) context.outputs.push({ kind: 'fatal', detail: `two leaders in term ${term}` })
      else if (current) follower.handleAppend(context, from, term, body.value)
      else rejectOldLeader(context, from, body.value.round)
      return
    case 'appendReply':
      if (leads) replies.handleAppendReply(context, from, body.value)
      return
    case 'snapshotChunk':
      if (leads) context.outputs.push({ kind: 'fatal', detail: `two leaders in term ${term}` })
      else if (current) snapshots.handleChunk(context, from, term, body.value)
      else rejectOldLeader(context, from, 0)
      return
    case 'snapshotReply':
      if (leads) snapshots.handleSnapshotReply(context, from, body.value)
      return
    case 'timeoutNow':
      election.handleTimeoutNow(context, from, term)
  }
}

const dispatch = (context: contexts.Context, input: types.Input): void => {
  switch (input.kind) {
    case 'tick':
      if (context.state.role === 'leader') leading.tickLeader(context)
      else election.tickElection(context, input.jitter)
      return
    case 'message':
      handleMessage(context, input.envelope)
      return
    case 'propose':
      leader.propose(context, input.payloads)
      return
    case 'changeMembers':
      members.changeMembers(context, input.change)
      return
    case 'synced':
      handleSynced(context, input.sequence)
      return
    case 'snapshotSaved':
      snapshots.handleSaved(context, input.lastIndex)
      return
    case 'snapshotStored':
      snapshots.handleStored(context, input.meta)
      return
    case 'transfer':
      leading.startTransfer(context, input.target)
      return
    case 'bootstrap':
      members.bootstrap(context, input.membership)
  }
}

/**
 * Advances one replica by one input. Pure: time and randomness come in as arguments.
 *
 * @param nowMs the replica's own monotonic clock, never lower than in the step before
 */
export const step = (state: types.State, input: types.Input, nowMs: number): StepResult => {
  const context = contexts.createContext(state, nowMs)
  dispatch(context, input)
  leading.advanceTransfer(context)
  members.leaveIfRemoved(context)
  contexts.finish(context)
  return { state: context.state, outputs: context.outputs }
}

/** Whether this replica is a voter of the membership in force. */
export const isVoter = (state: types.State): boolean =>
  memberships.isVoter(memberships.current(state), state.config.id)
