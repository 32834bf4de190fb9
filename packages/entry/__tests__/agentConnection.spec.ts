import * as protocol from '@ebonyweir/protocol'
import * as grpc from '@grpc/grpc-js'
import * as vitest from 'vitest'
import * as agentConnection from '../src/agentConnection.js'
import * as cells from './cell.js'

const { afterEach, beforeEach, describe, expect, test } = vitest

const PROBE_INTERVAL_MS = 500
const REPORT: protocol.agent.LoadReport = {
  agentIncarnation: 1,
  endpoints: [],
  agentTimeMs: 0,
}
const REQUEST: agentConnection.OutgoingRequest = {
  cell: 'rennes-1',
  requestId: 'r',
  service: 'swap-desk',
  endpoint: 'counter-1',
  caller: '',
  idempotent: false,
  method: 'POST',
  path: '/',
  headers: [],
  body: Buffer.alloc(0),
  revision: 1,
  retain: false,
}

describe('connection to an agent', () => {
  let server: grpc.Server
  let connection: agentConnection.AgentConnection
  let answersProbes = true
  let replaced = 0

  beforeEach(async () => {
    answersProbes = true
    replaced = 0
    server = new grpc.Server()
    server.addService(protocol.agent.AgentService, {
      probe: (_call, callback) => {
        if (answersProbes) callback(null, REPORT)
      },
      execute: (call, callback) => {
        callback(null, { requestId: call.request.requestId, result: undefined, load: undefined })
      },
      resolve: () => undefined,
    } satisfies protocol.agent.AgentServer)
    const port = await new Promise<number>((resolve, reject) => {
      server.bindAsync('127.0.0.1:0', grpc.ServerCredentials.createInsecure(), (error, bound) => {
        if (error === null) resolve(bound)
        else reject(error)
      })
    })
    connection = agentConnection.createAgentConnection(`127.0.0.1:${port}`, {
      cell: 'rennes-1',
      entry: 'entry-1',
      probeIntervalMs: PROBE_INTERVAL_MS,
      onReport: () => undefined,
      onReachable: () => undefined,
      onReplaced: () => {
        replaced++
      },
    })
    await cells.waitUntil(() => connection.execute(REQUEST, 1_000) !== undefined)
  })

  afterEach(() => {
    connection.close()
    server.forceShutdown()
  })

  const cases: readonly {
    readonly name: string
    readonly load: boolean
    readonly kept: boolean
  }[] = [
    { name: 'delivers replies is kept', load: true, kept: true },
    { name: 'delivers nothing is replaced', load: false, kept: false },
  ]

  // Guards against treating a busy agent as unreachable and refusing its requests.
  test.each(cases)('a connection without probe answers that $name', async ({ load, kept }) => {
    answersProbes = false
    const timer = setInterval(() => {
      if (load) connection.execute(REQUEST, 1_000)
    }, PROBE_INTERVAL_MS / 10)
    await cells.pause(PROBE_INTERVAL_MS * 6)
    clearInterval(timer)
    expect(replaced === 0).toBe(kept)
  })
})
