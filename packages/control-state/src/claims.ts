/** Claims of non-idempotent requests: a request holds its key until it is proven not to have run. */
import * as protocol from '@ebonyweir/protocol'
import * as limits from './limits.js'
import type * as outcome from './outcome.js'
import type * as records from './records.js'

const { ClaimState } = protocol.control
const { ClaimOutcome } = protocol.command

/** Encoded as JSON, so that parts which contain a separator cannot collide. */
export const claimKey = (service: string, caller: string, key: string): string =>
  JSON.stringify([service, caller, key])

const stateOf = (
  claim: records.ClaimRecord,
  request: protocol.command.ClaimRequest,
): protocol.control.ClaimState => {
  if (claim.digest !== request.digest) return ClaimState.MISMATCH
  if (claim.outcome !== undefined) return ClaimState.SETTLED
  if (claim.requestId === request.requestId) return ClaimState.GRANTED
  return ClaimState.IN_PROGRESS
}

export const claimRequest = (
  tables: records.Tables,
  request: protocol.command.ClaimRequest,
): outcome.Outcome => {
  const key = claimKey(request.service, request.caller, request.key)
  const known = tables.claims.get(key)
  if (known !== undefined) return { kind: 'claim', state: stateOf(known, request), claim: known }
  if (tables.claims.size >= limits.MAX_CLAIMS)
    return { kind: 'refused', reason: `${limits.MAX_CLAIMS} claims are kept` }
  const { requestId, digest, entry } = request
  const claim: records.ClaimRecord = {
    requestId,
    digest,
    entry,
    outcome: undefined,
    answerStatus: 0,
    agent: '',
    agentAddress: '',
    agentIncarnation: 0,
    settledAtMs: 0,
  }
  tables.claims.set(key, claim)
  return { kind: 'claim', state: ClaimState.GRANTED, claim }
}

export const settleClaim = (
  tables: records.Tables,
  settle: protocol.command.SettleClaim,
): outcome.Outcome => {
  const key = claimKey(settle.service, settle.caller, settle.key)
  const claim = tables.claims.get(key)
  if (claim?.requestId !== settle.requestId)
    return { kind: 'claimSettled', result: 'other request' }
  if (settle.outcome === ClaimOutcome.CLAIM_OUTCOME_UNSPECIFIED)
    return { kind: 'refused', reason: 'the settlement names no outcome' }
  // Only "unknown" may be replaced, by an answer that was found later.
  const mayChange =
    claim.outcome === undefined ||
    (claim.outcome === ClaimOutcome.UNKNOWN && settle.outcome === ClaimOutcome.ANSWERED)
  if (!mayChange) return { kind: 'claimSettled', result: 'already settled' }
  if (settle.outcome === ClaimOutcome.NOT_RUN) {
    tables.claims.delete(key)
    return { kind: 'claimSettled', result: 'freed' }
  }
  claim.outcome = settle.outcome
  claim.answerStatus = settle.answerStatus
  claim.agent = settle.agent
  claim.agentAddress = settle.agentAddress
  claim.agentIncarnation = settle.agentIncarnation
  claim.settledAtMs = tables.logTimeMs
  tables.settledClaims.delete(key)
  tables.settledClaims.add(key)
  return { kind: 'claimSettled', result: 'settled' }
}

/** Deletes settled claims that have exceeded the retention period. */
export const expireClaims = (tables: records.Tables): void => {
  for (const key of tables.settledClaims) {
    const claim = tables.claims.get(key)
    const ageMs = tables.logTimeMs - (claim?.settledAtMs ?? 0)
    if (claim !== undefined && ageMs < limits.CLAIM_RETENTION_MS) return
    tables.settledClaims.delete(key)
    tables.claims.delete(key)
  }
}
