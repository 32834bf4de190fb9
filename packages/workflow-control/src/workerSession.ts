/** Session of a worker's agent with the leader: the newest report and the orders sent. */
import type * as protocol from '@ebonyweir/protocol'
import * as workflowState from '@ebonyweir/workflow-state'

/** Time after which a stop order is repeated, in milliseconds; the agent itself repeats it to the worker. */
const STOP_REPEAT_MS = 2_000

/** Stream of messages to the agent. */
export interface OrderStream {
  readonly send: (orders: protocol.workflow.WorkerOrders) => void
  readonly end: () => void
}

export interface SessionOptions {
  readonly agent: string
  readonly stream: OrderStream
  readonly fence: number
  /** Number of the stream among those of the agent in this term, from 1. */
  readonly streamNumber: number
  readonly workerLeaseMs: number
  readonly nowMs: () => number
  /** Whether the configuration names a service; true while there is none. */
  readonly isKnownService: (service: string) => boolean
}

export interface WorkerSession {
  readonly agent: string
  readonly worker: protocol.workflow.WorkerDescription | undefined
  readonly identity: protocol.workflow.WorkerIdentity | undefined
  /** `workerKey` of the identity; empty before the first report. */
  readonly key: string
  readonly draining: boolean
  readonly drainRemainingMs: number
  /** Arrival time of the worker's newest run list; undefined before the first one. */
  readonly listedMs: number | undefined
  /** Running tasks of the newest run list by run key. */
  readonly running: ReadonlyMap<string, protocol.workflow.RunningTask>
  /** State of the run with a run key in the newest run list. */
  readonly stateOf: (key: string) => workflowState.ListedState
  /** Applies a report; returns whether its run list is the first of this identity on this stream, a newer one or not new. */
  readonly update: (report: protocol.workflow.WorkerReport) => 'first' | 'new' | 'same'
  /** Allows the agent to forget the ends up to `number` of the incarnation `key`. */
  readonly acknowledge: (key: string, number: number) => void
  /** Answers a report: acknowledges it and extends the lease. */
  readonly answer: (report: protocol.workflow.WorkerReport) => void
  readonly start: (orders: readonly protocol.workflow.StartOrder[]) => void
  /** Orders the pace of runs, the share of full speed that best-effort tasks may use. */
  readonly pace: (orders: readonly protocol.workflow.PaceOrder[]) => void
  /** Orders runs to stop, except those that were ordered to stop within `STOP_REPEAT_MS`; returns the ordered ones. */
  readonly stop: (
    runs: readonly protocol.workflow.TaskRun[],
  ) => readonly protocol.workflow.TaskRun[]
  /** Withdraws start orders as `stop` does; the agent lets a run go on that the worker lists as running. */
  readonly withdraw: (
    runs: readonly protocol.workflow.TaskRun[],
  ) => readonly protocol.workflow.TaskRun[]
  readonly end: () => void
}

export const createWorkerSession = (options: SessionOptions): WorkerSession => {
  const { agent, stream, fence, streamNumber, workerLeaseMs, nowMs } = options
  let worker: protocol.workflow.WorkerDescription | undefined
  let key = ''
  let draining = false
  let drainRemainingMs = 0
  let sample = 0
  let listedMs: number | undefined
  let listed = workflowState.NO_LISTED_RUNS
  let acknowledgedEnd = 0
  /** Times of the latest stop orders and withdrawals by run key. */
  let stoppedMs = new Map<string, number>()
  let withdrawnMs = new Map<string, number>()

  const send = (orders: Partial<protocol.workflow.WorkerOrders>): void => {
    stream.send({
      sequence: 0,
      fence,
      streamNumber,
      leaseUntilMs: 0,
      acknowledgedEnd,
      starts: [],
      stops: [],
      hint: undefined,
      leading: true,
      worker: worker?.identity,
      paces: [],
      withdrawals: [],
      unknownService: worker !== undefined && !options.isKnownService(worker.service),
      ...orders,
    })
  }

  const resetForIdentity = (identity: protocol.workflow.WorkerIdentity): void => {
    const next = workflowState.workerKey(identity)
    if (next === key) return
    key = next
    sample = 0
    listedMs = undefined
    listed = workflowState.NO_LISTED_RUNS
    acknowledgedEnd = 0
    stoppedMs = new Map()
    withdrawnMs = new Map()
  }

  const update: WorkerSession['update'] = (report) => {
    const identity = report.worker?.identity
    if (report.worker === undefined || identity === undefined) return 'same'
    resetForIdentity(identity)
    worker = report.worker
    draining = report.draining
    drainRemainingMs = report.drainRemainingMs
    if (report.sample <= sample) return 'same'
    const isFirst = sample === 0
    sample = report.sample
    listedMs = nowMs()
    listed = workflowState.createListedRuns(report)
    return isFirst ? 'first' : 'new'
  }

  /** Runs that were not ordered within `STOP_REPEAT_MS`; they count as ordered now. */
  const takeDue = (
    runs: readonly protocol.workflow.TaskRun[],
    orderedMs: Map<string, number>,
  ): readonly protocol.workflow.TaskRun[] => {
    const now = nowMs()
    const due = runs.filter((run) => {
      const before = orderedMs.get(workflowState.runKey(run))
      return before === undefined || now - before >= STOP_REPEAT_MS
    })
    for (const run of due) orderedMs.set(workflowState.runKey(run), now)
    return due
  }

  const stop: WorkerSession['stop'] = (runs) => {
    const stops = takeDue(runs, stoppedMs)
    if (stops.length > 0) send({ stops })
    return stops
  }

  const withdraw: WorkerSession['withdraw'] = (runs) => {
    const withdrawals = takeDue(runs, withdrawnMs)
    if (withdrawals.length > 0) send({ withdrawals })
    return withdrawals
  }

  return {
    agent,
    get worker() {
      return worker
    },
    get identity() {
      return worker?.identity
    },
    get key() {
      return key
    },
    get draining() {
      return draining
    },
    get drainRemainingMs() {
      return drainRemainingMs
    },
    get listedMs() {
      return listedMs
    },
    get running() {
      return listed.running
    },
    stateOf: (key) => listed.stateOf(key),
    update,
    acknowledge: (incarnationKey, number) => {
      if (incarnationKey !== key || number <= acknowledgedEnd) return
      acknowledgedEnd = number
      send({})
    },
    answer: (report) => {
      // The lease counts from a reading of the worker's clock that is older than the report.
      const leaseUntilMs = report.sample > 0 ? report.clockMs + workerLeaseMs : 0
      send({ sequence: report.sequence, leaseUntilMs })
    },
    start: (orders) => {
      if (orders.length > 0) send({ starts: orders })
    },
    pace: (paces) => {
      if (paces.length > 0) send({ paces })
    },
    stop,
    withdraw,
    end: () => {
      stream.end()
    },
  }
}
