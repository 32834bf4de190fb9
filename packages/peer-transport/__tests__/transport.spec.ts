import * as net from 'node:net'
import * as grpc from '@grpc/grpc-js'
import * as peerTransport from '@ebonyweir/peer-transport'
import * as protocol from '@ebonyweir/protocol'
import * as vitest from 'vitest'

const { describe, expect, it, afterEach } = vitest

type Envelope = protocol.replication.ReplicationEnvelope

const closers: (() => void)[] = []

afterEach(() => {
  for (const close of closers.splice(0)) close()
})

const envelope = (term: number): Envelope => ({
  cell: 'cell',
  from: 'a',
  to: 'b',
  term,
  body: { $case: 'timeoutNow', value: {} },
  fromAddress: '',
})

interface Peer {
  readonly port: number
  readonly terms: number[]
  readonly streams: () => number
  readonly stop: () => void
  readonly service: peerTransport.ReplicationService
}

/** Starts a replica that records the terms it receives; without `hasReceipts` it acknowledges nothing. */
const startPeer = async (wantedPort = 0, hasReceipts = true): Promise<Peer> => {
  const terms: number[] = []
  let streams = 0
  const service = peerTransport.createReplicationService({
    deliver: ({ term }) => terms.push(term),
  })
  const server = new grpc.Server()
  server.addService(protocol.replication.ReplicationService, {
    deliver: (call: Parameters<typeof service.handlers.deliver>[0]) => {
      streams += 1
      if (hasReceipts) service.handlers.deliver(call)
      else call.on('data', ({ term }: Envelope) => terms.push(term))
    },
  })
  const port = await new Promise<number>((resolve, reject) => {
    const credentials = grpc.ServerCredentials.createInsecure()
    server.bindAsync(`127.0.0.1:${wantedPort}`, credentials, (error, bound) => {
      if (error === null) resolve(bound)
      else reject(error)
    })
  })
  const stop = (): void => {
    server.forceShutdown()
  }
  closers.push(stop)
  return { port, terms, streams: () => streams, stop, service }
}

const createTransport = (options: peerTransport.TransportOptions = {}): peerTransport.Transport => {
  const transport = peerTransport.createTransport(options)
  closers.push(transport.close)
  return transport
}

const addressOf = ({ port }: Pick<Peer, 'port'>): string => `127.0.0.1:${port}`

describe('replication messages between replicas', () => {
  it('guards against one call per message: all use one stream, in order', async () => {
    const peer = await startPeer()
    const transport = createTransport()
    const sent = Array.from({ length: 200 }, (_, index) => index + 1)
    for (const term of sent) {
      transport.send(envelope(term), addressOf(peer))
      if (term % 20 === 0) await vitest.vi.waitUntil(() => peer.terms.length === term)
    }
    expect(peer.terms).toEqual(sent)
    expect(peer.streams()).toBe(1)
  })

  it('guards against unbounded messages to a peer that acknowledges nothing', async () => {
    const peer = await startPeer(0, false)
    const transport = createTransport({ nowMs: () => 0 })
    for (let term = 1; term <= 200; term += 1) transport.send(envelope(term), addressOf(peer))
    await vitest.vi.waitUntil(() => peer.terms.length >= 64)
    await new Promise((resolve) => setTimeout(resolve, 100))
    expect(peer.terms).toHaveLength(64)
    expect(peer.streams()).toBe(1)
  })

  it('guards against a connection that stays unresponsive: a new one replaces it', async () => {
    let isBlackholing = true
    const connections: net.Socket[] = []
    const peer = await startPeer()
    // Accepts connections, but forwards to the peer only those opened after `isBlackholing` is cleared.
    const relay = net.createServer((socket) => {
      connections.push(socket)
      socket.on('error', () => undefined)
      if (isBlackholing) return
      const upstream = net.connect(peer.port, '127.0.0.1')
      upstream.on('error', () => undefined)
      socket.pipe(upstream).pipe(socket)
    })
    const port = await new Promise<number>((resolve) => {
      relay.listen(0, '127.0.0.1', () => {
        resolve((relay.address() as net.AddressInfo).port)
      })
    })
    closers.push(() => {
      for (const socket of connections) socket.destroy()
      relay.close()
    })
    let now = 0
    const transport = createTransport({ nowMs: () => now })
    transport.send(envelope(1), addressOf({ port }))
    await vitest.vi.waitUntil(() => connections.length === 1)
    isBlackholing = false
    now = 799
    transport.send(envelope(2), addressOf({ port }))
    now = 800
    transport.send(envelope(3), addressOf({ port }))
    await vitest.vi.waitUntil(() => peer.terms.length > 0)
    expect(peer.terms).toEqual([3])
    expect(connections).toHaveLength(2)
  })

  it('guards against a peer that receives no messages after its restart', async () => {
    const peer = await startPeer()
    const transport = createTransport()
    transport.send(envelope(1), addressOf(peer))
    await vitest.vi.waitUntil(() => peer.terms.length === 1)
    peer.stop()
    const restarted = await startPeer(peer.port)
    // Messages to a stopped peer may be lost; replication resends them.
    for (let term = 2; restarted.terms.length === 0; term += 1) {
      transport.send(envelope(term), addressOf(peer))
      await new Promise((resolve) => setTimeout(resolve, 20))
    }
    expect(restarted.terms[0]).toBeGreaterThan(1)
  })

  it('guards against a server that cannot close because of open streams', async () => {
    const peer = await startPeer()
    const transport = createTransport()
    transport.send(envelope(1), addressOf(peer))
    await vitest.vi.waitUntil(() => peer.terms.length === 1)
    peer.service.end()
    transport.send(envelope(2), addressOf(peer))
    await new Promise((resolve) => setTimeout(resolve, 50))
    transport.send(envelope(3), addressOf(peer))
    await vitest.vi.waitUntil(() => peer.terms.includes(3))
    // Messages that arrive on an ended stream are not delivered.
    expect(peer.terms).toEqual([1, 3])
  })
})
