/** TCP relay that drops or holds the data of open connections on request, to simulate network faults. */
import * as net from 'node:net'
import * as json from './json.js'
import type * as managed from './managedProcess.js'

/** How a relay treats the bytes that it receives. */
export interface RelayMode {
  /**
   * `pass` forwards; `drop` discards, and once bytes were discarded the connection never forwards again;
   * `hold` buffers the bytes and forwards them when the mode is `pass` again.
   */
  readonly action: 'pass' | 'drop' | 'hold'
  /** @default 'both' */
  readonly direction?: 'both' | 'toTarget' | 'toClient'
  /** `old`: only connections that already exist; new ones pass. @default 'all' */
  readonly scope?: 'all' | 'old'
  /** Only connections of these clients, as identified by `clientOf`. @default all */
  readonly clients?: readonly number[]
}

/** Options of a relay. */
export interface RelayOptions {
  /** Where connections are forwarded, "host:port". */
  readonly target: string
  /** Port to listen on, 0 for a free one. @default 0 */
  readonly port?: number
  /** Loopback address to listen on. @default '127.0.0.1' */
  readonly host?: string
  /** Identifies the client of a connection by its ends, e.g. as process id. @default 0 */
  readonly clientOf?: (connection: managed.Connection) => number | undefined
}

/** A running relay. */
export interface Relay {
  readonly port: number
  readonly address: string
  readonly setMode: (mode: RelayMode) => void
  /** Changes the target of new connections. */
  readonly setTarget: (target: string) => void
  readonly status: () => {
    readonly connections: number
    readonly bytesToTarget: number
    readonly bytesToClient: number
  }
  readonly close: () => void
}

type Action = RelayMode['action']

interface Pipe {
  action: Action
  /** True once bytes were discarded: the stream cannot be resumed. */
  discarded: boolean
  heldChunks: Buffer[]
  endPending: boolean
  readonly to: net.Socket
}

interface RelayedConnection {
  /** Mode in force for this connection. */
  mode: RelayMode
  /** Looked up until it is known: a client may connect before its process is registered. */
  readonly client: () => number | undefined
  readonly toTarget: Pipe
  readonly toClient: Pipe
  readonly close: () => void
}

const createPipe = (to: net.Socket, action: Action): Pipe => ({
  action,
  discarded: false,
  heldChunks: [],
  endPending: false,
  to,
})

const forward = (pipe: Pipe, chunk: Buffer) => {
  if (pipe.discarded) return
  if (pipe.action === 'drop') pipe.discarded = true
  else if (pipe.action === 'hold') pipe.heldChunks.push(chunk)
  else pipe.to.write(chunk)
}

const endPipe = (pipe: Pipe) => {
  if (pipe.discarded || pipe.action === 'drop') return
  if (pipe.action === 'hold') pipe.endPending = true
  else pipe.to.destroySoon()
}

const setAction = (pipe: Pipe, action: Action) => {
  pipe.action = action
  if (action === 'drop' && pipe.heldChunks.length > 0) {
    pipe.discarded = true
    pipe.heldChunks = []
  }
  if (action !== 'pass' || pipe.discarded) return
  for (const chunk of pipe.heldChunks.splice(0)) pipe.to.write(chunk)
  if (pipe.endPending) pipe.to.destroySoon()
}

const MAX_CLIENT_LOOKUPS = 5

/** Interval of look-ups while the client of a connection is not known. */
const LOOKUP_INTERVAL_MS = 10

/** Starts a relay on loopback. */
export const createRelay = async (options: RelayOptions): Promise<Relay> => {
  let target = options.target
  const relayedConnections = new Set<RelayedConnection>()
  let newConnectionMode: RelayMode = { action: 'pass' }
  let bytesToTarget = 0
  let bytesToClient = 0

  const actionFor = (
    mode: RelayMode,
    direction: 'toTarget' | 'toClient',
    client: number | undefined,
  ): Action => {
    const matchesClient = mode.clients === undefined || mode.clients.includes(client ?? 0)
    const bothDirections = mode.direction === undefined || mode.direction === 'both'
    return matchesClient && (bothDirections || mode.direction === direction) ? mode.action : 'pass'
  }

  /** Applies a mode; a connection is held while the mode depends on its client and that is not known. */
  const applyMode = (relayed: RelayedConnection, mode: RelayMode) => {
    relayed.mode = mode
    const isUndecided = mode.clients !== undefined && relayed.client() === undefined
    if (isUndecided && options.clientOf !== undefined && !relayed.toClient.to.destroyed) {
      setAction(relayed.toTarget, 'hold')
      setAction(relayed.toClient, 'hold')
      setTimeout(() => {
        if (relayed.mode === mode) applyMode(relayed, mode)
      }, LOOKUP_INTERVAL_MS)
      return
    }
    setAction(relayed.toTarget, actionFor(mode, 'toTarget', relayed.client()))
    setAction(relayed.toClient, actionFor(mode, 'toClient', relayed.client()))
  }

  const accept = (client: net.Socket) => {
    const [host, port] = target.split(':')
    const connection = {
      clientHost: client.remoteAddress ?? '',
      clientPort: client.remotePort ?? 0,
      serverPort: client.localPort ?? 0,
    }
    let knownClient: number | undefined
    // The kernel's connection table is not read atomically, so a single read can miss an entry.
    const lookUpClient = () => {
      for (let tries = 0; knownClient === undefined && tries < MAX_CLIENT_LOOKUPS; tries++) {
        knownClient = options.clientOf?.(connection)
      }
      return knownClient
    }
    const outgoing = net.connect(Number(port), host)
    const toTarget = createPipe(outgoing, 'pass')
    const toClient = createPipe(client, 'pass')
    const relayed: RelayedConnection = {
      mode: newConnectionMode,
      client: lookUpClient,
      toTarget,
      toClient,
      close: () => {
        client.destroy()
        outgoing.destroy()
      },
    }
    relayedConnections.add(relayed)
    applyMode(relayed, newConnectionMode)
    const removeIfClosed = () => {
      if (client.destroyed && outgoing.destroyed) relayedConnections.delete(relayed)
    }
    client.setNoDelay(true)
    outgoing.setNoDelay(true)
    client.on('data', (chunk: Buffer) => {
      bytesToTarget += chunk.length
      forward(toTarget, chunk)
    })
    outgoing.on('data', (chunk: Buffer) => {
      bytesToClient += chunk.length
      forward(toClient, chunk)
    })
    client.on('error', () => undefined)
    outgoing.on('error', () => undefined)
    client.on('close', () => {
      endPipe(toTarget)
      removeIfClosed()
    })
    outgoing.on('close', () => {
      endPipe(toClient)
      removeIfClosed()
    })
  }

  const server = net.createServer(accept)
  const listenHost = options.host ?? '127.0.0.1'
  const bound = await json.listen(server, options.port ?? 0, listenHost)
  return {
    port: bound,
    address: `${listenHost}:${bound}`,
    setMode: (mode) => {
      newConnectionMode = mode.scope === 'old' ? { action: 'pass' } : mode
      for (const relayed of relayedConnections) applyMode(relayed, mode)
    },
    setTarget: (next) => {
      target = next
    },
    status: () => ({ connections: relayedConnections.size, bytesToTarget, bytesToClient }),
    close: () => {
      server.close()
      for (const relayed of relayedConnections) relayed.close()
    },
  }
}
