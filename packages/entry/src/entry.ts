import * as crypto from 'node:crypto'
import * as http from 'node:http'
import type * as net from 'node:net'
import * as controlClient from '@ebonyweir/control-client'
import * as results from 'ts-results-es'
import * as attempts from './attempts.js'
import * as bodyReader from './bodyReader.js'
import * as claims from './claims.js'
import * as directory from './directory.js'
import * as entryOptions from './options.js'
import * as entrySync from './entrySync.js'
import * as metrics from './metrics.js'
import * as reply from './reply.js'
import * as requestHead from './requestHead.js'
import * as serviceBuckets from './serviceBuckets.js'
import * as serviceRequest from './serviceRequest.js'
import * as services from './services.js'
import * as statusRoutes from './statusRoutes.js'

type Request = serviceRequest.ServiceRequest
type Result = serviceRequest.RequestResult

/** Why an entry instance did not start. */
export interface EntryError {
  readonly reason: 'address-in-use' | 'listen-failed'
  readonly detail: string
}

/** A running entry instance. */
export interface Entry {
  /** Opens the HTTP server; resolves with the address that was bound. */
  readonly start: () => Promise<results.Result<EntryAddresses, EntryError>>
  /** Keeps accepting requests for the grace period, then finishes those in progress and closes. */
  readonly stop: () => Promise<void>
}

export interface EntryAddresses {
  readonly httpAddress: string
}

/** Interval at which queued requests are checked for expired deadlines. */
const TICK_MS = 20
const DRAIN_POLL_MS = 20
/** Timeout for receiving a complete request from a caller. */
const RECEIVE_TIMEOUT_MS = 30_000
/** Limit on how long a shutdown waits for pending claim settlements. */
const SETTLE_DRAIN_MS = 2_000

const pause = async (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms)
  })

const splitAddress = (address: string): { readonly host: string; readonly port: number } => {
  const colon = address.lastIndexOf(':')
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '')
  return { host, port: Number(address.slice(colon + 1)) }
}

/** Creates the entry role, which accepts requests from callers and routes them to agents. */
export const createEntry = (options: entryOptions.EntryOptions): Entry => {
  const resolved = entryOptions.resolveEntryOptions(options)
  const { logger } = resolved
  const view = controlClient.configView.createConfigView()
  const control = controlClient.controlClient.createControlClient(resolved.controlAddresses)
  const entryMetrics = metrics.createEntryMetrics()
  const buckets = serviceBuckets.createServiceBuckets(Math.random)
  const bodies = bodyReader.createBodyReader(resolved.maxRequestBytes, resolved.maxBufferedBytes)
  const idempotencyClaims = claims.createClaims({
    cell: resolved.cell,
    entry: resolved.name,
    control,
    resolveTimeoutMs: resolved.resolveTimeoutMs,
    agentsOf: (service) => agentDirectory.agentsOf(service),
    logger,
  })
  let requests = 0
  let closing = false
  let ticker: NodeJS.Timeout | undefined

  const now = (): number => performance.now()

  const routedServices = services.createServices({
    failureDomain: resolved.failureDomain,
    view,
    random: Math.random,
    runAttempts: async (request, endpointId, router) =>
      attempts.runAttempts(
        {
          cell: resolved.cell,
          revision: view.revision,
          resolveTimeoutMs: resolved.resolveTimeoutMs,
          router,
          locate: (id) => agentDirectory.locate(id),
          random: Math.random,
          onResolve: () => {
            entryMetrics.resolves.inc()
          },
          onRetry: () => {
            entryMetrics.retries.inc()
          },
          onHedge: () => {
            entryMetrics.hedges.inc()
          },
          onCapacityFreed: () => {
            routedServices.dispatchQueued(request.service)
          },
        },
        request,
        endpointId,
      ),
  })

  const agentDirectory: directory.Directory = directory.createDirectory({
    cell: resolved.cell,
    entry: resolved.name,
    probeIntervalMs: resolved.probeIntervalMs,
    view,
    onListings: (service, listings, nowMs) => {
      routedServices.router(service).list(listings, nowMs)
      routedServices.dispatchQueued(service)
    },
    onReport: (service, endpointId, load, nowMs) => {
      routedServices.router(service).table.report(endpointId, load, nowMs)
      routedServices.dispatchQueued(service)
    },
    onReachable: (service, endpointId, reachable) => {
      routedServices.router(service).table.setReachable(endpointId, reachable, now())
      if (reachable) routedServices.dispatchQueued(service)
    },
    onReplaced: () => {
      entryMetrics.replacedConnections.inc()
    },
  })

  const sync = entrySync.createEntrySync({
    options: resolved,
    incarnation: Date.now(),
    control,
    view,
    directory: agentDirectory,
    buckets,
    onApplied: () => {
      agentDirectory.refresh(now())
    },
    onFailure: () => {
      entryMetrics.syncFailures.inc()
    },
  })

  const recordResult = (request: Request, result: Result): void => {
    const tookMs = now() - request.arrivedAtMs
    const answered = result.kind === 'answer'
    const outcome = answered ? 'answered' : result.outcome
    entryMetrics.recordRequest(request.service, outcome, answered ? '' : result.reason, tookMs)
    if (!answered && result.reason === 'cancelled') return
    const endpoint = answered ? result.answer.endpoint : ''
    const rule = answered || result.rule === undefined ? undefined : view.rule(result.rule)
    const countedRequest = {
      service: request.service,
      endpoint,
      failureDomain: resolved.failureDomain,
      tookMs,
      rule: rule === undefined ? '' : `line ${rule.line} (${rule.requestedBy})`,
    }
    const late = tookMs > request.policy.targetMs
    const failed = answered && result.answer.status >= 500
    const answerKind = failed ? 'failed' : late ? 'late' : 'good'
    const failureKind = outcome === 'not-run' ? 'refused' : 'failed'
    buckets.count({ ...countedRequest, kind: answered ? answerKind : failureKind }, Date.now())
  }

  const runRequest = async (request: Request): Promise<Result> => {
    if (request.key === '') return routedServices.run(request)
    const refused = await idempotencyClaims.claim(request)
    if (refused !== undefined) return refused
    const result = await routedServices.run(request)
    idempotencyClaims.settle(request, result)
    return result
  }

  const cancelledSignal = (response: http.ServerResponse): AbortSignal => {
    const controller = new AbortController()
    response.on('close', () => {
      if (!response.writableFinished) controller.abort()
    })
    return controller.signal
  }

  /** Refuses a request that was neither claimed nor dispatched. */
  const refuse = (
    response: http.ServerResponse,
    requestId: string,
    refusal: { readonly status: number; readonly error: string; readonly detail: string },
    head?: requestHead.RequestHead,
  ): void => {
    const { status, error, detail } = refusal
    // This request did not run, but an earlier one with the same key may have.
    const isKeyed = head !== undefined && head.key !== ''
    const outcome = isKeyed ? 'unknown' : 'not-run'
    if (status !== 404) response.setHeader('connection', 'close')
    reply.sendError(response, isKeyed && status === 503 ? 502 : status, requestId, {
      error,
      detail,
      outcome,
      service: head?.service ?? '',
    })
  }

  const receive = async (
    message: http.IncomingMessage,
    response: http.ServerResponse,
    requestId: string,
    head: requestHead.RequestHead,
  ): Promise<void> => {
    const { service } = head
    const policy = view.service(service)
    if (policy === undefined) {
      message.resume()
      const detail = `no rule for service ${service}`
      refuse(response, requestId, { status: 404, error: 'unknown-service', detail }, head)
      return
    }
    const cancelled = cancelledSignal(response)
    const body = await bodies.read(message)
    if (body.isErr()) {
      const status = { cut: 400, 'too-large': 413, overloaded: 503 }[body.error]
      const detail = `request body ${body.error}; at most ${resolved.maxRequestBytes} bytes`
      refuse(response, requestId, { status, error: `body-${body.error}`, detail }, head)
      return
    }
    const arrivedAtMs = now()
    const timeoutMs = Math.min(head.timeoutMs ?? policy.timeoutMs, resolved.maxTimeoutMs)
    const request: Request = {
      ...head,
      requestId,
      policy,
      weight: 1,
      deadlineMs: arrivedAtMs + timeoutMs,
      body: body.value,
      arrivedAtMs,
      cancelled,
    }
    const result = await runRequest(request)
    bodies.release(body.value.length)
    recordResult(request, result)
    if (closing) response.setHeader('connection', 'close')
    reply.sendResult(response, request, result, view)
  }

  const serve = async (
    message: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> => {
    const requestId = crypto.randomUUID()
    const head = requestHead.readHead(message, resolved.maxTimeoutMs)
    if (head.isErr()) {
      refuse(response, requestId, { ...head.error, error: 'bad-request' })
      return
    }
    if (!view.inForce(now())) {
      const detail = 'this entry instance has no valid configuration from control'
      refuse(response, requestId, { status: 503, error: 'config-expired', detail }, head.value)
      return
    }
    if (requests >= resolved.maxRequests) {
      const detail = `${resolved.maxRequests} requests are in progress`
      refuse(response, requestId, { status: 503, error: 'overloaded', detail }, head.value)
      return
    }
    requests++
    try {
      await receive(message, response, requestId, head.value)
    } finally {
      requests--
    }
  }

  const status = statusRoutes.createStatusRoutes({
    cell: resolved.cell,
    name: resolved.name,
    failureDomain: resolved.failureDomain,
    view,
    buckets,
    closing: () => closing,
    metrics: async () =>
      entryMetrics.render({
        requests,
        queued: routedServices.queued(),
        bufferedBytes: bodies.bufferedBytes(),
        agents: agentDirectory.agentCount(),
        revision: view.revision(),
      }),
  })

  const route = async (
    message: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> => {
    if (!(await status.serve(message, response))) await serve(message, response)
  }

  const server = http.createServer({
    maxHeaderSize: resolved.maxHeaderBytes,
    headersTimeout: RECEIVE_TIMEOUT_MS,
    requestTimeout: RECEIVE_TIMEOUT_MS,
    // Longer than common client idle timeouts, so that clients close idle connections first.
    keepAliveTimeout: 75_000,
  })
  server.on('request', (message, response) => {
    route(message, response).catch((error: unknown) => {
      logger.error('request failed', { detail: String(error) })
      response.destroy()
    })
  })
  server.on('clientError', (error: NodeJS.ErrnoException, socket: net.Socket) => {
    if (!socket.writable) return
    const status = error.code === 'HPE_HEADER_OVERFLOW' ? 431 : 400
    const timedOut = error.code === 'ERR_HTTP_REQUEST_TIMEOUT'
    const detail = { error: 'bad-request', detail: error.message, outcome: 'not-run' }
    const payload = JSON.stringify(detail)
    const head =
      `HTTP/1.1 ${timedOut ? 408 : status} Refused\r\nconnection: close\r\n` +
      `ebonyweir-outcome: not-run\r\ncontent-type: application/json\r\n` +
      `content-length: ${Buffer.byteLength(payload)}\r\n\r\n`
    socket.end(head + payload)
  })

  const tick = (): void => {
    routedServices.tick()
    ticker = setTimeout(tick, TICK_MS)
  }

  const drain = async (): Promise<void> => {
    const untilMs = now() + resolved.shutdownTimeoutMs
    while (requests > 0 && now() < untilMs) await pause(DRAIN_POLL_MS)
    if (requests > 0) logger.warn('requests were cut by the shutdown deadline', { requests })
  }

  return {
    start: async () =>
      new Promise((resolve) => {
        const { host, port } = splitAddress(resolved.httpAddress)
        server.once('error', (error: NodeJS.ErrnoException) => {
          const reason = error.code === 'EADDRINUSE' ? 'address-in-use' : 'listen-failed'
          resolve(results.Err({ reason, detail: error.message }))
        })
        server.listen(port, host, () => {
          const bound = server.address() as net.AddressInfo
          const httpAddress = `${host}:${bound.port}`
          sync.start()
          tick()
          logger.info('entry started', { httpAddress })
          resolve(results.Ok({ httpAddress }))
        })
      }),
    stop: async () => {
      closing = true
      logger.info('entry is draining', { requests })
      await pause(resolved.shutdownGraceMs)
      server.close()
      server.closeIdleConnections()
      await drain()
      clearTimeout(ticker)
      await idempotencyClaims.drain(SETTLE_DRAIN_MS)
      sync.stop()
      server.closeAllConnections()
      agentDirectory.close()
      control.close()
      logger.info('entry stopped')
    },
  }
}
