/** Sends single HTTP requests and classifies failures by whether the request was sent. */
import * as undici from 'undici'

/** A request to a control replica or an entry. */
export interface ApiRequest {
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly body?: unknown
}

/** Outcome of one attempt. */
export type Attempt =
  | { readonly kind: 'answer'; readonly status: number; readonly body: unknown }
  /** The connection was not opened, so the request was not sent. */
  | { readonly kind: 'not-sent'; readonly detail: string }
  /** The request may have been received, but its answer was not. */
  | { readonly kind: 'lost'; readonly detail: string }

/** Sends one request to "host:port". */
export type SendRequest = (address: string, request: ApiRequest) => Promise<Attempt>

const CONNECT_TIMEOUT_MS = 1_000

/** Error codes of undici and the operating system that occur before a request is sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
])

/** Creates a sender; `attemptTimeoutMs` limits one attempt, including reading its answer. */
export function createSender(attemptTimeoutMs: number): SendRequest {
  const dispatcher = new undici.Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: 1,
  })
  return async (address, request) => {
    try {
      const answer = await undici.request(`http://${address}${request.path}`, {
        dispatcher,
        method: request.method,
        headers: { 'content-type': 'application/json' },
        body: request.body === undefined ? null : JSON.stringify(request.body),
        signal: AbortSignal.timeout(attemptTimeoutMs),
      })
      return { kind: 'answer', status: answer.statusCode, body: parse(await answer.body.text()) }
    } catch (error) {
      return classifyError(error)
    }
  }
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text)
  } catch (error) {
    if (error instanceof SyntaxError) return { error: 'not-json', detail: text }
    throw error
  }
}

function classifyError(error: unknown): Attempt {
  const detail = error instanceof Error ? error.message : String(error)
  const code = error instanceof Error && 'code' in error ? String(error.code) : ''
  return NOT_SENT_CODES.has(code) ? { kind: 'not-sent', detail } : { kind: 'lost', detail }
}
