import * as contexts from './context.js'
import * as election from './election.js'
import * as follower from './follower.js'
import * as leader from './leader.js'
import * as leadership from './leadership.js'
import * as membershipChanges from './membershipChanges.js'
import * as memberships from './membership.js'
import * as replies from './replies.js'
import * as snapshots from './snapshots.js'
import type * as types from './types.js'

/** New state and ordered outputs of one step. */
export interface StepResult {
  readonly state: types.State
  readonly outputs: readonly types.Output[]
}

/** Keeps only the newest acknowledgement to each member among messages released together. */
const coalesceAcknowledgements = (
  envelopes: readonly types.Envelope[],
): readonly types.Envelope[] => {
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
  const syncedWrites = state.pending.filter((write) => write.sequence <= sequence)
  const released = state.held.filter((message) => message.sequence <= sequence)
  contexts.update(context, {
    syncedSequence: Math.max(state.syncedSequence, sequence),
    syncedIndex: Math.max(state.syncedIndex, syncedWrites.at(-1)?.lastIndex ?? 0),
    pending: state.pending.filter((write) => write.sequence > sequence),
    held: state.held.filter((message) => message.sequence > sequence),
  })
  for (const envelope of coalesceAcknowledgements(released.map((message) => message.envelope))) {
    context.outputs.push({ kind: 'send', envelope })
  }
  election.tallyVotes(context)
  if (context.state.role === 'leader') leader.advanceCommit(context)
}

/** Adopts a higher term; a vote request or a granted pre-vote does not raise the term by itself. */
const adoptHigherTerm = (context: contexts.Context, envelope: types.Envelope): void => {
  const { term, body } = envelope
  if (term <= context.state.hardState.term || body === undefined) return
  if (body.$case === 'voteRequest') return
  if (body.$case === 'voteReply' && body.value.preVote && body.value.granted) return
  election.becomeFollower(context, term, undefined)
}

/** Rejects a request of an older term; its leader learns the current term from the reply. */
const rejectStaleLeader = (context: contexts.Context, from: string, round: number): void => {
  const { lastIndex } = context.state.log
  const value = { success: false, matchIndex: 0, round, lastIndex }
  contexts.send(context, from, { $case: 'appendReply', value })
}

const handleMessage = (context: contexts.Context, envelope: types.Envelope): void => {
  const { from, term, body } = envelope
  const { config } = context.state
  if (envelope.cell !== config.cell || envelope.to !== config.id || body === undefined) return
  adoptHigherTerm(context, envelope)
  const isCurrentTerm = term === context.state.hardState.term
  const isLeader = isCurrentTerm && context.state.role === 'leader'
  switch (body.$case) {
    case 'voteRequest':
      election.handleVoteRequest(context, from, term, body.value)
      return
    case 'voteReply':
      election.handleVoteReply(context, from, term, body.value)
      return
    case 'appendRequest':
      if (isLeader) context.outputs.push({ kind: 'fatal', detail: `two leaders in term ${term}` })
      else if (isCurrentTerm) follower.handleAppend(context, from, term, body.value)
      else rejectStaleLeader(context, from, body.value.round)
      return
    case 'appendReply':
      if (isLeader) replies.handleAppendReply(context, from, body.value)
      return
    case 'snapshotChunk':
      if (isLeader) context.outputs.push({ kind: 'fatal', detail: `two leaders in term ${term}` })
      else if (isCurrentTerm) snapshots.handleChunk(context, from, term, body.value)
      else rejectStaleLeader(context, from, 0)
      return
    case 'snapshotReply':
      if (isLeader) snapshots.handleSnapshotReply(context, from, body.value)
      return
    case 'timeoutNow':
      election.handleTimeoutNow(context, from, term)
  }
}

const dispatch = (context: contexts.Context, input: types.Input): void => {
  switch (input.kind) {
    case 'tick':
      if (context.state.role === 'leader') leadership.tickLeader(context)
      else election.tickElection(context, input.jitter)
      return
    case 'message':
      handleMessage(context, input.envelope)
      return
    case 'propose':
      leader.propose(context, input.payloads)
      return
    case 'changeMembers':
      membershipChanges.changeMembers(context, input.change)
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
      leadership.startTransfer(context, input.target)
      return
    case 'bootstrap':
      membershipChanges.bootstrap(context, input.membership)
  }
}

/**
 * Advances one replica by one input. Pure function: time and randomness are passed in.
 *
 * @param nowMs monotonic time of this replica, never lower than in the previous step
 */
export const step = (state: types.State, input: types.Input, nowMs: number): StepResult => {
  const context = contexts.createContext(state, nowMs)
  dispatch(context, input)
  leadership.advanceTransfer(context)
  membershipChanges.stepDownIfRemoved(context)
  contexts.finish(context)
  return { state: context.state, outputs: context.outputs }
}

/** Whether this replica is a voter in the effective membership. */
export const isVoter = (state: types.State): boolean =>
  memberships.isVoter(memberships.current(state), state.config.id)
