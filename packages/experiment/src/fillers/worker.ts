/** Simulated worker: runs tasks, shares its processors, and shows tails that grow with utilization. */
import * as protocol from '@ebonyweir/protocol'
import * as workflowState from '@ebonyweir/workflow-state'
import * as random from '../random.js'
import type * as disturbances from './disturbances.js'
import * as load from './load.js'

const { EndKind } = protocol.workflow

/** Mean own load of a lasting task, the part by which it swings, and the bounds of the period in milliseconds. */
const MEAN_LOAD = 0.45
const SWING_PART = 0.5
const MIN_PERIOD_MS = 14_000
const MAX_PERIOD_MS = 20_000

/** Time constant of the smoothing of tails, in milliseconds, and the deviation of the noise on a figure. */
const SMOOTHING_MS = 450
const FIGURE_NOISE = 0.03

/** Utilization above which a tail does not grow further. */
const MAX_UTILIZATION = 0.97

/** Bounds of the interval of a task's checkpoints, in milliseconds. */
const MIN_CHECKPOINT_MS = 500
const MAX_CHECKPOINT_MS = 1_000

/** Time before a pace takes effect, and between an order to start and the start, in milliseconds. */
const PACE_DELAY_MS = 100
const START_DELAY_MS = 50

const FULL_PERCENT = 100

type TaskRun = protocol.workflow.TaskRun

/** What the worker knows of a task that it is to run. */
export interface TaskTruth {
  readonly step: protocol.workflow.Step
  readonly workMs: number
}

interface Running {
  readonly run: TaskRun
  readonly truth: TaskTruth
  startsMs: number
  /** Full-speed work that is done, and what the newest checkpoint covers. */
  doneMs: number
  savedMs: number
  savedAtMs: number
  readonly checkpointMs: number
  orderedPercent: number
  pacePercent: number
  usedMillis: number
  tailMs: number
  readonly periodMs: number
  readonly phase: number
}

export interface Work {
  /** Full-speed work of a filling task that was done, in milliseconds. */
  readonly fillerDone: (job: string, ms: number) => void
  readonly fillerStarted: (job: string) => void
}

export interface SimulatedWorker {
  readonly description: protocol.workflow.WorkerDescription
  readonly handleOrders: (orders: protocol.workflow.WorkerOrders) => void
  /** Lets `elapsedMs` pass. */
  readonly step: (elapsedMs: number) => void
  readonly report: () => protocol.workflow.WorkerReport
  /** Whether each lasting task that runs is under its target, by run key. */
  readonly underTarget: () => ReadonlyMap<string, boolean>
}

export interface WorkerOptions {
  readonly index: number
  readonly seed: number
  readonly cores: 16 | 32
  readonly amount: disturbances.TrueAmount
  readonly truthOf: (run: TaskRun) => TaskTruth
  readonly nowMs: () => number
  readonly after: (delayMs: number, run: () => void) => void
  readonly work: Work
}

export const createSimulatedWorker = (options: WorkerOptions): SimulatedWorker => {
  const { index, nowMs, truthOf, amount, work } = options
  const name = `w${index}`
  const draw = random.createRandom(options.seed, `${name} worker`)
  const noise = random.createRandom(options.seed, `${name} noise`)
  const cores = load.coresOf(index, options.cores)
  const description: protocol.workflow.WorkerDescription = {
    identity: { id: name, bornMs: 1, agent: `a${index}` },
    service: 'service',
    failureDomain: `d${index % 3}`,
    rack: `r${Math.floor(index / 3)}`,
    labels: [],
    capacity: { cpuMillis: cores * 1_000, memoryMb: cores * 4_000, accelerators: 0 },
  }
  const running = new Map<string, Running>()
  let ended: protocol.workflow.ListedEnd[] = []
  let endNumber = 0
  let sequence = 0

  const start = ({ run, checkpoint, pacePercent }: protocol.workflow.StartOrder): void => {
    if (run === undefined || running.has(workflowState.runKey(run))) return
    const truth = truthOf(run)
    const doneMs = checkpoint === '' ? 0 : Number(checkpoint)
    const spanMs = MAX_PERIOD_MS - MIN_PERIOD_MS
    if (truth.step.filling) work.fillerStarted(run.job)
    running.set(workflowState.runKey(run), {
      run,
      truth,
      startsMs: nowMs() + START_DELAY_MS,
      doneMs,
      savedMs: doneMs,
      savedAtMs: nowMs(),
      checkpointMs: MIN_CHECKPOINT_MS + (MAX_CHECKPOINT_MS - MIN_CHECKPOINT_MS) * draw(),
      orderedPercent: pacePercent,
      pacePercent,
      usedMillis: 0,
      tailMs: 0,
      periodMs: MIN_PERIOD_MS + spanMs * draw(),
      phase: draw(),
    })
  }

  const checkpointOf = ({ savedMs }: Running): string => (savedMs > 0 ? String(savedMs) : '')

  const end = (task: Running, kind: protocol.workflow.EndKind): void => {
    if (task.truth.step.checkpointing && kind === EndKind.STOPPED) task.savedMs = task.doneMs
    running.delete(workflowState.runKey(task.run))
    endNumber += 1
    const listed = { run: task.run, kind, checkpoint: checkpointOf(task) }
    ended.push({ number: endNumber, end: listed })
  }

  const ownLoad = ({ periodMs, phase }: Running): number =>
    MEAN_LOAD * (1 + SWING_PART * Math.sin(2 * Math.PI * (nowMs() / periodMs + phase)))

  const isServing = ({ truth }: Running): boolean => truth.step.tailTargetMs > 0

  const claimOf = ({ truth }: Running): number => workflowState.claimOf(truth.step).cpuMillis

  /** Gives the fillers what the others leave, in proportion to what their paces ask for. */
  const shareProcessors = (tasks: readonly Running[]): void => {
    let leftMillis = cores * 1_000
    let askedMillis = 0
    for (const task of tasks) {
      if (task.truth.step.filling) {
        askedMillis += (claimOf(task) * task.pacePercent) / FULL_PERCENT
        continue
      }
      task.usedMillis = claimOf(task) * (isServing(task) ? ownLoad(task) : 1)
      leftMillis -= task.usedMillis
    }
    const part = Math.min(1, Math.max(0, leftMillis) / Math.max(1, askedMillis))
    for (const task of tasks) {
      if (!task.truth.step.filling) continue
      task.usedMillis = ((claimOf(task) * task.pacePercent) / FULL_PERCENT) * part
    }
  }

  const moveTail = (task: Running, fillers: readonly Running[], elapsedMs: number): void => {
    const { image, tailTargetMs } = task.truth.step
    let utilization = ownLoad(task)
    for (const filler of fillers) {
      const share = filler.pacePercent / FULL_PERCENT
      if (share > 0) utilization += amount(image, filler.truth.step.image, nowMs()) * share
    }
    const floorMs = tailTargetMs / load.TARGET_FLOORS
    const tailMs = floorMs / (1 - Math.min(MAX_UTILIZATION, utilization))
    const kept = task.tailMs === 0 ? 0 : Math.exp(-elapsedMs / SMOOTHING_MS)
    task.tailMs = task.tailMs * kept + tailMs * (1 - kept)
  }

  const advance = (task: Running, elapsedMs: number): void => {
    const { step, workMs } = task.truth
    if (step.lasting) return
    const doneMs = elapsedMs * (step.filling ? task.usedMillis / Math.max(1, claimOf(task)) : 1)
    const leftMs = workMs - task.doneMs
    if (step.filling) work.fillerDone(task.run.job, Math.min(doneMs, leftMs))
    task.doneMs += doneMs
    if (task.doneMs >= workMs) {
      end(task, EndKind.COMPLETED)
      return
    }
    if (!step.checkpointing || nowMs() - task.savedAtMs < task.checkpointMs) return
    task.savedMs = task.doneMs
    task.savedAtMs = nowMs()
  }

  const figureOf = (task: Running): number => {
    if (!isServing(task)) return Math.round(task.usedMillis)
    return task.tailMs * (1 + FIGURE_NOISE * random.drawNormal(noise))
  }

  return {
    description,
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
      shareProcessors(tasks)
      const fillers = tasks.filter(({ truth }) => truth.step.filling)
      for (const task of tasks) {
        if (isServing(task)) moveTail(task, fillers, elapsedMs)
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
        draining: false,
        drainRemainingMs: 0,
        clockMs: nowMs(),
        sample: sequence,
        running: [...running.values()].map((task) => ({
          run: task.run,
          checkpoint: checkpointOf(task),
          progressPercent: task.truth.step.lasting
            ? 0
            : Math.floor((FULL_PERCENT * task.doneMs) / task.truth.workMs),
          figure: figureOf(task),
          pacePercent: task.orderedPercent,
        })),
        ended: [...ended],
        rejected: [],
      }
    },
    underTarget: () => {
      const found = new Map<string, boolean>()
      for (const task of running.values()) {
        const { lasting, tailTargetMs } = task.truth.step
        if (lasting) found.set(workflowState.taskKey(task.run), task.tailMs <= tailTargetMs)
      }
      return found
    },
  }
}
