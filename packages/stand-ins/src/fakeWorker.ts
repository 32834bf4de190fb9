/** Stand-in for one worker of the platform: the worker side of the worker protocol. */
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
  /** Operator addresses of the control replicas, "host:port". */
  readonly controlAddresses: readonly string[]
  readonly capacity: record.Resources
  /** Number that grows with each start of the worker. @default wall clock in milliseconds */
  readonly incarnation?: number
  readonly recorder: record.Recorder
  /** Interval of the lease check and of the tasks' work, in milliseconds. @default 50 */
  readonly tickMs?: number
  /** Time after which an unanswered sync is abandoned, in milliseconds. @default 1500 */
  readonly syncTimeoutMs?: number
  /** Guards of the protocol that a test switches off to see its check fail. @default [] */
  readonly guardsOff?: readonly WorkerGuard[]
  readonly onServiceStart?: (directive: protocol.workerApi.StartTaskJson) => void
  readonly onServiceStop?: (directive: protocol.workerApi.StartTaskJson) => void
  /** Latency that the worker observes at its services. */
  readonly services?: () => protocol.workerApi.WorkerSyncRequest['services']
  /** Numbers in [0, 1). @default Math.random */
  readonly random?: () => number
  /** Connections to control, shared by the workers of one process. */
  readonly dispatcher?: undici.Dispatcher
}

/** A guard of the worker protocol. */
export type WorkerGuard = 'lease' | 'startValidity' | 'epochFloor'

/** What a fake worker can be asked. */
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

const DEFAULT_SYNC_MS = 1000
const RETRY_MS = 200

interface SentSync {
  readonly sequence: number
  readonly sentMs: number
  readonly abort: AbortController
}

/** Starts a fake worker that syncs until it is closed. */
export const createFakeWorker = (options: FakeWorkerOptions): FakeWorker => {
  const incarnation = options.incarnation ?? Date.now()
  const { recorder, worker, failureDomain } = options
  const off = (guard: WorkerGuard): boolean => options.guardsOff?.includes(guard) ?? false
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
  let answered = 0

  const checkLease = (nowMs: number) => {
    if (off('lease') || nowMs < leaseEndMs || tasks.count() === 0) return
    recorder.note({ kind: 'leaseEnded', worker, lateMs: nowMs - leaseEndMs })
    tasks.stopAll('the lease ended')
  }

  const ignore = (reason: string, ageMs: number) => {
    recorder.note({ kind: 'replyIgnored', worker, reason, ageMs })
  }

  const applyReply = (reply: protocol.workerApi.WorkerSyncReply, sync: SentSync, nowMs: number) => {
    const ageMs = nowMs - sync.sentMs
    if (reply.sequence !== sequence) {
      ignore('not the newest sync', ageMs)
      return
    }
    if (ageMs > reply.startValidMs && !off('startValidity')) {
      ignore('older than the start validity', ageMs)
      return
    }
    if (reply.epoch < epoch && !off('epochFloor')) {
      ignore('older epoch', ageMs)
      return
    }
    epoch = reply.epoch
    answered++
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

  const rotate = () => {
    const at = options.controlAddresses.indexOf(target)
    target = options.controlAddresses[(at + 1) % options.controlAddresses.length] ?? target
  }

  const exchange = async (sync: SentSync, body: protocol.workerApi.WorkerSyncRequest) => {
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
    // After a freeze the answer may be handled before any timer: the lease comes first.
    checkLease(nowMs)
    if (outstanding !== sync) return
    outstanding = undefined
    if (response.statusCode === 200) {
      applyReply(answer as protocol.workerApi.WorkerSyncReply, sync, nowMs)
      return
    }
    nextSyncMs = nowMs + RETRY_MS
    const leader = (answer as { readonly leader?: string }).leader
    if (response.statusCode === 421 && leader) target = leader
    else rotate()
  }

  const send = (nowMs: number) => {
    sequence++
    const sync = { sequence, sentMs: nowMs, abort: new AbortController() }
    outstanding = sync
    nextSyncMs = nowMs + DEFAULT_SYNC_MS
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
    exchange(sync, body).catch(() => {
      if (outstanding !== sync) return
      outstanding = undefined
      nextSyncMs = record.monotonicMs() + RETRY_MS
      rotate()
    })
  }

  const tick = () => {
    const nowMs = record.monotonicMs()
    checkLease(nowMs)
    tasks.work(nowMs)
    const late =
      outstanding !== undefined && nowMs - outstanding.sentMs > (options.syncTimeoutMs ?? 1500)
    if (late) {
      outstanding?.abort.abort()
      outstanding = undefined
      rotate()
    }
    if (outstanding === undefined && nowMs >= nextSyncMs) send(nowMs)
  }

  recorder.note({
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
        syncs: answered,
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
