/** Minimal JSON router on Node's HTTP server, with limited body sizes and a uniform error format. */
import * as http from 'node:http'
import * as results from 'ts-results-es'

const MAX_BODY_BYTES = 8 * 1024 * 1024
const REQUEST_TIMEOUT_MS = 15_000

export interface HttpReply {
  readonly status: number
  readonly body: unknown
  /** Default: JSON. */
  readonly contentType?: string
}

export interface RouteContext {
  /** Decoded `{name}` parts of the path. */
  readonly params: Readonly<Record<string, string>>
  readonly query: URLSearchParams
  /** Parsed JSON body; undefined for an empty one. */
  readonly body: unknown
}

export interface Route {
  readonly method: string
  /** Path with `{name}` parts, for example "/v1/jobs/{job}". */
  readonly path: string
  readonly handle: (context: RouteContext) => HttpReply | Promise<HttpReply>
}

export const errorReply = (status: number, error: string, detail: string): HttpReply => ({
  status,
  body: { error, detail },
})

const matchPath = (pattern: string, path: string): Readonly<Record<string, string>> | undefined => {
  const expected = pattern.split('/')
  const actual = path.split('/')
  if (expected.length !== actual.length) return undefined
  const params: Record<string, string> = {}
  for (const [index, part] of expected.entries()) {
    const value = actual[index] ?? ''
    if (part.startsWith('{')) params[part.slice(1, -1)] = value
    else if (part !== value) return undefined
  }
  return params
}

const decodeParams = (
  params: Readonly<Record<string, string>>,
): results.Result<Readonly<Record<string, string>>, string> => {
  try {
    return results.Ok(
      Object.fromEntries(
        Object.entries(params).map(([name, value]) => [name, decodeURIComponent(value)]),
      ),
    )
  } catch {
    return results.Err('the path holds an invalid percent-encoding')
  }
}

const readBody = async (
  request: http.IncomingMessage,
): Promise<results.Result<Buffer, HttpReply>> => {
  const chunks: Buffer[] = []
  let sizeBytes = 0
  for await (const chunk of request) {
    const buffer = chunk as Buffer
    sizeBytes += buffer.length
    if (sizeBytes > MAX_BODY_BYTES) {
      return results.Err(errorReply(413, 'body too large', `the limit is ${MAX_BODY_BYTES} bytes`))
    }
    chunks.push(buffer)
  }
  return results.Ok(Buffer.concat(chunks))
}

const parseJson = (bytes: Buffer): results.Result<unknown, HttpReply> => {
  if (bytes.length === 0) return results.Ok(undefined)
  try {
    return results.Ok(JSON.parse(bytes.toString('utf8')))
  } catch (error) {
    return results.Err(errorReply(400, 'invalid JSON', String(error)))
  }
}

const writeReply = (response: http.ServerResponse, reply: HttpReply): void => {
  const isJson = reply.contentType === undefined
  const payload = Buffer.from(isJson ? JSON.stringify(reply.body) : String(reply.body))
  response.writeHead(reply.status, {
    'content-type': reply.contentType ?? 'application/json',
    'content-length': payload.length,
  })
  response.end(payload)
}

const handleRequest = async (
  routes: readonly Route[],
  request: http.IncomingMessage,
): Promise<HttpReply> => {
  const url = new URL(request.url ?? '/', 'http://localhost')
  const pathMatches = routes.flatMap((route) => {
    const params = matchPath(route.path, url.pathname)
    return params ? [{ route, params }] : []
  })
  if (pathMatches.length === 0) return errorReply(404, 'not found', `no such path: ${url.pathname}`)
  const match = pathMatches.find(({ route }) => route.method === request.method)
  if (!match) {
    const allowed = pathMatches.map(({ route }) => route.method).join(', ')
    return errorReply(405, 'method not allowed', `${url.pathname} accepts ${allowed}`)
  }
  const params = decodeParams(match.params)
  if (params.isErr()) return errorReply(400, 'invalid path', params.error)
  const bytes = await readBody(request)
  if (bytes.isErr()) return bytes.error
  const body = parseJson(bytes.value)
  if (body.isErr()) return body.error
  return match.route.handle({ params: params.value, query: url.searchParams, body: body.value })
}

/**
 * Creates a server for `routes`. A handler throws only on a broken invariant: `onInternalError` gets
 * the error, and the caller gets status 500.
 */
export const createHttpServer = (
  routes: readonly Route[],
  onInternalError: (error: unknown) => void,
): http.Server => {
  const server = http.createServer((request, response) => {
    handleRequest(routes, request).then(
      (reply) => {
        writeReply(response, reply)
      },
      (error: unknown) => {
        // The caller disconnected while its body was read; this is not an internal error.
        if (request.destroyed && !request.complete) return
        writeReply(response, errorReply(500, 'internal error', String(error)))
        onInternalError(error)
      },
    )
  })
  server.requestTimeout = REQUEST_TIMEOUT_MS
  return server
}
