/** Orders for one incarnation of the worker, each carried out until its outcome is certain. */
import * as timers from 'node:timers/promises'
import * as protocol from '@ebonyweir/protocol'
import type * as telemetry from '@ebonyweir/telemetry/logger'
import * as workflowState from '@ebonyweir/workflow-state'
import type * as runners from './runner.js'

const { RejectionReason } = protocol.workflow

/** Pause before an order that was not answered or came too late is given again, in milliseconds. */
const REPEAT_PAUSE_MS = 60

/** Pace of a task when it starts, in percent. */
const FULL_PERCENT = 100

type TaskRun = protocol.workflow.TaskRun

/** What the agent knows of one run. */
export interface RunEntry {
  readonly order: protocol.workflow.StartOrder
  readonly run: TaskRun
  /** Pace that the worker confirmed, or that it is assumed to have, in percent. */
  pacePercent: number
  /** False for a run that an agent before this one may have paced: the worker's lists do not show the pace. */
  isPaceKnown: boolean
  /** When no earlier call for a pace is carried out any more, on the agent's clock in milliseconds. */
  paceCertainAtMs: number
  /** Pace that the leader ordered, in percent. */
  orderedPercent: number
  stopRequested: boolean
  started: boolean
  /** The worker refused the run, and the outcome is being made certain. */
  isRefused: boolean
}

export interface RunTableOptions {
  readonly identity: protocol.workflow.WorkerIdentity
  readonly runner: runners.Runner
  readonly logger: telemetry.Logger
  /** Highest fence seen; undefined before the first orders. */
  readonly fence: () => number
  readonly leaseUntilMs: () => number
  readonly mayStart: () => boolean
  /**
   * Whether this incarnation answered the newest call for a list. After a call without an answer the worker may have
   * started again under its id, and orders name only that.
   */
  readonly isAnswering: () => boolean
  /** Resolves with the next list whose call begins after this moment; undefined if the table was closed. */
  readonly nextList: () => Promise<runners.WorkerList | undefined>
  readonly onRejected: (rejection: protocol.workflow.Rejection) => void
  /** A run was started; its pace may differ from the ordered one. */
  readonly onStarted: (entry: RunEntry) => void
  /** The worker has seen a higher fence than the orders carry. */
  readonly onFenced: () => void
}

export interface RunTable {
  readonly start: (order: protocol.workflow.StartOrder) => void
  readonly stop: (run: TaskRun) => void
  /** Drops runs that a list shows as ended, and notes those that run. */
  readonly note: (list: runners.WorkerList) => void
  /**
   * Gives no order any more whose outcome is open. The leader of a new stream repeats those that it holds to; the others
   * may have been counted as lost meanwhile.
   */
  readonly dropOpenOrders: () => void
  readonly entryOf: (run: TaskRun) => RunEntry | undefined
  readonly close: () => void
}

const holds = (list: runners.WorkerList, run: TaskRun): boolean => {
  const key = workflowState.runKey(run)
  return list.running.some((task) => task.run && workflowState.runKey(task.run) === key)
}

const hasEnded = (list: runners.WorkerList, run: TaskRun): boolean => {
  const key = workflowState.runKey(run)
  return list.ended.some(({ end }) => end?.run && workflowState.runKey(end.run) === key)
}

export const createRunTable = (options: RunTableOptions): RunTable => {
  const { identity, runner, logger } = options
  const entries = new Map<string, RunEntry>()
  const stopping = new Set<string>()
  let latest: runners.WorkerList | undefined
  let closed = false

  const reject = (run: TaskRun, reason: protocol.workflow.RejectionReason): void => {
    const key = workflowState.runKey(run)
    entries.delete(key)
    options.onRejected({ run, reason })
    logger.info('run rejected', { run: key, reason })
  }

  /** Whether the newest list was made after a moment of the worker's clock and does not show a run as running. */
  const isAbsentAfter = (clockMs: number, run: TaskRun): boolean =>
    latest !== undefined && latest.clockMs > clockMs && !holds(latest, run)

  /** Waits until the worker no longer runs a run; rejects it unless the worker lists its end. */
  const settle = async (run: TaskRun, reason: protocol.workflow.RejectionReason): Promise<void> => {
    for (;;) {
      const list = await options.nextList()
      if (list === undefined || closed) return
      if (hasEnded(list, run)) return
      if (!holds(list, run)) {
        reject(run, reason)
        return
      }
      await timers.setTimeout(REPEAT_PAUSE_MS)
    }
  }

  /**
   * Stops a run, or bars it if it is not there yet, and waits until that is certain.
   *
   * @param isOrderedHere whether a leader gave orders for the run to this incarnation. Their leases then bound the wait:
   * a worker refuses an order whose lease is over. One to an earlier incarnation carries a lease of another clock, which
   * this incarnation takes for the longest one whenever the order arrives.
   */
  const withdraw = async (
    run: TaskRun,
    reason: protocol.workflow.RejectionReason,
    isOrderedHere: boolean,
  ): Promise<void> => {
    // Leases count from readings of the worker's clock, so that neither this agent nor one before it gave an order with
    // a longer one. Undefined while no lease is known.
    let ordersEndMs: number | undefined
    for (;;) {
      if (closed) return
      ordersEndMs ??= options.leaseUntilMs() || undefined
      const answer = await runner.stop(identity, run, options.fence())
      if (answer === 'done') break
      if (answer === 'fence') {
        options.onFenced()
        return
      }
      if (answer === 'other-incarnation') return
      if (isOrderedHere && ordersEndMs !== undefined && isAbsentAfter(ordersEndMs, run)) break
      await timers.setTimeout(REPEAT_PAUSE_MS)
    }
    await settle(run, reason)
  }

  const runStart = async (entry: RunEntry): Promise<void> => {
    const { order, run } = entry
    const key = workflowState.runKey(run)
    const isDropped = (): boolean => entries.get(key) !== entry
    // A repeated order may have been given by an agent process before this one, with an outcome that only it knew.
    let uncertain = order.repeated
    let isUnanswered = false
    const refuse = async (reason: protocol.workflow.RejectionReason): Promise<void> => {
      entry.isRefused = true
      // An earlier order without an answer may still be carried out.
      if (uncertain) await withdraw(run, reason, true)
      else reject(run, reason)
      // A withdrawal that a higher fence ended without an outcome leaves the run to a repeated order.
      if (!isDropped()) entries.delete(key)
    }
    for (;;) {
      if (closed || entry.started || entry.stopRequested || isDropped()) return
      if (!options.mayStart()) {
        await refuse(RejectionReason.UNAVAILABLE)
        return
      }
      if (isUnanswered || !options.isAnswering()) {
        // A later incarnation would carry the order out under a lease of its own clock, which the leader does not know.
        if ((await options.nextList()) === undefined) return
        isUnanswered = false
        continue
      }
      const leaseUntilMs = options.leaseUntilMs()
      if (leaseUntilMs === 0) {
        await timers.setTimeout(REPEAT_PAUSE_MS)
        continue
      }
      const { command, checkpoint } = order
      const fence = options.fence()
      const answer = await runner.start(identity, { run, command, checkpoint, leaseUntilMs, fence })
      if (answer.kind === 'started') {
        entry.started = true
        options.onStarted(entry)
        return
      }
      if (answer.kind === 'unanswered') {
        uncertain = true
        isUnanswered = true
        await timers.setTimeout(REPEAT_PAUSE_MS)
        continue
      }
      // A repeated order may start the run all the same.
      if (isDropped()) return
      switch (answer.reason) {
        case 'late':
          await timers.setTimeout(REPEAT_PAUSE_MS)
          continue
        case 'no-room':
          await refuse(RejectionReason.NO_ROOM)
          return
        case 'unavailable':
          await refuse(RejectionReason.UNAVAILABLE)
          return
        case 'invalid':
          await refuse(RejectionReason.REFUSED)
          return
        case 'old':
          entry.isRefused = true
          await settle(run, RejectionReason.REFUSED)
          return
        case 'fence':
          entries.delete(key)
          options.onFenced()
          return
        case 'other-incarnation':
          return
      }
    }
  }

  return {
    start: (order) => {
      const { run } = order
      if (run === undefined || closed) return
      const key = workflowState.runKey(run)
      if (entries.has(key) || stopping.has(key)) return
      const entry: RunEntry = {
        order,
        run,
        pacePercent: FULL_PERCENT,
        isPaceKnown: !order.repeated,
        paceCertainAtMs: 0,
        orderedPercent: order.pacePercent,
        stopRequested: false,
        started: false,
        isRefused: false,
      }
      entries.set(key, entry)
      void runStart(entry)
    },
    stop: (run) => {
      const key = workflowState.runKey(run)
      if (closed || stopping.has(key)) return
      const entry = entries.get(key)
      if (entry !== undefined) entry.stopRequested = true
      stopping.add(key)
      void withdraw(run, RejectionReason.ABSENT, entry !== undefined).finally(() => {
        stopping.delete(key)
        entries.delete(key)
      })
    },
    note: (list) => {
      latest = list
      for (const { end } of list.ended) {
        if (end?.run !== undefined) entries.delete(workflowState.runKey(end.run))
      }
      for (const { run } of list.running) {
        const entry = run && entries.get(workflowState.runKey(run))
        if (entry !== undefined) entry.started = true
      }
    },
    dropOpenOrders: () => {
      for (const [key, { started, stopRequested, isRefused }] of entries) {
        if (!started && !stopRequested && !isRefused) entries.delete(key)
      }
    },
    entryOf: (run) => entries.get(workflowState.runKey(run)),
    close: () => {
      closed = true
      entries.clear()
    },
  }
}
