/**
 * Connections to replicas, shared by calls. A connection is replaced when no call on it was answered within a timeout;
 * calls in progress on it may still be answered.
 */
import * as grpc from '@grpc/grpc-js'
import * as peerTransport from '@ebonyweir/peer-transport'
import * as protocol from '@ebonyweir/protocol'

/**
 * Time without an answer to any pending call after which the connection is replaced. Longer than two event loop delays
 * of 0.5 s of a busy leader, and shorter than the time that a submission waits for an election.
 */
const ANSWER_TIMEOUT_MS = 1_200

/** Longest wait for the HTTP/2 settings of a replica: four event loop delays of 0.5 s of a busy replica. */
const CONNECT_TIMEOUT_MS = 2_000

export interface Connection {
  readonly client: protocol.workflow.WorkflowClient
  /** Whether this connection was replaced, so that new calls use another one. */
  readonly isReplaced: () => boolean
  /** Whether calls have been unanswered for so long that a new call needs a new connection. */
  readonly isUnresponsive: () => boolean
  /** Resolves to whether the replica accepted the connection; false if it is replaced first. */
  readonly waitUntilReady: () => Promise<boolean>
  /** Registers a pending call; `onReplaced` is called if the connection is replaced before the call ends. */
  readonly beginCall: (onReplaced: () => void) => PendingCall
  /** Takes the connection out of the pool; it is closed once no call is pending. */
  readonly replace: () => void
}

export interface PendingCall {
  /** Unregisters the call; `withdrawn` if the caller no longer needs the answer. */
  readonly end: (outcome: 'answered' | 'unanswered' | 'withdrawn') => void
}

export interface ConnectionPool {
  readonly get: (address: string) => Connection
  readonly close: () => void
}

export const createConnectionPool = (nowMs: () => number): ConnectionPool => {
  const connections = new Map<string, Connection>()

  const connect = (address: string): Connection => {
    const credentials = grpc.credentials.createInsecure()
    const channelOptions = peerTransport.CHANNEL_OPTIONS
    const client = new protocol.workflow.WorkflowClient(address, credentials, channelOptions)
    const listeners = new Set<() => void>()
    let replaced = false
    let isReady = false
    let unansweredSinceMs: number | undefined
    let timer: NodeJS.Timeout | undefined

    const replace = (): void => {
      if (replaced) return
      replaced = true
      clearTimeout(timer)
      if (connections.get(address) === connection) connections.delete(address)
      for (const listener of listeners) listener()
      if (listeners.size === 0) client.close()
    }

    /** Time until the connection counts as unresponsive; infinite if no answer is outstanding. */
    const remainingMs = (): number => {
      if (unansweredSinceMs === undefined) return Number.POSITIVE_INFINITY
      return unansweredSinceMs + (isReady ? ANSWER_TIMEOUT_MS : CONNECT_TIMEOUT_MS) - nowMs()
    }

    const restartTimer = (): void => {
      clearTimeout(timer)
      if (unansweredSinceMs === undefined || listeners.size === 0 || replaced) return
      timer = setTimeout(replace, Math.max(1, remainingMs()))
    }

    const recordActivity = (): void => {
      unansweredSinceMs = listeners.size > 0 ? nowMs() : undefined
      restartTimer()
    }

    const waitUntilReady = (): Promise<boolean> =>
      new Promise((resolve) => {
        const checkState = (): void => {
          if (replaced) {
            resolve(false)
            return
          }
          const channel = client.getChannel()
          const state = channel.getConnectivityState(true)
          if (state === grpc.connectivityState.READY) {
            if (!isReady) {
              isReady = true
              recordActivity()
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
          channel.watchConnectivityState(state, Date.now() + CONNECT_TIMEOUT_MS, (error) => {
            if (error === undefined) checkState()
            else resolve(false)
          })
        }
        checkState()
      })

    const beginCall = (onReplaced: () => void): PendingCall => {
      const listener = (): void => {
        onReplaced()
      }
      listeners.add(listener)
      unansweredSinceMs ??= nowMs()
      restartTimer()
      return {
        end: (outcome) => {
          if (!listeners.delete(listener)) return
          if (outcome === 'answered') recordActivity()
          // An unanswered call counts against the connection even if no other call is pending when it ends.
          else if (outcome === 'withdrawn' && listeners.size === 0) unansweredSinceMs = undefined
          if (listeners.size > 0) return
          clearTimeout(timer)
          if (replaced) client.close()
        },
      }
    }

    const connection: Connection = {
      client,
      isReplaced: () => replaced,
      isUnresponsive: () => remainingMs() <= 0,
      waitUntilReady,
      beginCall,
      replace,
    }
    return connection
  }

  return {
    get: (address) => {
      const known = connections.get(address)
      if (known !== undefined && !known.isUnresponsive()) return known
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
