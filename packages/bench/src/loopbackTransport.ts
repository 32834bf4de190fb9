import * as protocol from '@ebonyweir/protocol'
import * as grpc from '@grpc/grpc-js'

type Envelope = protocol.replication.ReplicationEnvelope

/** Replication over gRPC on the loopback interface. */
export interface LoopbackTransport {
  /** Port on which `onEnvelope` receives messages. */
  readonly port: number
  send(envelope: Envelope, address: string): void
  close(): void
}

/** Serves `Replication.Deliver` on `wantedPort`, or on a free one when it is 0, and sends to other ports. */
export const createLoopbackTransport = async (
  wantedPort: number,
  onEnvelope: (envelope: Envelope) => void,
): Promise<LoopbackTransport> => {
  const server = new grpc.Server({ 'grpc.max_receive_message_length': 16 * 1024 * 1024 })
  server.addService(protocol.replication.ReplicationService, {
    deliver: (
      call: grpc.ServerUnaryCall<Envelope, protocol.replication.ReplicationAck>,
      callback: grpc.sendUnaryData<protocol.replication.ReplicationAck>,
    ) => {
      callback(null, {})
      onEnvelope(call.request)
    },
  })
  const port = await new Promise<number>((resolve, reject) => {
    const credentials = grpc.ServerCredentials.createInsecure()
    server.bindAsync(`127.0.0.1:${wantedPort}`, credentials, (error, bound) => {
      if (error) reject(error)
      else resolve(bound)
    })
  })
  const clients = new Map<string, protocol.replication.ReplicationClient>()

  const clientOf = (address: string): protocol.replication.ReplicationClient => {
    const known = clients.get(address)
    if (known !== undefined) return known
    const created = new protocol.replication.ReplicationClient(
      address,
      grpc.credentials.createInsecure(),
      {
        'grpc.initial_reconnect_backoff_ms': 100,
        'grpc.max_reconnect_backoff_ms': 500,
      },
    )
    clients.set(address, created)
    return created
  }

  return {
    port,
    send: (envelope, address) => {
      clientOf(address).deliver(envelope, () => undefined)
    },
    close: () => {
      for (const client of clients.values()) client.close()
      server.forceShutdown()
    },
  }
}
