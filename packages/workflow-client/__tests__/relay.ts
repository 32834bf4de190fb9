/** TCP relay on loopback that counts connections and can drop their traffic, like a network that lost their state. */
import * as net from 'node:net'

export interface Relay {
  readonly address: string
  /** Number of connections opened so far. */
  readonly connections: () => number
  /** Drops all further traffic: `now` on the open connections, `all` on new ones as well. */
  readonly dropTraffic: (scope: 'now' | 'all') => void
  readonly stop: () => void
}

const ignore = (): void => undefined

export const startRelay = async (targetPort: number): Promise<Relay> => {
  const sockets = new Set<net.Socket>()
  const pairs = new Set<{ dropsTraffic: boolean }>()
  let connections = 0
  let dropsNewTraffic = false
  const relay = net.createServer((client) => {
    connections += 1
    const pair = { dropsTraffic: dropsNewTraffic }
    pairs.add(pair)
    const target = net.connect(targetPort, '127.0.0.1')
    for (const [from, to] of [
      [client, target],
      [target, client],
    ] as const) {
      sockets.add(from)
      from.on('data', (chunk) => {
        if (!pair.dropsTraffic) to.write(chunk)
      })
      from.on('error', ignore)
      from.on('close', () => to.destroy())
    }
  })
  await new Promise<void>((resolve) => relay.listen(0, '127.0.0.1', resolve))
  const { port } = relay.address() as net.AddressInfo
  return {
    address: `127.0.0.1:${port}`,
    connections: () => connections,
    dropTraffic: (scope) => {
      dropsNewTraffic = scope === 'all'
      for (const pair of pairs) pair.dropsTraffic = true
    },
    stop: () => {
      relay.close()
      for (const socket of sockets) socket.destroy()
    },
  }
}
