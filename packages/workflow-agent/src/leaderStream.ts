/**
 * Stream to the leader. An unresponsive stream, or an attempt without an answer, stays open while other replicas are
 * tried, and the first one that answers as the leader is used, so that a leader that is only slow is not abandoned.
 */
import type * as grpc from '@grpc/grpc-js'
import type * as protocol from '@ebonyweir/protocol'
import type * as telemetry from '@ebonyweir/telemetry/logger'
import * as workflowClient from '@ebonyweir/workflow-client'
import * as attachTraces from './attachTrace.js'
import * as clientPools from './clientPool.js'

/** Time without orders after which other replicas are tried; a leader answers each report at once. */
const UNRESPONSIVE_AFTER_MS = 1_200

/** Longest wait for the HTTP/2 settings of a replica: four turns of a busy event loop of 0.5 s each. */
const CONNECT_TIMEOUT_MS = 2_000

/**
 * Longest wait for the first orders once connected. Together with the time to notice the unresponsive leader and to
 * connect, it is below the 6.8 s after which a leader counts a worker as lost.
 */
const FIRST_ORDERS_TIMEOUT_MS = 3_000

/** Growth of that wait after each unanswered attempt at an address. */
const FIRST_ORDERS_TIMEOUT_GROWTH_FACTOR = 1.5

/** Upper bound of that wait: a worker that cannot be reached for longer counts as lost anyway. */
const MAX_FIRST_ORDERS_TIMEOUT_MS = 6_000

/** Time after which an unresponsive stream is closed: the leader then counts the worker as lost. */
const CLOSE_UNRESPONSIVE_AFTER_MS = 6_800

/**
 * Time without an answer after which the next address is tried as well. An unresponsive replica is left within 2.5 s,
 * half a second after the longest election.
 */
const NEXT_ATTEMPT_DELAY_MS = 800

/** Attempts pending at the same time; a group has three replicas. */
const MAX_PENDING_ATTEMPT_COUNT = 3

/** First delay after a replica that knows no leader or refuses the connection. */
const INITIAL_RETRY_DELAY_MS = 120

/** Upper bound of that delay, which doubles: an election takes up to 2 s, so each agent makes a few attempts. */
const MAX_RETRY_DELAY_MS = 480

/** Largest random share added to each delay, so that the agents of a site do not reconnect at the same time. */
const JITTER_SHARE = 0.3

/** Longest random delay before a new leader is asked; it spreads the agents over a turn of its event loop. */
const MAX_LEADER_ATTEMPT_JITTER_MS = 150

/** Age of the first report above which a new one is sent once attached: the interval of the lists. */
const MAX_FIRST_REPORT_AGE_MS = 400

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
  /** Called before the first orders of a newly used stream. @default nothing */
  readonly onStreamSwitched?: () => void
  /** A report is due: a stream was opened, or the leader answers after a while. */
  readonly onReportDue: () => void
}

export interface LeaderStream {
  /** Sends a report to the leader if attached, and as the first report on each pending stream; false if there was none. */
  readonly send: (report: protocol.workflow.WorkerReport) => boolean
  /** Closes the current stream and attaches again. */
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
  lastOrdersMs: number
  closed: boolean
}

type UnattachedOutcome = Exclude<attachTraces.AttemptOutcome, 'attached'>

export const createLeaderStream = (options: LeaderStreamOptions): LeaderStream => {
  const { logger, nowMs } = options
  const random = options.random ?? Math.random
  const addressBook = workflowClient.createAddressBook(options.seeds, nowMs)
  const trace = attachTraces.createAttachTrace({ logger, nowMs, metrics: options.metrics })
  const clients = clientPools.createClientPool()
  const firstOrdersTimeoutsMs = new Map<string, number>()
  /** Stream whose orders are followed; it may be unresponsive. */
  let current: Stream | undefined
  let isUnresponsive = false
  /** Whether another replica names the address of the unresponsive stream as the leader's. */
  let isNamedAsLeader = false
  let pending: readonly Stream[] = []
  let retryDelayMs = INITIAL_RETRY_DELAY_MS
  let stopped = true
  let nextTimer: NodeJS.Timeout | undefined
  let checkTimer: NodeJS.Timeout | undefined

  const isAttached = (): boolean =>
    current !== undefined &&
    !isUnresponsive &&
    nowMs() - current.lastOrdersMs < UNRESPONSIVE_AFTER_MS

  const hasPendingAttempt = (address: string): boolean =>
    pending.some((other) => other.address === address)

  /** Whether a second connection to the address of an unresponsive stream is allowed, since its own may be broken. */
  const mayReconnect = ({ lastOrdersMs }: Stream): boolean =>
    isNamedAsLeader || nowMs() - lastOrdersMs >= UNRESPONSIVE_AFTER_MS + NEXT_ATTEMPT_DELAY_MS

  const isBeingTried = (address: string): boolean =>
    hasPendingAttempt(address) || (current?.address === address && !mayReconnect(current))

  const addJitter = (ms: number): number => ms * (1 + JITTER_SHARE * random())

  const schedule = (delayMs: number): void => {
    clearTimeout(nextTimer)
    if (!stopped) nextTimer = setTimeout(tryNext, delayMs)
  }

  const scheduleRetry = (): void => {
    schedule(addJitter(retryDelayMs))
    retryDelayMs = Math.min(2 * retryDelayMs, MAX_RETRY_DELAY_MS)
  }

  const scheduleLeaderAttempt = (): void => {
    schedule(MAX_LEADER_ATTEMPT_JITTER_MS * random())
  }

  const closeStream = (stream: Stream, outcome?: UnattachedOutcome): void => {
    stream.closed = true
    stream.call.cancel()
    if (outcome === 'redirected') clients.put(stream.address, stream.client)
    else stream.client.close()
  }

  const dropCurrent = (why: string, outcome?: UnattachedOutcome): void => {
    if (current === undefined) return
    closeStream(current, outcome)
    if (!isUnresponsive) trace.recordDetached(current.address, why)
    current = undefined
    isUnresponsive = false
  }

  const dropPending = (stream: Stream, outcome: UnattachedOutcome, why: string): void => {
    closeStream(stream, outcome)
    pending = pending.filter((other) => other !== stream)
    trace.recordEnded(stream, outcome, why)
  }

  const dropStream = (stream: Stream, outcome: UnattachedOutcome, why: string): void => {
    if (stream === current) dropCurrent(why, outcome)
    else dropPending(stream, outcome, why)
  }

  const handleFailure = (stream: Stream, why: string, suspect: boolean): void => {
    if (stream.closed) return
    dropStream(stream, 'failed', why)
    addressBook.reject(stream.address, suspect)
    if (!isAttached()) scheduleRetry()
  }

  const abandonAttempt = (stream: Stream, why: string): void => {
    const { address, stage } = stream
    dropPending(stream, 'silent', why)
    addressBook.reject(address, true)
    if (stage !== 'connecting') {
      const grownTimeoutMs = firstOrdersTimeoutOf(address) * FIRST_ORDERS_TIMEOUT_GROWTH_FACTOR
      firstOrdersTimeoutsMs.set(address, Math.min(grownTimeoutMs, MAX_FIRST_ORDERS_TIMEOUT_MS))
    }
    scheduleLeaderAttempt()
  }

  const firstOrdersTimeoutOf = (address: string): number =>
    firstOrdersTimeoutsMs.get(address) ?? FIRST_ORDERS_TIMEOUT_MS

  const onRedirect = (stream: Stream, hint: protocol.workflow.LeaderHint | undefined): void => {
    dropStream(stream, 'redirected', 'the replica is not the leader')
    addressBook.reject(stream.address, false)
    addressBook.applyHint(hint)
    if (isAttached()) return
    const leader = hint?.leader ?? ''
    if (leader !== '' && hasPendingAttempt(leader)) {
      schedule(addJitter(NEXT_ATTEMPT_DELAY_MS))
      return
    }
    if (leader !== '' && leader === current?.address) isNamedAsLeader = true
    if (leader !== '' && addressBook.next(isBeingTried) === leader) scheduleLeaderAttempt()
    else scheduleRetry()
  }

  /** Follows the orders of `stream` from now on. */
  const switchTo = (stream: Stream, fence: number): void => {
    const previous = current
    if (previous !== undefined) closeStream(previous)
    if (previous !== undefined && !isUnresponsive) {
      trace.recordDetached(previous.address, 'replaced by a newer stream')
    }
    const position = pending.indexOf(stream)
    pending = pending.filter((other) => other !== stream)
    current = stream
    isUnresponsive = false
    trace.recordAttached(stream, fence)
    // A leader ends the older stream of an agent, so a newer attempt at the same address stays pending.
    const isNewer = (other: Stream, index: number): boolean =>
      other.address === stream.address && index >= position
    for (const other of pending.filter((other, index) => !isNewer(other, index))) {
      dropPending(other, 'superseded', 'another replica leads')
    }
    retryDelayMs = INITIAL_RETRY_DELAY_MS
    firstOrdersTimeoutsMs.delete(stream.address)
    addressBook.confirm(stream.address)
    options.onStreamSwitched?.()
  }

  const resume = ({ address }: Stream): void => {
    isUnresponsive = false
    trace.recordResumed(address)
    for (const other of pending.filter((other) => other.address !== address)) {
      dropPending(other, 'superseded', 'the leader answers again')
    }
    addressBook.confirm(address)
  }

  const onOrders = (stream: Stream, orders: protocol.workflow.WorkerOrders): void => {
    if (stream.closed) return
    if (!orders.leading) {
      onRedirect(stream, orders.hint)
      return
    }
    const { reportedMs = 0 } = stream
    const isReportDue =
      isUnresponsive || (stream !== current && nowMs() - reportedMs > MAX_FIRST_REPORT_AGE_MS)
    stream.lastOrdersMs = nowMs()
    if (stream !== current) switchTo(stream, orders.fence)
    else if (isUnresponsive) resume(stream)
    addressBook.applyHint(orders.hint)
    options.onOrders(orders)
    if (isReportDue) options.onReportDue()
  }

  const openAttempt = (address: string): void => {
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
      lastOrdersMs: startedMs,
      closed: false,
    }
    pending = [...pending, stream]
    client.waitForReady(Date.now() + CONNECT_TIMEOUT_MS, (error) => {
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
      handleFailure(stream, 'the stream ended', false)
    })
    stream.call.on('error', (error) => {
      handleFailure(stream, error.message, true)
    })
    options.onReportDue()
  }

  const tryNext = (): void => {
    if (stopped || isAttached()) return
    schedule(addJitter(NEXT_ATTEMPT_DELAY_MS))
    // A replica answers only reports, so an attempt without one cannot complete.
    const isReportMissing = pending.some(({ reportedMs }) => reportedMs === undefined)
    if (isReportMissing || pending.length >= MAX_PENDING_ATTEMPT_COUNT) return
    const address = addressBook.next(isBeingTried) ?? current?.address
    if (address !== undefined && !hasPendingAttempt(address)) openAttempt(address)
  }

  const checkCurrent = (stream: Stream): void => {
    const sinceOrdersMs = nowMs() - stream.lastOrdersMs
    if (sinceOrdersMs >= UNRESPONSIVE_AFTER_MS && !isUnresponsive) {
      isUnresponsive = true
      isNamedAsLeader = false
      trace.recordDetached(stream.address, 'silent')
      scheduleLeaderAttempt()
    }
    if (sinceOrdersMs >= CLOSE_UNRESPONSIVE_AFTER_MS) dropCurrent('silent')
  }

  const checkPending = (stream: Stream): void => {
    const { stage, startedMs, connectedMs, reportedMs, address } = stream
    if (stage === 'connecting') {
      if (nowMs() - startedMs >= CONNECT_TIMEOUT_MS) abandonAttempt(stream, 'no connection')
      return
    }
    if (reportedMs === undefined) return
    if (nowMs() - Math.max(connectedMs, reportedMs) >= firstOrdersTimeoutOf(address)) {
      abandonAttempt(stream, 'no orders')
    }
  }

  const check = (): void => {
    trace.reportLongSearch()
    if (current !== undefined) checkCurrent(current)
    for (const stream of pending) checkPending(stream)
  }

  return {
    send: (report) => {
      // With a new stream pending at its address, the leader must not get newer reports on the old one.
      const isCurrentOpen = isAttached() && !hasPendingAttempt(current?.address ?? '')
      const withoutReport = pending.filter(({ reportedMs }) => reportedMs === undefined)
      const targets = [
        ...(current !== undefined && isCurrentOpen ? [current] : []),
        ...withoutReport,
      ]
      for (const stream of targets) {
        stream.reportedMs = nowMs()
        stream.call.write(report)
      }
      return targets.length > 0
    },
    restart: (why) => {
      if (current !== undefined) handleFailure(current, why, false)
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
