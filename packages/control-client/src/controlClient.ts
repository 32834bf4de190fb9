import * as grpc from '@grpc/grpc-js'
import * as protocol from '@ebonyweir/protocol'
import * as results from 'ts-results-es'

/** Why a call to control did not succeed. The call may still have taken effect. */
export interface ControlFailure {
  readonly reason: 'unreachable' | 'no-answer' | 'no-leader' | 'refused'
  readonly detail: string
}

interface Redirectable {
  readonly redirect?: protocol.control.Redirect | undefined
}

type Unary<Request, Reply> = (
  client: protocol.control.ControlClient,
  request: Request,
  metadata: grpc.Metadata,
  options: Partial<grpc.CallOptions>,
  callback: (error: grpc.ServiceError | null, reply: Reply) => void,
) => grpc.ClientUnaryCall

/** Calls to the leader of the cell's control group. */
export interface ControlClient {
  readonly syncEntry: Call<protocol.control.SyncEntryRequest, protocol.control.SyncEntryReply>
  readonly syncAgent: Call<protocol.control.SyncAgentRequest, protocol.control.SyncAgentReply>
  readonly claim: Call<protocol.command.ClaimRequest, protocol.control.ClaimReply>
  readonly settle: Call<protocol.command.SettleClaim, protocol.control.SettleReply>
  readonly close: () => void
}

export type Call<Request, Reply> = (
  request: Request,
  timeoutMs: number,
) => Promise<results.Result<Reply, ControlFailure>>

/** Attempts without a pause: enough to follow one redirect and pass two dead replicas. */
const ATTEMPTS_PER_ROUND = 4
/** Pause while no leader is known, in milliseconds: one heartbeat of the control group. */
const ROUND_PAUSE_MS = 100
/** Shortest attempt, in milliseconds; below it an answer of a live leader could be missed. */
const MIN_ATTEMPT_MS = 50
/** Time without an answer after which a connection counts as silent: connecting takes less, on a busy instance too. */
const SILENT_AFTER_MS = 500

const channelOptions: grpc.ClientOptions = {
  'grpc.max_receive_message_length': protocol.limits.MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': protocol.limits.MAX_MESSAGE_BYTES,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000,
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_retries': 0,
}

const REFUSALS: readonly grpc.status[] = [
  grpc.status.FAILED_PRECONDITION,
  grpc.status.INVALID_ARGUMENT,
  grpc.status.PERMISSION_DENIED,
]

const reasonOf = (code: grpc.status): ControlFailure['reason'] => {
  if (REFUSALS.includes(code)) return 'refused'
  return code === grpc.status.DEADLINE_EXCEEDED ? 'no-answer' : 'unreachable'
}

const send = async <Request, Reply>(
  client: protocol.control.ControlClient,
  method: Unary<Request, Reply>,
  request: Request,
  timeoutMs: number,
): Promise<results.Result<Reply, ControlFailure>> =>
  new Promise((resolve) => {
    const options = { deadline: Date.now() + timeoutMs }
    method(client, request, new grpc.Metadata(), options, (error, reply) => {
      if (error === null) resolve(results.Ok(reply))
      else resolve(results.Err({ reason: reasonOf(error.code), detail: error.message }))
    })
  })

const pause = async (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms)
  })

interface Channel {
  readonly address: string
  readonly client: protocol.control.ControlClient
  /** When it was created or last gave an answer. */
  aliveAtMs: number
  /** Calls under way. */
  calls: number
}

/** Creates a client that finds the leader among `addresses` and follows redirects. */
export const createControlClient = (addresses: readonly string[]): ControlClient => {
  /** Where the next call begins: the leader, as far as it is known. */
  let preferred = addresses[0] ?? ''
  let closed = false
  /** The channel to the preferred address, and others only while calls use them. */
  const channels = new Map<string, Channel>()

  const channelTo = (address: string): Channel => {
    const known = channels.get(address)
    if (known !== undefined) return known
    const credentials = grpc.credentials.createInsecure()
    const client = new protocol.control.ControlClient(address, credentials, channelOptions)
    const created = { address, client, aliveAtMs: performance.now(), calls: 0 }
    channels.set(address, created)
    return created
  }

  // Closing a channel fails the calls that wait for its connection.
  const closeUnused = (channel: Channel): void => {
    const isListed = channels.get(channel.address) === channel
    if (channel.calls > 0 || (isListed && channel.address === preferred)) return
    if (isListed) channels.delete(channel.address)
    channel.client.close()
  }

  const prefer = (address: string): void => {
    const before = channels.get(preferred)
    preferred = address
    if (before !== undefined) closeUnused(before)
  }

  const addressAfter = (address: string): string =>
    addresses[(addresses.indexOf(address) + 1) % Math.max(1, addresses.length)] ?? ''

  const attempt = async <Request, Reply>(
    channel: Channel,
    method: Unary<Request, Reply>,
    request: Request,
    timeoutMs: number,
  ): Promise<results.Result<Reply, ControlFailure>> => {
    channel.calls++
    const reply = await send(channel.client, method, request, timeoutMs)
    channel.calls--
    if (reply.isOk()) channel.aliveAtMs = performance.now()
    return reply
  }

  /** Where a call goes on after an attempt without an answer. */
  const addressAfterFailure = (channel: Channel, failure: ControlFailure): string => {
    if (failure.reason === 'no-answer') {
      // A connection that is still being made needs time on a busy instance.
      if (performance.now() - channel.aliveAtMs < SILENT_AFTER_MS) return channel.address
      // A new channel replaces a connection that went silent.
      if (channels.get(channel.address) === channel) channels.delete(channel.address)
    }
    return addressAfter(channel.address)
  }

  const call =
    <Request, Reply extends Redirectable>(method: Unary<Request, Reply>): Call<Request, Reply> =>
    async (request, timeoutMs) => {
      const deadlineMs = performance.now() + timeoutMs
      let failure: ControlFailure = { reason: 'no-leader', detail: 'no replica answered' }
      let address = preferred
      // Followers name a dead leader until the next one is elected, which takes 1 to 2 s.
      for (let tries = 0; ; tries++) {
        if (tries > 0 && tries % ATTEMPTS_PER_ROUND === 0) await pause(ROUND_PAUSE_MS)
        const leftMs = deadlineMs - performance.now()
        if (closed || leftMs <= 0) break
        const channel = channelTo(address)
        // One silent replica must not use up the time for the others.
        const attemptMs = Math.max(MIN_ATTEMPT_MS, leftMs / Math.min(2, addresses.length))
        const reply = await attempt(channel, method, request, Math.min(leftMs, attemptMs))
        const isAnswer = reply.isOk() && reply.value.redirect === undefined
        if (isAnswer || (reply.isErr() && reply.error.reason === 'refused')) {
          if (isAnswer) prefer(address)
          closeUnused(channel)
          return reply
        }
        let next: string
        if (reply.isErr()) {
          failure = reply.error
          next = addressAfterFailure(channel, failure)
        } else {
          const leader = reply.value.redirect?.leader ?? ''
          failure = { reason: 'no-leader', detail: `redirected to "${leader}"` }
          next = leader === '' ? addressAfter(address) : leader
        }
        if (preferred === address) prefer(next)
        closeUnused(channel)
        address = next
      }
      return results.Err(failure)
    }

  return {
    syncEntry: call((c, ...args) => c.syncEntry(...args)),
    syncAgent: call((c, ...args) => c.syncAgent(...args)),
    claim: call((c, ...args) => c.claim(...args)),
    settle: call((c, ...args) => c.settle(...args)),
    close: () => {
      closed = true
      for (const channel of channels.values()) channel.client.close()
      channels.clear()
    },
  }
}
