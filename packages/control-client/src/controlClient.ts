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

/** Attempts without a pause: enough to follow one redirect and skip two unavailable replicas. */
const ATTEMPTS_PER_ROUND = 4
/** Pause while no leader is known: one heartbeat of the control group. */
const ROUND_PAUSE_MS = 100
/** Shortest attempt; a shorter one could miss the answer of a live leader. */
const MIN_ATTEMPT_MS = 50
/** Time without an answer after which a connection counts as unresponsive; connecting takes less, even on a busy instance. */
const UNRESPONSIVE_AFTER_MS = 500

const channelOptions: grpc.ClientOptions = {
  'grpc.max_receive_message_length': protocol.limits.MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': protocol.limits.MAX_MESSAGE_BYTES,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000,
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_retries': 0,
}

const REFUSAL_CODES: readonly grpc.status[] = [
  grpc.status.FAILED_PRECONDITION,
  grpc.status.INVALID_ARGUMENT,
  grpc.status.PERMISSION_DENIED,
]

const reasonOf = (code: grpc.status): ControlFailure['reason'] => {
  if (REFUSAL_CODES.includes(code)) return 'refused'
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

const sleep = async (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms)
  })

interface Channel {
  readonly address: string
  readonly client: protocol.control.ControlClient
  /** Time of the last answer, or of the creation of the channel. */
  lastAnswerMs: number
  /** Number of calls in progress. */
  calls: number
}

/** Creates a client that finds the leader among `addresses` and follows redirects. */
export const createControlClient = (addresses: readonly string[]): ControlClient => {
  /** Address that the next call tries first: the last known leader. */
  let preferred = addresses[0] ?? ''
  let closed = false
  /** The channel to the preferred address, and further ones only while calls use them. */
  const channels = new Map<string, Channel>()

  const channelTo = (address: string): Channel => {
    const known = channels.get(address)
    if (known !== undefined) return known
    const credentials = grpc.credentials.createInsecure()
    const client = new protocol.control.ControlClient(address, credentials, channelOptions)
    const created = { address, client, lastAnswerMs: performance.now(), calls: 0 }
    channels.set(address, created)
    return created
  }

  // Closing a channel fails the calls that wait for its connection, so a channel in use stays open.
  const closeUnused = (channel: Channel): void => {
    const isListed = channels.get(channel.address) === channel
    if (channel.calls > 0 || (isListed && channel.address === preferred)) return
    if (isListed) channels.delete(channel.address)
    channel.client.close()
  }

  const setPreferred = (address: string): void => {
    const previous = channels.get(preferred)
    preferred = address
    if (previous !== undefined) closeUnused(previous)
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
    if (reply.isOk()) channel.lastAnswerMs = performance.now()
    return reply
  }

  /** Address of the next attempt after one that failed. */
  const addressAfterFailure = (channel: Channel, failure: ControlFailure): string => {
    if (failure.reason === 'no-answer') {
      // Establishing a connection can take time on a busy instance.
      if (performance.now() - channel.lastAnswerMs < UNRESPONSIVE_AFTER_MS) return channel.address
      // An unresponsive connection is replaced by a new channel.
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
      // Followers redirect to a failed leader until the next one is elected, which takes 1 to 2 s.
      for (let attempts = 0; ; attempts++) {
        if (attempts > 0 && attempts % ATTEMPTS_PER_ROUND === 0) await sleep(ROUND_PAUSE_MS)
        const leftMs = deadlineMs - performance.now()
        if (closed || leftMs <= 0) break
        const channel = channelTo(address)
        // One unresponsive replica must not use up the time for the others.
        const attemptMs = Math.max(MIN_ATTEMPT_MS, leftMs / Math.min(2, addresses.length))
        const reply = await attempt(channel, method, request, Math.min(leftMs, attemptMs))
        const isAnswer = reply.isOk() && reply.value.redirect === undefined
        if (isAnswer || (reply.isErr() && reply.error.reason === 'refused')) {
          if (isAnswer) setPreferred(address)
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
        if (preferred === address) setPreferred(next)
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
