import * as protocol from '@ebonyweir/protocol'
import * as results from 'ts-results-es'
import type * as types from './types.js'

const emptyMembership: types.Membership = { members: [] }

/** Effective membership: the newest in the log, committed or not. */
export const current = (state: types.State): types.Membership =>
  state.memberships.at(-1)?.membership ?? emptyMembership

export const currentIndex = (state: types.State): number => state.memberships.at(-1)?.index ?? 0

export const voters = (membership: types.Membership): readonly types.Member[] =>
  membership.members.filter((member) => member.voter)

export const quorumSize = (voterCount: number): number => Math.floor(voterCount / 2) + 1

export const isVoter = (membership: types.Membership, id: string): boolean =>
  membership.members.some((member) => member.voter && member.id === id)

/** Members other than this replica. */
export const others = (state: types.State): readonly types.Member[] =>
  current(state).members.filter((member) => member.id !== state.config.id)

/**
 * Highest value that a quorum of voters has reached.
 *
 * @param valueOf progress of one voter; larger means further advanced
 */
export const quorumValue = (
  membership: types.Membership,
  valueOf: (id: string) => number,
): number => {
  const values = voters(membership).map((member) => valueOf(member.id))
  values.sort((a, b) => b - a)
  return values[quorumSize(values.length) - 1] ?? Number.NEGATIVE_INFINITY
}

export const encode = (membership: types.Membership): Buffer =>
  Buffer.from(protocol.replication.Membership.encode(membership).finish())

export const decode = (payload: Uint8Array): types.Membership =>
  protocol.replication.Membership.decode(payload)

/** Memberships contained in `entries`, with their log indexes. */
export const inEntries = (entries: readonly types.LogEntry[]): readonly types.IndexedMembership[] =>
  entries
    .filter((entry) => entry.kind === protocol.replication.EntryKind.MEMBERSHIP)
    .map((entry) => ({ index: entry.index, membership: decode(entry.payload) }))

/** Membership after a change, or the reason why the change is invalid. */
export const applyChange = (
  membership: types.Membership,
  change: types.MembershipChange,
): results.Result<types.Membership, string> => {
  if (change.kind === 'add') {
    if (membership.members.some((member) => member.id === change.member.id)) {
      return results.Err(`${change.member.id} is already a member`)
    }
    return results.Ok({ members: [...membership.members, { ...change.member, voter: false }] })
  }
  if (!membership.members.some((member) => member.id === change.id)) {
    return results.Err(`${change.id} is not a member`)
  }
  const members = membership.members.filter((member) => member.id !== change.id)
  if (!members.some((member) => member.voter)) {
    return results.Err(`${change.id} is the last voter`)
  }
  return results.Ok({ members })
}

/** Membership in which the learner `id` is a voter. */
export const promote = (membership: types.Membership, id: string): types.Membership => ({
  members: membership.members.map((member) =>
    member.id === id ? { ...member, voter: true } : member,
  ),
})
