/** Fake endpoint: an HTTP server that announces itself to the agent on its worker. */
import * as http from 'node:http'
import * as undici from 'undici'
import * as echo from './echo.js'
import * as json from './json.js'
import type * as record from './record.js'

/** Behaviour of a fake endpoint; can be changed while it runs. */
export interface EndpointBehaviour {
  /** Service time in milliseconds. @default 5 */
  readonly serviceTimeMs?: number
  /** Maximum random addition to the service time, to reorder answers. @default 0 */
  readonly jitterMs?: number
  /** The body of every n-th answer is truncated; 0 for none. @default 0 */
  readonly cutEvery?: number
  /** Every n-th answer is slow; 0 for none. @default 0 */
  readonly slowEvery?: number
  /** Service time of a slow answer in milliseconds. @default 2000 */
  readonly slowMs?: number
  /** Size of the padding in an answer. @default 0 */
  readonly paddingBytes?: number
  /** False drops all announcements. @default true */
  readonly announces?: boolean
  /** Announces that the endpoint accepts no new requests. @default false */
  readonly leaving?: boolean
}

/** Options of a fake endpoint. */
export interface FakeEndpointOptions extends EndpointBehaviour {
  readonly endpoint: string
  readonly service: string
  readonly failureDomain: string
  /** HTTP address of the agent on its worker, "host:port"; empty for none. */
  readonly agentAddress: string
  /** @default 8 */
  readonly slots?: number
  /** @default 64 */
  readonly connections?: number
  /** Port to listen on, 0 for a free one. @default 0 */
  readonly port?: number
  readonly recorder: record.Recorder
  /** Interval of the announcements in milliseconds. @default 1000 */
  readonly announceMs?: number
  /** Source of random numbers in [0, 1). @default Math.random */
  readonly random?: () => number
}

/** A running fake endpoint. */
export interface FakeEndpoint {
  readonly port: number
  readonly configure: (behaviour: EndpointBehaviour) => void
  readonly status: () => { readonly running: number; readonly executions: number }
  /** Stops at once and aborts requests in progress. */
  readonly close: () => void
}

const DEFAULT_SLOTS = 8
const DEFAULT_CONNECTIONS = 64

const parseQuery = (request: http.IncomingMessage): URLSearchParams =>
  new URL(request.url ?? '/', 'http://endpoint').searchParams

/** Starts a fake endpoint. */
export const createFakeEndpoint = async (options: FakeEndpointOptions): Promise<FakeEndpoint> => {
  const { endpoint, failureDomain, recorder } = options
  const random = options.random ?? Math.random
  const slots = options.slots ?? DEFAULT_SLOTS
  const connections = options.connections ?? DEFAULT_CONNECTIONS
  let behaviour: EndpointBehaviour = options
  let executions = 0
  let running = 0
  let open = 0
  let maxRunning = 0
  let maxOpen = 0

  const serviceTimeOf = (execution: number): number => {
    const slow = behaviour.slowEvery ? execution % behaviour.slowEvery === 0 : false
    if (slow) return behaviour.slowMs ?? 2000
    return (behaviour.serviceTimeMs ?? 5) + random() * (behaviour.jitterMs ?? 0)
  }

  const recordConcurrency = () => {
    if (running <= maxRunning) return
    maxRunning = running
    recorder.record({ kind: 'concurrency', endpoint, running })
  }

  const sendAnswer = (response: http.ServerResponse, body: Buffer, execution: number) => {
    response.writeHead(200, { 'content-type': 'application/json', 'content-length': body.length })
    const cut = behaviour.cutEvery ? execution % behaviour.cutEvery === 0 : false
    if (!cut) {
      response.end(body)
      return
    }
    response.write(body.subarray(0, body.length / 2), () => {
      response.destroy()
    })
  }

  const execute = (request: http.IncomingMessage, response: http.ServerResponse, body: Buffer) => {
    const query = parseQuery(request)
    const token = query.get('token') ?? ''
    const idempotent = query.get('idempotent') !== 'false'
    executions++
    running++
    const execution = executions
    recorder.record({
      kind: 'executionStarted',
      endpoint,
      failureDomain,
      token,
      execution,
      idempotent,
    })
    recordConcurrency()
    response.once('close', () => {
      running--
      const whole = response.writableFinished
      recorder.record({ kind: 'executionEnded', endpoint, token, execution, whole })
    })
    const reply = echo.createEcho(token, body, endpoint, execution, behaviour.paddingBytes ?? 0)
    setTimeout(() => {
      if (!response.destroyed) sendAnswer(response, Buffer.from(JSON.stringify(reply)), execution)
    }, serviceTimeOf(execution))
  }

  const server = http.createServer((request, response) => {
    void json.readBody(request).then((body) => {
      if (body !== undefined) execute(request, response, body)
    })
  })
  server.on('connection', (socket) => {
    open++
    if (open > maxOpen) {
      maxOpen = open
      recorder.record({ kind: 'connectionsOpen', endpoint, open })
    }
    socket.once('close', () => {
      open--
    })
  })
  const port = await json.listen(server, options.port ?? 0)
  recorder.record({ kind: 'limits', endpoint, slots, connections })

  const announce = () => {
    if (options.agentAddress === '' || behaviour.announces === false) return
    const body = JSON.stringify({
      endpoint,
      service: options.service,
      address: `127.0.0.1:${port}`,
      slots,
      connections,
      leaving: behaviour.leaving ?? false,
    })
    undici
      .request(`http://${options.agentAddress}/v1/endpoints`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body,
        signal: AbortSignal.timeout(900),
      })
      .then((response) => response.body.dump())
      .catch(() => undefined)
  }

  announce()
  const timer = setInterval(announce, options.announceMs ?? 1000)
  return {
    port,
    configure: (next) => {
      const startsLeaving = next.leaving === true && behaviour.leaving !== true
      behaviour = { ...behaviour, ...next }
      if (startsLeaving) {
        const announced = behaviour.announces !== false
        recorder.record({ kind: 'leaving', endpoint, announced })
        announce()
      }
    },
    status: () => ({ running, executions }),
    close: () => {
      clearInterval(timer)
      server.close()
      server.closeAllConnections()
    },
  }
}
