import * as crypto from 'node:crypto'
import * as results from 'ts-results-es'
import type * as types from './types.js'

/** Creates a replica from its data folder. Holds the log in memory and commits with a single member. */
export const createReplica = <Outcome>(
  options: types.ReplicaOptions<Outcome>,
): Promise<results.Result<types.Replica<Outcome>, types.OpenError>> => {
  const id = crypto.randomUUID()
  let members: readonly types.Member[] = []
  let index = 0
  let stopped = false

  const leadership = (): types.Leadership => {
    const self = members.find((member) => member.id === id)
    const leads = !stopped && self !== undefined && members.length === 1
    return {
      role: leads ? 'leader' : 'follower',
      term: members.length === 0 ? 0 : 1,
      leader: leads ? self : undefined,
      leaseValid: leads,
    }
  }

  const propose: types.Replica<Outcome>['propose'] = (payload) => {
    if (stopped) return Promise.resolve(results.Err({ kind: 'stopped' }))
    if (leadership().role !== 'leader') {
      return Promise.resolve(results.Err({ kind: 'not-leader', leader: undefined }))
    }
    index += 1
    const outcome = options.stateMachine.apply({ index, term: 1, payload })
    return Promise.resolve(results.Ok({ index, term: 1, outcome }))
  }

  return Promise.resolve(
    results.Ok({
      id,
      start: () => undefined,
      propose,
      deliver: () => undefined,
      leadership,
      bootstrap: (initial) => {
        if (members.length > 0) {
          return Promise.resolve(
            results.Err({ kind: 'already-formed', detail: 'the log is not empty' }),
          )
        }
        members = initial
        options.onLeadershipChange?.(leadership())
        return Promise.resolve(results.Ok(undefined))
      },
      changeMembers: () =>
        Promise.resolve(
          results.Err({ kind: 'invalid-change', detail: 'not available with a single member' }),
        ),
      membersStatus: () => ({
        members: members.map((member) => ({
          ...member,
          acknowledgedIndex: index,
          lastContactMs: 0,
          refused: false,
        })),
        commitIndex: index,
        repaired: false,
        reason: 'a single member has no quorum after a loss',
      }),
      transferLeadership: () => Promise.resolve(false),
      stop: () => {
        stopped = true
        return Promise.resolve()
      },
    }),
  )
}
