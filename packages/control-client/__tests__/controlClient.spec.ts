import * as net from 'node:net'
import * as grpc from '@grpc/grpc-js'
import * as protocol from '@ebonyweir/protocol'
import * as vitest from 'vitest'
import * as controlClient from '../src/controlClient.js'

const { afterEach, describe, expect, test } = vitest

/** Time in which the stand-ins elect their leader: more attempts than one round makes. */
const ELECTION_MS = 800
/** Time of a claim at an entry. */
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

/** Time until a connection to a slow replica is made. */
const CONNECT_MS = 300
/** Time of a call that ends before the connection is made. */
const HURRIED_TIMEOUT_MS = 100
/** Time of a call that has enough of it, on a busy machine too. */
const PATIENT_TIMEOUT_MS = 5_000

type Settle = protocol.control.ControlServer['settle']

/** An address at which nothing listens. */
const DEAD = '127.0.0.1:1'

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

  /** An address that passes connections on to `target` after a while. */
  const startSlow = async (target: string): Promise<string> => {
    const [host, port] = target.split(':')
    const server = net.createServer((client) => {
      client.on('error', () => undefined)
      setTimeout(() => {
        const outgoing = net.connect(Number(port), host)
        outgoing.on('error', () => undefined)
        outgoing.on('close', () => client.destroy())
        client.pipe(outgoing).pipe(client)
      }, CONNECT_MS)
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

  // Elections take 1 to 2 s, in which a round of refused attempts is over within milliseconds.
  const elections: readonly (readonly [string, string])[] = [
    ['a dead leader', DEAD],
    ['no leader', ''],
  ]
  test.each(elections)(
    'guards against a call that fails long before its deadline while followers name %s',
    async (_name, named) => {
      const electedAtMs = performance.now() + ELECTION_MS
      const follower = await start((_call, callback) => {
        const isElected = performance.now() >= electedAtMs
        callback(null, { redirect: isElected ? undefined : { leader: named } })
      })
      const reply = await create([DEAD, follower]).settle(SETTLE, CALL_TIMEOUT_MS)
      expect(reply.isOk()).toBe(true)
    },
  )

  // On a busy instance a connection takes longer than some calls have.
  test('guards against calls with little time that close the connection of the others', async () => {
    const leader = await start((_call, callback) => {
      callback(null, { redirect: undefined })
    })
    const client = create([await startSlow(leader), DEAD])
    let isWaiting = true
    const hurry = async (): Promise<void> => {
      while (isWaiting) await client.settle(SETTLE, HURRIED_TIMEOUT_MS)
    }
    const hurried = hurry()
    const reply = await client.settle(SETTLE, PATIENT_TIMEOUT_MS)
    isWaiting = false
    await hurried
    expect(reply.isOk()).toBe(true)
  })
})
