import * as grpc from '@grpc/grpc-js'
import * as protocol from '@ebonyweir/protocol'
import * as results from 'ts-results-es'

/** Why a call to control did not succeed. The call may still have taken effect. */
export interface ControlFailure {
  readonly reason: 'unreachable' | 'no-leader' | 'refused'
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

const channelOptions: grpc.ClientOptions = {
  'grpc.max_receive_message_length': protocol.limits.MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': protocol.limits.MAX_MESSAGE_BYTES,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000,
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_retries': 0,
}

const pause = async (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms)
  })

/** Creates a client that finds the leader among `addresses` and follows redirects. */
export const createControlClient = (addresses: readonly string[]): ControlClient => {
  let index = 0
  let address = addresses[0] ?? ''
  let client: protocol.control.ControlClient | undefined
  let closed = false

  const connect = (): protocol.control.ControlClient => {
    client ??= new protocol.control.ControlClient(
      address,
      grpc.credentials.createInsecure(),
      channelOptions,
    )
    return client
  }

  // A new channel also replaces a connection that went silent.
  const moveTo = (next: string, from: protocol.control.ControlClient): void => {
    if (client !== from) return
    client.close()
    client = undefined
    address = next
  }

  const nextAddress = (): string => {
    index = (index + 1) % Math.max(1, addresses.length)
    return addresses[index] ?? ''
  }

  const attempt = async <Request, Reply>(
    used: protocol.control.ControlClient,
    method: Unary<Request, Reply>,
    request: Request,
    timeoutMs: number,
  ): Promise<results.Result<Reply, ControlFailure>> =>
    new Promise((resolve) => {
      const options = { deadline: Date.now() + timeoutMs }
      method(used, request, new grpc.Metadata(), options, (error, reply) => {
        if (error === null) {
          resolve(results.Ok(reply))
          return
        }
        const refused =
          error.code === grpc.status.FAILED_PRECONDITION ||
          error.code === grpc.status.INVALID_ARGUMENT ||
          error.code === grpc.status.PERMISSION_DENIED
        resolve(results.Err({ reason: refused ? 'refused' : 'unreachable', detail: error.message }))
      })
    })

  const call =
    <Request, Reply extends Redirectable>(method: Unary<Request, Reply>): Call<Request, Reply> =>
    async (request, timeoutMs) => {
      const deadlineMs = performance.now() + timeoutMs
      let failure: ControlFailure = { reason: 'no-leader', detail: 'no replica answered' }
      // Followers name a dead leader until the next one is elected, which takes 1 to 2 s.
      for (let tries = 0; ; tries++) {
        if (tries > 0 && tries % ATTEMPTS_PER_ROUND === 0) await pause(ROUND_PAUSE_MS)
        const leftMs = deadlineMs - performance.now()
        if (closed || leftMs <= 0) break
        const used = connect()
        // One silent replica must not use up the time for the others.
        const attemptMs = Math.max(50, leftMs / Math.min(2, addresses.length))
        const reply = await attempt(used, method, request, Math.min(leftMs, attemptMs))
        if (reply.isErr()) {
          failure = reply.error
          if (failure.reason === 'refused') return reply
          moveTo(nextAddress(), used)
          continue
        }
        const { redirect } = reply.value
        if (redirect === undefined) return reply
        failure = { reason: 'no-leader', detail: `redirected to "${redirect.leader}"` }
        moveTo(redirect.leader === '' ? nextAddress() : redirect.leader, used)
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
      client?.close()
      client = undefined
    },
  }
}
