import * as net from 'node:net'
import * as vitest from 'vitest'
import * as standIns from '@ebonyweir/stand-ins'

const { describe, expect, test } = vitest
const { managedProcess } = standIns

const HEADER =
  '  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode'

const row = (local: number, remote: number, inode: number): string => {
  const address = (port: number) => `0100007F:${port.toString(16).toUpperCase().padStart(4, '0')}`
  return `   1: ${address(local)} ${address(remote)} 01 00000000:00000000 00:00000000 00000000     0        0 ${inode} 1 0000 20 4 30 10 -1`
}

describe('clientInode', () => {
  const connection = { clientPort: 40_000, serverPort: 21_000 }
  const cases: readonly {
    readonly name: string
    readonly rows: readonly string[]
    readonly expected: string | undefined
  }[] = [
    { name: 'the only connection', rows: [row(40_000, 21_000, 7)], expected: '7' },
    {
      name: 'a connection of another process from the same client port comes first',
      rows: [row(40_000, 22_000, 5), row(40_000, 21_000, 7)],
      expected: '7',
    },
    {
      name: 'a closed connection from the same client port comes first',
      rows: [row(40_000, 22_000, 0), row(40_000, 21_000, 7)],
      expected: '7',
    },
    {
      name: "the server's end of the connection comes first",
      rows: [row(21_000, 40_000, 9), row(40_000, 21_000, 7)],
      expected: '7',
    },
    { name: 'no such connection', rows: [row(40_000, 22_000, 5)], expected: undefined },
  ]

  // Guards against a simulated partition that misses connections of its process or affects another one.
  test.each(cases)('$name', ({ rows, expected }) => {
    expect(managedProcess.clientInode([HEADER, ...rows, ''].join('\n'), connection)).toBe(expected)
  })
})

/** Opens connections to several servers until two connections share a client port. */
const connectUntilPortIsShared = async (servers: readonly net.Server[]) => {
  const ports = servers.map((server) => (server.address() as net.AddressInfo).port)
  const byClientPort = new Map<number, net.Socket>()
  const opened: net.Socket[] = []
  for (let i = 0; i < 20_000; i++) {
    const socket = net.connect(ports[i % ports.length] ?? 0, '127.0.0.1')
    opened.push(socket)
    await new Promise((resolve) => socket.once('connect', resolve))
    const earlier = byClientPort.get(socket.localPort ?? 0)
    if (earlier !== undefined) return { opened, pair: [earlier, socket] }
    byClientPort.set(socket.localPort ?? 0, socket)
  }
  throw new Error('no two connections share a client port')
}

describe('ownerOfConnection', () => {
  // Guards against a look-up by the client port alone, which connections to different servers can share.
  test('distinguishes two connections that share a client port', async () => {
    const servers = await Promise.all(
      Array.from(
        { length: 8 },
        () =>
          new Promise<net.Server>((resolve) => {
            const server = net.createServer((socket) => socket.on('error', () => undefined))
            server.listen(0, '127.0.0.1', () => {
              resolve(server)
            })
          }),
      ),
    )
    const { opened, pair } = await connectUntilPortIsShared(servers)
    const connections = pair.map((socket) => ({
      clientPort: socket.localPort ?? 0,
      serverPort: socket.remotePort ?? 0,
    }))
    const owners = connections.map((c) => managedProcess.ownerOfConnection(c, [process.pid]))
    pair[0]?.destroy()
    await standIns.waiting.waitFor(
      'the first connection to end',
      () =>
        managedProcess.ownerOfConnection(connections[0] ?? { clientPort: 0, serverPort: 0 }, [
          process.pid,
        ]) === undefined || undefined,
    )
    const ownerOfSecond =
      connections[1] && managedProcess.ownerOfConnection(connections[1], [process.pid])
    for (const socket of opened) socket.destroy()
    for (const server of servers) server.close()
    expect([...owners, ownerOfSecond]).toEqual([process.pid, process.pid, process.pid])
  })
})
