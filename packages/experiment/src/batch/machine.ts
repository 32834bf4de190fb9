/** Stand-in of one worker: tasks with true sizes, interference, checkpoints and lagging reports. */
import type * as controlState from '@ebonyweir/control-state'
import type * as scheduling from '@ebonyweir/scheduling'
import * as randoms from '../random.js'
import type * as data from './data.js'
import type * as workload from './workload.js'

/** Time from the start of a task to its first progress. */
const START_MS = 1_500
const CHECKPOINT_MS = 1_000

/** Share of checkpoints that fail and lose the work since the previous one. */
const CHECKPOINT_FAILURES = 0.25

/** Time after which a faulty worker fails a task. */
const BAD_FAILURE_MS = 1_500

/** Lag of usage and of tail samples behind a sync, and their noise. */
const USAGE_LAG_MS = 1_500
const TAIL_LAG_MS = 2_000
const USAGE_NOISE = 0.08
const TAIL_NOISE = 0.15

/** Largest load of a runner; more waits at the entry instances. */
const MAX_LOAD = 0.97

export interface RunningTask {
  readonly task: string
  readonly attempt: number
  readonly kind: data.Kind | undefined
  readonly size: workload.TrueSize
  readonly startedAtMs: number
  /** Progress at the start of the attempt and now, in milliseconds of undisturbed run time. */
  readonly startMs: number
  progressMs: number
  cpuPercent: number
  checkpointAtMs: number | undefined
}

export interface EndedTask {
  readonly task: string
  readonly attempt: number
  readonly outcome: 'COMPLETED' | 'FAILED' | 'EVICTED' | 'CANCELLED'
  /** Progress that the next attempt starts with. */
  readonly keptMs: number
}

interface Moment {
  readonly atMs: number
  readonly usage: ReadonlyMap<string, number>
  readonly p99Ms: number
}

export interface MachineOptions {
  readonly name: string
  readonly capacity: controlState.Resources
  readonly service: data.Deployment['service']
  readonly isBad: boolean
  readonly seed: number
}

export interface Machine {
  readonly name: string
  readonly running: ReadonlyMap<string, RunningTask>
  readonly start: (task: RunningTask) => void
  readonly stop: (task: string) => void
  /** Confirms that an attempt will not start; `keptMs` is its progress so far. */
  readonly refuse: (task: string, attempt: number, keptMs: number) => void
  readonly checkpoint: (task: string, nowMs: number) => void
  readonly throttle: (task: string, cpuPercent: number) => void
  /** Advances by a step; `load` is the load of each of its runners. */
  readonly step: (nowMs: number, stepMs: number, load: number) => void
  /** True tail of a runner here. */
  readonly p99Ms: () => number
  readonly hasRunner: () => boolean
  readonly report: (nowMs: number) => Omit<scheduling.WorkerReport, 'incarnation'>
  readonly takeEnded: () => readonly EndedTask[]
}

/** Interference grows with the victim's load. */
const loadFactor = (load: number): number => 0.5 + load

const queueFactor = (load: number): number => 1 + (0.4 * load * load) / (1.05 - load)

export const createMachine = (options: MachineOptions): Machine => {
  const { name, capacity, service } = options
  const random = randoms.createRandom(options.seed, `machine/${name}`)
  const running = new Map<string, RunningTask>()
  const moments: Moment[] = []
  let ended: EndedTask[] = []
  let currentLoad = 0

  const isActive = (task: RunningTask, nowMs: number): boolean =>
    nowMs - task.startedAtMs >= START_MS && task.checkpointAtMs === undefined

  const usageOf = (task: RunningTask): number =>
    task.kind === undefined
      ? service.cpuMillis * currentLoad
      : (task.size.cpuMillis * task.cpuPercent) / 100

  const shareOf = (task: RunningTask): number => usageOf(task) / capacity.cpuMillis

  const totalUsage = (): number =>
    [...running.values()].reduce((sum, task) => sum + usageOf(task), 0)

  /** Slowdown of everything when tasks want more processors than there are. */
  const contention = (): number => Math.max(1, totalUsage() / capacity.cpuMillis)

  const hasRunner = (): boolean => [...running.values()].some(({ kind }) => kind === undefined)

  const p99Ms = (): number => {
    let harm = 0
    for (const task of running.values())
      harm += (task.kind?.serviceHarm ?? 0) * shareOf(task) * loadFactor(currentLoad)
    const base = service.baseP99Ms * queueFactor(Math.min(MAX_LOAD, currentLoad))
    return base * Math.exp(harm) * contention() ** 2
  }

  const end = (task: RunningTask, outcome: EndedTask['outcome'], keptMs: number): void => {
    running.delete(task.task)
    ended.push({ task: task.task, attempt: task.attempt, outcome, keptMs })
  }

  const finishCheckpoint = (task: RunningTask): void => {
    const isKept = random() >= CHECKPOINT_FAILURES
    end(task, 'EVICTED', isKept ? task.progressMs : task.startMs)
  }

  const advance = (task: RunningTask, nowMs: number, stepMs: number): void => {
    if (task.checkpointAtMs !== undefined && nowMs >= task.checkpointAtMs) finishCheckpoint(task)
    if (task.kind === undefined || !isActive(task, nowMs)) return
    if (options.isBad && nowMs - task.startedAtMs >= BAD_FAILURE_MS) {
      end(task, 'FAILED', task.startMs)
      return
    }
    let harm = 0
    for (const other of running.values())
      if (other !== task) harm += (other.kind?.batchHarm ?? 0) * shareOf(other)
    const rate = ((task.cpuPercent / 100) * Math.exp(-harm * task.kind.sensitivity)) / contention()
    task.progressMs += stepMs * rate
    if (task.progressMs >= task.size.runMs) end(task, 'COMPLETED', task.size.runMs)
  }

  /** The platform ends the largest batch task when memory runs out. */
  const limitMemory = (): void => {
    const batch = [...running.values()].filter(({ kind }) => kind !== undefined)
    const used = [...running.values()].reduce((sum, { size }) => sum + size.memoryMb, 0)
    if (used <= capacity.memoryMb) return
    const largest = batch.sort((a, b) => b.size.memoryMb - a.size.memoryMb)[0]
    if (largest !== undefined) end(largest, 'FAILED', largest.startMs)
  }

  const step: Machine['step'] = (nowMs, stepMs, load) => {
    currentLoad = load
    limitMemory()
    for (const task of [...running.values()]) advance(task, nowMs, stepMs)
    const usage = new Map([...running].map(([id, task]) => [id, usageOf(task)]))
    moments.push({ atMs: nowMs, usage, p99Ms: p99Ms() })
    if (moments.length > 20) moments.shift()
  }

  const momentAt = (atMs: number): Moment | undefined =>
    moments.findLast((moment) => moment.atMs <= atMs)

  const report: Machine['report'] = (nowMs) => {
    const usageMoment = momentAt(nowMs - USAGE_LAG_MS)
    const tailMoment = momentAt(nowMs - TAIL_LAG_MS)
    const noisy = (value: number, noise: number): number =>
      value * randoms.drawFactor(random, noise)
    const samples =
      hasRunner() && tailMoment !== undefined
        ? [
            {
              service: service.name,
              p99Ms: noisy(tailMoment.p99Ms, TAIL_NOISE),
              atMs: tailMoment.atMs,
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
          cpuMillis: noisy(usageMoment?.usage.get(task.task) ?? 0, USAGE_NOISE),
          memoryMb: task.size.memoryMb,
          accelerators: 0,
        },
        usageAtMs: usageMoment?.atMs ?? nowMs,
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
      if (task !== undefined) end(task, 'CANCELLED', task.startMs)
    },
    refuse: (task, attempt, keptMs) =>
      void ended.push({ task, attempt, outcome: 'CANCELLED', keptMs }),
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
