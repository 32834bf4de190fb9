/** gRPC calls that claim non-idempotent requests, and settlement of abandoned claims. */
import type * as controlState from '@ebonyweir/control-state'
import * as grpc from '@grpc/grpc-js'
import * as protocol from '@ebonyweir/protocol'
import type * as replica from '@ebonyweir/replica'
import * as results from 'ts-results-es'
import type * as context from './context.js'
import * as processSync from './processSync.js'

/** Time without a sync after which an entry's open claims are settled as `UNKNOWN`. */
const ENTRY_TIMEOUT_MS = 5 * 60 * 1000

const { ClaimOutcome, ClaimState } = {
  ClaimOutcome: protocol.command.ClaimOutcome,
  ClaimState: protocol.control.ClaimState,
}

const EMPTY_REPLY: protocol.control.ClaimReply = {
  redirect: undefined,
  state: ClaimState.CLAIM_STATE_UNSPECIFIED,
  requestId: '',
  outcome: ClaimOutcome.CLAIM_OUTCOME_UNSPECIFIED,
  answerStatus: 0,
  entry: '',
  agent: '',
  agentAddress: '',
  agentIncarnation: 0,
}

const statusOf = (code: grpc.status, details: string): Partial<grpc.StatusObject> => ({
  code,
  details,
})

const failureOf = (error: replica.ProposeError): Partial<grpc.StatusObject> =>
  error.kind === 'overloaded' || error.kind === 'too-large'
    ? statusOf(grpc.status.RESOURCE_EXHAUSTED, `claim not committed: ${error.kind}`)
    : statusOf(grpc.status.UNAVAILABLE, `claim not confirmed: ${error.kind}`)

const replyOf = (claim: controlState.ClaimView): protocol.control.ClaimReply => ({
  ...EMPTY_REPLY,
  requestId: claim.requestId,
  outcome: claim.outcome ?? ClaimOutcome.CLAIM_OUTCOME_UNSPECIFIED,
  answerStatus: claim.answerStatus,
  entry: claim.entry,
  agent: claim.agent,
  agentAddress: claim.agentAddress,
  agentIncarnation: claim.agentIncarnation,
})

export const claim = async (
  ctx: context.ControlContext,
  request: protocol.command.ClaimRequest,
): Promise<results.Result<protocol.control.ClaimReply, Partial<grpc.StatusObject>>> => {
  const redirected = { ...EMPTY_REPLY, redirect: processSync.redirectOf(ctx) }
  if (!ctx.term()) return results.Ok(redirected)
  const result = await ctx.propose({ $case: 'claimRequest', value: request })
  if (result.isErr()) {
    if (result.error.kind === 'not-leader') return results.Ok(redirected)
    return results.Err(failureOf(result.error))
  }
  const outcome = result.value
  if (outcome.kind === 'claim')
    return results.Ok({ ...replyOf(outcome.claim), state: outcome.state })
  const reason = outcome.kind === 'refused' ? outcome.reason : 'the claim was refused'
  return results.Err(statusOf(grpc.status.RESOURCE_EXHAUSTED, reason))
}

export const settle = async (
  ctx: context.ControlContext,
  request: protocol.command.SettleClaim,
): Promise<results.Result<protocol.control.SettleReply, Partial<grpc.StatusObject>>> => {
  const redirected = { redirect: processSync.redirectOf(ctx) }
  if (!ctx.term()) return results.Ok(redirected)
  const result = await ctx.propose({ $case: 'settleClaim', value: request })
  if (result.isOk()) return results.Ok({ redirect: undefined })
  if (result.error.kind === 'not-leader') return results.Ok(redirected)
  return results.Err(failureOf(result.error))
}

/** Settles as `UNKNOWN` the open claims of entries that no longer sync: their requests may have run. */
export const settleAbandonedClaims = (ctx: context.ControlContext): void => {
  const term = ctx.term()
  if (!term) return
  const nowMs = ctx.nowMs()
  const hasTimedOut = (entry: string): boolean => {
    const seenAtMs = term.processes.get(`entry/${entry}`)?.lastSyncAtMs ?? term.electedAtMs
    return nowMs - seenAtMs > ENTRY_TIMEOUT_MS
  }
  for (const { service, caller, key, claim: open } of ctx.view.openClaims()) {
    if (!hasTimedOut(open.entry)) continue
    const value: protocol.command.SettleClaim = {
      service,
      caller,
      key,
      requestId: open.requestId,
      outcome: ClaimOutcome.UNKNOWN,
      answerStatus: 0,
      agent: '',
      agentAddress: '',
      agentIncarnation: 0,
    }
    void ctx.propose({ $case: 'settleClaim', value })
  }
}
