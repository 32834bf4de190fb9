/** Agent beside one worker. It decides nothing about tasks but their pace, and keeps no durable state. */
import * as timers from 'node:timers/promises'
import type * as protocol from '@ebonyweir/protocol'
import type * as telemetry from '@ebonyweir/telemetry/logger'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as workflowState from '@ebonyweir/workflow-state'
import type * as attachTraces from './attachTrace.js'
import * as leaderStreams from './leaderStream.js'
import * as pauses from './pause.js'
import type * as runners from './runner.js'
import * as runTables from './runTable.js'

/** Time for which a list call waits for an end, in milliseconds; figures for pacing are half a second old anyway. */
const LIST_WAIT_MS = 400

/** Pause after a list call that failed, in milliseconds. */
const LIST_PAUSE_MS = 150

/**
 * Longest wait for the acknowledgement of listed ends, in milliseconds: the interval of lists without ends, so that a
 * leader that commits late does not get more reports for it.
 */
const ACKNOWLEDGE_WAIT_MS = LIST_WAIT_MS

/** Longest time between two reports while the worker does not answer, in milliseconds. */
const REPORT_INTERVAL_MS = 400

/**
 * Time after a call for a pace without an answer in which the pace is set again with each list, in milliseconds: the worker
 * may carry such a call out seconds later, after newer ones. Nobody gives a bound; starts are bounded by their lease, which
 * is up to 10 s.
 */
const LATE_PACE_MS = 10_000

/** What a worker says of itself. */
export interface Announcement {
  readonly worker: Omit<protocol.workflow.WorkerDescription, 'identity'> & {
    readonly identity: Omit<protocol.workflow.WorkerIdentity, 'agent'>
  }
  /** Rises with each announcement of one incarnation. */
  readonly sequence: number
  readonly draining: boolean
  readonly drainRemainingMs: number
}

export interface WorkerAgentOptions {
  readonly cell: string
  /** Name of the agent, unique in its cell. */
  readonly name: string
  /** gRPC addresses of control replicas from the settings; read again at each use. */
  readonly seeds: () => readonly string[]
  readonly runner: runners.Runner
  readonly logger: telemetry.Logger
  /** Metrics of the attempts to attach. @default none */
  readonly attachMetrics?: attachTraces.AttachMetrics
  /** Monotonic clock in milliseconds. @default performance.now */
  readonly nowMs?: () => number
}

export interface WorkerAgent {
  /** Takes an announcement over; one of an older incarnation or out of order has no effect. */
  readonly announce: (announcement: Announcement) => void
  /** The worker with this id has left. */
  readonly leave: (workerId: string) => void
  readonly isAttached: () => boolean
  readonly start: () => void
  readonly stop: () => void
}

/** Announcement with the agent's own name in the identity. */
interface OwnAnnouncement extends Announcement {
  readonly worker: Announcement['worker'] & {
    readonly identity: protocol.workflow.WorkerIdentity
  }
}

/** State of one incarnation of the worker. */
interface Life {
  announcement: OwnAnnouncement
  readonly table: runTables.RunTable
  leaseUntilMs: number
  acknowledgedEnd: number
  /** Highest number of an end in the newest list. */
  listedEnd: number
  /** Pause of the list loop until the listed ends are acknowledged or someone waits for a list. */
  readonly acknowledgement: pauses.Pause
  list: runners.WorkerList | undefined
  /** Whether the worker answered the newest call for a list as this incarnation. */
  isAnswering: boolean
  sample: number
  alarm: scheduling.Alarm
  ended: boolean
  readonly listWaiters: ((list: runners.WorkerList | undefined) => void)[]
  /** Waiters whose list call is under way. */
  readonly servedWaiters: ((list: runners.WorkerList | undefined) => void)[]
}

interface SentRejection {
  readonly rejection: protocol.workflow.Rejection
  sentSequence: number
}

/** Adds the pace that the worker confirmed. */
const withPace = (
  task: protocol.workflow.RunningTask,
  table: runTables.RunTable | undefined,
): protocol.workflow.RunningTask => {
  const entry = task.run && table?.entryOf(task.run)
  return entry === undefined ? task : { ...task, pacePercent: entry.pacePercent }
}

export const createWorkerAgent = (options: WorkerAgentOptions): WorkerAgent => {
  const { cell, name, runner, logger } = options
  const nowMs = options.nowMs ?? (() => performance.now())
  let life: Life | undefined
  let fence: number | undefined
  let reportSequence = 0
  let reportedMs = 0
  let stopped = true
  let rejections: SentRejection[] = []
  let reportTimer: NodeJS.Timeout | undefined

  const report = (): void => {
    if (life === undefined) return
    const { announcement, list } = life
    reportSequence += 1
    reportedMs = nowMs()
    const sent = stream.send({
      cell,
      agent: name,
      sequence: reportSequence,
      worker: announcement.worker,
      draining: announcement.draining,
      drainRemainingMs: announcement.drainRemainingMs,
      clockMs: list?.clockMs ?? 0,
      sample: life.sample,
      running: (list?.running ?? []).map((task) => withPace(task, life?.table)),
      ended: list?.ended ?? [],
      rejected: rejections.map(({ rejection }) => rejection),
    })
    if (!sent) return
    for (const entry of rejections) {
      if (entry.sentSequence === 0) entry.sentSequence = reportSequence
    }
  }

  /**
   * Whether a rejection of the run is on its way to the leader. An order that was sent before it arrived would start the
   * run here while its next run is assigned.
   */
  const isRejecting = ({ run }: protocol.workflow.StartOrder): boolean =>
    run !== undefined &&
    rejections.some(
      ({ rejection }) =>
        rejection.run !== undefined &&
        workflowState.runKey(rejection.run) === workflowState.runKey(run),
    )

  const onOrders = (orders: protocol.workflow.WorkerOrders): void => {
    if (fence !== undefined && orders.fence < fence) {
      stream.restart(`its fence ${orders.fence} is older than ${fence}`)
      return
    }
    fence = orders.fence
    rejections = rejections.filter(
      ({ sentSequence }) => sentSequence === 0 || sentSequence > orders.sequence,
    )
    const { worker } = orders
    const own = life?.announcement.worker.identity
    if (life === undefined || own === undefined || worker === undefined) return
    if (workflowState.workerKey(worker) !== workflowState.workerKey(own)) return
    life.leaseUntilMs = Math.max(life.leaseUntilMs, orders.leaseUntilMs)
    life.acknowledgedEnd = Math.max(life.acknowledgedEnd, orders.acknowledgedEnd)
    if (life.acknowledgedEnd >= life.listedEnd) life.acknowledgement.end()
    for (const order of orders.starts) if (!isRejecting(order)) life.table.start(order)
    for (const run of orders.stops) life.table.stop(run)
    for (const { run, percent } of orders.paces) {
      const entry = run && life.table.entryOf(run)
      if (entry !== undefined) entry.orderedPercent = percent
    }
    if (orders.paces.length > 0 && life.list !== undefined) void applyPaces(life, life.list)
  }

  const stream = leaderStreams.createLeaderStream({
    seeds: options.seeds,
    logger,
    nowMs,
    metrics: options.attachMetrics,
    onOrders,
    onAdopted: () => life?.table.dropOpenOrders(),
    onReportDue: () => {
      for (const entry of rejections) entry.sentSequence = 0
      report()
    },
  })

  const setPace = async (current: Life, entry: runTables.RunEntry): Promise<void> => {
    const percent = current.alarm.raised ? 0 : entry.orderedPercent
    const isCertain = entry.isPaceKnown && nowMs() >= entry.paceCertainAtMs
    if (!entry.order.filling || (isCertain && percent === entry.pacePercent)) return
    const { identity } = current.announcement.worker
    const answer = await runner.pace(identity, entry.run, percent, fence ?? 0)
    if (answer === 'unanswered') entry.paceCertainAtMs = nowMs() + LATE_PACE_MS
    if (answer !== 'done') return
    entry.pacePercent = percent
    entry.isPaceKnown = true
  }

  /** Carries the ordered paces out; pauses every filler while a target is missed for long. */
  const applyPaces = async (current: Life, list: runners.WorkerList): Promise<void> => {
    const serving: { readonly tailMs: number; readonly targetMs: number }[] = []
    const fillers: runTables.RunEntry[] = []
    for (const { run, figure } of list.running) {
      const entry = run && current.table.entryOf(run)
      if (entry === undefined) continue
      const { tailTargetMs, filling } = entry.order
      if (tailTargetMs > 0) serving.push({ tailMs: figure, targetMs: tailTargetMs })
      else if (filling) fillers.push(entry)
    }
    const alarm = scheduling.nextAlarm(current.alarm, serving, nowMs())
    if (alarm.raised !== current.alarm.raised) {
      logger.info('fillers paused by alarm', { raised: alarm.raised, serving })
    }
    current.alarm = alarm
    await Promise.all(fillers.map((entry) => setPace(current, entry)))
  }

  const noteList = (current: Life, list: runners.WorkerList): void => {
    const { identity } = current.announcement.worker
    if (list.bornMs !== identity.bornMs) {
      if (list.bornMs > identity.bornMs) restartAs(current, list.bornMs)
      return
    }
    current.list = list
    current.isAnswering = true
    current.sample += 1
    current.table.note(list)
    for (const waiter of current.servedWaiters.splice(0)) waiter(list)
    void applyPaces(current, list)
    report()
  }

  const listLoop = async (current: Life): Promise<void> => {
    while (!stopped && !current.ended && life === current) {
      if (fence === undefined) {
        await timers.setTimeout(LIST_PAUSE_MS)
        continue
      }
      const { worker } = current.announcement
      const { isAnswering } = current
      current.servedWaiters.push(...current.listWaiters.splice(0))
      const answer = await runner.list(worker.identity, {
        fence,
        // A later incarnation under this id would forget ends of its own, whose numbers begin at 1 again.
        acknowledgedEnd: isAnswering ? current.acknowledgedEnd : 0,
        leaseUntilMs: current.leaseUntilMs > 0 ? current.leaseUntilMs : undefined,
        waitMs: current.servedWaiters.length > 0 || !isAnswering ? 0 : LIST_WAIT_MS,
      })
      if (life !== current) return
      if (answer.kind === 'list') {
        current.listedEnd = Math.max(0, ...answer.list.ended.map(({ number }) => number))
        noteList(current, answer.list)
        // The worker answers at once while it has ends that are not acknowledged.
        const isPending = current.listedEnd > current.acknowledgedEnd
        if (isPending && current.listWaiters.length === 0) {
          await current.acknowledgement.wait(ACKNOWLEDGE_WAIT_MS)
        }
        continue
      }
      current.isAnswering = false
      if (answer.kind === 'fence') stream.restart('the worker has seen a higher fence')
      await timers.setTimeout(LIST_PAUSE_MS)
    }
  }

  const endLife = (ending: Life): void => {
    ending.ended = true
    ending.table.close()
    ending.acknowledgement.end()
    for (const waiter of ending.listWaiters.splice(0)) waiter(undefined)
    for (const waiter of ending.servedWaiters.splice(0)) waiter(undefined)
  }

  const beginLife = (announcement: OwnAnnouncement): void => {
    if (life !== undefined) endLife(life)
    rejections = []
    const { identity } = announcement.worker
    const table = runTables.createRunTable({
      identity,
      runner,
      logger,
      fence: () => fence ?? 0,
      leaseUntilMs: () => begun.leaseUntilMs,
      mayStart: () => !begun.announcement.draining && !begun.ended && stream.isAttached(),
      isAnswering: () => begun.isAnswering,
      nextList: () =>
        new Promise((resolve) => {
          if (begun.ended) resolve(undefined)
          else {
            begun.listWaiters.push(resolve)
            begun.acknowledgement.end()
          }
        }),
      onRejected: (rejection) => {
        rejections.push({ rejection, sentSequence: 0 })
        report()
      },
      onStarted: (entry) => {
        void setPace(begun, entry)
      },
      onFenced: () => {
        stream.restart('the worker has seen a higher fence')
      },
    })
    const begun: Life = {
      announcement,
      table,
      leaseUntilMs: 0,
      acknowledgedEnd: 0,
      listedEnd: 0,
      acknowledgement: pauses.createPause(),
      list: undefined,
      isAnswering: false,
      sample: 0,
      alarm: scheduling.NO_ALARM,
      ended: false,
      listWaiters: [],
      servedWaiters: [],
    }
    life = begun
    logger.info('worker announced', { worker: identity.id, bornMs: identity.bornMs })
    report()
    void listLoop(begun)
  }

  /** A list shows a later incarnation than the announcements do. */
  const restartAs = ({ announcement }: Life, bornMs: number): void => {
    const identity = { ...announcement.worker.identity, bornMs }
    beginLife({
      worker: { ...announcement.worker, identity },
      sequence: 0,
      draining: false,
      drainRemainingMs: 0,
    })
  }

  const announce: WorkerAgent['announce'] = (given) => {
    const identity = { ...given.worker.identity, agent: name }
    const announcement: OwnAnnouncement = { ...given, worker: { ...given.worker, identity } }
    const known = life?.announcement
    const isSame =
      known !== undefined &&
      workflowState.workerKey(known.worker.identity) === workflowState.workerKey(identity)
    if (life !== undefined && known !== undefined && isSame) {
      if (announcement.sequence <= known.sequence) return
      const changed = known.draining !== announcement.draining
      life.announcement = announcement
      if (changed) {
        logger.info('worker draining', { worker: identity.id, draining: announcement.draining })
        report()
      }
      return
    }
    if (known !== undefined && identity.bornMs < known.worker.identity.bornMs) return
    beginLife(announcement)
  }

  return {
    announce,
    leave: (workerId) => {
      logger.info('worker left', { worker: workerId })
    },
    isAttached: () => stream.isAttached(),
    start: () => {
      stopped = false
      stream.start()
      reportTimer = setInterval(() => {
        if (nowMs() - reportedMs >= REPORT_INTERVAL_MS) report()
      }, REPORT_INTERVAL_MS / 2)
    },
    stop: () => {
      stopped = true
      clearInterval(reportTimer)
      if (life !== undefined) endLife(life)
      stream.stop()
    },
  }
}
