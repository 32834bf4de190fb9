/** TCP relay whose connections go silent on command, as when a network loses their state. */
import * as net from 'node:net'
import * as json from './json.js'

/** What a relay does with the bytes that it receives. */
export interface RelayMode {
  /**
   * `pass` forwards; `drop` discards and never forwards on that connection again; `hold` keeps the
   * bytes and forwards them once the relay passes again.
   */
  readonly action: 'pass' | 'drop' | 'hold'
  /** @default 'both' */
  readonly direction?: 'both' | 'toTarget' | 'toClient'
  /** `old`: only connections that exist now; new ones pass. @default 'all' */
  readonly scope?: 'all' | 'old'
}

/** Options of a relay. */
export interface RelayOptions {
  /** Where connections are forwarded, "host:port". */
  readonly target: string
  /** @default 0, a free port */
  readonly port?: number
}

/** A running relay. */
export interface Relay {
  readonly port: number
  readonly address: string
  readonly change: (mode: RelayMode) => void
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
  /** True once bytes were discarded: the stream can't be continued. */
  dead: boolean
  held: Buffer[]
  ended: boolean
  readonly to: net.Socket
}

interface Pair {
  readonly toTarget: Pipe
  readonly toClient: Pipe
  readonly close: () => void
}

const createPipe = (to: net.Socket, action: Action): Pipe => ({
  action,
  dead: false,
  held: [],
  ended: false,
  to,
})

const push = (pipe: Pipe, chunk: Buffer) => {
  if (pipe.dead) return
  if (pipe.action === 'drop') pipe.dead = true
  else if (pipe.action === 'hold') pipe.held.push(chunk)
  else pipe.to.write(chunk)
}

const finish = (pipe: Pipe) => {
  if (pipe.dead || pipe.action === 'drop') return
  if (pipe.action === 'hold') pipe.ended = true
  else pipe.to.destroy()
}

const setAction = (pipe: Pipe, action: Action) => {
  pipe.action = action
  if (action !== 'pass' || pipe.dead) return
  for (const chunk of pipe.held.splice(0)) pipe.to.write(chunk)
  if (pipe.ended) pipe.to.destroy()
}

/** Starts a relay on loopback. */
export const createRelay = async (options: RelayOptions): Promise<Relay> => {
  const [host, port] = options.target.split(':')
  const pairs = new Set<Pair>()
  let forNew: RelayMode = { action: 'pass' }
  let bytesToTarget = 0
  let bytesToClient = 0

  const actionFor = (mode: RelayMode, direction: 'toTarget' | 'toClient'): Action =>
    (mode.direction ?? 'both') === 'both' || mode.direction === direction ? mode.action : 'pass'

  const join = (client: net.Socket) => {
    const target = net.connect(Number(port), host)
    const toTarget = createPipe(target, actionFor(forNew, 'toTarget'))
    const toClient = createPipe(client, actionFor(forNew, 'toClient'))
    const pair: Pair = {
      toTarget,
      toClient,
      close: () => {
        client.destroy()
        target.destroy()
      },
    }
    pairs.add(pair)
    const forget = () => {
      if (client.destroyed && target.destroyed) pairs.delete(pair)
    }
    client.setNoDelay(true)
    target.setNoDelay(true)
    client.on('data', (chunk: Buffer) => {
      bytesToTarget += chunk.length
      push(toTarget, chunk)
    })
    target.on('data', (chunk: Buffer) => {
      bytesToClient += chunk.length
      push(toClient, chunk)
    })
    client.on('error', () => undefined)
    target.on('error', () => undefined)
    client.on('close', () => {
      finish(toTarget)
      forget()
    })
    target.on('close', () => {
      finish(toClient)
      forget()
    })
  }

  const server = net.createServer(join)
  const bound = await json.listen(server, options.port ?? 0)
  return {
    port: bound,
    address: `127.0.0.1:${bound}`,
    change: (mode) => {
      forNew = mode.scope === 'old' ? { action: 'pass' } : mode
      for (const pair of pairs) {
        setAction(pair.toTarget, actionFor(mode, 'toTarget'))
        setAction(pair.toClient, actionFor(mode, 'toClient'))
      }
    },
    status: () => ({ connections: pairs.size, bytesToTarget, bytesToClient }),
    close: () => {
      server.close()
      for (const pair of pairs) pair.close()
    },
  }
}
