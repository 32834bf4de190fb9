/** Agent of one worker. It decides only the pace of best-effort tasks and keeps no durable state. */
import * as timers from 'node:timers/promises'
import type * as protocol from '@ebonyweir/protocol'
import type * as telemetry from '@ebonyweir/telemetry/logger'
import * as workflowState from '@ebonyweir/workflow-state'
import type * as announcements from './announcement.js'
import * as announcementSeries from './announcementSeries.js'
import type * as attachTraces from './attachTrace.js'
import * as bestEffortPaces from './bestEffortPaces.js'
import * as fenceSequences from './fenceSequence.js'
import * as incarnationProbes from './incarnationProbe.js'
import * as leaderStreams from './leaderStream.js'
import * as interruptibleDelays from './interruptibleDelay.js'
import type * as runners from './runner.js'
import * as runTables from './runTable.js'

/** Long-poll time of a list call; more frequent lists are of no use, since figures for pacing are 0.5 s old anyway. */
const LIST_WAIT_MS = 400

/** Delay after a failed list call. */
const LIST_RETRY_DELAY_MS = 150

/**
 * Longest wait for the acknowledgement of listed ends: the interval of lists without ends, so that a leader that commits
 * slowly does not get additional reports.
 */
const ACKNOWLEDGEMENT_TIMEOUT_MS = LIST_WAIT_MS

/** Longest time between two reports while the worker does not answer. */
const REPORT_INTERVAL_MS = 400

/** Lists of an earlier incarnation in a row after which an announcement is not followed any more. */
const MAX_EARLIER_LISTS = 3

/** Largest step from one end number to the next; a worker lists 500 ends at a time, numbered one after the other. */
const MAX_END_NUMBER_GAP = 100_000

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
  /** Applies an announcement unless the worker's answers or its other announcements contradict it. */
  readonly announce: (announcement: announcements.Announcement) => void
  readonly leave: (workerId: string) => void
  readonly isAttached: () => boolean
  /** Announcements of incarnations that the worker's own answers ruled out, since the start. */
  readonly refutedAnnouncements: () => number
  /** Lists of the followed incarnations that did not contain all of their ends, since the start. */
  readonly incompleteLists: () => number
  readonly start: () => void
  readonly stop: () => void
}

/** State of one incarnation of the worker. */
interface WorkerIncarnation {
  readonly series: announcementSeries.AnnouncementSeries
  announcement: announcements.OwnAnnouncement
  readonly table: runTables.RunTable
  readonly paces: bestEffortPaces.BestEffortPaces
  leaseUntilMs: number
  acknowledgedEnd: number
  /** Highest number of an end in the latest list. */
  listedEnd: number
  /** Delay of the list loop until the listed ends are acknowledged or a list is requested. */
  readonly listDelay: interruptibleDelays.InterruptibleDelay
  list: runners.WorkerList | undefined
  /** Whether the worker answered the latest list call as this incarnation. */
  isResponsive: boolean
  sample: number
  /** Lists in a row that came from an earlier incarnation than this one. */
  earlierLists: number
  ended: boolean
  readonly listWaiters: ((list: runTables.TableList | undefined) => void)[]
  /** Waiters whose list call is in progress. */
  readonly inProgressWaiters: ((list: runTables.TableList | undefined) => void)[]
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
  let incarnation: WorkerIncarnation | undefined
  let reportSequence = 0
  let reportedMs = 0
  let stopped = true
  let rejections: SentRejection[] = []
  let incompleteLists = 0
  let reportTimer: NodeJS.Timeout | undefined

  const report = (): void => {
    if (incarnation === undefined) return
    const { announcement, list } = incarnation
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
      sample: incarnation.sample,
      running: (list?.running ?? []).map((task) => withPace(task, incarnation?.table)),
      ended: list?.ended ?? [],
      rejected: rejections.map(({ rejection }) => rejection),
      hasMoreEnds: list?.hasMoreEnds ?? true,
    })
    if (!sent) return
    for (const entry of rejections) {
      if (entry.sentSequence === 0) entry.sentSequence = reportSequence
    }
  }

  /**
   * Whether a rejection of the run is on its way to the leader. An order that was sent before the rejection arrived would
   * start the run here while the leader assigns the next one.
   */
  const isBeingRejected = ({ run }: protocol.workflow.StartOrder): boolean =>
    run !== undefined &&
    rejections.some(
      ({ rejection }) =>
        rejection.run !== undefined &&
        workflowState.runKey(rejection.run) === workflowState.runKey(run),
    )

  const onOrders = (orders: protocol.workflow.WorkerOrders): void => {
    if (!fenceSequence.follow({ term: orders.fence, streamNumber: orders.streamNumber })) {
      stream.restart(`its term ${orders.fence} or the number of its stream is older than before`)
      return
    }
    rejections = rejections.filter(
      ({ sentSequence }) => sentSequence === 0 || sentSequence > orders.sequence,
    )
    const { worker } = orders
    const ownIdentity = incarnation?.announcement.worker.identity
    if (incarnation === undefined || ownIdentity === undefined || worker === undefined) return
    if (workflowState.workerKey(worker) !== workflowState.workerKey(ownIdentity)) return
    incarnation.leaseUntilMs = Math.max(incarnation.leaseUntilMs, orders.leaseUntilMs)
    incarnation.acknowledgedEnd = Math.max(incarnation.acknowledgedEnd, orders.acknowledgedEnd)
    incarnation.series.setDoubt(orders.unknownService)
    if (incarnation.acknowledgedEnd >= incarnation.listedEnd) incarnation.listDelay.interrupt()
    for (const order of orders.starts) if (!isBeingRejected(order)) incarnation.table.start(order)
    for (const run of orders.stops) incarnation.table.stop(run)
    for (const run of orders.withdrawals) incarnation.table.withdrawStart(run)
    for (const { run, percent } of orders.paces) {
      const entry = run && incarnation.table.entryOf(run)
      if (entry !== undefined) entry.orderedPercent = percent
    }
    if (orders.paces.length > 0 && incarnation.list !== undefined) {
      void incarnation.paces.apply(incarnation.list)
    }
  }

  const stream = leaderStreams.createLeaderStream({
    seeds: options.seeds,
    logger,
    nowMs,
    metrics: options.attachMetrics,
    onOrders,
    onStreamSwitched: () => incarnation?.table.dropOpenOrders(),
    onReportDue: () => {
      for (const entry of rejections) entry.sentSequence = 0
      report()
    },
  })

  const fenceSequence = fenceSequences.createFenceSequence(() => {
    stream.restart('the fences of the stream are used up')
  })

  const fence = (): number => fenceSequence.current() ?? 0

  /** The next call may reach another incarnation under the same id, so it voids the earlier ones. */
  const loseContact = (current: WorkerIncarnation): void => {
    if (!current.isResponsive) return
    current.isResponsive = false
    fenceSequence.raise()
  }

  /**
   * Handles a list of an earlier incarnation than the announced one. One such list may have been under way during a restart;
   * several in a row show that the announcement came from another writer.
   */
  const handleEarlierIncarnation = (current: WorkerIncarnation, bornMs: number): void => {
    current.earlierLists += 1
    if (current.earlierLists < MAX_EARLIER_LISTS) return
    const { id, bornMs: announcedMs } = current.announcement.worker.identity
    logger.warn('announcement not followed: the worker started earlier', {
      worker: id,
      announcedMs,
      bornMs,
    })
    replaceIncarnation(current, bornMs)
  }

  const handleList = (current: WorkerIncarnation, list: runners.WorkerList): void => {
    const { identity } = current.announcement.worker
    if (list.bornMs < identity.bornMs) {
      handleEarlierIncarnation(current, list.bornMs)
      return
    }
    if (list.bornMs > identity.bornMs) {
      replaceIncarnation(current, list.bornMs)
      return
    }
    current.earlierLists = 0
    trackCompleteness(current, list)
    current.list = list
    current.isResponsive = true
    current.sample += 1
    const { stateOf } = workflowState.createListedRuns(list)
    const tableList = { clockMs: list.clockMs, stateOf }
    current.table.applyList(tableList)
    for (const waiter of current.inProgressWaiters.splice(0)) waiter(tableList)
    void current.paces.apply(list)
    report()
  }

  /** Drops ends whose numbers are far above the others: acknowledging them would acknowledge ends that are yet to come. */
  const plausibleEnds = (
    current: WorkerIncarnation,
    ended: readonly protocol.workflow.ListedEnd[],
  ): readonly protocol.workflow.ListedEnd[] => {
    const lowest = Math.min(...ended.map(({ number }) => number))
    const from = Math.max(current.acknowledgedEnd, current.listedEnd, lowest)
    const plausible = ended.filter(({ number }) => number <= from + MAX_END_NUMBER_GAP)
    if (plausible.length < ended.length) {
      const numbers = ended.map(({ number }) => number).filter((n) => n > from + MAX_END_NUMBER_GAP)
      logger.warn('ends ignored: their numbers are too high', { numbers: numbers.slice(0, 5) })
    }
    return plausible
  }

  /** Counts lists that do not contain all ends, and logs the first one and the first complete one of each series. */
  const trackCompleteness = (current: WorkerIncarnation, list: runners.WorkerList): void => {
    if (list.hasMoreEnds) incompleteLists += 1
    if (list.hasMoreEnds === (current.list?.hasMoreEnds ?? false)) return
    const message = list.hasMoreEnds ? 'list of ends incomplete' : 'list of ends complete again'
    const { id } = current.announcement.worker.identity
    logger.info(message, {
      worker: id,
      listed: list.ended.length,
      firstEnd: list.ended[0]?.number,
      acknowledgedEnd: current.acknowledgedEnd,
    })
  }

  /** Handles a list; an error ends the handling of this list only. */
  const followList = (current: WorkerIncarnation, list: runners.WorkerList): void => {
    const ended = plausibleEnds(current, list.ended)
    current.listedEnd = Math.max(0, ...ended.map(({ number }) => number))
    try {
      handleList(current, { ...list, ended })
    } catch (error) {
      logger.error('list of runs not handled', { detail: String(error) })
    }
  }

  const listLoop = async (current: WorkerIncarnation): Promise<void> => {
    while (!stopped && !current.ended && incarnation === current) {
      const token = fenceSequence.current()
      if (token === undefined) {
        await timers.setTimeout(LIST_RETRY_DELAY_MS)
        continue
      }
      const { worker } = current.announcement
      const { isResponsive } = current
      current.inProgressWaiters.push(...current.listWaiters.splice(0))
      const answer = await runner.list(worker.identity, {
        fence: token,
        // A later incarnation under this id numbers its ends from 1 again and would drop them as acknowledged.
        acknowledgedEnd: isResponsive ? current.acknowledgedEnd : 0,
        leaseUntilMs: current.leaseUntilMs > 0 ? current.leaseUntilMs : undefined,
        waitMs: current.inProgressWaiters.length > 0 || !isResponsive ? 0 : LIST_WAIT_MS,
      })
      if (incarnation !== current) return
      if (answer.kind === 'list') {
        followList(current, answer.list)
        // The worker answers at once while it has unacknowledged ends, so the next call is delayed here.
        const isPending = current.listedEnd > current.acknowledgedEnd
        if (isPending && current.listWaiters.length === 0) {
          await current.listDelay.wait(ACKNOWLEDGEMENT_TIMEOUT_MS)
        }
        continue
      }
      if (answer.kind === 'fence' && token < fence()) continue
      loseContact(current)
      if (answer.kind === 'fence') stream.restart('the worker has seen a higher fence')
      await timers.setTimeout(LIST_RETRY_DELAY_MS)
    }
  }

  const closeIncarnation = (closingIncarnation: WorkerIncarnation): void => {
    closingIncarnation.ended = true
    closingIncarnation.table.close()
    closingIncarnation.listDelay.interrupt()
    for (const waiter of closingIncarnation.listWaiters.splice(0)) waiter(undefined)
    for (const waiter of closingIncarnation.inProgressWaiters.splice(0)) waiter(undefined)
  }

  /** @param isAnnounced whether the worker itself announced the description, as far as can be told */
  const startIncarnation = (
    announcement: announcements.OwnAnnouncement,
    isAnnounced: boolean,
  ): void => {
    if (incarnation !== undefined) closeIncarnation(incarnation)
    rejections = []
    fenceSequence.raise()
    const { identity } = announcement.worker
    const table = runTables.createRunTable({
      identity,
      runner,
      logger,
      fence,
      leaseUntilMs: () => newIncarnation.leaseUntilMs,
      mayStart: () =>
        !newIncarnation.announcement.draining && !newIncarnation.ended && stream.isAttached(),
      isResponsive: () => newIncarnation.isResponsive,
      nextList: () =>
        new Promise((resolve) => {
          if (newIncarnation.ended) resolve(undefined)
          else {
            newIncarnation.listWaiters.push(resolve)
            newIncarnation.listDelay.interrupt()
          }
        }),
      onRejected: (rejection) => {
        rejections.push({ rejection, sentSequence: 0 })
        report()
      },
      onStarted: (entry) => {
        void newIncarnation.paces.set(entry)
      },
      onUnanswered: fenceSequence.raise,
      onFenced: () => {
        stream.restart('the worker has seen a higher fence')
      },
    })
    const newIncarnation: WorkerIncarnation = {
      series: announcementSeries.createAnnouncementSeries(
        isAnnounced ? announcement : undefined,
        nowMs(),
      ),
      announcement,
      table,
      paces: bestEffortPaces.createBestEffortPaces({
        identity,
        runner,
        logger,
        nowMs,
        fence,
        entryOf: table.entryOf,
      }),
      leaseUntilMs: 0,
      acknowledgedEnd: 0,
      listedEnd: 0,
      listDelay: interruptibleDelays.createInterruptibleDelay(),
      list: undefined,
      isResponsive: false,
      sample: 0,
      earlierLists: 0,
      ended: false,
      listWaiters: [],
      inProgressWaiters: [],
    }
    incarnation = newIncarnation
    logger.info('worker announced', { worker: identity.id, bornMs: identity.bornMs })
    report()
    void listLoop(newIncarnation)
  }

  /**
   * Replaces an incarnation after a list showed another start time than the announcement. The new life keeps the
   * description of one that the worker confirmed until it announces itself. The description of an announcement that it
   * contradicts may be another writer's, so it then has no service and gets no new runs.
   */
  const replaceIncarnation = (
    { announcement, sample }: WorkerIncarnation,
    bornMs: number,
  ): void => {
    const { worker } = announcement
    const unannounced = {
      worker: {
        ...worker,
        identity: { ...worker.identity, bornMs },
        service: sample > 0 ? worker.service : '',
      },
      sequence: 0,
      draining: false,
      drainRemainingMs: 0,
    }
    startIncarnation(unannounced, false)
  }

  /** Applies an announcement of the current incarnation. */
  const update = (
    current: WorkerIncarnation,
    announcement: announcements.OwnAnnouncement,
  ): void => {
    if (!current.series.accepts(announcement, nowMs())) return
    const { draining, worker } = current.announcement
    current.announcement = announcement
    if (draining !== announcement.draining) {
      const { id } = announcement.worker.identity
      logger.info('worker draining', { worker: id, draining: announcement.draining })
    }
    const isDescribedAnew = worker.service !== announcement.worker.service
    if (draining !== announcement.draining || isDescribedAnew) report()
  }

  const isCurrent = ({ worker }: announcements.OwnAnnouncement): boolean =>
    incarnation !== undefined &&
    workflowState.workerKey(incarnation.announcement.worker.identity) ===
      workflowState.workerKey(worker.identity)

  const probe = incarnationProbes.createIncarnationProbe({
    runner,
    logger,
    nowMs,
    fence,
    onConfirmed: (announcement) => {
      // A list may have shown the incarnation in the meantime.
      if (incarnation !== undefined && isCurrent(announcement)) update(incarnation, announcement)
      else startIncarnation(announcement, true)
    },
    onOtherStartTime: (id, bornMs) => {
      const current = incarnation?.announcement.worker.identity
      if (incarnation === undefined || current?.id !== id || current.bornMs !== bornMs) return
      incarnation.isResponsive = true
    },
  })

  const announce: WorkerAgent['announce'] = (received) => {
    const identity = { ...received.worker.identity, agent: name }
    const announcement: announcements.OwnAnnouncement = {
      ...received,
      worker: { ...received.worker, identity },
    }
    if (incarnation === undefined) {
      startIncarnation(announcement, true)
      return
    }
    if (isCurrent(announcement)) {
      update(incarnation, announcement)
      return
    }
    // Orders carry only the id, so a later incarnation would carry out those for the current one.
    const current = incarnation.announcement.worker.identity
    if (identity.id === current.id && identity.bornMs > current.bornMs) {
      loseContact(incarnation)
    }
    probe.ask(announcement)
  }

  return {
    announce,
    leave: (workerId) => {
      if (incarnation?.announcement.worker.identity.id !== workerId) return
      logger.info('worker left', { worker: workerId })
    },
    isAttached: () => stream.isAttached(),
    refutedAnnouncements: probe.refutedCount,
    incompleteLists: () => incompleteLists,
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
      probe.close()
      if (incarnation !== undefined) closeIncarnation(incarnation)
      stream.stop()
    },
  }
}
