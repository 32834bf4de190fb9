/** gRPC service that hands the messages of other replicas over. */
import type * as grpc from '@grpc/grpc-js'
import type * as protocol from '@ebonyweir/protocol'

/** Pause that collects messages into one receipt, in milliseconds; far below the sender's bound of 800 ms. */
const RECEIPT_DELAY_MS = 50

/** Messages after which a receipt is sent at once: a quarter of what a sender has in flight. */
const RECEIPT_MESSAGES = 16

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
  /** Ends all streams, which would keep a server from closing. */
  readonly end: () => void
}

/** Creates the service; messages are acknowledged as received, answers are messages of their own. */
export const createReplicationService = (receiver: Receiver): ReplicationService => {
  const open = new Set<DeliverCall>()

  const serve = (call: DeliverCall): void => {
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
      if (open.delete(call)) call.end()
    }

    open.add(call)
    call.on('data', (envelope: protocol.replication.ReplicationEnvelope) => {
      if (!open.has(call)) return
      received += 1
      if (received - acknowledged >= RECEIPT_MESSAGES) acknowledge()
      else timer ??= setTimeout(acknowledge, RECEIPT_DELAY_MS)
      receiver.deliver(envelope)
    })
    call.on('end', close)
    call.on('error', close)
    call.on('cancelled', close)
  }

  return {
    handlers: { deliver: serve },
    end: () => {
      for (const call of open) call.end()
      open.clear()
    },
  }
}
