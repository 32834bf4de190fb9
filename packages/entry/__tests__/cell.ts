import * as http from 'node:http'
import type * as net from 'node:net'
import * as agent from '@ebonyweir/agent'
import * as entry from '@ebonyweir/entry'
import * as standIns from '@ebonyweir/stand-ins'
import * as undici from 'undici'
import * as standInControl from '../../control-client/__tests__/standInControl.js'

/** HTTP endpoint that records the ids of the requests it ran. */
export interface TestEndpoint {
  readonly address: string
  readonly ran: string[]
  running: number
  maxRunning: number
  connections: number
  maxConnections: number
  delayMs: number
  respond: (request: http.IncomingMessage, response: http.ServerResponse, body: Buffer) => void
  readonly close: () => void
}

export const pause = async (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms)
  })

/** Waits for a condition; fails after `timeoutMs`. */
export const waitUntil = async (condition: () => boolean, timeoutMs = 15_000): Promise<void> => {
  const endMs = performance.now() + timeoutMs
  while (!condition()) {
    if (performance.now() > endMs) throw new Error(`condition not met: ${condition.toString()}`)
    await pause(5)
  }
}

const readAll = async (request: http.IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = []
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk)
  return Buffer.concat(chunks)
}

export const startEndpoint = async (): Promise<TestEndpoint> => {
  const server = http.createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
    void readAll(request).then(async (body) => {
      endpoint.ran.push(String(request.headers['ebonyweir-request-id']))
      endpoint.running++
      endpoint.maxRunning = Math.max(endpoint.maxRunning, endpoint.running)
      if (endpoint.delayMs > 0) await pause(endpoint.delayMs)
      endpoint.running--
      endpoint.respond(request, response, body)
    })
  })
  server.on('connection', (socket: net.Socket) => {
    endpoint.connections++
    endpoint.maxConnections = Math.max(endpoint.maxConnections, endpoint.connections)
    socket.on('close', () => endpoint.connections--)
  })
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve)
  })
  const endpoint: TestEndpoint = {
    address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`,
    ran: [],
    running: 0,
    maxRunning: 0,
    connections: 0,
    maxConnections: 0,
    delayMs: 0,
    respond: (_request, response, body) => {
      response.end(body)
    },
    close: () => {
      server.closeAllConnections()
      server.close()
    },
  }
  return endpoint
}

export interface TestAgent {
  readonly agent: agent.agent.Agent
  readonly addresses: agent.agent.AgentAddresses
  readonly announce: (leaving?: boolean) => Promise<number>
  readonly stopAnnouncing: () => void
}

/** A cell with a stand-in control service, real agents and entries, and stand-in endpoints. */
export interface Cell {
  readonly control: standInControl.StandInControl
  readonly addEndpoint: (
    name: string,
    options?: Partial<agent.AgentOptions>,
  ) => Promise<TestEndpoint>
  /** Adds an endpoint whose agent is reachable only through a relay. */
  readonly addBehindRelay: (name: string) => Promise<{
    readonly endpoint: TestEndpoint
    readonly relay: standIns.relay.Relay
  }>
  readonly agents: Map<string, TestAgent>
  readonly addEntry: (name: string, options?: Partial<entry.EntryOptions>) => Promise<string>
  readonly entries: entry.entry.Entry[]
  readonly close: () => Promise<void>
}

export const SERVICE_RULE = standInControl.rule(
  'service.swap-desk',
  '{ runners = 2, slots = 8, connections = 64, queue = 64, timeoutMs = 2000, targetMs = 80, objective = 0.99, cpuMillis = 1000, memoryMb = 64 }',
  3,
  'Maëlle Kerjean',
)

const announceTo = async (
  httpAddress: string,
  name: string,
  address: string,
  leaving: boolean,
): Promise<number> => {
  const body = { endpoint: name, service: 'swap-desk', address, slots: 8, connections: 64, leaving }
  const reply = await undici.request(`http://${httpAddress}/v1/endpoints`, {
    method: 'POST',
    body: JSON.stringify(body),
  })
  await reply.body.dump()
  return reply.statusCode
}

export const startCell = async (rules = [SERVICE_RULE]): Promise<Cell> => {
  const control = await standInControl.startControl(rules)
  const agents = new Map<string, TestAgent>()
  const endpoints: TestEndpoint[] = []
  const entries: entry.entry.Entry[] = []
  const relays: standIns.relay.Relay[] = []
  const common = { cell: 'rennes-1', failureDomain: 'rennes', syncIntervalMs: 100 }

  const addEndpoint: Cell['addEndpoint'] = async (name, options = {}) => {
    const endpoint = await startEndpoint()
    endpoints.push(endpoint)
    const created = agent.createAgent({
      ...common,
      name: `agent-${name}`,
      worker: `worker-${name}`,
      grpcAddress: '127.0.0.1:0',
      httpAddress: '127.0.0.1:0',
      controlAddresses: [control.address],
      shutdownTimeoutMs: 5_000,
      ...options,
    })
    const addresses = (await created.start()).unwrap()
    const announce = async (leaving = false): Promise<number> =>
      announceTo(addresses.httpAddress, name, endpoint.address, leaving)
    await announce()
    const timer = setInterval(() => {
      announce().catch(() => undefined)
    }, 500)
    const stopAnnouncing = (): void => {
      clearInterval(timer)
    }
    agents.set(name, { agent: created, addresses, announce, stopAnnouncing })
    await waitUntil(() => (control.agents.get(`agent-${name}`)?.endpoints.length ?? 0) > 0)
    return endpoint
  }

  const addBehindRelay: Cell['addBehindRelay'] = async (name) => {
    const relay = await standIns.relay.createRelay({ target: '127.0.0.1:1' })
    relays.push(relay)
    const endpoint = await addEndpoint(name, { advertisedAddress: relay.address })
    relay.setTarget(agents.get(name)?.addresses.grpcAddress ?? '')
    return { endpoint, relay }
  }

  const addEntry: Cell['addEntry'] = async (name, options = {}) => {
    const created = entry.createEntry({
      ...common,
      name,
      httpAddress: '127.0.0.1:0',
      controlAddresses: [control.address],
      shutdownGraceMs: 100,
      shutdownTimeoutMs: 5_000,
      probeIntervalMs: 100,
      ...options,
    })
    const { httpAddress } = (await created.start()).unwrap()
    entries.push(created)
    return httpAddress
  }

  return {
    control,
    agents,
    entries,
    addEndpoint,
    addBehindRelay,
    addEntry,
    close: async () => {
      for (const { stopAnnouncing } of agents.values()) stopAnnouncing()
      await Promise.all(entries.map(async (created) => created.stop()))
      for (const endpoint of endpoints) endpoint.close()
      for (const relay of relays) relay.close()
      await Promise.all([...agents.values()].map(async (testAgent) => testAgent.agent.stop()))
      control.close()
    },
  }
}

export interface Reply {
  readonly status: number
  readonly outcome: string
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: Buffer
  readonly error: Readonly<Record<string, unknown>>
}

/** Outcome of a reply, with reason and detail if it is an error response of the entry. */
export const summaryOf = ({ outcome, error }: Reply): string =>
  typeof error.error === 'string' ? `${outcome}: ${error.error}, ${String(error.detail)}` : outcome

/** Sends one request to an entry. */
export const call = async (
  httpAddress: string,
  options: {
    readonly method?: 'GET' | 'POST' | 'HEAD'
    readonly path?: string
    readonly headers?: Readonly<Record<string, string>>
    readonly body?: string | Buffer
    readonly signal?: AbortSignal
  } = {},
): Promise<Reply> => {
  const reply = await undici.request(
    `http://${httpAddress}${options.path ?? '/services/swap-desk/quote'}`,
    {
      method: options.method ?? 'POST',
      headers: options.headers ?? {},
      body: options.body ?? null,
      signal: options.signal ?? null,
    },
  )
  const body = Buffer.from(await reply.body.arrayBuffer())
  const isError = reply.headers['content-type'] === 'application/json'
  return {
    status: reply.statusCode,
    outcome: String(reply.headers['ebonyweir-outcome']),
    headers: reply.headers,
    body,
    error: isError ? (JSON.parse(body.toString()) as Readonly<Record<string, unknown>>) : {},
  }
}

/** Waits until requests through an entry are answered. */
export const waitUntilServing = async (httpAddress: string): Promise<void> => {
  const endMs = performance.now() + 15_000
  while (performance.now() < endMs) {
    const reply = await call(httpAddress, { method: 'GET' })
    if (reply.outcome === 'answered') return
    await pause(20)
  }
  throw new Error('the entry answered no request within 15 s')
}
