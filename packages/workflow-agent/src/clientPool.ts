/**
 * Connections to replicas that answered a moment ago. While a group elects a leader its replicas are asked again and
 * again; a connection for each question would cost them more than the answers.
 */
import * as grpc from '@grpc/grpc-js'
import * as peerTransport from '@ebonyweir/peer-transport'
import * as protocol from '@ebonyweir/protocol'

/**
 * Time for which an unused connection is kept, in milliseconds: an election takes up to 2 s. One that is older may have
 * gone silent, which the next attempt would have to find out first.
 */
const KEEP_MS = 2_000

export interface ClientPool {
  /** Client of the replica at `address`, on a connection that is kept or on a new one. */
  readonly take: (address: string) => protocol.workflow.WorkflowClient
  /** Keeps the connection of a client whose replica has just answered. */
  readonly keep: (address: string, client: protocol.workflow.WorkflowClient) => void
  readonly close: () => void
}

interface KeptClient {
  readonly client: protocol.workflow.WorkflowClient
  readonly timer: NodeJS.Timeout
}

export const createClientPool = (): ClientPool => {
  const kept = new Map<string, KeptClient>()

  const remove = (address: string): KeptClient | undefined => {
    const entry = kept.get(address)
    kept.delete(address)
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
    keep: (address, client) => {
      remove(address)?.client.close()
      const timer = setTimeout(() => {
        remove(address)?.client.close()
      }, KEEP_MS)
      kept.set(address, { client, timer })
    },
    close: () => {
      for (const address of [...kept.keys()]) remove(address)?.client.close()
    },
  }
}
