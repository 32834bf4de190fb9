import type * as http from 'node:http'
import * as controlClient from '@ebonyweir/control-client'
import * as protocol from '@ebonyweir/protocol'
import * as grpc from '@grpc/grpc-js'
import * as results from 'ts-results-es'
import * as agentOptions from './options.js'
import * as agentService from './agentService.js'
import * as configSync from './configSync.js'
import * as endpointClient from './endpointClient.js'
import * as endpointServer from './endpointServer.js'
import * as execution from './execution.js'
import * as executionState from './executionState.js'
import * as latencyBuckets from './latencyBuckets.js'
import * as listen from './listen.js'
import * as metrics from './metrics.js'

/** Why an agent did not start. */
export interface AgentError {
  readonly reason: 'address-in-use' | 'listen-failed'
  readonly detail: string
}

/** A running agent. */
export interface Agent {
  /** Opens both servers and resolves with the bound addresses. */
  readonly start: () => Promise<results.Result<AgentAddresses, AgentError>>
  /** Waits for running requests, at most `shutdownTimeoutMs`, and closes all connections. */
  readonly stop: () => Promise<void>
}

export interface AgentAddresses {
  readonly grpcAddress: string
  readonly httpAddress: string
}

/** Interval at which deadlines, announcements and stored records are checked. */
const TICK_MS = 50
/** Check interval of an agent without active requests. */
const IDLE_TICK_MS = 500
const MAX_ENDPOINTS = 64
const DRAIN_POLL_MS = 20
/**
 * Entries probe twice a second and thereby learn that the agent is leaving. For three probe intervals it
 * keeps refusing requests as "not run", because a failed connection would not prove that they did not run.
 */
const LEAVING_GRACE_MS = 1_500

/**
 * Minimum time from the start of a shutdown until the servers close. Entries sync once a second and
 * thereby learn that the agent is closing. Until then it refuses their requests as "not run", whereas
 * the outcome of requests sent to a closed port would be unknown.
 */
const SHUTDOWN_MIN_OPEN_MS = 2_500

const serverOptions: grpc.ServerOptions = {
  'grpc.max_receive_message_length': protocol.limits.MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': protocol.limits.MAX_MESSAGE_BYTES,
}

/** Incarnations increase with the wall clock. The random part separates those of one millisecond. */
const newIncarnation = (): number => Date.now() * 1_000 + Math.floor(Math.random() * 1_000)

const pause = async (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms)
  })

/** Creates the agent role, which runs requests from entry instances on the endpoints of its instance. */
export const createAgent = (options: agentOptions.AgentOptions): Agent => {
  const resolved = agentOptions.resolveAgentOptions(options)
  const { logger } = resolved
  const state = executionState.createState(newIncarnation(), {
    ...executionState.DEFAULT_LIMITS,
    retainedBytes: resolved.retainedBytes,
    queuePerEndpoint: resolved.queuePerEndpoint,
  })
  const counters = metrics.createCounters()
  const buckets = latencyBuckets.createLatencyBuckets(
    resolved.failureDomain,
    Date.now(),
    Math.random,
  )
  const client = endpointClient.createEndpointClient(resolved.maxAnswerBytes)
  const pendingRequests = new Map<string, protocol.agent.ExecuteRequest>()
  const abortControllers = new Map<string, AbortController>()
  let grpcServer: grpc.Server | undefined
  let httpServer: http.Server | undefined
  let ticker: NodeJS.Timeout | undefined
  let idle = true
  let sync: configSync.ConfigSync | undefined

  const now = (): number => performance.now()

  const step = (input: execution.Input): readonly execution.Effect[] =>
    execution.step(state, input, now())

  const countResult = (result: executionState.ExecutionResult): void => {
    if (result.$case === 'answer') counters.answered++
    else if (result.value.outcome === protocol.agent.Outcome.OUTCOME_NOT_RUN) counters.notRun++
    else counters.unknown++
  }

  const dispatch = async (requestId: string, name: string): Promise<void> => {
    const endpoint = state.endpoints.get(name)
    const request = pendingRequests.get(requestId)
    pendingRequests.delete(requestId)
    if (endpoint === undefined || request === undefined) return
    const controller = new AbortController()
    abortControllers.set(requestId, controller)
    const startedAtMs = now()
    const result = await client.send(endpoint, request, controller.signal)
    abortControllers.delete(requestId)
    buckets.record(endpoint.service, name, now() - startedAtMs, result.$case === 'refusal')
    run(step({ kind: 'ended', requestId, result }))
  }

  const run = (effects: readonly execution.Effect[]): void => {
    for (const effect of effects) {
      if (effect.kind === 'dispatch') void dispatch(effect.requestId, effect.endpoint)
      if (effect.kind === 'abort') abortControllers.get(effect.requestId)?.abort()
      if (effect.kind === 'resolved') counters.resolved++
      if (effect.kind !== 'reply') continue
      countResult(effect.result)
      if (!abortControllers.has(effect.requestId)) pendingRequests.delete(effect.requestId)
      service.reply(effect.requestId, effect.result)
    }
  }

  const service = agentService.createAgentService({
    cell: resolved.cell,
    step,
    run,
    load: () => executionState.loadReport(state, now()),
    onExecute: (request) => {
      if (!state.active.has(request.requestId)) pendingRequests.set(request.requestId, request)
      if (idle) scheduleTick(false)
    },
  })

  const tick = (): void => {
    run(step({ kind: 'tick' }))
    for (const requestId of pendingRequests.keys()) {
      if (!state.active.has(requestId)) pendingRequests.delete(requestId)
    }
    client.retainOnly(new Set(state.endpoints.keys()))
    scheduleTick(state.active.size === 0)
  }

  const scheduleTick = (isIdle: boolean): void => {
    idle = isIdle
    clearTimeout(ticker)
    ticker = setTimeout(tick, isIdle ? IDLE_TICK_MS : TICK_MS)
  }

  const announce = (announcement: execution.Announcement): string => {
    const existing = state.endpoints.get(announcement.endpoint)
    if (existing === undefined && state.endpoints.size >= MAX_ENDPOINTS) {
      return `an agent serves at most ${MAX_ENDPOINTS} endpoints`
    }
    const policy = view.service(announcement.service)
    const slots = Math.min(announcement.slots, policy?.slots ?? Infinity)
    const connections = Math.min(announcement.connections, policy?.connections ?? Infinity)
    run(step({ kind: 'announce', announcement: { ...announcement, slots, connections } }))
    if (existing?.leaving !== announcement.leaving) sync?.syncNow()
    return ''
  }

  const view = controlClient.configView.createConfigView()

  const agentRecord = (address: string): protocol.control.AgentRecord => ({
    agent: resolved.name,
    address,
    incarnation: state.incarnation,
    failureDomain: resolved.failureDomain,
    worker: resolved.worker,
    endpoints: [...state.endpoints.values()]
      .filter((e) => e.expiresAtMs > now())
      .map(({ endpoint, service, slots, connections, leaving }) => ({
        endpoint,
        service,
        slots,
        connections,
        leaving: leaving || state.closing,
      })),
  })

  const openGrpc = async (): Promise<number> => {
    const server = new grpc.Server(serverOptions)
    server.addService(protocol.agent.AgentService, service.handlers)
    grpcServer = server
    return new Promise((resolve, reject) => {
      const credentials = grpc.ServerCredentials.createInsecure()
      server.bindAsync(resolved.grpcAddress, credentials, (error, port) => {
        if (error === null) resolve(port)
        else reject(error)
      })
    })
  }

  const openHttp = async (): Promise<string> => {
    const server = endpointServer.createEndpointServer({
      announce,
      metrics: async () => metrics.renderMetrics(counters, state),
      notReadyReason: () => {
        if (state.closing) return 'shutting down'
        return view.inForce(now()) ? '' : 'no valid configuration from control'
      },
    })
    httpServer = server
    return listen.listen(server, resolved.httpAddress)
  }

  const drain = async (): Promise<void> => {
    const untilMs = now() + resolved.shutdownTimeoutMs
    const graceUntilMs = Math.min(untilMs, now() + LEAVING_GRACE_MS)
    const isBusy = (): boolean => state.active.size > 0 && now() < untilMs
    while (isBusy() || now() < graceUntilMs) await pause(DRAIN_POLL_MS)
    if (state.active.size > 0) {
      logger.warn('requests were cut by the shutdown deadline', { requests: state.active.size })
    }
  }

  const closeServers = async (): Promise<void> => {
    const server = grpcServer
    httpServer?.close()
    httpServer?.closeAllConnections()
    if (server === undefined) return
    const closed = new Promise<void>((resolve) => {
      server.tryShutdown(() => {
        resolve()
      })
    })
    await Promise.race([closed, pause(500)])
    server.forceShutdown()
  }

  return {
    start: async () => {
      try {
        const grpcPort = await openGrpc()
        const grpcAddress = listen.withPort(resolved.grpcAddress, grpcPort)
        const httpAddress = await openHttp()
        sync = configSync.createConfigSync({
          options: resolved,
          view,
          record: () => agentRecord(resolved.advertisedAddress ?? grpcAddress),
          buckets: () => buckets.take(Date.now()),
          onConfig: (untilMs, outDetail) => {
            run(step({ kind: 'config', untilMs, outDetail }))
          },
          onFailure: () => counters.syncFailed++,
        })
        sync.start()
        tick()
        logger.info('agent started', { grpcAddress, httpAddress, incarnation: state.incarnation })
        return results.Ok({ grpcAddress, httpAddress })
      } catch (error) {
        grpcServer?.forceShutdown()
        httpServer?.close()
        const detail = error instanceof Error ? error.message : String(error)
        const inUse = detail.includes('EADDRINUSE')
        return results.Err({ reason: inUse ? 'address-in-use' : 'listen-failed', detail })
      }
    },
    stop: async () => {
      logger.info('agent is draining', { running: state.active.size })
      const openUntilMs = now() + Math.min(SHUTDOWN_MIN_OPEN_MS, resolved.shutdownTimeoutMs)
      run(step({ kind: 'close' }))
      sync?.syncNow()
      await drain()
      await pause(Math.max(0, openUntilMs - now()))
      clearTimeout(ticker)
      sync?.stop()
      await closeServers()
      client.close()
      logger.info('agent stopped')
    },
  }
}
