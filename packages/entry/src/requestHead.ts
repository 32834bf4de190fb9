import type * as http from 'node:http'
import type * as protocol from '@ebonyweir/protocol'
import * as results from 'ts-results-es'

/** Parsed request line and headers of a service request. */
export interface RequestHead {
  readonly service: string
  readonly path: string
  readonly method: string
  readonly caller: string
  readonly idempotent: boolean
  readonly key: string
  /** Undefined if the caller set no timeout. */
  readonly timeoutMs: number | undefined
  readonly headers: readonly protocol.agent.Header[]
}

export interface HeadError {
  readonly status: number
  readonly detail: string
}

const PREFIX = '/services/'
const MAX_NAME_LENGTH = 255
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'])
const SUPPORTED_METHODS: ReadonlySet<string> = new Set([...IDEMPOTENT_METHODS, 'POST', 'PATCH'])

const refuse = (status: number, detail: string): results.Err<HeadError> =>
  results.Err({ status, detail })

const headerOf = (request: http.IncomingMessage, name: string): string | undefined => {
  const value = request.headers[name]
  return Array.isArray(value) ? value[0] : value
}

const headersOf = (request: http.IncomingMessage): readonly protocol.agent.Header[] => {
  const headers: protocol.agent.Header[] = []
  const raw = request.rawHeaders
  for (let i = 0; i + 1 < raw.length; i += 2) {
    headers.push({ name: raw[i] ?? '', value: raw[i + 1] ?? '' })
  }
  return headers
}

const readIdempotent = (request: http.IncomingMessage): results.Result<boolean, HeadError> => {
  const value = headerOf(request, 'ebonyweir-idempotent')
  if (value === undefined) return results.Ok(IDEMPOTENT_METHODS.has(request.method ?? ''))
  if (value === 'true' || value === 'false') return results.Ok(value === 'true')
  return refuse(400, 'ebonyweir-idempotent must be "true" or "false"')
}

const readTimeout = (
  request: http.IncomingMessage,
  maxTimeoutMs: number,
): results.Result<number | undefined, HeadError> => {
  const value = headerOf(request, 'ebonyweir-timeout-ms')
  if (value === undefined) return results.Ok(undefined)
  const timeoutMs = Number(value)
  if (Number.isInteger(timeoutMs) && timeoutMs > 0 && timeoutMs <= maxTimeoutMs) {
    return results.Ok(timeoutMs)
  }
  return refuse(400, `ebonyweir-timeout-ms must be an integer from 1 to ${maxTimeoutMs}`)
}

const decode = (text: string): string | undefined => {
  try {
    return decodeURIComponent(text)
  } catch {
    return undefined
  }
}

const splitUrl = (url: string): results.Result<readonly [string, string], HeadError> => {
  if (!url.startsWith(PREFIX)) return refuse(404, 'the path must start with /services/{service}/')
  const rest = url.slice(PREFIX.length)
  const end = rest.search(/[/?]/)
  const service = decode(end < 0 ? rest : rest.slice(0, end))
  if (service === undefined || service === '' || service.length > MAX_NAME_LENGTH) {
    return refuse(400, `the service name must have 1 to ${MAX_NAME_LENGTH} characters`)
  }
  const pathAndQuery = end < 0 ? '' : rest.slice(end)
  return results.Ok([service, pathAndQuery.startsWith('/') ? pathAndQuery : `/${pathAndQuery}`])
}

/** Parses and validates the head of a request to /services/{service}/{path}. */
export const readHead = (
  request: http.IncomingMessage,
  maxTimeoutMs: number,
): results.Result<RequestHead, HeadError> => {
  const method = request.method ?? ''
  if (!SUPPORTED_METHODS.has(method)) return refuse(405, `method ${method} is not served`)
  const url = splitUrl(request.url ?? '')
  if (url.isErr()) return url
  const idempotent = readIdempotent(request)
  if (idempotent.isErr()) return idempotent
  const timeoutMs = readTimeout(request, maxTimeoutMs)
  if (timeoutMs.isErr()) return timeoutMs
  const caller = headerOf(request, 'ebonyweir-caller') ?? request.socket.remoteAddress ?? 'unknown'
  const key = headerOf(request, 'idempotency-key') ?? ''
  if (caller.length > MAX_NAME_LENGTH || key.length > MAX_NAME_LENGTH) {
    const detail = `ebonyweir-caller and idempotency-key have at most ${MAX_NAME_LENGTH} characters`
    return refuse(400, detail)
  }
  return results.Ok({
    service: url.value[0],
    path: url.value[1],
    method,
    caller,
    idempotent: idempotent.value,
    key: idempotent.value ? '' : key,
    timeoutMs: timeoutMs.value,
    headers: headersOf(request),
  })
}
