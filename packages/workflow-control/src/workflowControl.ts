/** Control role for graph jobs: one replica, its servers and, while it leads, the leader's term. */
import * as perfHooks from 'node:perf_hooks'
import * as timers from 'node:timers/promises'
import * as peerTransport from '@ebonyweir/peer-transport'
import * as protocol from '@ebonyweir/protocol'
import * as replica from '@ebonyweir/replica'
import * as storage from '@ebonyweir/storage'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as workflowState from '@ebonyweir/workflow-state'
import * as results from 'ts-results-es'
import * as admissionCounters from './admissionCounter.js'
import * as calls from './calls.js'
import * as commitStallMonitor from './commitStallMonitor.js'
import type * as context from './context.js'
import * as endMonitors from './endMonitor.js'
import * as grpcServer from './grpcServer.js'
import * as housekeeping from './housekeeping.js'
import * as leaderTerms from './leaderTerm.js'
import * as eventLoopMonitor from './eventLoopMonitor.js'
import * as membership from './membership.js'
import type * as options from './options.js'
import * as suspension from './suspension.js'
import * as workLogs from './workLog.js'
import * as workStatistics from './workStatistics.js'

/** Interval at which leadership and due occurrences are checked, in milliseconds. */
const TICK_MS = 50

/** Longest wait for calls in progress when the role stops, in milliseconds. */
const GRPC_STOP_TIMEOUT_MS = 500

/** Time between two checks of a full disk, in milliseconds: short compared to the time a replica needs to catch up. */
const FULL_DISK_RETRY_MS = 250

/** Entries after which a snapshot is taken, which bounds the replay after a restart. */
const SNAPSHOT_EVERY_ENTRIES = 4_000

/** Bytes after which a snapshot is taken, far below the smallest disk. */
const SNAPSHOT_EVERY_BYTES = 4 * 1024 * 1024

/** Limit on the keys of the fair shares in the metrics, which bounds the size of a scrape. */
const MAX_SHARE_KEYS = 32

/** Why the role did not start or cannot continue; `detail` is a human-readable description. */
export interface ControlError {
  readonly reason: 'data-folder' | 'listen' | 'disk' | 'invariant'
  readonly detail: string
}

export interface WorkflowControl {
  readonly start: () => Promise<results.Result<undefined, ControlError>>
  /** Resolves after a disk failure or a violated invariant; the process must then exit. */
  readonly failed: Promise<ControlError>
  /** Transfers leadership and closes the servers. */
  readonly stop: () => Promise<void>
  /** Values for the metrics of the process. */
  readonly figures: () => ControlFigures
  /** Largest event loop delay since the last call, in milliseconds. */
  readonly takeMaxDelayMs: () => number
}

export interface ControlFigures {
  readonly leading: boolean
  readonly term: number
  readonly commitIndex: number
  /** Time for which the leader's oldest uncommitted entry has been waiting, in milliseconds. */
  readonly commitStalledMs: number
  readonly jobs: number
  readonly readySteps: number
  readonly attachedWorkers: number
  /** What the leader's model of task durations has learned; zero on other replicas. */
  readonly learnedDurations: scheduling.LearnedCounts
  /** Usage in core seconds of the keys with the largest usage in the fair shares; empty unless this replica leads. */
  readonly shareUsageCoreS: ReadonlyMap<string, number>
  readonly ends: endMonitors.EndCounts
  readonly admissions: admissionCounters.AdmissionCounts
  /** Work done since the start of the process. */
  readonly work: workStatistics.WorkTotals
}

const createStateMachine = (
  state: workflowState.WorkflowState,
  work: workStatistics.WorkStatistics,
): replica.StateMachine<workflowState.Outcome> => ({
  apply: ({ payload }) =>
    work.measure('apply', () => state.apply(protocol.workflow.WorkflowCommand.decode(payload))),
  snapshot: () => state.snapshot(),
  restore: (bytes) => {
    state.restore(bytes)
  },
})

/** Creates a control replica; it does not listen before `start`. */
export const createWorkflowControl = (
  controlOptions: options.WorkflowControlOptions,
): WorkflowControl => {
  const { logger, timing } = controlOptions
  const state = workflowState.createWorkflowState()
  const peers = peerTransport.createTransport()
  const nowMs = (): number => performance.now()
  const createdMs = nowMs()
  const admissionCounter = admissionCounters.createAdmissionCounter()
  const endCounter = endMonitors.createEndCounter()
  const guard = suspension.createSuspensionGuard({ voidMs: timing.leaderLeaseMs })
  const work = workStatistics.createWorkStatistics(nowMs)
  const loopMonitor = eventLoopMonitor.createEventLoopMonitor({ nowMs, logger, work })
  const workLog = workLogs.createWorkLog({
    logger,
    work,
    busyMs: () => perfHooks.performance.eventLoopUtilization().active,
    isLeading: () => node?.leadership().role === 'leader',
  })
  const commitMonitor = commitStallMonitor.createCommitStallMonitor({ nowMs, logger })
  let node: replica.Replica<workflowState.Outcome> | undefined
  let term: leaderTerms.LeaderTerm | undefined
  let running: { readonly stop: () => Promise<void> } | undefined
  let stopped = false
  let reportFailure: (error: ControlError) => void = () => undefined
  const failed = new Promise<ControlError>((resolve) => {
    reportFailure = resolve
  })

  const createContext = (own: replica.Replica<workflowState.Outcome>): context.ControlContext => ({
    options: controlOptions,
    replica: own,
    view: state.view,
    nowMs,
    leadingTerm: () => {
      const suspended = guard.isVoid()
      const { role, leaseValid, term: number } = own.leadership()
      return role === 'leader' && leaseValid && !suspended ? number : undefined
    },
    propose: async (body) => {
      const command = protocol.workflow.WorkflowCommand.encode({ nowMs: Date.now(), body })
      work.count('proposals')
      const committed = await own.propose(command.finish())
      if (committed.isOk()) work.count('commits')
      return committed.map(({ outcome }) => outcome)
    },
    work,
    hint: () => {
      const { leader, role } = own.leadership()
      const members = own.membersStatus().members.map(({ address }) => address)
      // A leader whose lease has expired may have been replaced without noticing.
      return { leader: role === 'leader' ? '' : (leader?.address ?? ''), members }
    },
  })

  /** Starts or stops a term after a leadership change. */
  const followLeadership = (ctx: context.ControlContext): void => {
    const leading = ctx.leadingTerm()
    const { role, term: current } = ctx.replica.leadership()
    const isOver = term !== undefined && (role !== 'leader' || current !== term.term)
    if (isOver) {
      logger.warn('no longer leading', { term: term?.term })
      term?.stop()
      term = undefined
    }
    if (leading === undefined || term !== undefined) return
    logger.info('leading', {
      term: leading,
      jobs: state.view.jobs.size,
      sinceStartMs: Math.round(nowMs() - createdMs),
    })
    term = leaderTerms.createLeaderTerm(ctx, leading, endCounter, undefined, admissionCounter)
  }

  const limit = scheduling.createAcceptAll()

  /** Decides by the present term; before it has started, only the limit on open jobs applies. */
  const admit = (
    ctx: context.ControlContext,
    request: scheduling.AdmissionRequest,
  ): scheduling.Admission => {
    if (term !== undefined && ctx.leadingTerm() === term.term) return term.admit(request)
    const admission = limit.decide(request, { view: ctx.view }, nowMs())
    admissionCounter.countDecision(admission)
    return admission
  }

  /** Waits until the disk has space: a replica started on a full disk would fail at its first write, on every restart. */
  const waitForSpace = async (): Promise<void> => {
    const { dataFolder: folder, fileSystem } = controlOptions
    for (let waited = false; !stopped; waited = true) {
      const probed = await storage.probeSpace({ folder, fileSystem })
      if (probed.isOk() || !probed.error.isFull) {
        if (waited) logger.info('disk takes bytes again', { dataFolder: folder })
        return
      }
      if (!waited) logger.warn('disk is full', { dataFolder: folder, detail: probed.error.detail })
      await timers.setTimeout(FULL_DISK_RETRY_MS)
    }
  }

  const start: WorkflowControl['start'] = async () => {
    await waitForSpace()
    if (stopped) return results.Err({ reason: 'disk', detail: 'stopped while the disk was full' })
    const opened = await replica.createReplica<workflowState.Outcome>({
      cell: controlOptions.cell,
      dataFolder: controlOptions.dataFolder,
      fileSystem: controlOptions.fileSystem,
      stateMachine: createStateMachine(state, work),
      transport: {
        ...peers,
        send: (envelope, address) => {
          work.measure('replicate', () => {
            peers.send(envelope, address)
          })
        },
      },
      consensus: {
        heartbeatMs: timing.heartbeatMs,
        electionTimeoutMinMs: timing.electionTimeoutMinMs,
        electionTimeoutMaxMs: timing.electionTimeoutMaxMs,
        startupTimeoutMinMs: timing.startupTimeoutMinMs,
        startupTimeoutMaxMs: timing.startupTimeoutMaxMs,
        leaderLeaseMs: timing.leaderLeaseMs,
      },
      processStartMs: controlOptions.processStartMs,
      snapshotEveryEntries: SNAPSHOT_EVERY_ENTRIES,
      snapshotEveryBytes: SNAPSHOT_EVERY_BYTES,
      onFatal: ({ kind, detail }) => {
        reportFailure({ reason: kind, detail })
      },
    })
    if (opened.isErr()) {
      const detail = `cannot open ${controlOptions.dataFolder}: ${opened.error.detail}`
      return results.Err({ reason: 'data-folder', detail })
    }
    const own = opened.value
    node = own
    logger.info('log read', {
      jobs: state.view.jobs.size,
      sinceStartMs: Math.round(nowMs() - createdMs),
    })
    const ctx = createContext(own)
    const onChange = (): void => {
      term?.dispatch()
    }
    const group = membership.createGroupMembership(ctx)
    const server = grpcServer.createGrpcServer(ctx, {
      calls: calls.createCallHandlers(ctx, {
        onChange,
        hasStarted: (job) => term?.hasStarted(job) ?? false,
        explain: (job) => term?.explain(job),
        admit: (request) => admit(ctx, request),
      }),
      membership: group,
      term: () => (ctx.leadingTerm() === term?.term ? term : undefined),
    })
    const bound = await server.start()
    if (bound.isErr()) return results.Err({ reason: 'listen', detail: bound.error })
    own.start()
    group.start()
    loopMonitor.start()
    workLog.start()
    let busy = false
    const timer = setInterval(() => {
      followLeadership(ctx)
      commitMonitor.check(own.leadership().role === 'leader', own.membersStatus())
      if (busy) return
      busy = true
      void housekeeping.runHousekeeping(ctx, onChange).finally(() => {
        busy = false
      })
    }, TICK_MS)
    running = {
      stop: async () => {
        clearInterval(timer)
        loopMonitor.stop()
        workLog.stop()
        group.stop()
        term?.stop()
        term = undefined
        // Without the transfer, the other replicas would first wait for an election timeout.
        if (own.leadership().role === 'leader') await own.transferLeadership()
        await own.stop()
        await server.stop(GRPC_STOP_TIMEOUT_MS)
        peers.close()
      },
    }
    return results.Ok(undefined)
  }

  return {
    start,
    failed,
    stop: async () => {
      stopped = true
      await running?.stop()
      running = undefined
    },
    figures: () => {
      const leadership = node?.leadership()
      return {
        leading: leadership?.role === 'leader',
        term: leadership?.term ?? 0,
        commitIndex: node?.membersStatus().commitIndex ?? 0,
        commitStalledMs: commitMonitor.stalledMs(),
        jobs: state.view.jobs.size,
        readySteps: state.view.readySteps.size,
        attachedWorkers: term?.sessionCount() ?? 0,
        learnedDurations: term?.learnedDurations() ?? { images: 0, observations: 0 },
        shareUsageCoreS: term?.shares?.usageCoreS(MAX_SHARE_KEYS) ?? new Map(),
        ends: endCounter,
        admissions: admissionCounter,
        work: work.totals(),
      }
    },
    takeMaxDelayMs: loopMonitor.takeMaxDelayMs,
  }
}
