/** Tasks of one fake worker: start, progress, checkpoint, stop. Uses no sockets and no timers. */
import type * as protocol from '@ebonyweir/protocol'
import * as record from './record.js'

/** Behaviour of the tasks of a fake worker. */
export interface TaskBehaviour {
  /** Run time of a batch task whose command does not state one, in milliseconds. @default 2000 */
  readonly runMs?: number
  /** Every task fails at once. @default false */
  readonly failsEverything?: boolean
  /** Actual usage as a multiple of the declared size. @default 1 */
  readonly sizeFactor?: number
  /** Random variation of the reported usage, as a fraction. @default 0 */
  readonly usageNoise?: number
  /** Age of the reported usage in milliseconds. @default 0 */
  readonly usageLagMs?: number
}

interface Sample {
  readonly atMs: number
  readonly wallMs: number
  readonly usage: record.Resources
}

interface ActiveTask {
  readonly directive: protocol.workerApi.StartTaskJson
  readonly runMs: number
  readonly fails: boolean
  workedMs: number
  lastWorkedMs: number
  cpuPercent: number
  readonly samples: Sample[]
}

/** Worker that the tasks run on, its recorder and its callbacks. */
export interface TaskHost {
  readonly worker: string
  readonly incarnation: number
  readonly failureDomain: string
  readonly recorder: record.Recorder
  /** Called after a service task started. */
  readonly onServiceStart?: (directive: protocol.workerApi.StartTaskJson) => void
  /** Called before a service task stops. */
  readonly onServiceStop?: (directive: protocol.workerApi.StartTaskJson) => void
  /** Source of random numbers in [0, 1). */
  readonly random: () => number
}

/** Tasks of one fake worker. */
export interface WorkerTasks {
  readonly start: (directive: protocol.workerApi.StartTaskJson, nowMs: number) => void
  readonly stop: (attempt: protocol.workerApi.AttemptJson) => void
  readonly checkpoint: (attempt: protocol.workerApi.AttemptJson) => void
  readonly throttle: (attempt: protocol.workerApi.AttemptJson, cpuPercent: number) => void
  readonly acknowledge: (attempts: readonly protocol.workerApi.AttemptJson[]) => void
  /** Advances all tasks to `nowMs`. The caller must have checked the lease. */
  readonly advance: (nowMs: number) => void
  /** Checkpoints and stops all tasks. */
  readonly stopAll: (reason: string) => void
  readonly running: (nowMs: number) => readonly protocol.workerApi.RunningTaskJson[]
  readonly ended: () => readonly protocol.workerApi.EndedTaskJson[]
  readonly count: () => number
}

const CHECKPOINT_UNIT_MS = 100
const MAX_SAMPLE_COUNT = 64

const attemptKey = (attempt: protocol.workerApi.AttemptJson): string =>
  `${attempt.task}#${attempt.attempt}`

const parseCheckpointUnits = (checkpoint: string): number => {
  const units = /^cp:.*:(\d+)$/.exec(checkpoint)?.[1]
  return units === undefined ? 0 : Number(units)
}

const parseRunMs = (command: string): number | undefined => {
  const runMs = /run=(\d+)/.exec(command)?.[1]
  return runMs === undefined ? undefined : Number(runMs)
}

/** Creates the task set of one worker. The command of a task may contain `run=<ms>` and `fail`. */
export const createWorkerTasks = (host: TaskHost, behaviour: TaskBehaviour): WorkerTasks => {
  const active = new Map<string, ActiveTask>()
  const ended = new Map<string, protocol.workerApi.EndedTaskJson>()
  // Highest attempt per task that ended or was cancelled; it and older ones are not started again.
  const highestFinishedAttempts = new Map<string, number>()

  const checkpointOf = (task: ActiveTask): string =>
    task.directive.service !== ''
      ? ''
      : `cp:${task.directive.task}:${task.directive.attempt}:${Math.floor(task.workedMs / CHECKPOINT_UNIT_MS)}`

  const endTask = (task: ActiveTask, outcome: protocol.workerApi.EndedOutcome, reason: string) => {
    const { directive } = task
    const checkpoint = outcome === 'evicted' ? checkpointOf(task) : ''
    active.delete(directive.task)
    highestFinishedAttempts.set(directive.task, directive.attempt)
    if (directive.service !== '') host.onServiceStop?.(directive)
    const fields = { task: directive.task, attempt: directive.attempt, outcome, checkpoint, reason }
    ended.set(attemptKey(directive), fields)
    host.recorder.record({
      kind: 'taskStopped',
      worker: host.worker,
      ...fields,
      lastWorkedMs: task.lastWorkedMs,
    })
  }

  const findActive = (attempt: protocol.workerApi.AttemptJson): ActiveTask | undefined => {
    const task = active.get(attempt.task)
    return task?.directive.attempt === attempt.attempt ? task : undefined
  }

  const startTask = (directive: protocol.workerApi.StartTaskJson, nowMs: number) => {
    active.set(directive.task, {
      directive,
      runMs: parseRunMs(directive.command) ?? behaviour.runMs ?? 2000,
      fails: behaviour.failsEverything === true || /\bfail\b/.test(directive.command),
      workedMs: parseCheckpointUnits(directive.checkpoint) * CHECKPOINT_UNIT_MS,
      lastWorkedMs: nowMs,
      cpuPercent: 100,
      samples: [],
    })
    const { cpuMillis, memoryMb, accelerators } = directive
    host.recorder.record({
      kind: 'taskStarted',
      worker: host.worker,
      incarnation: host.incarnation,
      failureDomain: host.failureDomain,
      task: directive.task,
      attempt: directive.attempt,
      resources: { cpuMillis, memoryMb, accelerators },
      checkpoint: directive.checkpoint,
    })
    if (directive.service !== '') host.onServiceStart?.(directive)
  }

  const takeSample = (task: ActiveTask, nowMs: number) => {
    const factor =
      (behaviour.sizeFactor ?? 1) * (1 + (behaviour.usageNoise ?? 0) * (host.random() - 0.5))
    const { cpuMillis, memoryMb, accelerators } = task.directive
    const usage = {
      cpuMillis: Math.round(((cpuMillis * task.cpuPercent) / 100) * factor),
      memoryMb: Math.round(memoryMb * factor),
      accelerators,
    }
    task.samples.push({ atMs: nowMs, wallMs: Date.now(), usage })
    if (task.samples.length > MAX_SAMPLE_COUNT) task.samples.shift()
  }

  const advanceTask = (task: ActiveTask, nowMs: number) => {
    task.workedMs += ((nowMs - task.lastWorkedMs) * task.cpuPercent) / 100
    task.lastWorkedMs = nowMs
    if (task.fails) endTask(task, 'failed', 'the task failed')
    else if (task.directive.service === '' && task.workedMs >= task.runMs)
      endTask(task, 'completed', '')
  }

  const reportedUsage = (
    task: ActiveTask,
    nowMs: number,
  ): protocol.workerApi.RunningTaskJson['usage'] => {
    takeSample(task, nowMs)
    const visible = task.samples.filter((s) => s.atMs <= nowMs - (behaviour.usageLagMs ?? 0))
    const latest = visible.at(-1)
    const none = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }
    return { ...(latest?.usage ?? none), atMs: latest?.wallMs ?? 0 }
  }

  return {
    start: (directive, nowMs) => {
      if ((highestFinishedAttempts.get(directive.task) ?? -1) >= directive.attempt) return
      const older = active.get(directive.task)
      if (older !== undefined && older.directive.attempt >= directive.attempt) return
      if (older !== undefined) endTask(older, 'evicted', 'a newer attempt starts')
      startTask(directive, nowMs)
    },
    stop: (attempt) => {
      const task = findActive(attempt)
      if (task !== undefined) {
        endTask(task, 'cancelled', 'stopped by the leader')
        return
      }
      if ((highestFinishedAttempts.get(attempt.task) ?? -1) >= attempt.attempt) return
      highestFinishedAttempts.set(attempt.task, attempt.attempt)
      const { task: name, attempt: number } = attempt
      const reason = 'stopped before it started'
      ended.set(attemptKey(attempt), {
        task: name,
        attempt: number,
        outcome: 'cancelled',
        checkpoint: '',
        reason,
      })
    },
    checkpoint: (attempt) => {
      const task = findActive(attempt)
      if (task !== undefined) endTask(task, 'evicted', 'checkpointed for the leader')
    },
    throttle: (attempt, cpuPercent) => {
      const task = findActive(attempt)
      if (task !== undefined) task.cpuPercent = cpuPercent
    },
    acknowledge: (attempts) => {
      for (const attempt of attempts) {
        if (!ended.delete(attemptKey(attempt))) continue
        const { task, attempt: number } = attempt
        host.recorder.record({
          kind: 'endAcknowledged',
          worker: host.worker,
          task,
          attempt: number,
        })
      }
    },
    advance: (nowMs) => {
      for (const task of [...active.values()]) advanceTask(task, nowMs)
    },
    stopAll: (reason) => {
      for (const task of [...active.values()]) endTask(task, 'evicted', reason)
    },
    running: (nowMs) =>
      [...active.values()].map((task) => ({
        task: task.directive.task,
        attempt: task.directive.attempt,
        usage: reportedUsage(task, nowMs),
        progressUnits: Math.floor(task.workedMs / CHECKPOINT_UNIT_MS),
        throttled: task.cpuPercent < 100,
      })),
    ended: () => [...ended.values()],
    count: () => active.size,
  }
}
