import * as crypto from 'node:crypto'
import type * as controlClient from '@ebonyweir/control-client'
import * as protocol from '@ebonyweir/protocol'
import * as agentConnection from './agentConnection.js'
import type * as directory from './directory.js'
import * as serviceRequest from './serviceRequest.js'

type Request = serviceRequest.ServiceRequest

/** Claims idempotency keys of non-idempotent requests at control. */
export interface Claims {
  /** Claims the key. If a result is returned, the request must not be dispatched. */
  readonly claim: (request: Request) => Promise<serviceRequest.RequestResult | undefined>
  /** Records the outcome of a granted claim in the background. */
  readonly settle: (request: Request, result: serviceRequest.RequestResult) => void
  /** Waits, at most `timeoutMs`, until pending settlements are recorded. */
  readonly drain: (timeoutMs: number) => Promise<void>
}

export interface ClaimsHost {
  readonly cell: string
  readonly entry: string
  readonly control: controlClient.controlClient.ControlClient
  readonly resolveTimeoutMs: number
  readonly agentsOf: (service: string) => readonly directory.AgentLocation[]
  readonly logger: controlClient.logger.Logger
}

const CLAIM_TIMEOUT_MS = 2_000
const SETTLE_TIMEOUT_MS = 2_000
const SETTLE_ATTEMPTS = 10
const SETTLE_RETRY_MS = 500
/** Limit on pending settlements. Claims above it are left to the leader, which settles them as unknown. */
const MAX_PENDING_SETTLEMENTS = 10_000
/** Maximum number of agents queried for a request that another entry has claimed. */
const MAX_QUERIED_AGENTS = 64
const IN_PROGRESS_POLL_MS = 200

const { ClaimState } = protocol.control
const { ClaimOutcome } = protocol.command

/** Returns the SHA-256 of method, path and body as a hexadecimal string. */
export const digestOf = (method: string, path: string, body: Buffer): string =>
  crypto.createHash('sha256').update(`${method} ${path}\n`).update(body).digest('hex')

const pause = async (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms)
  })

const outcomeOf = (result: serviceRequest.RequestResult): protocol.command.ClaimOutcome => {
  if (result.kind === 'answer') return ClaimOutcome.ANSWERED
  return result.outcome === 'not-run' ? ClaimOutcome.NOT_RUN : ClaimOutcome.UNKNOWN
}

/** Creates the claims client of one entry instance. */
export const createClaims = (host: ClaimsHost): Claims => {
  const pendingSettlements = new Set<Promise<void>>()

  const fetchAnswer = async (
    reply: protocol.control.ClaimReply,
  ): Promise<protocol.agent.Answer | undefined> => {
    const { agentAddress, agentIncarnation, requestId } = reply
    if (agentAddress === '') return undefined
    const request = { cell: host.cell, requestId, agentIncarnation, peek: false }
    const resolved = await agentConnection.resolveAt(agentAddress, request, host.resolveTimeoutMs)
    if (resolved.isErr()) return undefined
    const result = resolved.value.result?.result
    return result?.$case === 'answer' ? result.value : undefined
  }

  const resultOfSettledClaim = async (
    reply: protocol.control.ClaimReply,
  ): Promise<serviceRequest.RequestResult> => {
    if (reply.outcome !== ClaimOutcome.ANSWERED) {
      return serviceRequest.unknown(
        'claim-settled',
        'an earlier request with this key may have run',
      )
    }
    const answer = await fetchAnswer(reply)
    if (answer !== undefined) return { kind: 'answer', answer, answeredBy: undefined }
    return {
      kind: 'failure',
      reason: 'claim-settled',
      outcome: 'answered',
      detail: 'an earlier request with this key was answered; its answer is no longer kept',
      recordedStatus: reply.answerStatus,
    }
  }

  const peekAt = async (
    agent: directory.AgentLocation,
    requestId: string,
  ): Promise<{
    readonly agent: directory.AgentLocation
    readonly reply: protocol.agent.ResolveReply | undefined
  }> => {
    const request = { cell: host.cell, requestId, agentIncarnation: agent.incarnation, peek: true }
    const reply = await agentConnection.resolveAt(agent.address, request, host.resolveTimeoutMs)
    return { agent, reply: reply.isOk() ? reply.value : undefined }
  }

  /**
   * Looks for the answer of a request that another entry dispatched. That entry may have failed, but
   * agents keep the answers of keyed requests. If one is found, the claim is settled on its behalf.
   */
  const followInProgress = async (
    request: Request,
    requestId: string,
  ): Promise<serviceRequest.RequestResult> => {
    let queriedAgents = host.agentsOf(request.service).slice(0, MAX_QUERIED_AGENTS)
    while (
      queriedAgents.length > 0 &&
      performance.now() < request.deadlineMs &&
      !request.cancelled.aborted
    ) {
      const found = await Promise.all(queriedAgents.map((agent) => peekAt(agent, requestId)))
      for (const { agent, reply } of found) {
        const result = reply?.result?.result
        if (result?.$case !== 'answer') continue
        const answer = { kind: 'answer', answer: result.value, answeredBy: agent } as const
        settle({ ...request, requestId }, answer)
        return answer
      }
      queriedAgents = found
        .filter(({ reply }) => reply?.state === protocol.agent.ResolveState.RESOLVED_RUNNING)
        .map(({ agent }) => agent)
      if (queriedAgents.length > 0) await pause(IN_PROGRESS_POLL_MS)
    }
    const detail = 'a request with this key is in progress'
    return serviceRequest.unknown('claim-in-progress', detail)
  }

  const settleOnce = async (request: Request, result: serviceRequest.RequestResult) =>
    host.control.settle(
      {
        service: request.service,
        caller: request.caller,
        key: request.key,
        requestId: request.requestId,
        outcome: outcomeOf(result),
        answerStatus: result.kind === 'answer' ? result.answer.status : 0,
        agent: (result.kind === 'answer' ? result.answeredBy?.agent : undefined) ?? '',
        agentAddress: (result.kind === 'answer' ? result.answeredBy?.address : undefined) ?? '',
        agentIncarnation:
          (result.kind === 'answer' ? result.answeredBy?.incarnation : undefined) ?? 0,
      },
      SETTLE_TIMEOUT_MS,
    )

  const settleWithRetries = async (
    request: Request,
    result: serviceRequest.RequestResult,
  ): Promise<void> => {
    for (let attempt = 0; attempt < SETTLE_ATTEMPTS; attempt++) {
      const reply = await settleOnce(request, result)
      if (reply.isOk()) return
      await pause(SETTLE_RETRY_MS)
    }
    host.logger.warn('claim was not settled', { requestId: request.requestId })
  }

  const settle = (request: Request, result: serviceRequest.RequestResult): void => {
    if (pendingSettlements.size >= MAX_PENDING_SETTLEMENTS) return
    const done = settleWithRetries(request, result)
    pendingSettlements.add(done)
    void done.finally(() => pendingSettlements.delete(done))
  }

  return {
    claim: async (request) => {
      const timeoutMs = Math.min(CLAIM_TIMEOUT_MS, request.deadlineMs - performance.now())
      const reply = await host.control.claim(
        {
          service: request.service,
          caller: request.caller,
          key: request.key,
          requestId: request.requestId,
          digest: digestOf(request.method, request.path, request.body),
          entry: host.entry,
        },
        timeoutMs,
      )
      if (reply.isErr()) {
        // The claim may have been committed. It is released, since the request will not be dispatched.
        settle(request, serviceRequest.notRun('claim-failed', reply.error.detail))
        // This request did not run, but an earlier one with the same key may have.
        return serviceRequest.unknown('claim-failed', reply.error.detail)
      }
      const { state, requestId } = reply.value
      if (state === ClaimState.GRANTED && requestId === request.requestId) return undefined
      if (state === ClaimState.SETTLED) return resultOfSettledClaim(reply.value)
      if (state === ClaimState.MISMATCH) {
        const detail = 'the key was used with another method, path or body'
        return serviceRequest.notRun('claim-mismatch', detail)
      }
      return followInProgress(request, requestId)
    },
    settle,
    drain: async (timeoutMs) => {
      await Promise.race([Promise.all([...pendingSettlements]), pause(timeoutMs)])
    },
  }
}
