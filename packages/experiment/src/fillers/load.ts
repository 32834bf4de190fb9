/**
 * Load of one simulated day: what runs from the start, and the jobs that come. All figures are assumptions of this
 * simulation, chosen to be like the deployments; docs/measurements.md names them.
 */
import * as protocol from '@ebonyweir/protocol'
import * as random from '../random.js'

export interface LoadOptions {
  readonly seed: number
  readonly workers: number
  /** Processors of the smallest worker. */
  readonly cores: 16 | 32
  /** Median tasks in a step of a filling job. */
  readonly width: number
  /** Deviation of the logarithm of that number. */
  readonly widthSpread: number
  /** Processors that filling jobs ask for, as a share of all. */
  readonly demand: number
  /** Processors that lasting tasks reserve, as a share of all. */
  readonly reserved: number
  /** Time in which jobs come, in milliseconds. */
  readonly trafficMs: number
}

export type JobKind = 'lasting' | 'serving' | 'filling'

export interface SimulatedJob {
  readonly kind: JobKind
  readonly atMs: number
  readonly spec: protocol.workflow.JobSpec
  readonly queue: protocol.workflow.Queue
  /** Full-speed time of each task in milliseconds, by step. */
  readonly workMs: readonly (readonly number[])[]
}

/** Size of each worker in turn, in sizes of the smallest one. */
export const WORKER_SIZES = [1, 1, 1.5] as const

/** Time before the traffic in which lasting tasks start and the disturbance is learned, in milliseconds. */
export const WARM_UP_MS = 6_000

const SERVING_IMAGES = 10
const FILLING_IMAGES = 18

/** Share of the processors that short serving tasks reserve. */
const SERVING_SHARE = 0.06

/** Lasting tasks reserve a fifth of the smallest worker. */
const LASTING_PART = 0.2

/** Target of a tail in floors of its image; see `worker.ts`. */
export const TARGET_FLOORS = 5
const FLOOR_MS = 10

/** Full-speed time of a filling task, spread between steps and within one (deviations of the logarithm). */
const FILLING_WORK_MS = 3_000
const STEP_SPREAD = 0.3
const TASK_SPREAD = 0.2
const FILLING_STEPS = 2

/** Bounds of the factor by which the estimate of a step is wrong. */
const MIN_ERROR = 0.4
const MAX_ERROR = 6

/** Share of the steps whose tasks write checkpoints. */
const CHECKPOINTING_SHARE = 0.85

/** Period and part of the waves in which filling jobs come. */
const WAVE_MS = 15_000
const WAVE_PART = 0.8

const SERVING_WORK_MS = 1_400

/** Widths of short serving jobs, and the share of those that have a second step. */
const SERVING_WIDTH_SMALL = 6
const SERVING_WIDTH_LARGE = 10
const SERVING_SECOND_STEP_SHARE = 0.6
const LARGE_WORKERS = 30

/** An objective is this many times the longest chain, plus a second. */
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

const lastingJobs = (options: LoadOptions): readonly SimulatedJob[] => {
  const perTask = options.cores * LASTING_PART
  const tasks = Math.floor((totalCores(options) * options.reserved) / perTask)
  return Array.from({ length: SERVING_IMAGES }, (_, image) => {
    const taskCount = Math.floor((tasks + image) / SERVING_IMAGES)
    const step = stepOf({
      taskCount,
      claim: claim(perTask, options.cores * 350),
      lasting: true,
      image: `s${image}`,
      tailTargetMs: FLOOR_MS * TARGET_FLOORS,
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

const drawFilling = (options: LoadOptions, draw: random.Random, isWide: boolean): DrawnStep => {
  const factor = random.drawFactor(draw, options.widthSpread)
  const taskCount = Math.max(1, Math.round(options.width * factor))
  const meanMs = FILLING_WORK_MS * random.drawFactor(draw, STEP_SPREAD)
  const error = MIN_ERROR * (MAX_ERROR / MIN_ERROR) ** draw()
  const part = options.cores / 16
  return {
    step: stepOf({
      taskCount,
      claim: claim((isWide ? 2.2 : 1.8) * part, 3_000 * part),
      estimatedMs: Math.round(meanMs / error),
      checkpointing: draw() < CHECKPOINTING_SHARE,
      image: `f${Math.floor(draw() * FILLING_IMAGES)}`,
      filling: true,
    }),
    workMs: Array.from({ length: taskCount }, () => meanMs * random.drawFactor(draw, TASK_SPREAD)),
  }
}

const drawServing = (options: LoadOptions, draw: random.Random): DrawnStep => {
  const taskCount = options.workers < LARGE_WORKERS ? SERVING_WIDTH_SMALL : SERVING_WIDTH_LARGE
  return {
    step: stepOf({
      taskCount,
      claim: claim(((0.4 + 0.25 * draw()) * options.cores) / 16, 300),
      estimatedMs: SERVING_WORK_MS,
      image: `q${Math.floor(draw() * SERVING_IMAGES)}`,
    }),
    workMs: Array.from(
      { length: taskCount },
      () => SERVING_WORK_MS * random.drawFactor(draw, TASK_SPREAD),
    ),
  }
}

const coreMsOf = (drawn: readonly DrawnStep[]): number =>
  drawn.reduce((sum, { step, workMs }) => {
    const all = workMs.reduce((part, ms) => part + ms, 0)
    return sum + (all * (step.claim?.cpuMillis ?? 0)) / 1_000
  }, 0)

/** Jobs of one kind whose work adds up to a share of the processors over the time of the traffic. */
const drawJobs = (
  kind: JobKind,
  options: LoadOptions,
  share: number,
  drawSteps: (draw: random.Random) => readonly DrawnStep[],
): readonly SimulatedJob[] => {
  const draw = random.createRandom(options.seed, kind)
  const wantedMs = totalCores(options) * options.trafficMs * share
  const drawn: (readonly DrawnStep[])[] = []
  for (let sumMs = 0; sumMs < wantedMs;) {
    const steps = drawSteps(draw)
    drawn.push(steps)
    sumMs += coreMsOf(steps)
  }
  const phase = draw()
  const isAccepted = (atMs: number): boolean => {
    const wave = kind === 'filling' ? Math.sin(2 * Math.PI * (atMs / WAVE_MS + phase)) : 0
    return draw() * (1 + WAVE_PART) < 1 + WAVE_PART * wave
  }
  return drawn.map((steps, index) => {
    let atMs = draw() * options.trafficMs
    while (!isAccepted(atMs)) atMs = draw() * options.trafficMs
    return jobOf(kind, `${kind}${index}`, WARM_UP_MS + Math.round(atMs), steps)
  })
}

export const drawLoad = (options: LoadOptions): readonly SimulatedJob[] => [
  ...lastingJobs(options),
  ...drawJobs('filling', options, options.demand, (draw) => {
    const isWide = draw() < 0.5
    return Array.from({ length: FILLING_STEPS }, () => drawFilling(options, draw, isWide))
  }),
  ...drawJobs('serving', options, SERVING_SHARE, (draw) =>
    Array.from({ length: draw() < SERVING_SECOND_STEP_SHARE ? 2 : 1 }, () =>
      drawServing(options, draw),
    ),
  ),
]
