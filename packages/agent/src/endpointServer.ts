import * as http from 'node:http'
import * as results from 'ts-results-es'
import type * as execution from './execution.js'

/** Handlers behind the HTTP server of an agent. */
export interface EndpointServerHandlers {
  /** Registers an announcement. Returns the reason if it is refused, or an empty string. */
  readonly announce: (announcement: execution.Announcement) => string
  readonly metrics: () => Promise<string>
  /** Why the agent is not ready, or an empty string if it is. */
  readonly notReadyReason: () => string
}

const MAX_ANNOUNCEMENT_BYTES = 16 * 1024
const MAX_SLOTS = 10_000

const readString = (
  body: Readonly<Record<string, unknown>>,
  field: string,
): results.Result<string, string> => {
  const value = body[field]
  return typeof value === 'string' && value !== '' && value.length <= 255
    ? results.Ok(value)
    : results.Err(`"${field}" must be a string of 1 to 255 characters`)
}

const readCount = (
  body: Readonly<Record<string, unknown>>,
  field: string,
): results.Result<number, string> => {
  const value = body[field]
  return typeof value === 'number' && Number.isInteger(value) && value > 0 && value <= MAX_SLOTS
    ? results.Ok(value)
    : results.Err(`"${field}" must be an integer from 1 to ${MAX_SLOTS}`)
}

/** Parses and validates the JSON body of POST /v1/endpoints. */
export const readAnnouncement = (json: string): results.Result<execution.Announcement, string> => {
  let parsed: unknown
  try {
    parsed = JSON.parse(json)
  } catch {
    return results.Err('the body is not JSON')
  }
  if (typeof parsed !== 'object' || parsed === null) return results.Err('the body is not an object')
  const body = parsed as Readonly<Record<string, unknown>>
  const fields = results.Result.all([
    readString(body, 'endpoint'),
    readString(body, 'service'),
    readString(body, 'address'),
    readCount(body, 'slots'),
    readCount(body, 'connections'),
  ])
  return fields.map(([endpoint, service, address, slots, connections]) => ({
    endpoint,
    service,
    address,
    slots,
    connections,
    leaving: body.leaving === true,
  }))
}

const sendJson = (response: http.ServerResponse, status: number, body: unknown): void => {
  const payload = JSON.stringify(body)
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(payload),
  })
  response.end(payload)
}

const readAll = async (request: http.IncomingMessage): Promise<string | undefined> => {
  const chunks: Buffer[] = []
  let length = 0
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      length += chunk.length
      if (length > MAX_ANNOUNCEMENT_BYTES) return undefined
      chunks.push(chunk)
    }
  } catch {
    return undefined
  }
  return Buffer.concat(chunks).toString('utf8')
}

/** Creates the HTTP server for announcements, metrics and health. */
export const createEndpointServer = (handlers: EndpointServerHandlers): http.Server => {
  const announce = async (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> => {
    const body = await readAll(request)
    if (body === undefined) {
      const error = `the announcement is cut or larger than ${MAX_ANNOUNCEMENT_BYTES} bytes`
      sendJson(response, 413, { error })
      return
    }
    const announcement = readAnnouncement(body)
    if (announcement.isErr()) {
      sendJson(response, 400, { error: announcement.error })
      return
    }
    const refused = handlers.announce(announcement.value)
    if (refused === '') sendJson(response, 200, { accepted: true })
    else sendJson(response, 429, { error: refused })
  }

  const route = async (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> => {
    const route = `${request.method ?? ''} ${request.url ?? ''}`
    if (route === 'POST /v1/endpoints') {
      await announce(request, response)
      return
    }
    if (route === 'GET /healthz') {
      sendJson(response, 200, { healthy: true })
      return
    }
    if (route === 'GET /readyz') {
      const reason = handlers.notReadyReason()
      sendJson(response, reason === '' ? 200 : 503, { ready: reason === '', reason })
      return
    }
    if (route === 'GET /metrics') {
      const body = await handlers.metrics()
      response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4; charset=utf-8' })
      response.end(body)
      return
    }
    sendJson(response, 404, { error: `no such path: ${route}` })
  }

  const server = http.createServer({ requestTimeout: 5_000, headersTimeout: 5_000 })
  server.maxConnections = 256
  server.on('request', (request, response) => {
    route(request, response).catch(() => {
      response.destroy()
    })
  })
  return server
}
