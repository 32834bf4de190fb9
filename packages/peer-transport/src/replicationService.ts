/** gRPC service that receives the replication messages of other replicas. */
import type * as grpc from '@grpc/grpc-js'
import type * as protocol from '@ebonyweir/protocol'

/** Delay that batches messages into one receipt; far below the sender's receipt timeout of 800 ms. */
const RECEIPT_DELAY_MS = 50

/** Messages after which a receipt is sent immediately: a quarter of the in-flight limit of a sender. */
const RECEIPT_MESSAGE_COUNT = 16

type DeliverCall = grpc.ServerDuplexStream<
  protocol.replication.ReplicationEnvelope,
  protocol.replication.ReplicationReceipt
>

/** Receives replication messages. */
export interface Receiver {
  deliver(envelope: protocol.replication.ReplicationEnvelope): void
}

export interface ReplicationService {
  readonly handlers: protocol.replication.ReplicationServer
  /** Ends all streams, since open ones prevent a server from closing. */
  readonly end: () => void
}

/** Creates the service. Receipts acknowledge only the arrival of messages; answers are separate messages. */
export const createReplicationService = (receiver: Receiver): ReplicationService => {
  const openCalls = new Set<DeliverCall>()

  const handleCall = (call: DeliverCall): void => {
    let received = 0
    let acknowledged = 0
    let timer: NodeJS.Timeout | undefined

    const acknowledge = (): void => {
      clearTimeout(timer)
      timer = undefined
      acknowledged = received
      call.write({ received })
    }

    const close = (): void => {
      clearTimeout(timer)
      if (openCalls.delete(call)) call.end()
    }

    openCalls.add(call)
    call.on('data', (envelope: protocol.replication.ReplicationEnvelope) => {
      if (!openCalls.has(call)) return
      received += 1
      if (received - acknowledged >= RECEIPT_MESSAGE_COUNT) acknowledge()
      else timer ??= setTimeout(acknowledge, RECEIPT_DELAY_MS)
      receiver.deliver(envelope)
    })
    call.on('end', close)
    call.on('error', close)
    call.on('cancelled', close)
  }

  return {
    handlers: { deliver: handleCall },
    end: () => {
      for (const call of openCalls) call.end()
      openCalls.clear()
    },
  }
}
