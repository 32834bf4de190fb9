/** Operator API: replicas of the control group. */
import * as timers from 'node:timers/promises'
import type * as protocol from '@ebonyweir/protocol'
import type * as replica from '@ebonyweir/replica'
import type * as context from './context.js'
import type * as httpRouter from './httpRouter.js'
import * as replies from './replies.js'
import * as schemas from './schemas.js'

/** Must exceed the contact limit of the replica's own status; see `members`. */
const CONTACT_TIMEOUT_MS = 1_500
const CONTACT_POLL_INTERVAL_MS = 25

type MemberAddress = protocol.operatorApi.MemberAddress

const identity = (ctx: context.ControlContext): httpRouter.HttpReply => {
  const { cell, failureDomain, grpcAddress, httpAddress } = ctx.options
  return replies.ok({
    id: ctx.replica.id,
    address: grpcAddress,
    httpAddress,
    failureDomain,
    cell,
    empty: ctx.replica.membersStatus().members.length === 0,
  } satisfies protocol.operatorApi.IdentityAnswer)
}

const memberStatus = (
  ctx: context.ControlContext,
  member: replica.MemberStatus,
): protocol.operatorApi.MemberStatus => ({
  id: member.id,
  address: member.address,
  httpAddress: member.httpAddress,
  failureDomain: member.failureDomain,
  voter: member.voter,
  leader: ctx.replica.leadership().leader?.id === member.id,
  syncedIndex: member.acknowledgedIndex ?? 0,
  lastAnswerAgeMs: member.lastContactMs ?? -1,
})

/** Voters without a contact since `sinceMs`. */
const unresponsiveVoters = (
  ctx: context.ControlContext,
  sinceMs: number,
): readonly replica.MemberStatus[] => {
  const elapsedMs = ctx.nowMs() - sinceMs
  return ctx.replica
    .membersStatus()
    .members.filter(({ id, voter }) => voter && id !== ctx.replica.id)
    .filter(({ lastContactMs }) => lastContactMs === undefined || lastContactMs > elapsedMs)
}

/**
 * Waits for a contact with every voter after the request arrived. With earlier contacts, a voter
 * that was lost moments ago would still count as repaired.
 */
const awaitContact = async (ctx: context.ControlContext): Promise<void> => {
  const sinceMs = ctx.nowMs()
  while (ctx.nowMs() - sinceMs < CONTACT_TIMEOUT_MS) {
    if (unresponsiveVoters(ctx, sinceMs).length === 0) return
    await timers.setTimeout(CONTACT_POLL_INTERVAL_MS)
  }
}

const members = async (ctx: context.ControlContext): Promise<httpRouter.HttpReply> => {
  if (!ctx.term()) return replies.redirect(ctx)
  // After the timeout, an unresponsive voter exceeds the contact limit of the replica's own status.
  await awaitContact(ctx)
  if (!ctx.term()) return replies.redirect(ctx)
  const status = ctx.replica.membersStatus()
  return replies.ok({
    term: ctx.replica.leadership().term,
    commitIndex: status.commitIndex,
    members: status.members.map((member) => memberStatus(ctx, member)),
    repaired: status.repaired,
    missing: status.repaired ? '' : status.reason,
    changing: status.members.some((member) => !member.voter),
  } satisfies protocol.operatorApi.MembersAnswer)
}

const isApplied = (
  ctx: context.ControlContext,
  change: protocol.operatorApi.ChangeMembersRequest,
): boolean => {
  const ids = ctx.replica.membersStatus().members.map(({ id }) => id)
  return 'add' in change ? ids.includes(change.add.id) : !ids.includes(change.remove)
}

const failure = (
  ctx: context.ControlContext,
  error: replica.MembersError,
): httpRouter.HttpReply => {
  switch (error.kind) {
    case 'change-in-progress':
      return replies.refusal(409, {
        error: 'change-in-progress',
        detail: error.detail,
        outcome: 'not-run',
      })
    case 'invalid-change':
      return replies.refusal(422, { error: 'refused', detail: error.detail, outcome: 'not-run' })
    default:
      return replies.proposeFailure(ctx, error)
  }
}

const changeMembers = async (
  ctx: context.ControlContext,
  body: unknown,
): Promise<httpRouter.HttpReply> => {
  if (!ctx.term()) return replies.redirect(ctx)
  const parsed = schemas.parseBody(schemas.changeMembers, body)
  if (parsed.isErr()) return parsed.error
  const request = parsed.value
  // The request may be a resend after a lost reply; the change is then already applied.
  if (isApplied(ctx, request)) return members(ctx)
  const change: replica.MembersChange =
    'add' in request ? { kind: 'add', member: request.add } : { kind: 'remove', id: request.remove }
  const result = await ctx.replica.changeMembers(change)
  if (result.isErr()) return failure(ctx, result.error)
  ctx.options.logger.info('membership changed', { change, operator: request.operator })
  return members(ctx)
}

const sameMembers = (
  known: readonly protocol.replication.Member[],
  wanted: readonly MemberAddress[],
): boolean =>
  known.length === wanted.length &&
  wanted.every(({ id, address }) => known.some((m) => m.id === id && m.address === address))

const bootstrap = async (
  ctx: context.ControlContext,
  body: unknown,
): Promise<httpRouter.HttpReply> => {
  const parsed = schemas.parseBody(schemas.bootstrap, body)
  if (parsed.isErr()) return parsed.error
  const { cell, members: wanted } = parsed.value
  if (cell !== ctx.options.cell)
    return replies.refusal(409, {
      error: 'other-cell',
      detail: `this replica serves cell ${ctx.options.cell}, not ${cell}`,
      outcome: 'not-run',
    })
  const result = await ctx.replica.bootstrap(wanted.map((member) => ({ ...member, voter: true })))
  if (result.isOk()) return replies.ok({})
  const { kind, detail } = result.error
  const isRepeat = sameMembers(ctx.replica.membersStatus().members, wanted)
  if (kind === 'already-formed' && isRepeat) return replies.ok({})
  return replies.refusal(409, { error: kind, detail, outcome: 'not-run' })
}

export const memberRoutes = (ctx: context.ControlContext): readonly httpRouter.Route[] => [
  { method: 'GET', path: '/v1/identity', handle: () => identity(ctx) },
  { method: 'GET', path: '/v1/members', handle: () => members(ctx) },
  { method: 'POST', path: '/v1/members', handle: ({ body }) => changeMembers(ctx, body) },
  { method: 'POST', path: '/v1/members/bootstrap', handle: ({ body }) => bootstrap(ctx, body) },
]
