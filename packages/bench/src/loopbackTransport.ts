import * as peerTransport from '@ebonyweir/peer-transport'
import * as protocol from '@ebonyweir/protocol'
import * as grpc from '@grpc/grpc-js'

type Envelope = protocol.replication.ReplicationEnvelope

/** Transport for replication over gRPC on the loopback interface. */
export interface LoopbackTransport {
  /** Port on which `onEnvelope` receives messages. */
  readonly port: number
  send(envelope: Envelope, address: string): void
  close(): void
}

/** Serves `Replication.Deliver` on `requestedPort`, or on a free port if it is 0, and sends to other ports. */
export const createLoopbackTransport = async (
  requestedPort: number,
  onEnvelope: (envelope: Envelope) => void,
): Promise<LoopbackTransport> => {
  const server = new grpc.Server({ 'grpc.max_receive_message_length': 16 * 1024 * 1024 })
  const service = peerTransport.createReplicationService({ deliver: onEnvelope })
  server.addService(protocol.replication.ReplicationService, { ...service.handlers })
  const port = await new Promise<number>((resolve, reject) => {
    const credentials = grpc.ServerCredentials.createInsecure()
    server.bindAsync(`127.0.0.1:${requestedPort}`, credentials, (error, boundPort) => {
      if (error) reject(error)
      else resolve(boundPort)
    })
  })
  const transport = peerTransport.createTransport()

  return {
    port,
    send: transport.send,
    close: () => {
      transport.close()
      server.forceShutdown()
    },
  }
}
