/** The tasks of one fake worker: starts, work, checkpoints, stops. No sockets and no timers. */
import type * as protocol from '@ebonyweir/protocol'
import * as record from './record.js'

/** How the tasks of a fake worker behave. */
export interface TaskBehaviour {
  /** Run time of a batch task whose command does not state one, in milliseconds. @default 2000 */
  readonly runMs?: number
  /** Every task fails at once. @default false */
  readonly failsEverything?: boolean
  /** Real use as a multiple of the declared size. @default 1 */
  readonly sizeFactor?: number
  /** Random part of the reported use, as a fraction. @default 0 */
  readonly usageNoise?: number
  /** Age of the reported use in milliseconds. @default 0 */
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

/** Who the tasks belong to, and where their starts and stops are recorded. */
export interface TaskHost {
  readonly worker: string
  readonly incarnation: number
  readonly failureDomain: string
  readonly recorder: record.Recorder
  /** Called after a service task started. */
  readonly onServiceStart?: (directive: protocol.workerApi.StartTaskJson) => void
  /** Called before a service task stops. */
  readonly onServiceStop?: (directive: protocol.workerApi.StartTaskJson) => void
  /** Numbers in [0, 1). */
  readonly random: () => number
}

/** The tasks of one fake worker. */
export interface WorkerTasks {
  readonly start: (directive: protocol.workerApi.StartTaskJson, nowMs: number) => void
  readonly stop: (attempt: protocol.workerApi.AttemptJson) => void
  readonly checkpoint: (attempt: protocol.workerApi.AttemptJson) => void
  readonly throttle: (attempt: protocol.workerApi.AttemptJson, cpuPercent: number) => void
  readonly acknowledge: (attempts: readonly protocol.workerApi.AttemptJson[]) => void
  /** Lets every task work until `nowMs`. The caller has checked the lease. */
  readonly work: (nowMs: number) => void
  /** Checkpoints and stops everything. */
  readonly stopAll: (reason: string) => void
  readonly running: (nowMs: number) => readonly protocol.workerApi.RunningTaskJson[]
  readonly ended: () => readonly protocol.workerApi.EndedTaskJson[]
  readonly count: () => number
}

const UNIT_MS = 100
const SAMPLES_KEPT = 64

const nameOf = (attempt: protocol.workerApi.AttemptJson): string =>
  `${attempt.task}#${attempt.attempt}`

const unitsOf = (checkpoint: string): number => {
  const units = /^cp:.*:(\d+)$/.exec(checkpoint)?.[1]
  return units === undefined ? 0 : Number(units)
}

const runMsOf = (command: string): number | undefined => {
  const runMs = /run=(\d+)/.exec(command)?.[1]
  return runMs === undefined ? undefined : Number(runMs)
}

/** Creates the tasks of one worker. A command may state `run=<ms>` and `fail`. */
export const createWorkerTasks = (host: TaskHost, behaviour: TaskBehaviour): WorkerTasks => {
  const active = new Map<string, ActiveTask>()
  const ended = new Map<string, protocol.workerApi.EndedTaskJson>()
  // Attempts that never start again here, by task: the highest one that ended or was cancelled.
  const finished = new Map<string, number>()

  const checkpointOf = (task: ActiveTask): string =>
    task.directive.service !== ''
      ? ''
      : `cp:${task.directive.task}:${task.directive.attempt}:${Math.floor(task.workedMs / UNIT_MS)}`

  const end = (task: ActiveTask, outcome: protocol.workerApi.EndedOutcome, reason: string) => {
    const { directive } = task
    const checkpoint = outcome === 'evicted' ? checkpointOf(task) : ''
    active.delete(directive.task)
    finished.set(directive.task, directive.attempt)
    if (directive.service !== '') host.onServiceStop?.(directive)
    const fields = { task: directive.task, attempt: directive.attempt, outcome, checkpoint, reason }
    ended.set(nameOf(directive), fields)
    host.recorder.note({
      kind: 'taskStopped',
      worker: host.worker,
      ...fields,
      lastWorkedMs: task.lastWorkedMs,
    })
  }

  const find = (attempt: protocol.workerApi.AttemptJson): ActiveTask | undefined => {
    const task = active.get(attempt.task)
    return task?.directive.attempt === attempt.attempt ? task : undefined
  }

  const begin = (directive: protocol.workerApi.StartTaskJson, nowMs: number) => {
    active.set(directive.task, {
      directive,
      runMs: runMsOf(directive.command) ?? behaviour.runMs ?? 2000,
      fails: behaviour.failsEverything === true || /\bfail\b/.test(directive.command),
      workedMs: unitsOf(directive.checkpoint) * UNIT_MS,
      lastWorkedMs: nowMs,
      cpuPercent: 100,
      samples: [],
    })
    const { cpuMillis, memoryMb, accelerators } = directive
    host.recorder.note({
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

  const sample = (task: ActiveTask, nowMs: number) => {
    const factor =
      (behaviour.sizeFactor ?? 1) * (1 + (behaviour.usageNoise ?? 0) * (host.random() - 0.5))
    const { cpuMillis, memoryMb, accelerators } = task.directive
    const usage = {
      cpuMillis: Math.round(((cpuMillis * task.cpuPercent) / 100) * factor),
      memoryMb: Math.round(memoryMb * factor),
      accelerators,
    }
    task.samples.push({ atMs: nowMs, wallMs: Date.now(), usage })
    if (task.samples.length > SAMPLES_KEPT) task.samples.shift()
  }

  const advance = (task: ActiveTask, nowMs: number) => {
    task.workedMs += ((nowMs - task.lastWorkedMs) * task.cpuPercent) / 100
    task.lastWorkedMs = nowMs
    if (task.fails) end(task, 'failed', 'the task failed')
    else if (task.directive.service === '' && task.workedMs >= task.runMs)
      end(task, 'completed', '')
  }

  const usageOf = (
    task: ActiveTask,
    nowMs: number,
  ): protocol.workerApi.RunningTaskJson['usage'] => {
    sample(task, nowMs)
    const visible = task.samples.filter((s) => s.atMs <= nowMs - (behaviour.usageLagMs ?? 0))
    const shown = visible.at(-1)
    const none = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }
    return { ...(shown?.usage ?? none), atMs: shown?.wallMs ?? 0 }
  }

  return {
    start: (directive, nowMs) => {
      if ((finished.get(directive.task) ?? -1) >= directive.attempt) return
      const older = active.get(directive.task)
      if (older !== undefined && older.directive.attempt >= directive.attempt) return
      if (older !== undefined) end(older, 'evicted', 'a newer attempt starts')
      begin(directive, nowMs)
    },
    stop: (attempt) => {
      const task = find(attempt)
      if (task !== undefined) {
        end(task, 'cancelled', 'stopped by the leader')
        return
      }
      if ((finished.get(attempt.task) ?? -1) >= attempt.attempt) return
      finished.set(attempt.task, attempt.attempt)
      const { task: name, attempt: number } = attempt
      const reason = 'stopped before it started'
      ended.set(nameOf(attempt), {
        task: name,
        attempt: number,
        outcome: 'cancelled',
        checkpoint: '',
        reason,
      })
    },
    checkpoint: (attempt) => {
      const task = find(attempt)
      if (task !== undefined) end(task, 'evicted', 'checkpointed for the leader')
    },
    throttle: (attempt, cpuPercent) => {
      const task = find(attempt)
      if (task !== undefined) task.cpuPercent = cpuPercent
    },
    acknowledge: (attempts) => {
      for (const attempt of attempts) {
        if (!ended.delete(nameOf(attempt))) continue
        const { task, attempt: number } = attempt
        host.recorder.note({
          kind: 'endAcknowledged',
          worker: host.worker,
          task,
          attempt: number,
        })
      }
    },
    work: (nowMs) => {
      for (const task of [...active.values()]) advance(task, nowMs)
    },
    stopAll: (reason) => {
      for (const task of [...active.values()]) end(task, 'evicted', reason)
    },
    running: (nowMs) =>
      [...active.values()].map((task) => ({
        task: task.directive.task,
        attempt: task.directive.attempt,
        usage: usageOf(task, nowMs),
        progressUnits: Math.floor(task.workedMs / UNIT_MS),
        throttled: task.cpuPercent < 100,
      })),
    ended: () => [...ended.values()],
    count: () => active.size,
  }
}
