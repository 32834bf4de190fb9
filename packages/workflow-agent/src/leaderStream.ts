/** Stream to the leader; it is replaced when it goes silent. */
import * as grpc from '@grpc/grpc-js'
import * as peerTransport from '@ebonyweir/peer-transport'
import * as protocol from '@ebonyweir/protocol'
import type * as telemetry from '@ebonyweir/telemetry/logger'
import * as workflowClient from '@ebonyweir/workflow-client'
import * as attachTraces from './attachTrace.js'

/** Time without orders after which a stream is replaced, in milliseconds; each report is answered at once. */
const SILENCE_MS = 1_200

/** Pause before the next address is tried, in milliseconds. */
const RECONNECT_PAUSE_MS = 120

const CHECK_INTERVAL_MS = 100

export interface LeaderStreamOptions {
  readonly seeds: () => readonly string[]
  readonly logger: telemetry.Logger
  readonly nowMs: () => number
  /** @default no metrics */
  readonly metrics?: attachTraces.AttachMetrics | undefined
  readonly onOrders: (orders: protocol.workflow.WorkerOrders) => void
  /** A new stream is open; the first report is due. */
  readonly onOpen: () => void
}

export interface LeaderStream {
  /** Sends a report if a stream is open. */
  readonly send: (report: protocol.workflow.WorkerReport) => boolean
  /** Gives the current stream up and attaches again. */
  readonly restart: (why: string) => void
  readonly isAttached: () => boolean
  readonly start: () => void
  readonly stop: () => void
}

type AttachCall = grpc.ClientDuplexStream<
  protocol.workflow.WorkerReport,
  protocol.workflow.WorkerOrders
>

interface Open {
  readonly address: string
  readonly client: protocol.workflow.WorkflowClient
  readonly call: AttachCall
  readonly startedMs: number
  stage: attachTraces.AttachStage
  heardMs: number
  attached: boolean
}

export const createLeaderStream = (options: LeaderStreamOptions): LeaderStream => {
  const { logger, nowMs } = options
  const book = workflowClient.createAddressBook(options.seeds, nowMs)
  const trace = attachTraces.createAttachTrace({ logger, nowMs, metrics: options.metrics })
  let open: Open | undefined
  let stopped = true
  let reconnectTimer: NodeJS.Timeout | undefined
  let checkTimer: NodeJS.Timeout | undefined

  const close = (
    closing: Open,
    outcome: Exclude<attachTraces.AttemptOutcome, 'attached'>,
    why: string,
    suspect = outcome === 'silent',
  ): void => {
    if (open !== closing) return
    open = undefined
    closing.call.cancel()
    closing.client.close()
    book.reject(closing.address, suspect)
    if (closing.attached) trace.noteDetached(closing.address, why)
    else trace.noteEnded(closing, outcome, why)
    if (!stopped) reconnectTimer = setTimeout(connect, RECONNECT_PAUSE_MS)
  }

  const connect = (): void => {
    const address = stopped ? undefined : book.next()
    if (address === undefined) {
      if (!stopped) reconnectTimer = setTimeout(connect, RECONNECT_PAUSE_MS)
      return
    }
    const credentials = grpc.credentials.createInsecure()
    const channelOptions = peerTransport.CHANNEL_OPTIONS
    const client = new protocol.workflow.WorkflowClient(address, credentials, channelOptions)
    const call = client.attach()
    const startedMs = nowMs()
    const opened: Open = {
      address,
      client,
      call,
      startedMs,
      stage: 'connecting',
      heardMs: startedMs,
      attached: false,
    }
    open = opened
    client.waitForReady(Date.now() + SILENCE_MS, (error) => {
      if (error === undefined && opened.stage === 'connecting') opened.stage = 'connected'
    })
    call.on('metadata', () => {
      opened.stage = 'waiting for orders'
    })
    call.on('data', (orders: protocol.workflow.WorkerOrders) => {
      if (open !== opened) return
      if (!orders.leading) {
        close(opened, 'redirected', 'it does not lead')
        book.learn(orders.hint)
        return
      }
      opened.heardMs = nowMs()
      if (!opened.attached) {
        opened.attached = true
        book.confirm(address)
        trace.noteAttached(opened, orders.fence)
      }
      book.learn(orders.hint)
      options.onOrders(orders)
    })
    call.on('end', () => {
      close(opened, 'failed', 'the stream ended')
    })
    call.on('error', (error) => {
      close(opened, 'failed', error.message, true)
    })
    options.onOpen()
  }

  const check = (): void => {
    trace.check()
    if (open === undefined || nowMs() - open.heardMs < SILENCE_MS) return
    close(open, 'silent', 'silent')
  }

  return {
    send: (report) => {
      if (open === undefined) return false
      open.call.write(report)
      return true
    },
    restart: (why) => {
      if (open !== undefined) close(open, 'failed', why)
    },
    isAttached: () => open?.attached ?? false,
    start: () => {
      stopped = false
      checkTimer = setInterval(check, CHECK_INTERVAL_MS)
      connect()
    },
    stop: () => {
      stopped = true
      clearTimeout(reconnectTimer)
      clearInterval(checkTimer)
      if (open !== undefined) close(open, 'superseded', 'stopping')
    },
  }
}
