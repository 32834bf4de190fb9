/**
 * Forms the group from its seeds and keeps it complete without an operator: a replica that is not a member asks the leader
 * to be added, and the leader replaces one member at a time.
 */
import * as grpc from '@grpc/grpc-js'
import * as peerTransport from '@ebonyweir/peer-transport'
import * as protocol from '@ebonyweir/protocol'
import type * as replica from '@ebonyweir/replica'
import type * as context from './context.js'

/** Interval at which a replica checks whether it belongs to a group, in milliseconds. */
const CHECK_INTERVAL_MS = 200

/** Timeout of a call to another replica, in milliseconds. */
const CALL_TIMEOUT_MS = 500

/** Time without a leader after which a member asks to join again, in milliseconds: it may have been removed. */
const LEADERLESS_TIMEOUT_MS = 2_500

/** Time without contact after which a voter may be replaced by a waiting replica, in milliseconds. */
const UNRESPONSIVE_VOTER_MS = 1_500

const { CallOutcome } = protocol.workflow

export interface GroupMembership {
  readonly start: () => void
  readonly stop: () => void
  readonly identify: () => protocol.workflow.IdentityReply
  readonly join: (request: protocol.workflow.JoinRequest) => Promise<protocol.workflow.CallReply>
}

export const createGroupMembership = (ctx: context.ControlContext): GroupMembership => {
  const { cell, grpcAddress, failureDomain, logger, mayForm, seeds, toleratedLosses } = ctx.options
  const self: protocol.replication.Member = {
    id: ctx.replica.id,
    address: grpcAddress,
    httpAddress: grpcAddress,
    voter: true,
    failureDomain,
  }
  const clients = new Map<string, protocol.workflow.WorkflowClient>()
  let timer: NodeJS.Timeout | undefined
  let stopped = false
  let leaderSeenMs = ctx.nowMs()
  let peerIndex = 0

  const members = (): readonly replica.MemberStatus[] => ctx.replica.membersStatus().members

  const isFormed = (): boolean => members().length > 0

  const clientFor = (address: string): protocol.workflow.WorkflowClient => {
    const known = clients.get(address)
    if (known !== undefined) return known
    const credentials = grpc.credentials.createInsecure()
    const client = new protocol.workflow.WorkflowClient(
      address,
      credentials,
      peerTransport.CHANNEL_OPTIONS,
    )
    clients.set(address, client)
    return client
  }

  const drop = (address: string): void => {
    clients.get(address)?.close()
    clients.delete(address)
  }

  const askIdentity = (address: string): Promise<protocol.workflow.IdentityReply | undefined> =>
    new Promise((resolve) => {
      const deadline = Date.now() + CALL_TIMEOUT_MS
      clientFor(address).identify({ cell }, new grpc.Metadata(), { deadline }, (error, reply) => {
        if (error !== null) drop(address)
        resolve(error === null ? reply : undefined)
      })
    })

  const askToJoin = (address: string): Promise<protocol.workflow.CallReply | undefined> =>
    new Promise((resolve) => {
      const deadline = Date.now() + CALL_TIMEOUT_MS
      const request = { cell, member: self }
      clientFor(address).join(request, new grpc.Metadata(), { deadline }, (error, reply) => {
        if (error !== null) drop(address)
        resolve(error === null ? reply : undefined)
      })
    })

  const form = async (identities: readonly protocol.workflow.IdentityReply[]): Promise<void> => {
    const found = identities.flatMap(({ member }) => (member === undefined ? [] : [member]))
    const initial = [...found, self].sort((a, b) => (a.id < b.id ? -1 : 1))
    const result = await ctx.replica.bootstrap(initial)
    logger.info('group formed', {
      members: initial.map(({ id, address }) => `${id} ${address}`),
      outcome: result.isOk() ? 'formed' : result.error.kind,
    })
  }

  /**
   * Forms the group once every seed has answered that it may form one; resolves to true while that is still possible. Each
   * replica bootstraps itself with the same members, since a single one has no quorum to replicate the first entry.
   */
  const tryForm = async (): Promise<boolean> => {
    const others = seeds().filter((address) => address !== grpcAddress)
    if (!mayForm || others.length === seeds().length) return false
    const identities = await Promise.all(others.map(askIdentity))
    const known = identities.filter((identity) => identity !== undefined)
    if (known.length < others.length) return true
    if (!known.every((identity) => identity.mayForm)) return false
    if (!isFormed()) await form(known)
    return true
  }

  const tryJoin = async (): Promise<void> => {
    const known = [...new Set([...seeds(), ...members().map(({ address }) => address)])]
    const others = known.filter((address) => address !== grpcAddress)
    peerIndex += 1
    const target = others[peerIndex % Math.max(1, others.length)]
    if (target === undefined) return
    const reply = await askToJoin(target)
    const leader = reply?.hint?.leader ?? ''
    const isRedirected = reply?.outcome === CallOutcome.NOT_LEADING && leader !== ''
    if (isRedirected && leader !== target && leader !== grpcAddress) await askToJoin(leader)
  }

  const check = async (): Promise<void> => {
    const now = ctx.nowMs()
    if (ctx.replica.leadership().leader !== undefined) leaderSeenMs = now
    const isMember = members().some(({ id }) => id === self.id)
    if (isMember && now - leaderSeenMs < LEADERLESS_TIMEOUT_MS) return
    if (!isFormed() && (await tryForm())) return
    await tryJoin()
  }

  const run = (): void => {
    if (stopped) return
    void check().finally(() => {
      if (!stopped) timer = setTimeout(run, CHECK_INTERVAL_MS)
    })
  }

  const reply = (
    outcome: protocol.workflow.CallOutcome,
    detail = '',
  ): protocol.workflow.CallReply => ({ outcome, hint: ctx.hint(), retryAfterMs: 0, detail })

  const change = async (
    wanted: replica.MembersChange,
    why: string,
  ): Promise<protocol.workflow.CallReply> => {
    const result = await ctx.replica.changeMembers(wanted)
    const id = wanted.kind === 'add' ? wanted.member.id : wanted.id
    const outcome = result.isOk() ? 'committed' : result.error.kind
    logger.info('membership change', { change: wanted.kind, id, why, outcome })
    return result.isOk() ? reply(CallOutcome.OK) : reply(CallOutcome.UNKNOWN, outcome)
  }

  const join: GroupMembership['join'] = async ({ cell: requestedCell, member }) => {
    if (requestedCell !== cell || member === undefined) {
      return reply(CallOutcome.INVALID, `this replica serves cell ${cell}`)
    }
    if (ctx.leadingTerm() === undefined) return reply(CallOutcome.NOT_LEADING)
    const current = members()
    if (current.some(({ id }) => id === member.id)) return reply(CallOutcome.OK)
    // A new identity at a known address means that the replica there lost its disk.
    const replaced = current.find(({ address }) => address === member.address)
    if (replaced !== undefined) {
      return change({ kind: 'remove', id: replaced.id }, `disk lost at ${member.address}`)
    }
    const voters = current.filter(({ voter }) => voter)
    if (current.length < 2 * toleratedLosses + 1) {
      const { id, address, httpAddress, failureDomain: domain } = member
      return change(
        { kind: 'add', member: { id, address, httpAddress, failureDomain: domain } },
        'group incomplete',
      )
    }
    const unresponsive = voters.find(
      ({ id, lastContactMs }) =>
        id !== self.id && (lastContactMs === undefined || lastContactMs > UNRESPONSIVE_VOTER_MS),
    )
    if (unresponsive === undefined) return reply(CallOutcome.OVERLOADED, 'the group is complete')
    return change({ kind: 'remove', id: unresponsive.id }, `unresponsive while ${member.id} waits`)
  }

  return {
    start: run,
    stop: () => {
      stopped = true
      clearTimeout(timer)
      for (const client of clients.values()) client.close()
      clients.clear()
    },
    identify: () => ({ member: self, formed: isFormed(), mayForm, hint: ctx.hint() }),
    join,
  }
}
