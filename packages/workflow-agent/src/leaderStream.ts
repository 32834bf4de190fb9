/**
 * Stream to the leader. A stream that goes silent, or an attempt without an answer, stays open while other replicas are
 * tried; the first one that answers as the leader is used, so that a late leader is not given up for being late.
 */
import type * as grpc from '@grpc/grpc-js'
import type * as protocol from '@ebonyweir/protocol'
import type * as telemetry from '@ebonyweir/telemetry/logger'
import * as workflowClient from '@ebonyweir/workflow-client'
import * as attachTraces from './attachTrace.js'
import * as clientPools from './clientPool.js'

/** Time without orders after which other replicas are tried, in milliseconds; each report is answered at once. */
const SILENCE_MS = 1_200

/** Longest wait for the HTTP/2 settings of a replica, in milliseconds: four turns of 0.5 s of a busy loop. */
const CONNECT_MS = 2_000

/**
 * Longest wait for the first orders once connected, in milliseconds. With the silence and the connection before it, it
 * ends before the 6.8 s after which a leader counts a worker as lost.
 */
const FIRST_ORDERS_MS = 3_000

/** Growth of that wait after each silent attempt at an address. */
const PATIENCE_GROWTH = 1.5

/** Bound of that wait, in milliseconds: a worker that could not be reached for longer is lost anyway. */
const MAX_FIRST_ORDERS_MS = 6_000

/** Time after which a silent stream is closed, in milliseconds: the leader then counts the worker as lost. */
const ABANDON_MS = 6_800

/**
 * Time without an answer after which the next address is tried as well, in milliseconds. A silent replica is left
 * within 2.5 s, half a second after the longest election.
 */
const NEXT_ATTEMPT_MS = 800

/** Attempts open at the same time; a group has three replicas. */
const MAX_PENDING = 3

/** First pause after a replica that knows no leader or refuses the connection, in milliseconds. */
const RETRY_PAUSE_MS = 120

/** Bound of that pause, which doubles, in milliseconds: an election takes up to 2 s and costs each agent a few tries. */
const MAX_RETRY_PAUSE_MS = 480

/** Random part of each wait, as a fraction, so that the agents of a site do not reconnect in step. */
const SPREAD = 0.3

/** Longest random wait before a new leader is asked, in milliseconds; it spreads the agents over a turn of its loop. */
const ARRIVAL_SPREAD_MS = 150

/** Age of the first report above which a new one is sent once attached, in milliseconds; lists come at this interval. */
const REPORT_AGE_MS = 400

const CHECK_INTERVAL_MS = 100

export interface LeaderStreamOptions {
  readonly seeds: () => readonly string[]
  readonly logger: telemetry.Logger
  readonly nowMs: () => number
  /** @default no metrics */
  readonly metrics?: attachTraces.AttachMetrics | undefined
  /** From 0 to 1. @default Math.random */
  readonly random?: () => number
  readonly onOrders: (orders: protocol.workflow.WorkerOrders) => void
  /** Orders come on another stream from now on; called before the first of them. @default nothing */
  readonly onAdopted?: () => void
  /** A report is due: a stream is open, or the leader answers after a while. */
  readonly onReportDue: () => void
}

export interface LeaderStream {
  /** Sends a report to the leader if it answers, and as the first report to each replica that is being tried. */
  readonly send: (report: protocol.workflow.WorkerReport) => boolean
  /** Gives the current stream up and attaches again. */
  readonly restart: (why: string) => void
  /** Whether a leader gave orders within the last 1.2 s. */
  readonly isAttached: () => boolean
  readonly start: () => void
  readonly stop: () => void
}

type AttachCall = grpc.ClientDuplexStream<
  protocol.workflow.WorkerReport,
  protocol.workflow.WorkerOrders
>

interface Stream {
  readonly address: string
  readonly client: protocol.workflow.WorkflowClient
  readonly call: AttachCall
  readonly startedMs: number
  stage: attachTraces.AttachStage
  connectedMs: number
  reportedMs: number | undefined
  heardMs: number
  closed: boolean
}

type Ending = Exclude<attachTraces.AttemptOutcome, 'attached'>

export const createLeaderStream = (options: LeaderStreamOptions): LeaderStream => {
  const { logger, nowMs } = options
  const random = options.random ?? Math.random
  const book = workflowClient.createAddressBook(options.seeds, nowMs)
  const trace = attachTraces.createAttachTrace({ logger, nowMs, metrics: options.metrics })
  const clients = clientPools.createClientPool()
  const patienceMs = new Map<string, number>()
  /** Stream whose orders are followed; it may be silent. */
  let current: Stream | undefined
  let isSilent = false
  /** Whether another replica names the address of the silent stream as the leader's. */
  let isStillNamed = false
  let pending: readonly Stream[] = []
  let retryPauseMs = RETRY_PAUSE_MS
  let stopped = true
  let nextTimer: NodeJS.Timeout | undefined
  let checkTimer: NodeJS.Timeout | undefined

  const isAttached = (): boolean =>
    current !== undefined && !isSilent && nowMs() - current.heardMs < SILENCE_MS

  const pendingAt = (address: string): boolean => pending.some((other) => other.address === address)

  /** Whether the silent stream may be beside a new connection to its address: its own may be broken for good. */
  const mayRenew = ({ heardMs }: Stream): boolean =>
    isStillNamed || nowMs() - heardMs >= SILENCE_MS + NEXT_ATTEMPT_MS

  const isBusy = (address: string): boolean =>
    pendingAt(address) || (current?.address === address && !mayRenew(current))

  const spread = (ms: number): number => ms * (1 + SPREAD * random())

  const schedule = (delayMs: number): void => {
    clearTimeout(nextTimer)
    if (!stopped) nextTimer = setTimeout(tryNext, delayMs)
  }

  const scheduleRetry = (): void => {
    schedule(spread(retryPauseMs))
    retryPauseMs = Math.min(2 * retryPauseMs, MAX_RETRY_PAUSE_MS)
  }

  const scheduleArrival = (): void => {
    schedule(ARRIVAL_SPREAD_MS * random())
  }

  const release = (stream: Stream, ending?: Ending): void => {
    stream.closed = true
    stream.call.cancel()
    if (ending === 'redirected') clients.keep(stream.address, stream.client)
    else stream.client.close()
  }

  const dropCurrent = (why: string, ending?: Ending): void => {
    if (current === undefined) return
    release(current, ending)
    if (!isSilent) trace.noteDetached(current.address, why)
    current = undefined
    isSilent = false
  }

  const dropPending = (stream: Stream, ending: Ending, why: string): void => {
    release(stream, ending)
    pending = pending.filter((other) => other !== stream)
    trace.noteEnded(stream, ending, why)
  }

  const drop = (stream: Stream, ending: Ending, why: string): void => {
    if (stream === current) dropCurrent(why, ending)
    else dropPending(stream, ending, why)
  }

  const fail = (stream: Stream, why: string, suspect: boolean): void => {
    if (stream.closed) return
    drop(stream, 'failed', why)
    book.reject(stream.address, suspect)
    if (!isAttached()) scheduleRetry()
  }

  const giveUp = (stream: Stream, why: string): void => {
    const { address, stage } = stream
    dropPending(stream, 'silent', why)
    book.reject(address, true)
    if (stage !== 'connecting') {
      const grown = patienceOf(address) * PATIENCE_GROWTH
      patienceMs.set(address, Math.min(grown, MAX_FIRST_ORDERS_MS))
    }
    scheduleArrival()
  }

  const patienceOf = (address: string): number => patienceMs.get(address) ?? FIRST_ORDERS_MS

  const onRedirect = (stream: Stream, hint: protocol.workflow.LeaderHint | undefined): void => {
    drop(stream, 'redirected', 'it does not lead')
    book.reject(stream.address, false)
    book.learn(hint)
    if (isAttached()) return
    const leader = hint?.leader ?? ''
    if (leader !== '' && pendingAt(leader)) {
      schedule(spread(NEXT_ATTEMPT_MS))
      return
    }
    if (leader !== '' && leader === current?.address) isStillNamed = true
    if (leader !== '' && book.next(isBusy) === leader) scheduleArrival()
    else scheduleRetry()
  }

  /** Follows the orders of `stream` from now on. */
  const adopt = (stream: Stream, fence: number): void => {
    const previous = current
    if (previous !== undefined) release(previous)
    if (previous !== undefined && !isSilent) {
      trace.noteDetached(previous.address, 'a newer stream is used')
    }
    const position = pending.indexOf(stream)
    pending = pending.filter((other) => other !== stream)
    current = stream
    isSilent = false
    trace.noteAttached(stream, fence)
    // A leader ends the older stream of an agent, so a newer attempt at the same address is waited for.
    const isNewer = (other: Stream, index: number): boolean =>
      other.address === stream.address && index >= position
    for (const other of pending.filter((other, index) => !isNewer(other, index))) {
      dropPending(other, 'superseded', 'another replica leads')
    }
    retryPauseMs = RETRY_PAUSE_MS
    patienceMs.delete(stream.address)
    book.confirm(stream.address)
    options.onAdopted?.()
  }

  const resume = ({ address }: Stream): void => {
    isSilent = false
    trace.noteResumed(address)
    for (const other of pending.filter((other) => other.address !== address)) {
      dropPending(other, 'superseded', 'the leader answers again')
    }
    book.confirm(address)
  }

  const onOrders = (stream: Stream, orders: protocol.workflow.WorkerOrders): void => {
    if (stream.closed) return
    if (!orders.leading) {
      onRedirect(stream, orders.hint)
      return
    }
    const { reportedMs = 0 } = stream
    const isOverdue = isSilent || (stream !== current && nowMs() - reportedMs > REPORT_AGE_MS)
    stream.heardMs = nowMs()
    if (stream !== current) adopt(stream, orders.fence)
    else if (isSilent) resume(stream)
    book.learn(orders.hint)
    options.onOrders(orders)
    if (isOverdue) options.onReportDue()
  }

  const open = (address: string): void => {
    const client = clients.take(address)
    const startedMs = nowMs()
    const stream: Stream = {
      address,
      client,
      call: client.attach(),
      startedMs,
      stage: 'connecting',
      connectedMs: startedMs,
      reportedMs: undefined,
      heardMs: startedMs,
      closed: false,
    }
    pending = [...pending, stream]
    client.waitForReady(Date.now() + CONNECT_MS, (error) => {
      if (error !== undefined || stream.stage !== 'connecting') return
      stream.stage = 'connected'
      stream.connectedMs = nowMs()
    })
    stream.call.on('metadata', () => {
      if (stream.stage === 'connecting') stream.connectedMs = nowMs()
      stream.stage = 'waiting for orders'
    })
    stream.call.on('data', (orders: protocol.workflow.WorkerOrders) => {
      onOrders(stream, orders)
    })
    stream.call.on('end', () => {
      fail(stream, 'the stream ended', false)
    })
    stream.call.on('error', (error) => {
      fail(stream, error.message, true)
    })
    options.onReportDue()
  }

  const tryNext = (): void => {
    if (stopped || isAttached()) return
    schedule(spread(NEXT_ATTEMPT_MS))
    // Without a report a replica has nothing to answer.
    const isUnasked = pending.some(({ reportedMs }) => reportedMs === undefined)
    if (isUnasked || pending.length >= MAX_PENDING) return
    const address = book.next(isBusy) ?? current?.address
    if (address !== undefined && !pendingAt(address)) open(address)
  }

  const checkCurrent = (stream: Stream): void => {
    const quietMs = nowMs() - stream.heardMs
    if (quietMs >= SILENCE_MS && !isSilent) {
      isSilent = true
      isStillNamed = false
      trace.noteDetached(stream.address, 'silent')
      scheduleArrival()
    }
    if (quietMs >= ABANDON_MS) dropCurrent('silent')
  }

  const checkPending = (stream: Stream): void => {
    const { stage, startedMs, connectedMs, reportedMs, address } = stream
    if (stage === 'connecting') {
      if (nowMs() - startedMs >= CONNECT_MS) giveUp(stream, 'no connection')
      return
    }
    if (reportedMs === undefined) return
    if (nowMs() - Math.max(connectedMs, reportedMs) >= patienceOf(address)) {
      giveUp(stream, 'no orders')
    }
  }

  const check = (): void => {
    trace.check()
    if (current !== undefined) checkCurrent(current)
    for (const stream of pending) checkPending(stream)
  }

  return {
    send: (report) => {
      // A leader that is asked on a new stream must not get newer reports on the old one.
      const isCurrentOpen = isAttached() && !pendingAt(current?.address ?? '')
      const unasked = pending.filter(({ reportedMs }) => reportedMs === undefined)
      const targets = [...(current !== undefined && isCurrentOpen ? [current] : []), ...unasked]
      for (const stream of targets) {
        stream.reportedMs = nowMs()
        stream.call.write(report)
      }
      return targets.length > 0
    },
    restart: (why) => {
      if (current !== undefined) fail(current, why, false)
    },
    isAttached,
    start: () => {
      stopped = false
      checkTimer = setInterval(check, CHECK_INTERVAL_MS)
      tryNext()
    },
    stop: () => {
      stopped = true
      clearTimeout(nextTimer)
      clearInterval(checkTimer)
      for (const stream of pending) dropPending(stream, 'superseded', 'stopping')
      dropCurrent('stopping')
      clients.close()
    },
  }
}
