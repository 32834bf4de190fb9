import * as leader from './leader.js'
import * as memberships from './membership.js'
import type * as types from './types.js'

/**
 * Whether this replica is the leader and a quorum acknowledged a heartbeat sent within the leader lease. A read also
 * requires that the state machine has applied entries up to `termStartIndex`.
 */
export const leaseValid = (state: types.State, nowMs: number): boolean => {
  const { guards, leaderLeaseMs } = state.config
  if (state.role !== 'leader') return false
  if (guards.emptyEntryFirst && !leader.ownTermCommitted(state)) return false
  if (guards.leaseEndsAtTransfer && state.transfer?.sent === true) return false
  if (!guards.leaderLease) return true
  const sentMs = leader.quorumTime(state, nowMs, (progress) => progress.leaseSentMs)
  return nowMs - sentMs < leaderLeaseMs
}

export interface RepairStatus {
  readonly repaired: boolean
  readonly reason: string
}

const voterProblem = (state: types.State, nowMs: number, id: string): string | undefined => {
  if (id === state.config.id) {
    return state.syncedIndex < memberships.currentIndex(state)
      ? `${id} has not synced the membership change yet`
      : undefined
  }
  const progress = state.progress[id]
  if (progress === undefined) return `${id} has no progress record`
  if (progress.refused) return `${id} reported less than it had acknowledged; replace it`
  const sinceContactMs = nowMs - progress.lastContactMs
  if (progress.lapsed || sinceContactMs > state.config.electionTimeoutMinMs) {
    return `${id} does not answer`
  }
  if (progress.matchIndex < progress.fenceIndex) {
    return `${id} acknowledged ${progress.matchIndex} of ${progress.fenceIndex} entries`
  }
  return undefined
}

/** Whether the loss of any one member leaves a quorum that holds every committed entry. */
export const repairStatus = (state: types.State, nowMs: number): RepairStatus => {
  const notRepaired = (reason: string) => ({ repaired: false, reason })
  if (!leaseValid(state, nowMs)) return notRepaired('this replica does not hold the leader lease')
  if (memberships.currentIndex(state) > state.commitIndex) {
    return notRepaired('a membership change is not committed yet')
  }
  const voters = memberships.voters(memberships.current(state))
  if (voters.length - 1 < memberships.quorumSize(voters.length)) {
    return notRepaired(`${voters.length} voters have no quorum after one loss`)
  }
  if (state.config.guards.repairedNeedsAcknowledgement) {
    for (const voter of voters) {
      const problem = voterProblem(state, nowMs, voter.id)
      if (problem !== undefined) return notRepaired(problem)
    }
  }
  return { repaired: true, reason: 'every voter acknowledged the membership and the committed log' }
}
