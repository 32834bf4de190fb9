import * as protocol from '@ebonyweir/protocol'
import * as undici from 'undici'
import * as executionResult from './executionResult.js'
import type * as executionState from './executionState.js'

type Result = executionState.ExecutionResult

/** Sends requests to the endpoints of this instance. */
export interface EndpointClient {
  readonly send: (
    endpoint: executionState.EndpointState,
    request: protocol.agent.ExecuteRequest,
    signal: AbortSignal,
  ) => Promise<Result>
  /** Closes the connections of endpoints that are not in `kept`. */
  readonly keep: (kept: ReadonlySet<string>) => void
  readonly close: () => Promise<void>
}

interface Held {
  readonly address: string
  readonly connections: number
  readonly pool: undici.Pool
}

// Headers that concern one connection only; the content length is set from the buffered body.
const HOP_HEADERS: ReadonlySet<string> = new Set([
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

/** Slack over the request's deadline, so that the deadline itself is reported, not a socket timeout. */
const SOCKET_SLACK_MS = 15_000
const CONNECT_TIMEOUT_MS = 1_000

const requestHeaders = (request: protocol.agent.ExecuteRequest): string[] => {
  const headers: string[] = []
  for (const { name, value } of request.headers) {
    if (!HOP_HEADERS.has(name.toLowerCase())) headers.push(name, value)
  }
  headers.push('ebonyweir-request-id', request.requestId)
  return headers
}

const answerHeaders = (raw: readonly string[]): protocol.agent.Header[] => {
  const headers: protocol.agent.Header[] = []
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i] ?? ''
    if (!HOP_HEADERS.has(name.toLowerCase())) headers.push({ name, value: raw[i + 1] ?? '' })
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

// Codes of errors before anything was written to the endpoint.
const NOT_SENT: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
  'UND_ERR_INVALID_ARG',
  'UND_ERR_DESTROYED',
])

const failureOf = (error: unknown, answered: boolean): Result => {
  const code = (error as { readonly code?: string }).code ?? ''
  const message = error instanceof Error ? error.message : String(error)
  if (answered) {
    return executionResult.unknown(RefusalReason.ANSWER_CUT, `the answer was cut: ${message}`)
  }
  if (NOT_SENT.has(code)) {
    return executionResult.notRun(RefusalReason.ENDPOINT_FAILED, `not sent: ${message}`)
  }
  return executionResult.unknown(RefusalReason.ENDPOINT_FAILED, `endpoint failed: ${message}`)
}

/** Creates the client. Answers above `maxAnswerBytes` are refused. */
export const createEndpointClient = (maxAnswerBytes: number): EndpointClient => {
  const pools = new Map<string, Held>()

  const poolOf = (endpoint: executionState.EndpointState): undici.Pool => {
    const { address, connections } = endpoint
    const held = pools.get(endpoint.endpoint)
    if (held?.address === address && held.connections === connections) return held.pool
    if (held !== undefined) void held.pool.close()
    const pool = new undici.Pool(`http://${address}`, {
      connections: Math.max(1, connections),
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
    })
    pools.set(endpoint.endpoint, { address, connections, pool })
    return pool
  }

  const readBody = async (body: AsyncIterable<Buffer>): Promise<Buffer | undefined> => {
    const chunks: Buffer[] = []
    let length = 0
    for await (const chunk of body) {
      length += chunk.length
      if (length > maxAnswerBytes) return undefined
      chunks.push(chunk)
    }
    return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks, length)
  }

  const exchange = async (
    endpoint: executionState.EndpointState,
    request: protocol.agent.ExecuteRequest,
    signal: AbortSignal,
    onAnswer: () => void,
  ): Promise<Result> => {
    const timeoutMs = request.timeoutMs + SOCKET_SLACK_MS
    const response = await poolOf(endpoint).request({
      method: request.method,
      path: request.path,
      headers: requestHeaders(request),
      body: request.body.length === 0 ? null : request.body,
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
      responseHeaders: 'raw',
      signal,
    })
    onAnswer()
    const raw = response.headers as unknown as readonly string[]
    const body = await readBody(response.body as AsyncIterable<Buffer>)
    if (body === undefined) {
      const detail = `the answer is larger than ${maxAnswerBytes} bytes`
      return executionResult.unknown(RefusalReason.ANSWER_TOO_LARGE, detail)
    }
    // Without a length or chunks, a cut answer cannot be told from a whole one.
    const framed =
      rawHeader(raw, 'content-length') !== undefined ||
      rawHeader(raw, 'transfer-encoding') !== undefined
    if (!framed && !hasNoBody(request.method, response.statusCode)) {
      const detail = 'the answer has neither content-length nor chunked encoding'
      return executionResult.unknown(RefusalReason.ANSWER_CUT, detail)
    }
    const value = {
      status: response.statusCode,
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
    keep: (kept) => {
      for (const [name, held] of pools) {
        if (kept.has(name)) continue
        pools.delete(name)
        void held.pool.close()
      }
    },
    close: async () => {
      const closing = [...pools.values()].map(async (held) => held.pool.destroy())
      pools.clear()
      await Promise.all(closing)
    },
  }
}
