import * as crypto from 'node:crypto'
import type * as controlClient from '@ebonyweir/control-client'
import * as protocol from '@ebonyweir/protocol'
import * as agentConnection from './agentConnection.js'
import type * as directory from './directory.js'
import * as serviceRequest from './serviceRequest.js'

type Request = serviceRequest.ServiceRequest

/** Claims of non-idempotent requests with an idempotency key. */
export interface Claims {
  /** Claims the key; a result means that the request must not be dispatched. */
  readonly claim: (request: Request) => Promise<serviceRequest.RequestResult | undefined>
  /** Records the outcome of a granted claim in the background. */
  readonly settle: (request: Request, result: serviceRequest.RequestResult) => void
  /** Waits until the settlements under way are recorded. */
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
/** Settlements under way; above it further ones are left to the leader, which settles as unknown. */
const MAX_SETTLING = 10_000
/** Agents that are asked for a request that another entry holds. */
const MAX_ASKED_AGENTS = 64
const IN_PROGRESS_POLL_MS = 200

const { ClaimState } = protocol.control
const { ClaimOutcome } = protocol.command

/** SHA-256 over method, path and body, in hexadecimal. */
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

/** Creates the claims of one entry instance. */
export const createClaims = (host: ClaimsHost): Claims => {
  const settling = new Set<Promise<void>>()

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

  const settled = async (
    reply: protocol.control.ClaimReply,
  ): Promise<serviceRequest.RequestResult> => {
    if (reply.outcome !== ClaimOutcome.ANSWERED) {
      return serviceRequest.unknown(
        'claim-settled',
        'an earlier request with this key may have run',
      )
    }
    const answer = await fetchAnswer(reply)
    if (answer !== undefined) return { kind: 'answer', answer, by: undefined }
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
   * Finds the answer of a request that another entry dispatched. That entry may be gone, and the agent
   * keeps the answers of keyed requests; the claim is then settled in its place.
   */
  const followInProgress = async (
    request: Request,
    requestId: string,
  ): Promise<serviceRequest.RequestResult> => {
    let asked = host.agentsOf(request.service).slice(0, MAX_ASKED_AGENTS)
    while (
      asked.length > 0 &&
      performance.now() < request.deadlineMs &&
      !request.cancelled.aborted
    ) {
      const found = await Promise.all(asked.map((agent) => peekAt(agent, requestId)))
      for (const { agent, reply } of found) {
        const result = reply?.result?.result
        if (result?.$case !== 'answer') continue
        const answer = { kind: 'answer', answer: result.value, by: agent } as const
        settle({ ...request, requestId }, answer)
        return answer
      }
      asked = found
        .filter(({ reply }) => reply?.state === protocol.agent.ResolveState.RESOLVED_RUNNING)
        .map(({ agent }) => agent)
      if (asked.length > 0) await pause(IN_PROGRESS_POLL_MS)
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
        agent: (result.kind === 'answer' ? result.by?.agent : undefined) ?? '',
        agentAddress: (result.kind === 'answer' ? result.by?.address : undefined) ?? '',
        agentIncarnation: (result.kind === 'answer' ? result.by?.incarnation : undefined) ?? 0,
      },
      SETTLE_TIMEOUT_MS,
    )

  const settleUntilRecorded = async (
    request: Request,
    result: serviceRequest.RequestResult,
  ): Promise<void> => {
    for (let tries = 0; tries < SETTLE_ATTEMPTS; tries++) {
      const reply = await settleOnce(request, result)
      if (reply.isOk()) return
      await pause(SETTLE_RETRY_MS)
    }
    host.logger.warn('claim was not settled', { requestId: request.requestId })
  }

  const settle = (request: Request, result: serviceRequest.RequestResult): void => {
    if (settling.size >= MAX_SETTLING) return
    const done = settleUntilRecorded(request, result)
    settling.add(done)
    void done.finally(() => settling.delete(done))
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
        // The claim may have been committed; it is freed, since the request will not be dispatched.
        settle(request, serviceRequest.notRun('claim-failed', reply.error.detail))
        // This request did not run, but an earlier one with the same key may have.
        return serviceRequest.unknown('claim-failed', reply.error.detail)
      }
      const { state, requestId } = reply.value
      if (state === ClaimState.GRANTED && requestId === request.requestId) return undefined
      if (state === ClaimState.SETTLED) return settled(reply.value)
      if (state === ClaimState.MISMATCH) {
        const detail = 'the key was used with another method, path or body'
        return serviceRequest.notRun('claim-mismatch', detail)
      }
      return followInProgress(request, requestId)
    },
    settle,
    drain: async (timeoutMs) => {
      await Promise.race([Promise.all([...settling]), pause(timeoutMs)])
    },
  }
}
