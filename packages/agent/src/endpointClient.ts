import * as http from 'node:http'
import * as protocol from '@ebonyweir/protocol'
import * as executionResult from './executionResult.js'
import type * as executionState from './executionState.js'
import * as listen from './listen.js'

type Result = executionState.ExecutionResult

/** Sends requests to the endpoints of this instance. */
export interface EndpointClient {
  readonly send: (
    endpoint: executionState.EndpointState,
    request: protocol.agent.ExecuteRequest,
    signal: AbortSignal,
  ) => Promise<Result>
  /** Closes the connections of all endpoints except those in `kept`. */
  readonly retainOnly: (kept: ReadonlySet<string>) => void
  readonly close: () => void
}

interface EndpointPool {
  readonly address: string
  readonly connections: number
  readonly agent: http.Agent
}

// Hop-by-hop headers are not forwarded. The content length is set from the buffered body.
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
])

/** Added to the request's timeout, so that the deadline is reported rather than a socket timeout. */
const SOCKET_SLACK_MS = 15_000
/** Shorter than the 5 s of Node's HTTP server, so that idle connections are closed before endpoints do so. */
const IDLE_CONNECTION_MS = 4_000

const requestHeaders = (request: protocol.agent.ExecuteRequest): string[] => {
  const headers: string[] = []
  for (const { name, value } of request.headers) {
    if (!HOP_BY_HOP_HEADERS.has(name.toLowerCase())) headers.push(name, value)
  }
  headers.push('ebonyweir-request-id', request.requestId)
  headers.push('content-length', String(request.body.length))
  return headers
}

const answerHeaders = (raw: readonly string[]): protocol.agent.Header[] => {
  const headers: protocol.agent.Header[] = []
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i] ?? ''
    if (!HOP_BY_HOP_HEADERS.has(name.toLowerCase())) headers.push({ name, value: raw[i + 1] ?? '' })
  }
  return headers
}

const rawHeader = (raw: readonly string[], wanted: string): string | undefined => {
  for (let i = 0; i + 1 < raw.length; i += 2) {
    if (raw[i]?.toLowerCase() === wanted) return raw[i + 1]
  }
  return undefined
}

const hasNoBody = (method: string, status: number): boolean =>
  method === 'HEAD' || status === 204 || status === 304

const { RefusalReason } = protocol.agent

// Error codes which prove that nothing was sent to the endpoint.
const NOT_SENT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'ERR_INVALID_CHAR',
  'ERR_INVALID_HTTP_TOKEN',
  'ERR_UNESCAPED_CHARACTERS',
])

const failureOf = (error: unknown, answered: boolean): Result => {
  const code = (error as { readonly code?: string }).code ?? ''
  const message = error instanceof Error ? error.message : String(error)
  if (answered) {
    return executionResult.unknown(RefusalReason.ANSWER_CUT, `the answer was cut: ${message}`)
  }
  if (NOT_SENT_ERROR_CODES.has(code)) {
    return executionResult.notRun(RefusalReason.ENDPOINT_FAILED, `not sent: ${message}`)
  }
  return executionResult.unknown(RefusalReason.ENDPOINT_FAILED, `endpoint failed: ${message}`)
}

/** Creates the client. Answers larger than `maxAnswerBytes` are rejected. */
export const createEndpointClient = (maxAnswerBytes: number): EndpointClient => {
  const pools = new Map<string, EndpointPool>()

  const httpAgentOf = (endpoint: executionState.EndpointState): http.Agent => {
    const { address, connections } = endpoint
    const pool = pools.get(endpoint.endpoint)
    if (pool?.address === address && pool.connections === connections) return pool.agent
    pool?.agent.destroy()
    const maxSockets = Math.max(1, connections)
    const agent = new http.Agent({ keepAlive: true, maxSockets, timeout: IDLE_CONNECTION_MS })
    pools.set(endpoint.endpoint, { address, connections, agent })
    return agent
  }

  const readBody = async (response: http.IncomingMessage): Promise<Buffer | undefined> => {
    const chunks: Buffer[] = []
    let length = 0
    for await (const chunk of response as AsyncIterable<Buffer>) {
      length += chunk.length
      if (length > maxAnswerBytes) return undefined
      chunks.push(chunk)
    }
    if (!response.complete) throw new Error('the connection closed before the end')
    return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks, length)
  }

  const sendRequest = async (
    endpoint: executionState.EndpointState,
    request: protocol.agent.ExecuteRequest,
    signal: AbortSignal,
  ): Promise<http.IncomingMessage> =>
    new Promise((resolve, reject) => {
      const { host, port } = listen.splitAddress(endpoint.address)
      const outgoing = http.request({
        agent: httpAgentOf(endpoint),
        host,
        port,
        method: request.method,
        path: request.path,
        headers: ['host', endpoint.address, ...requestHeaders(request)],
        timeout: request.timeoutMs + SOCKET_SLACK_MS,
        signal,
      })
      outgoing.on('response', resolve)
      outgoing.on('error', reject)
      outgoing.on('timeout', () => {
        outgoing.destroy(new Error('the endpoint did not answer'))
      })
      outgoing.end(request.body)
    })

  const exchange = async (
    endpoint: executionState.EndpointState,
    request: protocol.agent.ExecuteRequest,
    signal: AbortSignal,
    onAnswer: () => void,
  ): Promise<Result> => {
    const response = await sendRequest(endpoint, request, signal)
    onAnswer()
    const status = response.statusCode ?? 0
    const raw = response.rawHeaders
    const body = await readBody(response)
    if (body === undefined) {
      const detail = `the answer is larger than ${maxAnswerBytes} bytes`
      return executionResult.unknown(RefusalReason.ANSWER_TOO_LARGE, detail)
    }
    // Without content-length or chunked encoding, a truncated answer looks complete.
    const framed =
      rawHeader(raw, 'content-length') !== undefined ||
      rawHeader(raw, 'transfer-encoding') !== undefined
    if (!framed && !hasNoBody(request.method, status)) {
      const detail = 'the answer has neither content-length nor chunked encoding'
      return executionResult.unknown(RefusalReason.ANSWER_CUT, detail)
    }
    const value = {
      status,
      headers: answerHeaders(raw),
      body,
      endpoint: endpoint.endpoint,
    }
    return { $case: 'answer', value }
  }

  return {
    send: async (endpoint, request, signal) => {
      let answered = false
      try {
        return await exchange(endpoint, request, signal, () => {
          answered = true
        })
      } catch (error) {
        return failureOf(error, answered)
      }
    },
    retainOnly: (kept) => {
      for (const [name, pool] of pools) {
        if (kept.has(name)) continue
        pools.delete(name)
        pool.agent.destroy()
      }
    },
    close: () => {
      for (const { agent } of pools.values()) agent.destroy()
      pools.clear()
    },
  }
}
