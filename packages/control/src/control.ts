/** The control role: one replica of a cell's control group with its servers. */
import * as controlState from '@ebonyweir/control-state'
import * as peerTransport from '@ebonyweir/peer-transport'
import * as protocol from '@ebonyweir/protocol'
import * as replica from '@ebonyweir/replica'
import * as results from 'ts-results-es'
import * as claims from './claims.js'
import type * as context from './context.js'
import * as explainRoutes from './explainRoutes.js'
import * as grpcServer from './grpcServer.js'
import * as httpRouter from './httpRouter.js'
import * as httpServer from './httpServer.js'
import * as jobRoutes from './jobRoutes.js'
import * as leaderTerms from './leaderTerm.js'
import * as memberRoutes from './memberRoutes.js'
import * as metrics from './metrics.js'
import * as options from './options.js'
import * as replies from './replies.js'
import * as rulesAdapter from './rulesAdapter.js'
import * as rulesRoutes from './rulesRoutes.js'
import * as schedulingLoop from './schedulingLoop.js'
import * as statusRoutes from './statusRoutes.js'
import * as workerSync from './workerSync.js'

/** An agent whose configuration lease has expired refuses new work and leaves the directory. */
const AGENT_LIFETIME_MS = protocol.limits.CONFIG_LEASE_MS
const CLAIM_CHECK_INTERVAL_MS = 30_000
const BURN_EXPIRY_INTERVAL_MS = 60_000
const DIRECTORY_EXPIRY_INTERVAL_MS = 500
const GRPC_STOP_TIMEOUT_MS = 1_000

export interface ControlAddresses {
  readonly grpcAddress: string
  readonly httpAddress: string
}

/** Why the role did not start or cannot continue. `detail` is a human-readable message. */
export interface ControlError {
  readonly reason: 'data-folder' | 'listen' | 'disk' | 'invariant'
  readonly detail: string
}

export interface Control {
  /** Opens the data folder and starts the servers. */
  readonly start: () => Promise<results.Result<ControlAddresses, ControlError>>
  /** Resolves after a disk failure or a broken invariant. The process must then exit. */
  readonly failed: Promise<ControlError>
  /** Transfers leadership and closes the servers once requests in progress have finished. */
  readonly stop: () => Promise<void>
}

const decodeCommand = (payload: Uint8Array): protocol.command.Command =>
  protocol.command.Command.decode(payload)

const createStateMachine = (
  state: controlState.ControlState,
): replica.StateMachine<controlState.Outcome> => ({
  apply: (entry) => state.apply(decodeCommand(entry.payload), entry.index),
  snapshot: () => state.snapshot(),
  restore: (bytes) => {
    const restored = state.restore(bytes)
    if (restored.isErr()) throw new Error(`snapshot refused: ${JSON.stringify(restored.error)}`)
  },
})

const createRoutes = (
  ctx: context.ControlContext,
  controlMetrics: metrics.ControlMetrics,
): readonly httpRouter.Route[] => [
  ...rulesRoutes.rulesRoutes(ctx),
  ...jobRoutes.jobRoutes(ctx),
  ...statusRoutes.statusRoutes(ctx),
  ...memberRoutes.memberRoutes(ctx),
  ...explainRoutes.explainRoutes(ctx),
  {
    method: 'POST',
    path: '/v1/workers/{worker}/sync',
    handle: ({ params, body }) => workerSync.syncWorker(ctx, params.worker ?? '', body),
  },
  { method: 'GET', path: '/healthz', handle: () => replies.ok({ status: 'ok' }) },
  {
    method: 'GET',
    path: '/readyz',
    handle: () => {
      const { leader, role, term, leaseValid } = ctx.replica.leadership()
      const isReady = leader !== undefined
      return { status: isReady ? 200 : 503, body: { role, term, leaseValid, leader: leader?.id } }
    },
  },
  {
    method: 'GET',
    path: '/metrics',
    handle: async () => ({
      status: 200,
      body: await controlMetrics.render(),
      contentType: controlMetrics.contentType,
    }),
  },
]

/** Creates a control replica. It does not listen before `start`. */
export const createControl = (given: options.ControlOptions): Control => {
  const resolved = options.resolveControlOptions(given)
  const state = controlState.createControlState({ parseRules: rulesAdapter.parseRules })
  const peers = peerTransport.createTransport()
  const nowMs = (): number => performance.now()
  const timers: NodeJS.Timeout[] = []
  let reportFailure: (error: ControlError) => void = () => undefined
  const failed = new Promise<ControlError>((resolve) => {
    reportFailure = resolve
  })
  let leaderTerm: leaderTerms.LeaderTerm | undefined
  let running: { readonly stop: () => Promise<void> } | undefined

  const currentTerm = (
    node: replica.Replica<controlState.Outcome>,
  ): leaderTerms.LeaderTerm | undefined => {
    const { role, term, leaseValid } = node.leadership()
    if (role !== 'leader') leaderTerm = undefined
    if (role !== 'leader' || !leaseValid) return undefined
    if (leaderTerm?.term !== term) {
      leaderTerm = leaderTerms.createLeaderTerm(term, nowMs())
      resolved.logger.info('leading', { term })
    }
    return leaderTerm
  }

  const createContext = (node: replica.Replica<controlState.Outcome>): context.ControlContext => ({
    options: resolved,
    replica: node,
    view: state.view,
    nowMs,
    term: () => currentTerm(node),
    propose: async (body) => {
      const command = protocol.command.Command.encode({ nowMs: Date.now(), body }).finish()
      const committed = await node.propose(command)
      return committed.map(({ outcome }) => outcome)
    },
  })

  const every = (intervalMs: number, run: () => void): void => {
    timers.push(setInterval(run, intervalMs))
  }

  const startTimers = (ctx: context.ControlContext): void => {
    every(resolved.scheduleIntervalMs, () => {
      schedulingLoop.runSchedulingRound(ctx)
    })
    every(DIRECTORY_EXPIRY_INTERVAL_MS, () => {
      ctx.term()?.directory.expire(AGENT_LIFETIME_MS, nowMs())
    })
    every(CLAIM_CHECK_INTERVAL_MS, () => {
      claims.settleAbandonedClaims(ctx)
    })
    every(BURN_EXPIRY_INTERVAL_MS, () => {
      ctx.term()?.burn.expire(Date.now())
    })
  }

  const start: Control['start'] = async () => {
    const opened = await replica.createReplica({
      cell: resolved.cell,
      dataFolder: resolved.dataFolder,
      stateMachine: createStateMachine(state),
      transport: peers,
      onFatal: ({ kind, detail }) => {
        reportFailure({ reason: kind, detail })
      },
    })
    if (opened.isErr()) {
      const detail = `cannot open ${resolved.dataFolder}: ${opened.error.detail}`
      return results.Err({ reason: 'data-folder', detail })
    }
    const node = opened.value
    const ctx = createContext(node)
    const grpcEndpoint = grpcServer.createGrpcServer(ctx)
    const controlMetrics = metrics.createControlMetrics(ctx)
    const http = httpServer.createListener(
      createRoutes(ctx, controlMetrics),
      resolved.httpAddress,
      (error) => {
        resolved.logger.error('request failed', { error: String(error) })
      },
    )
    const bound = await grpcEndpoint.start()
    if (bound.isErr()) return results.Err({ reason: 'listen', detail: bound.error })
    const listening = await http.start()
    if (listening.isErr()) return results.Err({ reason: 'listen', detail: listening.error })
    node.start()
    startTimers(ctx)
    running = {
      stop: async () => {
        // Without the transfer, the other replicas would elect a leader only after an election timeout.
        if (node.leadership().role === 'leader') await node.transferLeadership()
        await http.stop()
        await node.stop()
        await grpcEndpoint.stop(GRPC_STOP_TIMEOUT_MS)
        peers.close()
      },
    }
    const { grpcAddress, httpAddress } = resolved
    return results.Ok({ grpcAddress, httpAddress })
  }

  const stop: Control['stop'] = async () => {
    for (const timer of timers.splice(0)) clearInterval(timer)
    await running?.stop()
    running = undefined
  }

  return { start, stop, failed }
}
