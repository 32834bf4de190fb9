/** Fake caller: single requests and bounded open-loop load against entries. */
import * as http from 'node:http'
import * as undici from 'undici'
import * as echo from './echo.js'
import * as record from './record.js'

/** Options of a fake caller. */
export interface FakeCallerOptions {
  readonly caller: string
  /** Addresses of the entries, "host:port". */
  readonly entries: readonly string[]
  readonly recorder: record.Recorder
  /** Time after which the caller aborts a request, in milliseconds. @default 30000 */
  readonly giveUpMs?: number
  /**
   * Interval of readiness checks in milliseconds, 0 for none. With checks, requests go only to entries
   * whose /readyz answers 200, as with the platform's load balancer. @default 0
   */
  readonly healthCheckMs?: number
  /** Maximum number of connections to one entry. @default 64 */
  readonly connections?: number
}

/** One request; a resend has the same token. */
export interface CallerRequest {
  readonly service: string
  /** Identifies the request; the endpoint echoes it. @default a new token */
  readonly token?: string
  /** @default 'POST' */
  readonly method?: 'GET' | 'POST' | 'PUT'
  /** @default false for POST, otherwise true */
  readonly idempotent?: boolean
  readonly key?: string
  /** @default the entries in round-robin order */
  readonly entry?: string
  /** Size of the request body. @default 32 */
  readonly bodyBytes?: number
  /** Value of the `ebonyweir-timeout-ms` header. @default none */
  readonly timeoutMs?: number
}

/** Result of a request. Status 0 means that the connection failed or the request timed out. */
export interface CallerResult {
  readonly token: string
  readonly status: number
  readonly outcome: string
  readonly requestId: string
  readonly whole: boolean
  readonly matched: boolean
  readonly body: string
  readonly latencyMs: number
  /** False if nothing can have been sent. */
  readonly sent: boolean
}

/** Bounded open-loop load. */
export interface CallerLoad extends CallerRequest {
  readonly ratePerSecond: number
  readonly durationMs: number
  /** Gives each request its own idempotency key. @default false */
  readonly keyed?: boolean
}

/** Totals of a finished load. */
export interface LoadResult {
  readonly sent: number
  readonly answered: number
  readonly notRun: number
  readonly unknown: number
  readonly broken: number
  /** Latencies of answered requests in milliseconds, ascending. */
  readonly latenciesMs: readonly number[]
}

export interface FakeCaller {
  readonly send: (request: CallerRequest) => Promise<CallerResult>
  /** Sends half of the body and closes the connection. */
  readonly sendTruncatedBody: (request: CallerRequest) => Promise<void>
  readonly load: (load: CallerLoad) => Promise<LoadResult>
  readonly close: () => Promise<void>
}

const MAX_LOAD_REQUESTS = 200_000
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH'])

const codeOf = (error: unknown): string => {
  const code = (error as { readonly code?: unknown }).code
  return typeof code === 'string' ? code : String(error)
}

const headerOf = (headers: undici.Dispatcher.ResponseData['headers'], name: string): string => {
  const value = headers[name]
  return typeof value === 'string' ? value : (value?.[0] ?? '')
}

/** Polls the readiness of every entry; with interval 0 all entries count as ready. */
const createHealthChecks = (entries: readonly string[], intervalMs: number) => {
  const notReady = new Set<string>()
  const check = async (entry: string) => {
    try {
      const signal = AbortSignal.timeout(1000)
      const response = await undici.request(`http://${entry}/readyz`, { signal })
      await response.body.dump()
      if (response.statusCode === 200) notReady.delete(entry)
      else notReady.add(entry)
    } catch {
      notReady.add(entry)
    }
  }
  const timer =
    intervalMs === 0
      ? undefined
      : setInterval(() => {
          for (const entry of entries) void check(entry)
        }, intervalMs)
  return {
    isReady: (entry: string): boolean => !notReady.has(entry),
    close: () => {
      clearInterval(timer)
    },
  }
}

interface PreparedRequest {
  readonly token: string
  readonly entry: string
  readonly idempotent: boolean
  readonly method: 'GET' | 'POST' | 'PUT'
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer
  readonly key: string
}

export const createFakeCaller = (options: FakeCallerOptions): FakeCaller => {
  const { caller, entries, recorder } = options
  const dispatcher = new undici.Agent({ connections: options.connections ?? 64 })
  const sendCounts = new Map<string, number>()
  const health = createHealthChecks(entries, options.healthCheckMs ?? 0)
  let nextEntryIndex = 0
  let tokenCount = 0

  const nextEntry = (): string => {
    const ready = entries.filter(health.isReady)
    const candidates = ready.length === 0 ? entries : ready
    return candidates[nextEntryIndex++ % candidates.length] ?? ''
  }

  const prepare = (request: CallerRequest): PreparedRequest => {
    const token = request.token ?? `${caller}-${process.pid}-${tokenCount++}`
    const method = request.method ?? 'POST'
    const idempotent = request.idempotent ?? method !== 'POST'
    const body = Buffer.from(
      method === 'GET' ? '' : echo.digest(token).repeat(Math.ceil((request.bodyBytes ?? 32) / 64)),
    ).subarray(0, request.bodyBytes ?? 32)
    const headers: Record<string, string> = {
      'ebonyweir-caller': caller,
      'ebonyweir-idempotent': String(idempotent),
      'content-type': 'text/plain',
    }
    if (request.key !== undefined) headers['idempotency-key'] = request.key
    if (request.timeoutMs !== undefined) headers['ebonyweir-timeout-ms'] = String(request.timeoutMs)
    return {
      token,
      method,
      idempotent,
      body,
      headers,
      entry: request.entry ?? nextEntry(),
      path: `/services/${request.service}/work?token=${encodeURIComponent(token)}&idempotent=${idempotent}`,
      key: request.key ?? '',
    }
  }

  const recordSend = (prepared: PreparedRequest): number => {
    const send = (sendCounts.get(prepared.token) ?? 0) + 1
    sendCounts.set(prepared.token, send)
    const { token, key, idempotent, entry } = prepared
    recorder.record({ kind: 'requestSent', caller, token, send, key, idempotent, entry })
    return send
  }

  const recordAnswer = (
    prepared: PreparedRequest,
    send: number,
    response: undici.Dispatcher.ResponseData,
    text: string,
    startMs: number,
  ): CallerResult => {
    const outcome = headerOf(response.headers, 'ebonyweir-outcome')
    const requestId = headerOf(response.headers, 'ebonyweir-request-id')
    const { token } = prepared
    const hasEcho = response.statusCode === 200
    const { whole, matched } = hasEcho
      ? echo.checkEcho(text, token, prepared.body)
      : { whole: true, matched: true }
    const status = response.statusCode
    const detail = hasEcho ? '' : text.slice(0, 300)
    recorder.record({
      kind: 'requestAnswered',
      caller,
      token,
      send,
      status,
      outcome,
      requestId,
      whole,
      matched,
      detail,
    })
    const latencyMs = record.monotonicMs() - startMs
    return { token, status, outcome, requestId, whole, matched, body: text, latencyMs, sent: true }
  }

  const recordBroken = (
    prepared: PreparedRequest,
    send: number,
    error: unknown,
    startMs: number,
  ): CallerResult => {
    const detail = codeOf(error)
    const sent = !NOT_SENT_CODES.has(detail)
    const byCaller = (error as Error).name === 'TimeoutError'
    const { token } = prepared
    recorder.record({ kind: 'requestBroken', caller, token, send, sent, byCaller, detail })
    const latencyMs = record.monotonicMs() - startMs
    return {
      token,
      status: 0,
      outcome: '',
      requestId: '',
      whole: false,
      matched: false,
      body: detail,
      latencyMs,
      sent,
    }
  }

  const send = async (request: CallerRequest): Promise<CallerResult> => {
    const prepared = prepare(request)
    const sendNumber = recordSend(prepared)
    const startMs = record.monotonicMs()
    try {
      const response = await undici.request(`http://${prepared.entry}${prepared.path}`, {
        method: prepared.method,
        headers: prepared.headers,
        body: prepared.method === 'GET' ? undefined : prepared.body,
        signal: AbortSignal.timeout(options.giveUpMs ?? 30_000),
        dispatcher,
      })
      return recordAnswer(prepared, sendNumber, response, await response.body.text(), startMs)
    } catch (error) {
      return recordBroken(prepared, sendNumber, error, startMs)
    }
  }

  const sendTruncatedBody = (request: CallerRequest): Promise<void> =>
    new Promise((resolve) => {
      const prepared = prepare(request)
      const sendNumber = recordSend(prepared)
      const [host, port] = prepared.entry.split(':')
      const outgoing = http.request({
        host,
        port,
        method: prepared.method,
        path: prepared.path,
        headers: { ...prepared.headers, 'content-length': prepared.body.length },
      })
      outgoing.once('error', () => undefined)
      outgoing.once('close', () => {
        const { token } = prepared
        const cause = { sent: true, byCaller: true, detail: 'body cut by the caller' }
        recorder.record({ kind: 'requestBroken', caller, token, send: sendNumber, ...cause })
        resolve()
      })
      outgoing.write(prepared.body.subarray(0, prepared.body.length / 2), () => {
        setTimeout(() => outgoing.destroy(), 50)
      })
    })

  const load = async (loadOptions: CallerLoad): Promise<LoadResult> => {
    const total = Math.min(
      MAX_LOAD_REQUESTS,
      Math.round((loadOptions.ratePerSecond * loadOptions.durationMs) / 1000),
    )
    const startMs = record.monotonicMs()
    const pending: Promise<CallerResult>[] = []
    const { ratePerSecond, durationMs, keyed, ...request } = loadOptions
    while (pending.length < total) {
      const dueCount = ((record.monotonicMs() - startMs) * ratePerSecond) / 1000
      while (pending.length < Math.min(dueCount, total)) {
        const key = keyed ? `${caller}-${process.pid}-key-${tokenCount}` : request.key
        pending.push(send({ ...request, key }))
      }
      if (record.monotonicMs() - startMs > durationMs + 5000) break
      await new Promise((resolve) => setTimeout(resolve, 5))
    }
    return summarize(await Promise.all(pending))
  }

  const close = async () => {
    health.close()
    await dispatcher.destroy()
  }
  return { send, sendTruncatedBody, load, close }
}

const summarize = (results: readonly CallerResult[]): LoadResult => ({
  sent: results.length,
  answered: results.filter((r) => r.status === 200).length,
  notRun: results.filter((r) => r.outcome === 'not-run').length,
  unknown: results.filter((r) => r.outcome === 'unknown').length,
  broken: results.filter((r) => r.status === 0).length,
  latenciesMs: results
    .filter((r) => r.status === 200)
    .map((r) => r.latencyMs)
    .toSorted((a, b) => a - b),
})
