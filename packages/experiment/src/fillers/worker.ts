/** Simulated worker: runs tasks, distributes its CPU, and reports tail latencies that grow with utilization. */
import * as protocol from '@ebonyweir/protocol'
import * as workflowState from '@ebonyweir/workflow-state'
import * as random from '../random.js'
import type * as interference from './interference.js'
import * as load from './load.js'

const { EndKind } = protocol.workflow

/** Mean utilization of a long-running task by its own requests, its relative swing, and the bounds of its period. */
const MEAN_OWN_LOAD = 0.45
const OWN_LOAD_SWING_SHARE = 0.5
const MIN_PERIOD_MS = 14_000
const MAX_PERIOD_MS = 20_000

/** Time constant of the smoothing of tail latencies, and the relative deviation of a reported latency. */
const TAIL_SMOOTHING_MS = 450
const FIGURE_ERROR_DEVIATION = 0.03

/** Utilization above which a tail latency does not grow further. */
const MAX_UTILIZATION = 0.97

/** Bounds of the interval between checkpoints of a task. */
const MIN_CHECKPOINT_MS = 500
const MAX_CHECKPOINT_MS = 1_000

/** Delay until a new pace (share of full speed of a best-effort task) takes effect, and until an ordered run starts. */
const PACE_DELAY_MS = 100
const START_DELAY_MS = 50

const FULL_PERCENT = 100

type TaskRun = protocol.workflow.TaskRun

/** Step and actual work of a task. */
export interface TaskWorkload {
  readonly step: protocol.workflow.Step
  readonly workMs: number
}

interface SimulatedTask {
  readonly run: TaskRun
  readonly workload: TaskWorkload
  startsMs: number
  /** Full-speed work that is done, and the part that the newest checkpoint covers. */
  doneMs: number
  checkpointedMs: number
  checkpointedAtMs: number
  readonly checkpointIntervalMs: number
  orderedPercent: number
  pacePercent: number
  usedCpuMillis: number
  tailMs: number
  readonly loadPeriodMs: number
  readonly loadPhase: number
}

export interface BestEffortObserver {
  /** Full-speed work that a best-effort task did, in milliseconds. */
  readonly onBestEffortWork: (job: string, ms: number) => void
  readonly onBestEffortStart: (job: string) => void
  /** CPU time of a run that ended before its task was done, as far as no checkpoint covers it. */
  readonly onDiscarded: (cpuMs: number) => void
}

export interface SimulatedWorker {
  readonly description: protocol.workflow.WorkerDescription
  /** Announces the loss of all runs after `forMs`; they are lost then, and the worker returns. */
  readonly drain: (forMs: number) => void
  readonly handleOrders: (orders: protocol.workflow.WorkerOrders) => void
  /** Advances all tasks by `elapsedMs`. */
  readonly step: (elapsedMs: number) => void
  readonly report: () => protocol.workflow.WorkerReport
  /** Whether the tail latency of each running long-running task meets its target, by task key. */
  readonly underTarget: () => ReadonlyMap<string, boolean>
}

export interface WorkerOptions {
  readonly index: number
  readonly seed: number
  readonly cores: 16 | 32
  /** Speed of its tasks that are not long-running, relative to other workers. */
  readonly speed: number
  readonly interferenceOf: interference.TrueInterference
  readonly workloadOf: (run: TaskRun) => TaskWorkload
  readonly nowMs: () => number
  readonly after: (delayMs: number, run: () => void) => void
  readonly observer: BestEffortObserver
}

export const createSimulatedWorker = (options: WorkerOptions): SimulatedWorker => {
  const { index, nowMs, workloadOf, interferenceOf, observer } = options
  const name = `w${index}`
  const workerRandom = random.createRandom(options.seed, `${name} worker`)
  const errorRandom = random.createRandom(options.seed, `${name} noise`)
  const cores = load.coresOf(index, options.cores)
  const description: protocol.workflow.WorkerDescription = {
    identity: { id: name, bornMs: 1, agent: `a${index}` },
    service: 'service',
    failureDomain: `d${index % 3}`,
    rack: `r${Math.floor(index / 3)}`,
    labels: [],
    capacity: { cpuMillis: cores * 1_000, memoryMb: cores * 4_000, accelerators: 0 },
  }
  const running = new Map<string, SimulatedTask>()
  let ended: protocol.workflow.ListedEnd[] = []
  let endNumber = 0
  let sequence = 0
  let drainedMs: number | undefined

  const start = ({ run, checkpoint, pacePercent }: protocol.workflow.StartOrder): void => {
    if (run === undefined || running.has(workflowState.runKey(run))) return
    const workload = workloadOf(run)
    const doneMs = checkpoint === '' ? 0 : Number(checkpoint)
    const spanMs = MAX_PERIOD_MS - MIN_PERIOD_MS
    if (workload.step.filling) observer.onBestEffortStart(run.job)
    running.set(workflowState.runKey(run), {
      run,
      workload,
      startsMs: nowMs() + START_DELAY_MS,
      doneMs,
      checkpointedMs: doneMs,
      checkpointedAtMs: nowMs(),
      checkpointIntervalMs:
        MIN_CHECKPOINT_MS + (MAX_CHECKPOINT_MS - MIN_CHECKPOINT_MS) * workerRandom(),
      orderedPercent: pacePercent,
      pacePercent,
      usedCpuMillis: 0,
      tailMs: 0,
      loadPeriodMs: MIN_PERIOD_MS + spanMs * workerRandom(),
      loadPhase: workerRandom(),
    })
  }

  const checkpointOf = ({ checkpointedMs }: SimulatedTask): string =>
    checkpointedMs > 0 ? String(checkpointedMs) : ''

  const cpuClaimOf = ({ workload }: SimulatedTask): number =>
    workflowState.claimOf(workload.step).cpuMillis

  const end = (task: SimulatedTask, kind: protocol.workflow.EndKind): void => {
    if (task.workload.step.checkpointing && kind === EndKind.STOPPED)
      task.checkpointedMs = task.doneMs
    running.delete(workflowState.runKey(task.run))
    const discardedMs = task.doneMs - task.checkpointedMs
    if (kind !== EndKind.COMPLETED) {
      observer.onDiscarded((discardedMs * cpuClaimOf(task)) / 1_000)
    }
    endNumber += 1
    const listed = { run: task.run, kind, checkpoint: checkpointOf(task) }
    ended.push({ number: endNumber, end: listed })
  }

  const ownLoad = ({ loadPeriodMs, loadPhase }: SimulatedTask): number =>
    MEAN_OWN_LOAD *
    (1 + OWN_LOAD_SWING_SHARE * Math.sin(2 * Math.PI * (nowMs() / loadPeriodMs + loadPhase)))

  const isLatencyCritical = ({ workload }: SimulatedTask): boolean => workload.step.tailTargetMs > 0

  /** Distributes the CPU that other tasks leave unused to best-effort tasks, in proportion to claim and pace. */
  const distributeCpu = (tasks: readonly SimulatedTask[]): void => {
    let availableMillis = cores * 1_000
    let requestedMillis = 0
    for (const task of tasks) {
      if (task.workload.step.filling) {
        requestedMillis += (cpuClaimOf(task) * task.pacePercent) / FULL_PERCENT
        continue
      }
      task.usedCpuMillis = cpuClaimOf(task) * (isLatencyCritical(task) ? ownLoad(task) : 1)
      availableMillis -= task.usedCpuMillis
    }
    const grantedShare = Math.min(1, Math.max(0, availableMillis) / Math.max(1, requestedMillis))
    for (const task of tasks) {
      if (!task.workload.step.filling) continue
      task.usedCpuMillis = ((cpuClaimOf(task) * task.pacePercent) / FULL_PERCENT) * grantedShare
    }
  }

  const updateTail = (
    task: SimulatedTask,
    bestEffortTasks: readonly SimulatedTask[],
    elapsedMs: number,
  ): void => {
    const { image, tailTargetMs } = task.workload.step
    let utilization = ownLoad(task)
    for (const bestEffortTask of bestEffortTasks) {
      const share = bestEffortTask.pacePercent / FULL_PERCENT
      if (share > 0)
        utilization += interferenceOf(image, bestEffortTask.workload.step.image, nowMs()) * share
    }
    const unloadedTailMs = tailTargetMs / load.TAIL_TARGET_FACTOR
    const tailMs = unloadedTailMs / (1 - Math.min(MAX_UTILIZATION, utilization))
    const previousWeight = task.tailMs === 0 ? 0 : Math.exp(-elapsedMs / TAIL_SMOOTHING_MS)
    task.tailMs = task.tailMs * previousWeight + tailMs * (1 - previousWeight)
  }

  const advance = (task: SimulatedTask, elapsedMs: number): void => {
    const { step, workMs } = task.workload
    if (step.lasting) return
    const doneMs =
      options.speed *
      elapsedMs *
      (step.filling ? task.usedCpuMillis / Math.max(1, cpuClaimOf(task)) : 1)
    const leftMs = workMs - task.doneMs
    if (step.filling) observer.onBestEffortWork(task.run.job, Math.min(doneMs, leftMs))
    task.doneMs += doneMs
    if (task.doneMs >= workMs) {
      end(task, EndKind.COMPLETED)
      return
    }
    if (!step.checkpointing || nowMs() - task.checkpointedAtMs < task.checkpointIntervalMs) return
    task.checkpointedMs = task.doneMs
    task.checkpointedAtMs = nowMs()
  }

  const figureOf = (task: SimulatedTask): number => {
    if (!isLatencyCritical(task)) return Math.round(task.usedCpuMillis)
    return task.tailMs * (1 + FIGURE_ERROR_DEVIATION * random.drawNormal(errorRandom))
  }

  return {
    description,
    drain: (forMs) => {
      drainedMs = nowMs() + forMs
      options.after(forMs, () => {
        drainedMs = undefined
        for (const task of [...running.values()]) end(task, EndKind.LOST)
      })
    },
    handleOrders: ({ starts, stops, paces, acknowledgedEnd }) => {
      ended = ended.filter(({ number }) => number > acknowledgedEnd)
      for (const order of starts) start(order)
      for (const run of stops) {
        const task = running.get(workflowState.runKey(run))
        if (task !== undefined) end(task, EndKind.STOPPED)
      }
      for (const { run, percent } of paces) {
        const task = run && running.get(workflowState.runKey(run))
        if (task === undefined) continue
        task.orderedPercent = percent
        options.after(PACE_DELAY_MS, () => {
          task.pacePercent = percent
        })
      }
    },
    step: (elapsedMs) => {
      const tasks = [...running.values()].filter(({ startsMs }) => startsMs <= nowMs())
      distributeCpu(tasks)
      const bestEffortTasks = tasks.filter(({ workload: truth }) => truth.step.filling)
      for (const task of tasks) {
        if (isLatencyCritical(task)) updateTail(task, bestEffortTasks, elapsedMs)
        else advance(task, elapsedMs)
      }
    },
    report: () => {
      sequence += 1
      return {
        cell: 'simulation',
        agent: `a${index}`,
        sequence,
        worker: description,
        draining: drainedMs !== undefined,
        drainRemainingMs: Math.max(0, (drainedMs ?? 0) - nowMs()),
        clockMs: nowMs(),
        sample: sequence,
        running: [...running.values()].map((task) => ({
          run: task.run,
          checkpoint: checkpointOf(task),
          progressPercent: task.workload.step.lasting
            ? 0
            : Math.floor((FULL_PERCENT * task.doneMs) / task.workload.workMs),
          figure: figureOf(task),
          pacePercent: task.orderedPercent,
        })),
        ended: [...ended],
        rejected: [],
        hasMoreEnds: false,
      }
    },
    underTarget: () => {
      const isUnderTarget = new Map<string, boolean>()
      for (const task of running.values()) {
        const { lasting, tailTargetMs } = task.workload.step
        if (lasting) isUnderTarget.set(workflowState.taskKey(task.run), task.tailMs <= tailTargetMs)
      }
      return isUnderTarget
    },
  }
}
