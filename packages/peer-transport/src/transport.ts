/** Delivers replication messages to the other replicas of the group over gRPC. */
import * as grpc from '@grpc/grpc-js'
import * as protocol from '@ebonyweir/protocol'

/**
 * Time without a receipt after which a connection is replaced. Receipts arrive within 50 ms, and a new connection must
 * be established before the shortest election timeout of 1 s.
 */
const RECEIPT_TIMEOUT_MS = 800

/** Unacknowledged messages to one peer above which further ones are dropped; replication resends them. */
const MAX_IN_FLIGHT_PER_PEER = 64

/** Consecutive stream failures after which the connection is replaced. */
const FAILURES_BEFORE_RECONNECT = 2

type DeliverCall = grpc.ClientDuplexStream<
  protocol.replication.ReplicationEnvelope,
  protocol.replication.ReplicationReceipt
>

interface Stream {
  readonly call: DeliverCall
  sent: number
  received: number
  /** Start of the wait for a receipt; not meaningful while everything is acknowledged. */
  waitingSinceMs: number
}

interface Peer {
  client: protocol.replication.ReplicationClient
  readonly address: string
  stream: Stream | undefined
  consecutiveFailures: number
}

export interface Transport {
  /** Sends one message; drops it if the receiver is unreachable or too far behind. */
  readonly send: (envelope: protocol.replication.ReplicationEnvelope, address: string) => void
  readonly close: () => void
}

export const CHANNEL_OPTIONS: grpc.ChannelOptions = {
  'grpc.max_receive_message_length': protocol.limits.MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': protocol.limits.MAX_MESSAGE_BYTES,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1000,
  // Otherwise a new client would share the connection of the old one, even if it is unresponsive.
  'grpc.use_local_subchannel_pool': 1,
}

const connect = (address: string): protocol.replication.ReplicationClient =>
  new protocol.replication.ReplicationClient(
    address,
    grpc.credentials.createInsecure(),
    CHANNEL_OPTIONS,
  )

export interface TransportOptions {
  /** Monotonic clock in milliseconds. @default performance.now */
  readonly nowMs?: () => number
}

/** Cancels a stream and ignores its further events. */
const discardStream = ({ call }: Stream): void => {
  call.removeAllListeners()
  call.on('error', () => undefined)
  call.cancel()
}

export const createTransport = (options: TransportOptions = {}): Transport => {
  const nowMs = options.nowMs ?? (() => performance.now())
  const peers = new Map<string, Peer>()

  const closePeer = (peer: Peer): void => {
    if (peer.stream !== undefined) discardStream(peer.stream)
    peer.stream = undefined
    peer.client.close()
  }

  const peerFor = (replicaId: string, address: string): Peer => {
    const known = peers.get(replicaId)
    if (known?.address === address) return known
    if (known !== undefined) closePeer(known)
    const peer: Peer = {
      client: connect(address),
      address,
      stream: undefined,
      consecutiveFailures: 0,
    }
    peers.set(replicaId, peer)
    return peer
  }

  // A connection can become permanently unresponsive while new ones work.
  const reconnect = (peer: Peer): void => {
    closePeer(peer)
    peer.consecutiveFailures = 0
    peer.client = connect(peer.address)
  }

  const openStream = (peer: Peer): Stream => {
    const call = peer.client.deliver()
    const stream: Stream = { call, sent: 0, received: 0, waitingSinceMs: nowMs() }
    peer.stream = stream

    const fail = (): void => {
      if (peer.stream !== stream) return
      discardStream(stream)
      peer.stream = undefined
      peer.consecutiveFailures += 1
      if (peer.consecutiveFailures >= FAILURES_BEFORE_RECONNECT) reconnect(peer)
    }

    call.on('data', ({ received }: protocol.replication.ReplicationReceipt) => {
      stream.received = received
      stream.waitingSinceMs = nowMs()
      peer.consecutiveFailures = 0
    })
    call.on('end', fail)
    call.on('error', fail)
    return stream
  }

  const isUnresponsive = ({ sent, received, waitingSinceMs }: Stream): boolean =>
    sent > received && nowMs() - waitingSinceMs >= RECEIPT_TIMEOUT_MS

  const send = (envelope: protocol.replication.ReplicationEnvelope, address: string): void => {
    const peer = peerFor(envelope.to, address)
    if (peer.stream !== undefined && isUnresponsive(peer.stream)) reconnect(peer)
    const stream = peer.stream ?? openStream(peer)
    const inFlight = stream.sent - stream.received
    if (inFlight >= MAX_IN_FLIGHT_PER_PEER) return
    if (inFlight === 0) stream.waitingSinceMs = nowMs()
    stream.sent += 1
    stream.call.write(envelope)
  }

  const close = (): void => {
    for (const peer of peers.values()) closePeer(peer)
    peers.clear()
  }

  return { send, close }
}
