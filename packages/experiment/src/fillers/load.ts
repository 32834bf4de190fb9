/**
 * Load of one simulated day: the long-running tasks from the start and the jobs that arrive. All figures are
 * assumptions that resemble real deployments; see docs/measurements.md.
 */
import * as protocol from '@ebonyweir/protocol'
import * as random from '../random.js'

export interface LoadOptions {
  readonly seed: number
  readonly workers: number
  /** Cores of the smallest worker. */
  readonly cores: 16 | 32
  /** Median number of tasks in a step of a best-effort job. */
  readonly width: number
  /** Deviation of the logarithm of `width`. */
  readonly widthSpread: number
  /** Share of all cores that best-effort jobs ask for. */
  readonly demand: number
  /** Share of all cores that long-running tasks reserve. */
  readonly reserved: number
  /** Factor of the arrival rate, and the kind of jobs to which it applies. @default 1, both kinds */
  readonly loadFactor?: number
  readonly loadKind?: 'serving' | 'filling'
  /** Time in which jobs arrive. */
  readonly trafficMs: number
  /** Share of the tasks that take `TAIL_FACTOR` times as long on any worker. @default 0 */
  readonly tailShare?: number
  /** Deviation of the logarithm of actual to estimated duration of short latency-critical steps. @default 0 */
  readonly estimateSpread?: number
}

/** Long-running latency-critical, short latency-critical, and best-effort jobs. */
export type JobKind = 'lasting' | 'serving' | 'filling'

export interface SimulatedJob {
  readonly kind: JobKind
  readonly atMs: number
  readonly spec: protocol.workflow.JobSpec
  readonly queue: protocol.workflow.Queue
  /** Time of each task at full speed, by step. */
  readonly workMs: readonly (readonly number[])[]
}

/** Sizes of workers in turn, relative to the smallest one. */
export const WORKER_SIZES = [1, 1, 1.5] as const

/** Time before the traffic in which long-running tasks start and interference is learned. */
export const WARM_UP_MS = 6_000

const LATENCY_CRITICAL_IMAGE_COUNT = 10
const BEST_EFFORT_IMAGE_COUNT = 18

/** How many times as long the tasks of the tail take. */
const TAIL_FACTOR = 7

/** Share of all cores that short latency-critical tasks reserve. */
const SHORT_LATENCY_CRITICAL_SHARE = 0.06

/** Share of the smallest worker that a long-running task reserves. */
const LONG_RUNNING_TASK_SHARE = 0.2

/** Target of a tail latency as a multiple of the tail without load; see `worker.ts`. */
export const TAIL_TARGET_FACTOR = 5
const UNLOADED_TAIL_MS = 10

/** Time of a best-effort task at full speed, and deviations of its logarithm between steps and within a step. */
const BEST_EFFORT_WORK_MS = 3_000
const STEP_SPREAD = 0.3
const TASK_SPREAD = 0.2
const BEST_EFFORT_STEP_COUNT = 2

/** Bounds of the ratio of the actual run time of a step to its estimate. */
const MIN_ESTIMATE_ERROR_FACTOR = 0.4
const MAX_ESTIMATE_ERROR_FACTOR = 6

/** Share of the steps whose tasks write checkpoints. */
const CHECKPOINTING_SHARE = 0.85

/** Period and relative amplitude of the waves in the arrival rate of best-effort jobs. */
const ARRIVAL_WAVE_PERIOD_MS = 15_000
const ARRIVAL_WAVE_SHARE = 0.8

const LATENCY_CRITICAL_WORK_MS = 1_400

/** Tasks per step of short latency-critical jobs, and the share of these jobs that have a second step. */
const LATENCY_CRITICAL_WIDTH_SMALL = 6
const LATENCY_CRITICAL_WIDTH_LARGE = 10
const LATENCY_CRITICAL_SECOND_STEP_SHARE = 0.6
const LARGE_DEPLOYMENT_WORKERS = 30

/** The objective of a job is this multiple of its longest chain of tasks, plus the extra time. */
export const SLACK_FACTOR = 2
export const OBJECTIVE_EXTRA_MS = 1_000

const SERVICE = 'service'

const queueOf = (kind: JobKind): protocol.workflow.Queue =>
  protocol.workflow.Queue.fromPartial({
    name: kind,
    service: SERVICE,
    maxAttempts: 4,
    priority: kind === 'filling' ? 2 : 1,
    slackFactor: SLACK_FACTOR,
    latencyTargetMs: OBJECTIVE_EXTRA_MS,
  })

const stepOf = (fields: Partial<protocol.workflow.Step>): protocol.workflow.Step => ({
  ...protocol.workflow.Step.fromPartial({}),
  ...fields,
})

export const coresOf = (worker: number, cores: number): number =>
  cores * (WORKER_SIZES[worker % WORKER_SIZES.length] ?? 1)

export const totalCores = ({ workers, cores }: Pick<LoadOptions, 'workers' | 'cores'>): number => {
  let total = 0
  for (let worker = 0; worker < workers; worker += 1) total += coresOf(worker, cores)
  return total
}

const claim = (cores: number, memoryMb: number): protocol.workflow.Resources => ({
  cpuMillis: Math.round(cores * 1_000),
  memoryMb,
  accelerators: 0,
})

const longRunningJobs = (options: LoadOptions): readonly SimulatedJob[] => {
  const coresPerTask = options.cores * LONG_RUNNING_TASK_SHARE
  const tasks = Math.floor((totalCores(options) * options.reserved) / coresPerTask)
  return Array.from({ length: LATENCY_CRITICAL_IMAGE_COUNT }, (_, image) => {
    const taskCount = Math.floor((tasks + image) / LATENCY_CRITICAL_IMAGE_COUNT)
    const step = stepOf({
      taskCount,
      claim: claim(coresPerTask, options.cores * 350),
      lasting: true,
      image: `s${image}`,
      tailTargetMs: UNLOADED_TAIL_MS * TAIL_TARGET_FACTOR,
    })
    const spec = { ...protocol.workflow.JobSpec.fromPartial({ id: `l${image}` }), steps: [step] }
    const workMs = [Array.from({ length: taskCount }, () => Number.POSITIVE_INFINITY)]
    return { kind: 'lasting', atMs: 1, spec, queue: queueOf('lasting'), workMs }
  }).filter(({ workMs }) => (workMs[0]?.length ?? 0) > 0) as readonly SimulatedJob[]
}

interface DrawnStep {
  readonly step: protocol.workflow.Step
  readonly workMs: readonly number[]
}

const jobOf = (
  kind: JobKind,
  id: string,
  atMs: number,
  drawn: readonly DrawnStep[],
): SimulatedJob => ({
  kind,
  atMs,
  spec: {
    ...protocol.workflow.JobSpec.fromPartial({ id }),
    steps: drawn.map(({ step }, index) => ({ ...step, after: index === 0 ? [] : [index - 1] })),
  },
  queue: queueOf(kind),
  workMs: drawn.map(({ workMs }) => workMs),
})

const drawBestEffortStep = (
  options: LoadOptions,
  draw: random.Random,
  isWide: boolean,
): DrawnStep => {
  const factor = random.drawFactor(draw, options.widthSpread)
  const taskCount = Math.max(1, Math.round(options.width * factor))
  const meanMs = BEST_EFFORT_WORK_MS * random.drawFactor(draw, STEP_SPREAD)
  const error =
    MIN_ESTIMATE_ERROR_FACTOR * (MAX_ESTIMATE_ERROR_FACTOR / MIN_ESTIMATE_ERROR_FACTOR) ** draw()
  const sizeFactor = options.cores / 16
  return {
    step: stepOf({
      taskCount,
      claim: claim((isWide ? 2.2 : 1.8) * sizeFactor, 3_000 * sizeFactor),
      estimatedMs: Math.round(meanMs / error),
      checkpointing: draw() < CHECKPOINTING_SHARE,
      image: `f${Math.floor(draw() * BEST_EFFORT_IMAGE_COUNT)}`,
      filling: true,
    }),
    workMs: Array.from({ length: taskCount }, () => meanMs * random.drawFactor(draw, TASK_SPREAD)),
  }
}

const drawLatencyCriticalStep = (options: LoadOptions, draw: random.Random): DrawnStep => {
  const taskCount =
    options.workers < LARGE_DEPLOYMENT_WORKERS
      ? LATENCY_CRITICAL_WIDTH_SMALL
      : LATENCY_CRITICAL_WIDTH_LARGE
  return {
    step: stepOf({
      taskCount,
      claim: claim(((0.4 + 0.25 * draw()) * options.cores) / 16, 300),
      estimatedMs: LATENCY_CRITICAL_WORK_MS,
      image: `q${Math.floor(draw() * LATENCY_CRITICAL_IMAGE_COUNT)}`,
    }),
    workMs: Array.from(
      { length: taskCount },
      () => LATENCY_CRITICAL_WORK_MS * random.drawFactor(draw, TASK_SPREAD),
    ),
  }
}

const coreMsOf = (drawn: readonly DrawnStep[]): number =>
  drawn.reduce((sum, { step, workMs }) => {
    const taskMs = workMs.reduce((part, ms) => part + ms, 0)
    return sum + (taskMs * (step.claim?.cpuMillis ?? 0)) / 1_000
  }, 0)

/** Jobs of one kind whose work adds up to a share of the CPU time during the traffic. */
const drawJobs = (
  kind: JobKind,
  options: LoadOptions,
  share: number,
  drawSteps: (draw: random.Random) => readonly DrawnStep[],
): readonly SimulatedJob[] => {
  const draw = random.createRandom(options.seed, kind)
  const targetMs = totalCores(options) * options.trafficMs * share
  const drawn: (readonly DrawnStep[])[] = []
  for (let sumMs = 0; sumMs < targetMs;) {
    const steps = drawSteps(draw)
    drawn.push(steps)
    sumMs += coreMsOf(steps)
  }
  const phase = draw()
  const isAccepted = (atMs: number): boolean => {
    const wave =
      kind === 'filling' ? Math.sin(2 * Math.PI * (atMs / ARRIVAL_WAVE_PERIOD_MS + phase)) : 0
    return draw() * (1 + ARRIVAL_WAVE_SHARE) < 1 + ARRIVAL_WAVE_SHARE * wave
  }
  return drawn.map((steps, index) => {
    let atMs = draw() * options.trafficMs
    while (!isAccepted(atMs)) atMs = draw() * options.trafficMs
    return jobOf(kind, `${kind}${index}`, WARM_UP_MS + Math.round(atMs), steps)
  })
}

const loadFactorOf = (
  kind: 'serving' | 'filling',
  { loadFactor = 1, loadKind = kind }: LoadOptions,
): number => (kind === loadKind ? loadFactor : 1)

/** Makes some tasks long, and estimates wrong, with random numbers of their own: the rest of the day stays the same. */
const withTail = (options: LoadOptions): ((job: SimulatedJob) => SimulatedJob) => {
  const { seed, tailShare = 0, estimateSpread = 0 } = options
  const drawTail = random.createRandom(seed, 'tail')
  const drawError = random.createRandom(seed, 'estimate')
  return (job) => {
    const steps = job.spec.steps.map((step) =>
      job.kind === 'serving'
        ? {
            ...step,
            estimatedMs: Math.round(
              step.estimatedMs * random.drawFactor(drawError, estimateSpread),
            ),
          }
        : step,
    )
    const workMs = job.workMs.map((tasks) =>
      tasks.map((ms) => (drawTail() < tailShare ? ms * TAIL_FACTOR : ms)),
    )
    return { ...job, spec: { ...job.spec, steps }, workMs }
  }
}

const drawNormalLoad = (options: LoadOptions): readonly SimulatedJob[] => [
  ...longRunningJobs(options),
  ...drawJobs('filling', options, options.demand * loadFactorOf('filling', options), (draw) => {
    const isWide = draw() < 0.5
    return Array.from({ length: BEST_EFFORT_STEP_COUNT }, () =>
      drawBestEffortStep(options, draw, isWide),
    )
  }),
  ...drawJobs(
    'serving',
    options,
    SHORT_LATENCY_CRITICAL_SHARE * loadFactorOf('serving', options),
    (draw) =>
      Array.from({ length: draw() < LATENCY_CRITICAL_SECOND_STEP_SHARE ? 2 : 1 }, () =>
        drawLatencyCriticalStep(options, draw),
      ),
  ),
]

export const drawLoad = (options: LoadOptions): readonly SimulatedJob[] =>
  drawNormalLoad(options).map(withTail(options))
