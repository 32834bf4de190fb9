import * as protocol from '@ebonyweir/protocol'
import * as grpc from '@grpc/grpc-js'
import * as results from 'ts-results-es'

/** Failure of an RPC to an agent. The agent may still have processed it. */
export interface RpcFailure {
  readonly detail: string
}

/** An Execute call that can be cancelled. */
export interface Execution {
  readonly incarnation: number
  readonly reply: Promise<results.Result<protocol.agent.ExecuteReply, RpcFailure>>
  readonly cancel: () => void
}

/** Connection to one agent. It is monitored by probes and replaced when it becomes unresponsive. */
export interface AgentConnection {
  readonly address: string
  /** Sends a request. Returns undefined, without sending, if the connection is not open. */
  readonly execute: (request: OutgoingRequest, timeoutMs: number) => Execution | undefined
  /** Queries the state of a request over a new connection. */
  readonly resolve: (
    requestId: string,
    incarnation: number,
    timeoutMs: number,
  ) => Promise<results.Result<protocol.agent.ResolveReply, RpcFailure>>
  readonly close: () => void
}

export type OutgoingRequest = Omit<
  protocol.agent.ExecuteRequest,
  'agentIncarnation' | 'agentTimeMs' | 'timeoutMs'
>

export interface AgentConnectionHost {
  readonly cell: string
  readonly entry: string
  readonly probeIntervalMs: number
  readonly onReport: (report: protocol.agent.LoadReport) => void
  readonly onReachable: (reachable: boolean) => void
  readonly onReplaced: () => void
}

/** Consecutive missed probes after which a connection is replaced. */
const MAX_MISSED_PROBES = 2
/** Maximum number of received results that are confirmed with one probe. */
const MAX_CONFIRMED = 1_000
/** Extra time for the agent's own deadline refusal to arrive before the call is abandoned. */
const DEADLINE_SLACK_MS = 100

const channelOptions: grpc.ClientOptions = {
  'grpc.max_receive_message_length': protocol.limits.MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': protocol.limits.MAX_MESSAGE_BYTES,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000,
  // Without it, a new channel would share the unresponsive connection to the same address.
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_retries': 0,
}

const connect = (address: string): protocol.agent.AgentClient =>
  new protocol.agent.AgentClient(address, grpc.credentials.createInsecure(), channelOptions)

/** Queries the state of a request at an agent, over a separate connection. */
export const resolveAt = async (
  address: string,
  request: protocol.agent.ResolveRequest,
  timeoutMs: number,
): Promise<results.Result<protocol.agent.ResolveReply, RpcFailure>> => {
  const client = connect(address)
  return new Promise((resolve) => {
    const options = { deadline: Date.now() + timeoutMs }
    client.resolve(request, new grpc.Metadata(), options, (error, reply) => {
      client.close()
      resolve(error === null ? results.Ok(reply) : results.Err({ detail: error.message }))
    })
  })
}

/** Opens a connection and starts probing it. */
export const createAgentConnection = (
  address: string,
  host: AgentConnectionHost,
): AgentConnection => {
  let client = connect(address)
  let missedProbes = 0
  /** Time of the latest Execute reply on the current connection. */
  let lastReplyAtMs = -Infinity
  let closed = false
  let timer: NodeJS.Timeout | undefined
  /** Latest reported agent time. Requests carry it, so that the agent can refuse stale ones. */
  let agentClock: { readonly incarnation: number; readonly timeMs: number } | undefined
  const calls = new Set<grpc.ClientUnaryCall>()
  let confirmed: string[] = []

  const onReport = (report: protocol.agent.LoadReport): void => {
    const { agentIncarnation: incarnation, agentTimeMs } = report
    const sameIncarnation = agentClock?.incarnation === incarnation
    const timeMs = sameIncarnation ? Math.max(agentClock?.timeMs ?? 0, agentTimeMs) : agentTimeMs
    agentClock = { incarnation, timeMs }
    host.onReport(report)
  }

  // Pending calls on the unresponsive connection fail immediately. Their callers resolve them over a new one.
  const replace = (): void => {
    missedProbes = 0
    lastReplyAtMs = -Infinity
    host.onReachable(false)
    host.onReplaced()
    const unresponsiveClient = client
    client = connect(address)
    for (const call of [...calls]) call.cancel()
    calls.clear()
    unresponsiveClient.close()
  }

  const probe = (): void => {
    const request = { cell: host.cell, entry: host.entry, confirmed }
    confirmed = []
    const options = { deadline: Date.now() + host.probeIntervalMs }
    const probedClient = client
    const startedAtMs = performance.now()
    probedClient.probe(request, new grpc.Metadata(), options, (error, report) => {
      if (closed || probedClient !== client) return
      if (error === null) {
        missedProbes = 0
        onReport(report)
        host.onReachable(true)
      } else if (lastReplyAtMs >= startedAtMs) {
        // A busy process answers probes late, but a connection that delivers replies is responsive.
        missedProbes = 0
      } else if (++missedProbes >= MAX_MISSED_PROBES) replace()
      const tookMs = performance.now() - startedAtMs
      timer = setTimeout(probe, Math.max(0, host.probeIntervalMs - tookMs))
    })
  }

  const execute = (
    request: OutgoingRequest,
    timeoutMs: number,
    clock: { readonly incarnation: number; readonly timeMs: number },
  ): Execution => {
    const message = {
      ...request,
      agentIncarnation: clock.incarnation,
      agentTimeMs: clock.timeMs,
      timeoutMs: Math.max(1, Math.floor(timeoutMs)),
    }
    const options = { deadline: Date.now() + timeoutMs + DEADLINE_SLACK_MS }
    let cancel = (): void => undefined
    const reply = new Promise<results.Result<protocol.agent.ExecuteReply, RpcFailure>>(
      (resolve) => {
        const call = client.execute(message, new grpc.Metadata(), options, (error, value) => {
          calls.delete(call)
          if (error !== null) {
            resolve(results.Err({ detail: error.message }))
            return
          }
          lastReplyAtMs = performance.now()
          if (value.load !== undefined) onReport(value.load)
          if (value.requestId !== request.requestId) {
            resolve(results.Err({ detail: `reply to request ${value.requestId}` }))
            return
          }
          if (confirmed.length < MAX_CONFIRMED) confirmed.push(request.requestId)
          resolve(results.Ok(value))
        })
        calls.add(call)
        cancel = () => {
          call.cancel()
        }
      },
    )
    return { incarnation: clock.incarnation, reply, cancel }
  }

  // gRPC queues a call on a connection that is not open, and its failure would not prove that nothing was sent.
  const isOpen = (): boolean =>
    client.getChannel().getConnectivityState(true) === grpc.connectivityState.READY

  probe()

  return {
    address,
    execute: (request, timeoutMs) =>
      agentClock === undefined || !isOpen() ? undefined : execute(request, timeoutMs, agentClock),
    resolve: async (requestId, agentIncarnation, timeoutMs) =>
      resolveAt(address, { cell: host.cell, requestId, agentIncarnation, peek: false }, timeoutMs),
    close: () => {
      closed = true
      clearTimeout(timer)
      client.close()
    },
  }
}
