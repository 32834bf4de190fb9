/** Simulated worker: tasks with actual sizes, interference, checkpoints and delayed reports. */
import type * as controlState from '@ebonyweir/control-state'
import type * as scheduling from '@ebonyweir/scheduling'
import * as randoms from '../random.js'
import type * as data from './data.js'
import type * as workload from './workload.js'

/** Time from the start of a task to its first progress. */
const START_DELAY_MS = 1_500
const CHECKPOINT_MS = 1_000

/** Share of checkpoints that fail, so that the work of the attempt is lost. */
const CHECKPOINT_FAILURE_SHARE = 0.25

/** Time from the start of a task to its failure on a faulty worker. */
const FAULTY_WORKER_FAILURE_MS = 1_500

/** Age of usage and tail latency samples at a sync, and the deviation of their measurement error. */
const USAGE_LAG_MS = 1_500
const TAIL_LAG_MS = 2_000
const USAGE_ERROR_DEVIATION = 0.08
const TAIL_ERROR_DEVIATION = 0.15

/** Largest load of a runner; further requests wait at the entry instances. */
const MAX_LOAD = 0.97

export interface RunningTask {
  readonly task: string
  readonly attempt: number
  readonly kind: data.Kind | undefined
  readonly size: workload.TrueSize
  readonly startedAtMs: number
  /** Progress at the start of the attempt and now, in milliseconds of run time without interference. */
  readonly initialProgressMs: number
  progressMs: number
  cpuPercent: number
  checkpointAtMs: number | undefined
}

export interface EndedTask {
  readonly task: string
  readonly attempt: number
  readonly outcome: 'COMPLETED' | 'FAILED' | 'EVICTED' | 'CANCELLED'
  /** Progress from which the next attempt starts. */
  readonly checkpointedMs: number
}

interface UsageSample {
  readonly atMs: number
  readonly usage: ReadonlyMap<string, number>
  readonly p99Ms: number
}

export interface MachineOptions {
  readonly name: string
  readonly capacity: controlState.Resources
  readonly service: data.Deployment['service']
  readonly isFaulty: boolean
  readonly seed: number
}

export interface Machine {
  readonly name: string
  readonly running: ReadonlyMap<string, RunningTask>
  readonly start: (task: RunningTask) => void
  readonly stop: (task: string) => void
  /** Confirms that an attempt will not start; `checkpointedMs` is its saved progress. */
  readonly refuse: (task: string, attempt: number, checkpointedMs: number) => void
  readonly checkpoint: (task: string, nowMs: number) => void
  readonly throttle: (task: string, cpuPercent: number) => void
  /** Advances by one step; `load` is the load of each runner on this machine. */
  readonly step: (nowMs: number, stepMs: number, load: number) => void
  /** Actual tail latency of a runner on this machine. */
  readonly p99Ms: () => number
  readonly hasRunner: () => boolean
  readonly report: (nowMs: number) => Omit<scheduling.WorkerReport, 'incarnation'>
  readonly takeEnded: () => readonly EndedTask[]
}

/** Interference grows with the load of the affected runner. */
const loadFactor = (load: number): number => 0.5 + load

const queueFactor = (load: number): number => 1 + (0.4 * load * load) / (1.05 - load)

export const createMachine = (options: MachineOptions): Machine => {
  const { name, capacity, service } = options
  const random = randoms.createRandom(options.seed, `machine/${name}`)
  const running = new Map<string, RunningTask>()
  const history: UsageSample[] = []
  let ended: EndedTask[] = []
  let currentLoad = 0

  const isActive = (task: RunningTask, nowMs: number): boolean =>
    nowMs - task.startedAtMs >= START_DELAY_MS && task.checkpointAtMs === undefined

  const usageOf = (task: RunningTask): number =>
    task.kind === undefined
      ? service.cpuMillis * currentLoad
      : (task.size.cpuMillis * task.cpuPercent) / 100

  const shareOf = (task: RunningTask): number => usageOf(task) / capacity.cpuMillis

  const totalUsage = (): number =>
    [...running.values()].reduce((sum, task) => sum + usageOf(task), 0)

  /** Slowdown of all tasks when they demand more CPU than the machine has. */
  const contention = (): number => Math.max(1, totalUsage() / capacity.cpuMillis)

  const hasRunner = (): boolean => [...running.values()].some(({ kind }) => kind === undefined)

  const p99Ms = (): number => {
    let interference = 0
    for (const task of running.values())
      interference += (task.kind?.serviceHarm ?? 0) * shareOf(task) * loadFactor(currentLoad)
    const base = service.baseP99Ms * queueFactor(Math.min(MAX_LOAD, currentLoad))
    return base * Math.exp(interference) * contention() ** 2
  }

  const end = (task: RunningTask, outcome: EndedTask['outcome'], checkpointedMs: number): void => {
    running.delete(task.task)
    ended.push({ task: task.task, attempt: task.attempt, outcome, checkpointedMs })
  }

  const finishCheckpoint = (task: RunningTask): void => {
    const isKept = random() >= CHECKPOINT_FAILURE_SHARE
    end(task, 'EVICTED', isKept ? task.progressMs : task.initialProgressMs)
  }

  const advance = (task: RunningTask, nowMs: number, stepMs: number): void => {
    if (task.checkpointAtMs !== undefined && nowMs >= task.checkpointAtMs) finishCheckpoint(task)
    if (task.kind === undefined || !isActive(task, nowMs)) return
    if (options.isFaulty && nowMs - task.startedAtMs >= FAULTY_WORKER_FAILURE_MS) {
      end(task, 'FAILED', task.initialProgressMs)
      return
    }
    let interference = 0
    for (const other of running.values())
      if (other !== task) interference += (other.kind?.batchHarm ?? 0) * shareOf(other)
    const rate =
      ((task.cpuPercent / 100) * Math.exp(-interference * task.kind.sensitivity)) / contention()
    task.progressMs += stepMs * rate
    if (task.progressMs >= task.size.runMs) end(task, 'COMPLETED', task.size.runMs)
  }

  /** Ends the largest batch task when memory runs out, as the platform does. */
  const enforceMemoryLimit = (): void => {
    const batch = [...running.values()].filter(({ kind }) => kind !== undefined)
    const used = [...running.values()].reduce((sum, { size }) => sum + size.memoryMb, 0)
    if (used <= capacity.memoryMb) return
    const largest = batch.sort((a, b) => b.size.memoryMb - a.size.memoryMb)[0]
    if (largest !== undefined) end(largest, 'FAILED', largest.initialProgressMs)
  }

  const step: Machine['step'] = (nowMs, stepMs, load) => {
    currentLoad = load
    enforceMemoryLimit()
    for (const task of [...running.values()]) advance(task, nowMs, stepMs)
    const usage = new Map([...running].map(([id, task]) => [id, usageOf(task)]))
    history.push({ atMs: nowMs, usage, p99Ms: p99Ms() })
    if (history.length > 20) history.shift()
  }

  const sampleAt = (atMs: number): UsageSample | undefined =>
    history.findLast((sample) => sample.atMs <= atMs)

  const report: Machine['report'] = (nowMs) => {
    const usageSample = sampleAt(nowMs - USAGE_LAG_MS)
    const tailSample = sampleAt(nowMs - TAIL_LAG_MS)
    const withError = (value: number, deviation: number): number =>
      value * randoms.drawFactor(random, deviation)
    const samples =
      hasRunner() && tailSample !== undefined
        ? [
            {
              service: service.name,
              p99Ms: withError(tailSample.p99Ms, TAIL_ERROR_DEVIATION),
              atMs: tailSample.atMs,
            },
          ]
        : []
    return {
      worker: name,
      receivedAtMs: nowMs,
      services: samples,
      running: [...running.values()].map((task) => ({
        task: task.task,
        attempt: task.attempt,
        usage: {
          cpuMillis: withError(usageSample?.usage.get(task.task) ?? 0, USAGE_ERROR_DEVIATION),
          memoryMb: task.size.memoryMb,
          accelerators: 0,
        },
        usageAtMs: usageSample?.atMs ?? nowMs,
        cpuPercent: task.cpuPercent,
        progressUnits: task.progressMs,
      })),
    }
  }

  return {
    name,
    running,
    start: (task) => void running.set(task.task, task),
    stop: (id) => {
      const task = running.get(id)
      if (task !== undefined) end(task, 'CANCELLED', task.initialProgressMs)
    },
    refuse: (task, attempt, checkpointedMs) =>
      void ended.push({ task, attempt, outcome: 'CANCELLED', checkpointedMs }),
    checkpoint: (id, nowMs) => {
      const task = running.get(id)
      if (task !== undefined) task.checkpointAtMs ??= nowMs + CHECKPOINT_MS
    },
    throttle: (id, cpuPercent) => {
      const task = running.get(id)
      if (task !== undefined) task.cpuPercent = cpuPercent
    },
    step,
    p99Ms,
    hasRunner,
    report,
    takeEnded: () => {
      const taken = ended
      ended = []
      return taken
    },
  }
}
