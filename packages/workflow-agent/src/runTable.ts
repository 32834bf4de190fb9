/** Orders for one incarnation of the worker; each is repeated until its outcome is certain. */
import * as timers from 'node:timers/promises'
import * as protocol from '@ebonyweir/protocol'
import type * as telemetry from '@ebonyweir/telemetry/logger'
import * as workflowState from '@ebonyweir/workflow-state'
import type * as runners from './runner.js'

const { RejectionReason } = protocol.workflow

/** Delay before an order that was not answered or came too late is repeated. */
const RETRY_DELAY_MS = 60

/** Pace of a task when it starts: the share of full speed that a best-effort task may use. */
const FULL_PACE_PERCENT = 100

type TaskRun = protocol.workflow.TaskRun

/** State of one run as the agent knows it. */
export interface RunEntry {
  readonly order: protocol.workflow.StartOrder
  readonly run: TaskRun
  /** Pace that the worker confirmed, or the assumed one, in percent. */
  pacePercent: number
  /** False for a run whose pace an earlier agent process may have set: the worker's lists do not show the pace. */
  isPaceKnown: boolean
  /** Time after which no unanswered call for a pace takes effect any more, on the agent's clock in milliseconds. */
  paceCertainAtMs: number
  /** Pace that the leader ordered, in percent. */
  orderedPercent: number
  stopRequested: boolean
  started: boolean
  /** The worker refused the run, and it is being confirmed that the run is not active. */
  isRefused: boolean
}

/** List of the worker as the table reads it. */
export interface TableList extends Pick<workflowState.ListedRuns, 'stateOf'> {
  readonly clockMs: number
}

export interface RunTableOptions {
  readonly identity: protocol.workflow.WorkerIdentity
  readonly runner: runners.Runner
  readonly logger: telemetry.Logger
  /** Fencing token of the next call; 0 if there is none. */
  readonly fence: () => number
  readonly leaseUntilMs: () => number
  readonly mayStart: () => boolean
  /**
   * Whether this incarnation answered the latest list call. After an unanswered call the worker may have restarted under
   * the same id, and orders carry only the id.
   */
  readonly isResponsive: () => boolean
  /** Resolves with the first list that is requested after this call; undefined if the table was closed. */
  readonly nextList: () => Promise<TableList | undefined>
  readonly onRejected: (rejection: protocol.workflow.Rejection) => void
  /** A run was started; its pace may differ from the ordered pace. */
  readonly onStarted: (entry: RunEntry) => void
  /** A start order got no answer: it may be carried out at any time until a call with a higher fence voids it. */
  readonly onUnanswered: () => void
  /** The worker has seen a higher fence than the orders carry. */
  readonly onFenced: () => void
}

export interface RunTable {
  readonly start: (order: protocol.workflow.StartOrder) => void
  readonly stop: (run: TaskRun) => void
  /** Prevents the start of a run, unless the worker's next list shows it as running. */
  readonly withdrawStart: (run: TaskRun) => void
  /** Removes runs that a list shows as ended, and marks those that it shows as running. */
  readonly applyList: (list: TableList) => void
  /**
   * Drops start orders whose outcome is open. The leader of a new stream repeats those that are still valid; the other
   * runs may have been counted as lost in the meantime.
   */
  readonly dropOpenOrders: () => void
  readonly entryOf: (run: TaskRun) => RunEntry | undefined
  readonly close: () => void
}

export const createRunTable = (options: RunTableOptions): RunTable => {
  const { identity, runner, logger } = options
  const entries = new Map<string, RunEntry>()
  const stopping = new Set<string>()
  /** Waiters for the next list that the worker sends without being asked again. */
  const followingWaiters: (() => void)[] = []
  let latestList: TableList | undefined
  let closed = false

  const reject = (run: TaskRun, reason: protocol.workflow.RejectionReason): void => {
    const key = workflowState.runKey(run)
    entries.delete(key)
    options.onRejected({ run, reason })
    logger.info('run rejected', { run: key, reason })
  }

  /** Whether the latest list is newer than `clockMs` on the worker's clock and does not show the run as running. */
  const isAbsentAfter = (clockMs: number, run: TaskRun): boolean =>
    latestList !== undefined &&
    latestList.clockMs > clockMs &&
    latestList.stateOf(workflowState.runKey(run)) !== 'running'

  /** Whether a newer call of this agent carries a higher fence, so that a refusal says nothing about the leader. */
  const isOvertaken = (fence: number): boolean => fence < options.fence()

  /**
   * Resolves with the list that follows the latest one; undefined if the table was closed. It requests none: the worker
   * lists further ends only once the leader has acknowledged the earlier ones.
   */
  const followingList = async (): Promise<TableList | undefined> => {
    await new Promise<void>((resolve) => {
      followingWaiters.push(resolve)
    })
    return closed ? undefined : latestList
  }

  const resumeFollowingWaiters = (): void => {
    for (const resume of followingWaiters.splice(0)) resume()
  }

  /** Rejects the run once a list shows it as absent; does nothing if a list shows its end. */
  const rejectOnceAbsent = async (
    run: TaskRun,
    reason: protocol.workflow.RejectionReason,
  ): Promise<void> => {
    const key = workflowState.runKey(run)
    let list = await options.nextList()
    while (list !== undefined && !closed) {
      switch (list.stateOf(key)) {
        case 'ended':
          return
        case 'absent':
          reject(run, reason)
          return
        case 'running':
          await timers.setTimeout(RETRY_DELAY_MS)
          list = await options.nextList()
          break
        case 'unknown':
          list = await followingList()
          break
      }
    }
  }

  /**
   * Stops a run, or prevents its start if the worker has not started it yet, and waits until that is certain.
   *
   * @param isOrderedHere whether the run was ordered to this incarnation. The leases of its orders then bound the wait: a
   * worker refuses an order whose lease has expired. An order to an earlier incarnation carries a lease of another clock,
   * which this incarnation treats as the longest lease whenever the order arrives.
   */
  const withdraw = async (
    run: TaskRun,
    reason: protocol.workflow.RejectionReason,
    isOrderedHere: boolean,
  ): Promise<void> => {
    // Leases are on the worker's clock, so no order of this agent or an earlier agent process has a lease that ends
    // later. Undefined while no lease is known.
    let expiryMs: number | undefined
    for (;;) {
      if (closed) return
      expiryMs ??= options.leaseUntilMs() || undefined
      const fence = options.fence()
      const answer = await runner.stop(identity, run, fence)
      if (answer === 'done') break
      if (answer === 'fence') {
        if (isOvertaken(fence)) continue
        options.onFenced()
        return
      }
      if (answer === 'other-incarnation') return
      if (isOrderedHere && expiryMs !== undefined && isAbsentAfter(expiryMs, run)) break
      await timers.setTimeout(RETRY_DELAY_MS)
    }
    await rejectOnceAbsent(run, reason)
  }

  const startRun = async (entry: RunEntry): Promise<void> => {
    const { order, run } = entry
    const key = workflowState.runKey(run)
    const isDropped = (): boolean => entries.get(key) !== entry
    // An earlier agent process may have given a repeated order before, with an outcome that this one does not know.
    let isOutcomeUncertain = order.repeated
    let isUnanswered = false
    const refuse = async (reason: protocol.workflow.RejectionReason): Promise<void> => {
      entry.isRefused = true
      // An unanswered earlier order may still be carried out.
      if (isOutcomeUncertain) await withdraw(run, reason, true)
      else reject(run, reason)
      // If a higher fence ended the withdrawal without an outcome, a repeated order decides about the run.
      if (!isDropped()) entries.delete(key)
    }
    for (;;) {
      if (closed || entry.started || entry.stopRequested || isDropped()) return
      // An earlier agent process started it; a refusal of the repeated order would stop a run at work.
      const listedState = latestList?.stateOf(key)
      if (listedState === 'running') {
        entry.started = true
        options.onStarted(entry)
        return
      }
      if (listedState === 'ended') {
        entries.delete(key)
        return
      }
      if (!options.mayStart()) {
        await refuse(RejectionReason.UNAVAILABLE)
        return
      }
      // The run may have ended. A later incarnation of the worker, which does not know that, would run it again.
      if (isOutcomeUncertain && listedState === 'unknown') {
        if ((await followingList()) === undefined) return
        continue
      }
      if (isUnanswered || !options.isResponsive()) {
        // A later incarnation would carry out the order with a lease on its own clock, unknown to the leader.
        if ((await options.nextList()) === undefined) return
        isUnanswered = false
        continue
      }
      const leaseUntilMs = options.leaseUntilMs()
      if (leaseUntilMs === 0) {
        await timers.setTimeout(RETRY_DELAY_MS)
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
      if (answer.kind !== 'refused') {
        if (answer.kind === 'unanswered') {
          isOutcomeUncertain = true
          logger.info('start order got no answer', { run: key, fence })
          options.onUnanswered()
        }
        // Either way the worker may have started again since.
        isUnanswered = true
        await timers.setTimeout(RETRY_DELAY_MS)
        continue
      }
      // After the entry was dropped, a repeated order may still start the run, so it must not be rejected.
      if (isDropped()) return
      switch (answer.reason) {
        case 'late':
          await timers.setTimeout(RETRY_DELAY_MS)
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
          await rejectOnceAbsent(run, RejectionReason.REFUSED)
          return
        case 'fence':
          if (isOvertaken(fence)) continue
          entries.delete(key)
          options.onFenced()
          return
        case 'other-incarnation':
          return
      }
    }
  }

  /** Withdraws a start order once the worker's own list shows that the run is not running; else lets the run go on. */
  const withdrawUnlessRunning = async (
    run: TaskRun,
    entry: RunEntry | undefined,
  ): Promise<void> => {
    const key = workflowState.runKey(run)
    const list = await options.nextList()
    if (list === undefined || closed) return
    const listedState = list.stateOf(key)
    if (listedState === 'running') {
      if (entry !== undefined) Object.assign(entry, { started: true, stopRequested: false })
      return
    }
    if (listedState !== 'ended') await withdraw(run, RejectionReason.ABSENT, entry !== undefined)
    entries.delete(key)
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
        pacePercent: FULL_PACE_PERCENT,
        isPaceKnown: !order.repeated,
        paceCertainAtMs: 0,
        orderedPercent: order.pacePercent,
        stopRequested: false,
        started: false,
        isRefused: false,
      }
      entries.set(key, entry)
      void startRun(entry)
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
    withdrawStart: (run) => {
      const key = workflowState.runKey(run)
      const entry = entries.get(key)
      if (closed || stopping.has(key) || entry?.started === true) return
      if (entry !== undefined) entry.stopRequested = true
      stopping.add(key)
      void withdrawUnlessRunning(run, entry).finally(() => {
        stopping.delete(key)
      })
    },
    applyList: (list) => {
      latestList = list
      for (const [key, entry] of entries) {
        const listedState = list.stateOf(key)
        if (listedState === 'ended') entries.delete(key)
        else if (listedState === 'running') entry.started = true
      }
      resumeFollowingWaiters()
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
      resumeFollowingWaiters()
    },
  }
}
