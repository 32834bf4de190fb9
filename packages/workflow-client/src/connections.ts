/**
 * Connections to replicas, shared by calls. A connection is replaced when nothing at all was answered on it for a bound;
 * calls in progress on it may still be answered.
 */
import * as grpc from '@grpc/grpc-js'
import * as peerTransport from '@ebonyweir/peer-transport'
import * as protocol from '@ebonyweir/protocol'

/**
 * Time for which calls wait without an answer to any of them before the connection is replaced, in milliseconds: more
 * than two turns of 0.5 s of a late leader's loop, and less than the wait of a submission for an election.
 */
const SILENCE_MS = 1_200

/** Longest wait for the HTTP/2 settings of a replica, in milliseconds: four turns of 0.5 s of a busy loop. */
const CONNECT_MS = 2_000

export interface Connection {
  readonly client: protocol.workflow.WorkflowClient
  /** Whether a new connection takes the place of this one. */
  readonly isReplaced: () => boolean
  /** Whether the last calls went unanswered for so long that a new call needs a new connection. */
  readonly isSilent: () => boolean
  /** Resolves with whether the replica accepted the connection, at the latest when it is replaced. */
  readonly ready: () => Promise<boolean>
  /** A call begins to wait; `onReplaced` is called when the connection is replaced meanwhile. */
  readonly begin: (onReplaced: () => void) => Wait
  /** Replaces the connection; it is closed once no call waits. */
  readonly replace: () => void
}

export interface Wait {
  /** Ends the wait; `withdrawn` if the caller no longer needs the answer. */
  readonly end: (how: 'answered' | 'unanswered' | 'withdrawn') => void
}

export interface Connections {
  readonly to: (address: string) => Connection
  readonly close: () => void
}

export const createConnections = (nowMs: () => number): Connections => {
  const connections = new Map<string, Connection>()

  const connect = (address: string): Connection => {
    const credentials = grpc.credentials.createInsecure()
    const channelOptions = peerTransport.CHANNEL_OPTIONS
    const client = new protocol.workflow.WorkflowClient(address, credentials, channelOptions)
    const listeners = new Set<() => void>()
    let replaced = false
    let isReady = false
    let quietSinceMs: number | undefined
    let timer: NodeJS.Timeout | undefined

    const replace = (): void => {
      if (replaced) return
      replaced = true
      clearTimeout(timer)
      if (connections.get(address) === connection) connections.delete(address)
      for (const listener of listeners) listener()
      if (listeners.size === 0) client.close()
    }

    /** Time after which the connection counts as silent, in milliseconds; infinite if no answer is due. */
    const leftMs = (): number => {
      if (quietSinceMs === undefined) return Number.POSITIVE_INFINITY
      return quietSinceMs + (isReady ? SILENCE_MS : CONNECT_MS) - nowMs()
    }

    const watch = (): void => {
      clearTimeout(timer)
      if (quietSinceMs === undefined || listeners.size === 0 || replaced) return
      timer = setTimeout(replace, Math.max(1, leftMs()))
    }

    const noteHeard = (): void => {
      quietSinceMs = listeners.size > 0 ? nowMs() : undefined
      watch()
    }

    const ready = (): Promise<boolean> =>
      new Promise((resolve) => {
        const look = (): void => {
          if (replaced) {
            resolve(false)
            return
          }
          const channel = client.getChannel()
          const state = channel.getConnectivityState(true)
          if (state === grpc.connectivityState.READY) {
            if (!isReady) {
              isReady = true
              noteHeard()
            }
            resolve(true)
            return
          }
          isReady = false
          if (state === grpc.connectivityState.TRANSIENT_FAILURE) {
            replace()
            resolve(false)
            return
          }
          channel.watchConnectivityState(state, Date.now() + CONNECT_MS, (error) => {
            if (error === undefined) look()
            else resolve(false)
          })
        }
        look()
      })

    const begin = (onReplaced: () => void): Wait => {
      const listener = (): void => {
        onReplaced()
      }
      listeners.add(listener)
      quietSinceMs ??= nowMs()
      watch()
      return {
        end: (how) => {
          if (!listeners.delete(listener)) return
          if (how === 'answered') noteHeard()
          // A call without an answer counts against the connection even if no other one waits at its end.
          else if (how === 'withdrawn' && listeners.size === 0) quietSinceMs = undefined
          if (listeners.size > 0) return
          clearTimeout(timer)
          if (replaced) client.close()
        },
      }
    }

    const connection: Connection = {
      client,
      isReplaced: () => replaced,
      isSilent: () => leftMs() <= 0,
      ready,
      begin,
      replace,
    }
    return connection
  }

  return {
    to: (address) => {
      const known = connections.get(address)
      if (known !== undefined && !known.isSilent()) return known
      known?.replace()
      const connection = connect(address)
      connections.set(address, connection)
      return connection
    },
    close: () => {
      for (const connection of [...connections.values()]) connection.replace()
    },
  }
}
