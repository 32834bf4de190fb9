import * as net from 'node:net'
import * as grpc from '@grpc/grpc-js'
import * as protocol from '@ebonyweir/protocol'
import * as vitest from 'vitest'
import * as controlClient from '../src/controlClient.js'

const { afterEach, describe, expect, test } = vitest

/** Time until a leader is elected; covers more attempts than one round makes. */
const ELECTION_MS = 800
/** Timeout of a claim by an entry. */
const CALL_TIMEOUT_MS = 2_000

const SETTLE: protocol.command.SettleClaim = {
  service: 'desk',
  caller: 'counter',
  key: 'order-1',
  requestId: 'request-1',
  outcome: protocol.command.ClaimOutcome.NOT_RUN,
  answerStatus: 0,
  agent: '',
  agentAddress: '',
  agentIncarnation: 0,
}

/** Time until a connection to a slow replica is established. */
const CONNECT_DELAY_MS = 300
/** Timeout of a call that ends before the connection is established. */
const SHORT_TIMEOUT_MS = 100
/** Timeout that suffices for a call on a busy machine too. */
const LONG_TIMEOUT_MS = 5_000

type Settle = protocol.control.ControlServer['settle']

/** Address at which nothing listens. */
const UNREACHABLE_ADDRESS = '127.0.0.1:1'

describe('calls to the leader of control', () => {
  const servers: grpc.Server[] = []
  const slowServers: net.Server[] = []
  const clients: controlClient.ControlClient[] = []

  const start = async (settle: Settle): Promise<string> => {
    const server = new grpc.Server()
    const { settle: definition } = protocol.control.ControlService
    server.addService({ settle: definition }, { settle })
    servers.push(server)
    return new Promise((resolve, reject) => {
      server.bindAsync('127.0.0.1:0', grpc.ServerCredentials.createInsecure(), (error, port) => {
        if (error === null) resolve(`127.0.0.1:${port}`)
        else reject(error)
      })
    })
  }

  /** Starts a proxy that connects to `target` after `CONNECT_DELAY_MS`. */
  const startSlowProxy = async (target: string): Promise<string> => {
    const [host, port] = target.split(':')
    const server = net.createServer((client) => {
      client.on('error', () => undefined)
      setTimeout(() => {
        const outgoing = net.connect(Number(port), host)
        outgoing.on('error', () => undefined)
        outgoing.on('close', () => client.destroy())
        client.pipe(outgoing).pipe(client)
      }, CONNECT_DELAY_MS)
    })
    slowServers.push(server)
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve)
    })
    return `127.0.0.1:${(server.address() as net.AddressInfo).port}`
  }

  const create = (addresses: readonly string[]): controlClient.ControlClient => {
    const client = controlClient.createControlClient(addresses)
    clients.push(client)
    return client
  }

  afterEach(() => {
    for (const client of clients.splice(0)) client.close()
    for (const server of servers.splice(0)) server.forceShutdown()
    for (const server of slowServers.splice(0)) server.close()
  })

  // An election takes 1 to 2 s, but a round of refused attempts ends within milliseconds.
  const elections: readonly (readonly [string, string])[] = [
    ['a failed leader', UNREACHABLE_ADDRESS],
    ['no leader', ''],
  ]
  test.each(elections)(
    'guards against a call that fails long before its deadline while followers name %s',
    async (_name, namedLeader) => {
      const electedAtMs = performance.now() + ELECTION_MS
      const follower = await start((_call, callback) => {
        const isElected = performance.now() >= electedAtMs
        callback(null, { redirect: isElected ? undefined : { leader: namedLeader } })
      })
      const reply = await create([UNREACHABLE_ADDRESS, follower]).settle(SETTLE, CALL_TIMEOUT_MS)
      expect(reply.isOk()).toBe(true)
    },
  )

  // On a busy instance a connection can take longer than the timeout of some calls.
  test('guards against calls with a short timeout that close the connection of the others', async () => {
    const leader = await start((_call, callback) => {
      callback(null, { redirect: undefined })
    })
    const client = create([await startSlowProxy(leader), UNREACHABLE_ADDRESS])
    let isWaiting = true
    const runShortCalls = async (): Promise<void> => {
      while (isWaiting) await client.settle(SETTLE, SHORT_TIMEOUT_MS)
    }
    const shortCalls = runShortCalls()
    const reply = await client.settle(SETTLE, LONG_TIMEOUT_MS)
    isWaiting = false
    await shortCalls
    expect(reply.isOk()).toBe(true)
  })
})
