/** Fake worker: the worker side of the worker protocol. */
import type * as protocol from '@ebonyweir/protocol'
import * as undici from 'undici'
import * as record from './record.js'
import * as workerTasks from './workerTasks.js'

/** Options of a fake worker. */
export interface FakeWorkerOptions extends workerTasks.TaskBehaviour {
  readonly cell: string
  readonly worker: string
  readonly failureDomain: string
  readonly rack: string
  /** HTTP addresses of the control replicas, "host:port". */
  readonly controlAddresses: readonly string[]
  readonly capacity: record.Resources
  /** Must increase with each start of the worker. @default wall clock in milliseconds */
  readonly incarnation?: number
  readonly recorder: record.Recorder
  /** Interval at which the lease is checked and tasks advance, in milliseconds. @default 50 */
  readonly tickMs?: number
  /** Time after which an unanswered sync is abandoned, in milliseconds. @default 1500 */
  readonly syncTimeoutMs?: number
  /** Protocol guards to disable, so that a test can show that the audit detects the fault. @default [] */
  readonly guardsOff?: readonly WorkerGuard[]
  readonly onServiceStart?: (directive: protocol.workerApi.StartTaskJson) => void
  readonly onServiceStop?: (directive: protocol.workerApi.StartTaskJson) => void
  /** Latencies that the worker reports for its services. */
  readonly services?: () => protocol.workerApi.WorkerSyncRequest['services']
  /** Source of random numbers in [0, 1). @default Math.random */
  readonly random?: () => number
  /** Connection pool to control, shared by the workers of one process. */
  readonly dispatcher?: undici.Dispatcher
}

/** A safety check of the worker protocol. */
export type WorkerGuard = 'lease' | 'startValidity' | 'epochFloor'

/** Current state of a fake worker. */
export interface WorkerStatus {
  readonly worker: string
  readonly incarnation: number
  readonly leaseLeftMs: number
  readonly epoch: number
  readonly syncs: number
  readonly running: readonly protocol.workerApi.RunningTaskJson[]
  readonly ended: readonly protocol.workerApi.EndedTaskJson[]
}

/** A running fake worker. */
export interface FakeWorker {
  readonly status: () => WorkerStatus
  readonly close: () => void
}

const DEFAULT_SYNC_INTERVAL_MS = 1000
const RETRY_DELAY_MS = 200

interface SentSync {
  readonly sequence: number
  readonly sentMs: number
  readonly abort: AbortController
}

/** Starts a fake worker that syncs until it is closed. */
export const createFakeWorker = (options: FakeWorkerOptions): FakeWorker => {
  const incarnation = options.incarnation ?? Date.now()
  const { recorder, worker, failureDomain } = options
  const isGuardOff = (guard: WorkerGuard): boolean => options.guardsOff?.includes(guard) ?? false
  const dispatcher = options.dispatcher ?? new undici.Agent()
  const tasks = workerTasks.createWorkerTasks(
    {
      worker,
      incarnation,
      failureDomain,
      recorder,
      onServiceStart: options.onServiceStart,
      onServiceStop: options.onServiceStop,
      random: options.random ?? Math.random,
    },
    options,
  )
  let leaseEndMs = 0
  let epoch = 0
  let sequence = 0
  let nextSyncMs = 0
  let outstanding: SentSync | undefined
  let target = options.controlAddresses[0] ?? ''
  let answeredSyncs = 0

  const checkLease = (nowMs: number) => {
    if (isGuardOff('lease') || nowMs < leaseEndMs || tasks.count() === 0) return
    recorder.record({ kind: 'leaseEnded', worker, lateMs: nowMs - leaseEndMs })
    tasks.stopAll('the lease ended')
  }

  const recordIgnoredReply = (reason: string, ageMs: number) => {
    recorder.record({ kind: 'replyIgnored', worker, reason, ageMs })
  }

  const applyReply = (reply: protocol.workerApi.WorkerSyncReply, sync: SentSync, nowMs: number) => {
    const ageMs = nowMs - sync.sentMs
    if (reply.sequence !== sequence) {
      recordIgnoredReply('not the newest sync', ageMs)
      return
    }
    if (ageMs > reply.startValidMs && !isGuardOff('startValidity')) {
      recordIgnoredReply('older than the start validity', ageMs)
      return
    }
    if (reply.epoch < epoch && !isGuardOff('epochFloor')) {
      recordIgnoredReply('older epoch', ageMs)
      return
    }
    epoch = reply.epoch
    answeredSyncs++
    leaseEndMs = sync.sentMs + reply.leaseMs
    nextSyncMs = nowMs + reply.nextSyncMs
    tasks.acknowledge(reply.ackEnded)
    reply.stop.forEach(tasks.stop)
    reply.checkpoint.forEach(tasks.checkpoint)
    reply.throttle.forEach((t) => {
      tasks.throttle(t, t.cpuPercent)
    })
    reply.start.forEach((directive) => {
      tasks.start(directive, nowMs)
    })
  }

  const selectNextTarget = () => {
    const index = options.controlAddresses.indexOf(target)
    target = options.controlAddresses[(index + 1) % options.controlAddresses.length] ?? target
  }

  const performSync = async (sync: SentSync, body: protocol.workerApi.WorkerSyncRequest) => {
    const url = `http://${target}/v1/workers/${encodeURIComponent(worker)}/sync`
    const response = await undici.request(url, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      signal: sync.abort.signal,
      dispatcher,
    })
    const answer: unknown = await response.body.json()
    const nowMs = record.monotonicMs()
    // After a freeze, the answer may be handled before any timer, so an expired lease has to be detected first.
    checkLease(nowMs)
    if (outstanding !== sync) return
    outstanding = undefined
    if (response.statusCode === 200) {
      applyReply(answer as protocol.workerApi.WorkerSyncReply, sync, nowMs)
      return
    }
    nextSyncMs = nowMs + RETRY_DELAY_MS
    const leader = (answer as { readonly leader?: string }).leader
    if (response.statusCode === 421 && leader) target = leader
    else selectNextTarget()
  }

  const startSync = (nowMs: number) => {
    sequence++
    const sync = { sequence, sentMs: nowMs, abort: new AbortController() }
    outstanding = sync
    nextSyncMs = nowMs + DEFAULT_SYNC_INTERVAL_MS
    const { cell, rack, capacity } = options
    const body: protocol.workerApi.WorkerSyncRequest = {
      cell,
      worker,
      incarnation,
      sequence,
      failureDomain,
      rack,
      capacity,
      running: tasks.running(nowMs),
      ended: tasks.ended(),
      services: options.services?.() ?? [],
    }
    performSync(sync, body).catch(() => {
      if (outstanding !== sync) return
      outstanding = undefined
      nextSyncMs = record.monotonicMs() + RETRY_DELAY_MS
      selectNextTarget()
    })
  }

  const tick = () => {
    const nowMs = record.monotonicMs()
    checkLease(nowMs)
    tasks.advance(nowMs)
    const isTimedOut =
      outstanding !== undefined && nowMs - outstanding.sentMs > (options.syncTimeoutMs ?? 1500)
    if (isTimedOut) {
      outstanding?.abort.abort()
      outstanding = undefined
      selectNextTarget()
    }
    if (outstanding === undefined && nowMs >= nextSyncMs) startSync(nowMs)
  }

  recorder.record({
    kind: 'workerUp',
    worker,
    incarnation,
    failureDomain,
    capacity: options.capacity,
  })
  const timer = setInterval(tick, options.tickMs ?? 50)
  return {
    status: () => {
      const nowMs = record.monotonicMs()
      return {
        worker,
        incarnation,
        leaseLeftMs: leaseEndMs - nowMs,
        epoch,
        syncs: answeredSyncs,
        running: tasks.running(nowMs),
        ended: tasks.ended(),
      }
    },
    close: () => {
      clearInterval(timer)
      outstanding?.abort.abort()
      tasks.stopAll('the worker shuts down')
    },
  }
}
