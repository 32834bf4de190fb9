import * as protocol from '@ebonyweir/protocol'
import * as routing from '@ebonyweir/routing'
import type * as agentConnection from './agentConnection.js'
import type * as directory from './directory.js'
import * as serviceRequest from './serviceRequest.js'

type Request = serviceRequest.ServiceRequest
type Result = serviceRequest.RequestResult

/** Dependencies of `runAttempts`. */
export interface AttemptsHost {
  readonly cell: string
  readonly revision: () => number
  readonly resolveTimeoutMs: number
  readonly router: routing.serviceRouter.ServiceRouter<Request>
  readonly locate: (endpointId: string) => directory.EndpointLocation | undefined
  readonly random: routing.endpoint.Random
  readonly onResolve: () => void
  readonly onRetry: () => void
  readonly onHedge: () => void
  /** Called when an endpoint may have free capacity again. */
  readonly onCapacityFreed: () => void
}

/** Maximum number of attempts for one request, including hedges. */
const MAX_ATTEMPTS = 4
const RESOLVE_POLL_MS = 25

const { Outcome, RefusalReason, ResolveState } = protocol.agent
const { RECONNECT_WAIT_MS } = routing.endpointTable

/** Agent refusals which mean that the endpoint no longer accepts requests. */
const ENDPOINT_GONE_REASONS: readonly protocol.agent.RefusalReason[] = [
  RefusalReason.NO_ENDPOINT,
  RefusalReason.LEAVING,
  RefusalReason.SHUTTING_DOWN,
]

const pause = async (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms)
  })

const RULE_KIND_BY_REASON: Readonly<
  Partial<Record<protocol.agent.RefusalReason, 'service' | 'failureDomain'>>
> = {
  [RefusalReason.QUEUE_FULL]: 'service',
  [RefusalReason.DEADLINE]: 'service',
  [RefusalReason.FAILURE_DOMAIN_OUT]: 'failureDomain',
}

const failureOf = (
  request: Request,
  refusal: protocol.agent.Refusal,
  location: directory.EndpointLocation,
): serviceRequest.RequestFailure => {
  const { reason, outcome, detail } = refusal
  const kind = RULE_KIND_BY_REASON[reason]
  const name = kind === 'service' ? request.service : location.failureDomain
  const rule = kind === undefined ? undefined : `${kind}.${name}`
  if (outcome === Outcome.OUTCOME_NOT_RUN)
    return serviceRequest.notRun('agent-refused', detail, rule)
  const late = reason === RefusalReason.DEADLINE
  return serviceRequest.unknown(late ? 'deadline' : 'endpoint-failed', detail, rule)
}

const resultOf = (
  request: Request,
  reply: protocol.agent.ExecuteReply | undefined,
  location: directory.EndpointLocation,
  incarnation: number,
): Result => {
  const result = reply?.result
  if (result === undefined) {
    return serviceRequest.unknown('endpoint-failed', 'it ran and its answer is no longer kept')
  }
  if (result.$case === 'refusal') return failureOf(request, result.value, location)
  const { agent, connection } = location
  const answeredBy = { agent, address: connection.address, incarnation }
  return { kind: 'answer', answer: result.value, answeredBy }
}

/** Runs a dispatched request to its result, with Resolve calls, retries and hedging. */
export const runAttempts = async (
  host: AttemptsHost,
  request: Request,
  firstEndpointId: string,
): Promise<Result> => {
  const { router } = host
  const tried = new Set<string>()
  let attempts = 0
  const executions = new Set<agentConnection.Execution>()
  const progress = {
    finished: false,
    mayHaveRun: false,
    /** The last attempt provably did not run, and its agent may soon be reachable again. */
    awaitReconnect: false,
    /** The last attempt was refused because its endpoint no longer accepts requests. */
    endpointGone: false,
  }

  const now = (): number => performance.now()
  const remainingMs = (): number => request.deadlineMs - now()

  // Agents deduplicate by request id, so a retry needs a new one. A keyed request keeps its id, so that
  // a resend finds its answer.
  const attemptId = (): string =>
    attempts > 1 && request.key === '' ? `${request.requestId}~${attempts}` : request.requestId

  const outgoing = (requestId: string, endpoint: string): agentConnection.OutgoingRequest => ({
    cell: host.cell,
    requestId,
    service: request.service,
    endpoint,
    caller: request.caller,
    idempotent: request.idempotent,
    method: request.method,
    path: request.path,
    headers: request.headers,
    body: request.body,
    revision: host.revision(),
    retain: request.key !== '',
  })

  // Polls the agent for the answer of a non-idempotent request, or for proof that it did not run.
  const resolve = async (
    requestId: string,
    location: directory.EndpointLocation,
    incarnation: number,
  ): Promise<Result> => {
    host.onResolve()
    const untilMs = now() + host.resolveTimeoutMs
    let detail = 'the connection to the agent was lost'
    while (now() < untilMs) {
      const timeoutMs = Math.max(50, Math.min(host.resolveTimeoutMs / 2, untilMs - now()))
      const reply = await location.connection.resolve(requestId, incarnation, timeoutMs)
      if (reply.isErr()) {
        detail = reply.error.detail
        await pause(RESOLVE_POLL_MS)
        continue
      }
      const { state, result } = reply.value
      if (state === ResolveState.RESOLVED_NOT_RUN) {
        return serviceRequest.notRun('agent-refused', 'fenced after the connection was lost')
      }
      if (state === ResolveState.RESOLVED_FINISHED) {
        return resultOf(request, result, location, incarnation)
      }
      if (state === ResolveState.RESOLVED_UNKNOWN) {
        return serviceRequest.unknown('endpoint-failed', 'the agent restarted')
      }
      detail = 'the endpoint is still running the request'
      if (remainingMs() <= 0) break
      await pause(RESOLVE_POLL_MS)
    }
    return serviceRequest.unknown('endpoint-failed', detail)
  }

  const exchange = async (
    endpointId: string,
    location: directory.EndpointLocation,
  ): Promise<Result> => {
    progress.awaitReconnect = false
    progress.endpointGone = false
    const requestId = attemptId()
    const message = outgoing(requestId, location.endpoint)
    const execution = location.connection.execute(message, remainingMs())
    if (execution === undefined) {
      progress.awaitReconnect = true
      tried.delete(endpointId)
      return serviceRequest.notRun('agent-refused', 'the agent was not reached yet')
    }
    executions.add(execution)
    const reply = await execution.reply
    executions.delete(execution)
    if (reply.isOk()) {
      const { result } = reply.value
      progress.endpointGone =
        result?.$case === 'refusal' && ENDPOINT_GONE_REASONS.includes(result.value.reason)
      if (progress.endpointGone) router.table.markGone(endpointId)
      return resultOf(request, reply.value, location, execution.incarnation)
    }
    // Idempotent requests are retried without proof that they did not run.
    if (request.idempotent || request.cancelled.aborted) {
      return serviceRequest.unknown('endpoint-failed', reply.error.detail)
    }
    const resolved = await resolve(requestId, location, execution.incarnation)
    progress.awaitReconnect = resolved.kind === 'failure' && resolved.outcome === 'not-run'
    // The connection failed, not the endpoint, so a new request id may be tried there.
    if (progress.awaitReconnect && request.key === '') tried.delete(endpointId)
    return resolved
  }

  const attempt = async (endpointId: string): Promise<Result> => {
    attempts++
    tried.add(endpointId)
    const startedAtMs = now()
    const location = host.locate(endpointId)
    const result: Result =
      location === undefined
        ? serviceRequest.notRun('no-endpoint', 'the endpoint left')
        : await exchange(endpointId, location)
    const failed = result.kind === 'failure'
    if (failed && result.outcome !== 'not-run') progress.mayHaveRun = true
    // A cancelled call does not count against its endpoint, unless a hedge that started later was faster.
    const lostAsHedge = progress.finished && endpointId !== firstEndpointId
    const cancelled = lostAsHedge || request.cancelled.aborted
    const refused = failed && (cancelled || result.reason === 'agent-refused')
    router.ended(endpointId, { failed, refused, tookMs: now() - startedAtMs }, now())
    host.onCapacityFreed()
    return result
  }

  const nextEndpoint = (needsFreeCapacity: boolean): string | undefined => {
    if (
      progress.finished ||
      attempts >= MAX_ATTEMPTS ||
      remainingMs() <= 0 ||
      request.cancelled.aborted
    )
      return undefined
    const endpointId = router.dispatchAgain(tried, needsFreeCapacity, now(), host.random)
    if (endpointId === undefined) return undefined
    // The directory may still list an endpoint that has left. Its refusal costs no work, so a retry
    // after it is exempt from the retry budget.
    if (progress.endpointGone || router.mayRetry(now())) return endpointId
    router.table.ended(endpointId, undefined)
    return undefined
  }

  // Waits for reconnection: a lost connection is usually restored within one or two probe intervals.
  const waitForEndpoint = async (): Promise<string | undefined> => {
    const untilMs = Math.min(now() + RECONNECT_WAIT_MS, request.deadlineMs)
    let next = nextEndpoint(false)
    while (next === undefined && now() < untilMs && !request.cancelled.aborted) {
      await pause(RESOLVE_POLL_MS)
      next = nextEndpoint(false)
    }
    return next
  }

  const withRetries = async (endpointId: string): Promise<Result> => {
    let result = await attempt(endpointId)
    while (result.kind === 'failure') {
      if (result.outcome !== 'not-run' && !request.idempotent) return result
      const next = progress.awaitReconnect ? await waitForEndpoint() : nextEndpoint(false)
      if (next === undefined) return result
      host.onRetry()
      result = await attempt(next)
    }
    return result
  }

  const hedge = async (): Promise<Result | undefined> => {
    const afterMs = router.hedgeAfterMs()
    if (afterMs === undefined) return undefined
    await pause(afterMs)
    if (progress.finished) return undefined
    const next = nextEndpoint(true)
    if (next === undefined) return undefined
    host.onHedge()
    return attempt(next)
  }

  const cancelAll = (): void => {
    for (const execution of executions) execution.cancel()
  }

  // A keyed request continues after its caller disconnects, so that a resend can get the answer.
  if (request.key === '') request.cancelled.addEventListener('abort', cancelAll)
  const first = withRetries(firstEndpointId)
  const shouldHedge = request.policy.quick && request.idempotent
  const result = shouldHedge ? await firstAnswer(first, hedge()) : await first
  progress.finished = true
  request.cancelled.removeEventListener('abort', cancelAll)
  cancelAll()
  if (result.kind === 'answer') return result
  // If any attempt may have run, the outcome of the request is unknown.
  const outcome = progress.mayHaveRun ? 'unknown' : 'not-run'
  const late = remainingMs() <= 0 && !request.cancelled.aborted
  const rule = late ? `service.${request.service}` : result.rule
  return { ...result, outcome, rule, reason: late ? 'deadline' : result.reason }
}

// Resolves with the first answer, or with the failure of the first attempt when both fail.
const firstAnswer = async (
  first: Promise<Result>,
  second: Promise<Result | undefined>,
): Promise<Result> =>
  new Promise((resolve) => {
    const settle = async (): Promise<void> => {
      const result = await first
      if (result.kind === 'answer') {
        resolve(result)
        return
      }
      resolve((await second) ?? result)
    }
    void settle()
    void second.then((result) => {
      if (result?.kind === 'answer') resolve(result)
    })
  })
