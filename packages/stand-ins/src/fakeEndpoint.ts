/** Stand-in for one endpoint: an HTTP server that announces itself to the agent beside it. */
import * as http from 'node:http'
import * as undici from 'undici'
import * as echo from './echo.js'
import * as json from './json.js'
import type * as record from './record.js'

/** How a fake endpoint behaves; can be changed while it runs. */
export interface EndpointBehaviour {
  /** Service time in milliseconds. @default 5 */
  readonly serviceTimeMs?: number
  /** Largest random addition to the service time, so that answers leave out of order. @default 0 */
  readonly jitterMs?: number
  /** Every n-th answer is cut in its body; 0 for none. @default 0 */
  readonly cutEvery?: number
  /** Every n-th answer is slow; 0 for none. @default 0 */
  readonly slowEvery?: number
  /** Service time of a slow answer in milliseconds. @default 2000 */
  readonly slowMs?: number
  /** Bytes of padding in an answer. @default 0 */
  readonly paddingBytes?: number
  /** False loses the announcements silently. @default true */
  readonly announces?: boolean
  /** Asks for no new work. @default false */
  readonly leaving?: boolean
}

/** Options of a fake endpoint. */
export interface FakeEndpointOptions extends EndpointBehaviour {
  readonly endpoint: string
  readonly service: string
  readonly failureDomain: string
  /** HTTP address of the agent beside it, "host:port"; empty for none. */
  readonly agentAddress: string
  /** @default 8 */
  readonly slots?: number
  /** @default 64 */
  readonly connections?: number
  /** @default 0, a free port */
  readonly port?: number
  readonly recorder: record.Recorder
  /** Interval of the announcements in milliseconds. @default 1000 */
  readonly announceMs?: number
  /** Numbers in [0, 1). @default Math.random */
  readonly random?: () => number
}

/** A running fake endpoint. */
export interface FakeEndpoint {
  readonly port: number
  readonly change: (behaviour: EndpointBehaviour) => void
  readonly status: () => { readonly running: number; readonly executions: number }
  /** Stops at once; requests in progress are cut. */
  readonly close: () => void
}

const DEFAULT_SLOTS = 8
const DEFAULT_CONNECTIONS = 64

const queryOf = (request: http.IncomingMessage): URLSearchParams =>
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
  let mostRunning = 0
  let mostOpen = 0

  const timeOf = (execution: number): number => {
    const slow = behaviour.slowEvery ? execution % behaviour.slowEvery === 0 : false
    if (slow) return behaviour.slowMs ?? 2000
    return (behaviour.serviceTimeMs ?? 5) + random() * (behaviour.jitterMs ?? 0)
  }

  const noteRunning = () => {
    if (running <= mostRunning) return
    mostRunning = running
    recorder.note({ kind: 'concurrency', endpoint, running })
  }

  const answer = (response: http.ServerResponse, body: Buffer, execution: number) => {
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
    const query = queryOf(request)
    const token = query.get('token') ?? ''
    const idempotent = query.get('idempotent') !== 'false'
    executions++
    running++
    const execution = executions
    recorder.note({
      kind: 'executionStarted',
      endpoint,
      failureDomain,
      token,
      execution,
      idempotent,
    })
    noteRunning()
    response.once('close', () => {
      running--
      const whole = response.writableFinished
      recorder.note({ kind: 'executionEnded', endpoint, token, execution, whole })
    })
    const reply = echo.createEcho(token, body, endpoint, execution, behaviour.paddingBytes ?? 0)
    setTimeout(() => {
      if (!response.destroyed) answer(response, Buffer.from(JSON.stringify(reply)), execution)
    }, timeOf(execution))
  }

  const server = http.createServer((request, response) => {
    void json.readBody(request).then((body) => {
      if (body !== undefined) execute(request, response, body)
    })
  })
  server.on('connection', (socket) => {
    open++
    if (open > mostOpen) {
      mostOpen = open
      recorder.note({ kind: 'connectionsOpen', endpoint, open })
    }
    socket.once('close', () => {
      open--
    })
  })
  const port = await json.listen(server, options.port ?? 0)
  recorder.note({ kind: 'limits', endpoint, slots, connections })

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
    change: (next) => {
      const leaves = next.leaving === true && behaviour.leaving !== true
      behaviour = { ...behaviour, ...next }
      if (leaves) {
        const announced = behaviour.announces !== false
        recorder.note({ kind: 'leaving', endpoint, announced })
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
