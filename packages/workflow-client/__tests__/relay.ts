/** TCP relay on loopback that counts connections and makes them silent, as a network that lost their state does. */
import * as net from 'node:net'

export interface Relay {
  readonly address: string
  /** Connections that were opened so far. */
  readonly connections: () => number
  /** Connections go silent for good: `now` those that are open, `all` new ones as well. */
  readonly silence: (scope: 'now' | 'all') => void
  readonly stop: () => void
}

const ignore = (): void => undefined

export const startRelay = async (targetPort: number): Promise<Relay> => {
  const sockets = new Set<net.Socket>()
  const pairs = new Set<{ silent: boolean }>()
  let connections = 0
  let isSilent = false
  const relay = net.createServer((client) => {
    connections += 1
    const pair = { silent: isSilent }
    pairs.add(pair)
    const target = net.connect(targetPort, '127.0.0.1')
    for (const [from, to] of [
      [client, target],
      [target, client],
    ] as const) {
      sockets.add(from)
      from.on('data', (chunk) => {
        if (!pair.silent) to.write(chunk)
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
    silence: (scope) => {
      isSilent = scope === 'all'
      for (const pair of pairs) pair.silent = true
    },
    stop: () => {
      relay.close()
      for (const socket of sockets) socket.destroy()
    },
  }
}
