/** gRPC server of a control replica. */
import * as grpc from '@grpc/grpc-js'
import * as peerTransport from '@ebonyweir/peer-transport'
import * as protocol from '@ebonyweir/protocol'
import * as results from 'ts-results-es'
import type * as calls from './calls.js'
import type * as context from './context.js'
import type * as leaderTerm from './leaderTerm.js'
import type * as membership from './membership.js'

/**
 * Longest wait for a valid lease before a new stream is redirected, in milliseconds: a lease is void for up to 0.55 s after
 * a suspension, and a heartbeat then confirms it.
 */
const LEASE_WAIT_MS = 700

const LEASE_CHECK_INTERVAL_MS = 50

export interface ServerParts {
  readonly calls: calls.CallHandlers
  readonly membership: membership.GroupMembership
  /** Current term while this replica leads. */
  readonly term: () => leaderTerm.LeaderTerm | undefined
}

export interface GrpcServer {
  readonly start: () => Promise<results.Result<undefined, string>>
  /** Waits up to `timeoutMs` milliseconds for calls in progress, then closes. */
  readonly stop: (timeoutMs: number) => Promise<void>
}

export const unary =
  <Request, Reply>(handle: (request: Request) => Reply | Promise<Reply>) =>
  (call: { readonly request: Request }, callback: grpc.sendUnaryData<Reply>): void => {
    Promise.resolve(handle(call.request)).then(
      (reply) => {
        callback(null, reply)
      },
      (error: unknown) => {
        callback({ code: grpc.status.INTERNAL, details: String(error) })
      },
    )
  }

type AttachCall = grpc.ServerDuplexStream<
  protocol.workflow.WorkerReport,
  protocol.workflow.WorkerOrders
>

/** Serves the stream of one agent until it ends or this replica stops leading. */
const serveAgent = (ctx: context.ControlContext, parts: ServerParts, call: AttachCall): void => {
  let session: ReturnType<leaderTerm.LeaderTerm['attach']> | undefined
  let attachedTerm: leaderTerm.LeaderTerm | undefined
  let waitSinceMs: number | undefined
  let leaseTimer: NodeJS.Timeout | undefined

  const close = (): void => {
    clearTimeout(leaseTimer)
    if (session !== undefined) attachedTerm?.detach(session)
    session = undefined
    call.end()
  }

  const redirect = (): void => {
    call.write({
      sequence: 0,
      fence: 0,
      streamNumber: 0,
      leaseUntilMs: 0,
      acknowledgedEnd: 0,
      starts: [],
      stops: [],
      hint: ctx.hint(),
      leading: false,
      worker: undefined,
      paces: [],
      unknownService: false,
      withdrawals: [],
    })
    close()
  }

  /** Whether this replica is a leader whose lease may be confirmed within `LEASE_WAIT_MS`. */
  const mayWaitForLease = (): boolean => {
    if (ctx.replica.leadership().role !== 'leader') return false
    waitSinceMs ??= ctx.nowMs()
    return ctx.nowMs() - waitSinceMs < LEASE_WAIT_MS
  }

  /** Handles a report; an error in it ends this stream only, and the agent attaches again. */
  const handle = (report: protocol.workflow.WorkerReport): void => {
    try {
      handleReport(report)
    } catch (error) {
      ctx.options.logger.error('report not handled', {
        agent: report.agent,
        detail: error instanceof Error ? (error.stack ?? error.message) : String(error),
      })
      close()
    }
  }

  const handleReport = (report: protocol.workflow.WorkerReport): void => {
    clearTimeout(leaseTimer)
    const term = parts.term()
    // The lease may be void for a moment; the agent repeats unanswered reports.
    if (term === undefined && session !== undefined) return
    const isSameCell = report.cell === ctx.options.cell
    if (term === undefined && isSameCell && mayWaitForLease()) {
      leaseTimer = setTimeout(handle, LEASE_CHECK_INTERVAL_MS, report)
      return
    }
    if (term === undefined || !isSameCell) {
      redirect()
      return
    }
    if (attachedTerm !== undefined && attachedTerm !== term) {
      redirect()
      return
    }
    attachedTerm = term
    session ??= term.attach(report.agent, {
      send: (orders) => {
        ctx.work.measure('send', () => call.write(orders))
      },
      end: () => {
        call.end()
      },
    })
    term.handleReport(session, report)
  }

  // Signals to the agent that the stream is accepted before the first report is handled.
  call.sendMetadata(new grpc.Metadata())
  call.on('data', handle)
  call.on('end', close)
  call.on('error', close)
  call.on('cancelled', close)
}

export const createGrpcServer = (ctx: context.ControlContext, parts: ServerParts): GrpcServer => {
  const server = new grpc.Server(peerTransport.CHANNEL_OPTIONS)
  const replication = peerTransport.createReplicationService({
    deliver: (envelope) => {
      ctx.work.measure('receive', () => {
        ctx.replica.deliver(envelope)
      })
    },
  })
  const { grpcAddress } = ctx.options
  server.addService(protocol.replication.ReplicationService, { ...replication.handlers })
  server.addService(protocol.workflow.WorkflowService, {
    submit: unary(parts.calls.submit),
    cancel: unary(parts.calls.cancel),
    inspect: unary(parts.calls.inspect),
    countPending: unary(parts.calls.countPending),
    explain: unary(parts.calls.explain),
    configure: unary(parts.calls.configure),
    readConfiguration: unary(parts.calls.readConfiguration),
    prepareEvacuation: unary(parts.calls.prepareEvacuation),
    evacuate: unary(parts.calls.evacuate),
    contact: unary(parts.calls.contact),
    identify: unary(parts.membership.identify),
    join: unary(parts.membership.join),
    attach: (call: AttachCall) => {
      serveAgent(ctx, parts, call)
    },
  })

  const start: GrpcServer['start'] = () =>
    new Promise((resolve) => {
      server.bindAsync(grpcAddress, grpc.ServerCredentials.createInsecure(), (error) => {
        if (error === null) resolve(results.Ok(undefined))
        else resolve(results.Err(`cannot listen on ${grpcAddress}: ${error.message}`))
      })
    })

  const stop: GrpcServer['stop'] = (timeoutMs) =>
    new Promise((resolve) => {
      replication.end()
      const timer = setTimeout(() => {
        server.forceShutdown()
        resolve()
      }, timeoutMs)
      server.tryShutdown(() => {
        clearTimeout(timer)
        resolve()
      })
    })

  return { start, stop }
}
