/**
 * Pool of idle connections to replicas. While a group elects a leader its replicas are polled, and a new connection for
 * each poll would cost them more than the answer.
 */
import * as grpc from '@grpc/grpc-js'
import * as peerTransport from '@ebonyweir/peer-transport'
import * as protocol from '@ebonyweir/protocol'

/**
 * Time for which an idle connection is kept: an election takes up to 2 s. An older connection may be broken, which the
 * next attempt would notice only after a timeout.
 */
const IDLE_TIMEOUT_MS = 2_000

export interface ClientPool {
  /** Takes the client of the replica at `address` out of the pool, or creates one. */
  readonly take: (address: string) => protocol.workflow.WorkflowClient
  /** Returns a client whose replica has just answered to the pool. */
  readonly put: (address: string, client: protocol.workflow.WorkflowClient) => void
  readonly close: () => void
}

interface IdleClient {
  readonly client: protocol.workflow.WorkflowClient
  readonly timer: NodeJS.Timeout
}

export const createClientPool = (): ClientPool => {
  const idleClients = new Map<string, IdleClient>()

  const remove = (address: string): IdleClient | undefined => {
    const entry = idleClients.get(address)
    idleClients.delete(address)
    clearTimeout(entry?.timer)
    return entry
  }

  return {
    take: (address) => {
      const entry = remove(address)
      if (entry !== undefined) return entry.client
      const credentials = grpc.credentials.createInsecure()
      return new protocol.workflow.WorkflowClient(
        address,
        credentials,
        peerTransport.CHANNEL_OPTIONS,
      )
    },
    put: (address, client) => {
      remove(address)?.client.close()
      const timer = setTimeout(() => {
        remove(address)?.client.close()
      }, IDLE_TIMEOUT_MS)
      idleClients.set(address, { client, timer })
    },
    close: () => {
      for (const address of [...idleClients.keys()]) remove(address)?.client.close()
    },
  }
}
