/** Expected task durations, learned from completed runs and reported progress because submitted estimates are rough. */
import type * as workflowState from '@ebonyweir/workflow-state'
import * as estimates from './durationEstimates.js'
import * as quantileDurations from './quantileDurations.js'
import type * as taskRates from './taskRates.js'

/** Weight of a new observation in the moving average, which covers about the last ten observations. */
const OBSERVATION_WEIGHT = 0.2

/** Observations required before the learned mean corrects the estimate. */
const MIN_OBSERVATIONS = 3

/** Limit on learned images; the least recently observed one is evicted. */
const MAX_IMAGES = 4_096

/** Observed progress, in tasks, that a step needs before its own speed replaces the estimate. */
const MIN_OBSERVED_PART = 0.15

/** Steps over which the estimation error is averaged; fewer are not significant, and older ones may differ in kind. */
const MIN_ERROR_STEPS = 3
const MAX_ERROR_STEPS = 60

const FULL_PERCENT = 100

interface ObservedProgress {
  workedMs: number
  part: number
}

interface LearnedRatio {
  readonly meanRatio: number
  readonly observations: number
}

/** Model of task durations; learns the ratio of actual to estimated duration. */
export interface Durations {
  readonly observe: (step: workflowState.StepView, durationMs: number) => void
  /**
   * Learns from the progress of one of a step's tasks: the full-speed time that a part (0 to 1) of it took. The tasks
   * of a step take nearly the same time, while its estimate is often wrong by a factor of two or more.
   */
  readonly observeProgress: (step: workflowState.StepView, workedMs: number, part: number) => void
  /** Expected duration of one task in milliseconds. */
  readonly expect: (step: workflowState.StepView) => number
  /** Duration in milliseconds that a share `q` (0 to 1) of the tasks of the step do not exceed. */
  readonly quantileMs: (step: workflowState.StepView, q: number) => number
  /** Expected remaining time of a task that has worked for `workedMs` and reports `percent` of its work as done. */
  readonly remainingMs: (step: workflowState.StepView, workedMs: number, percent: number) => number
  /** Learns from a report of the progress of one task. */
  readonly observeTask: (
    step: workflowState.StepView,
    index: number,
    sample: taskRates.TaskSample,
  ) => void
  /** Learns from the end of a run of one task; its progress remains known if a checkpoint holds it. */
  readonly endTask: (
    step: workflowState.StepView,
    index: number,
    kind: taskRates.TaskEndKind,
    hasCheckpoint: boolean,
  ) => void
  /** Remaining time of one task that is `percent` done, as a multiple of `expect`; 1 for a task that has not begun. */
  readonly remainingShare: (step: workflowState.StepView, index: number, percent: number) => number
  /** Time that a step adds to the remaining critical path of its job. */
  readonly stepRemainingMs: (step: workflowState.StepView) => number
  /** Time that a step adds to the whole critical path of its job: that of its longest task, as far as known. */
  readonly longestMs: (step: workflowState.StepView) => number
  readonly learned: () => LearnedCounts
  /** Images with the heaviest tails among the most recently observed ones, at most `limit`; none without quantiles. */
  readonly heaviestTails: (limit: number) => readonly ImageTail[]
}

/** Amount of evidence that a model holds. */
export interface LearnedCounts {
  readonly images: number
  /** Observations since the creation of the model. */
  readonly observations: number
}

/** Ratios of actual to estimated duration of an image. */
export interface ImageTail {
  readonly image: string
  readonly median: number
  /** Ratio that 1 % of the tasks exceed. */
  readonly tail: number
}

/** How durations are predicted: by means, or with quantiles that take tails into account. */
export type DurationModel = 'mean' | 'quantile'

const createMeanDurations = (): Durations => {
  const learned = new Map<string, LearnedRatio>()
  const progressOf = new WeakMap<workflowState.StepView, ObservedProgress>()
  /** Logarithm of actual to estimated duration of the latest best-effort steps. */
  const logErrors = new Map<workflowState.StepView, number>()
  let observationCount = 0

  const recordError = (
    step: workflowState.StepView,
    { workedMs, part }: ObservedProgress,
  ): void => {
    if (part < MIN_OBSERVED_PART || workedMs <= 0) return
    logErrors.set(step, Math.log(workedMs / part / estimates.estimateOf(step)))
    const oldest = logErrors.keys().next()
    if (logErrors.size > MAX_ERROR_STEPS && oldest.done !== true) logErrors.delete(oldest.value)
  }

  /** Geometric mean of actual to estimated duration of best-effort steps. */
  const meanErrorFactor = (): number => {
    if (logErrors.size < MIN_ERROR_STEPS) return 1
    let sum = 0
    for (const error of logErrors.values()) sum += error
    return Math.exp(sum / logErrors.size)
  }

  const expect: Durations['expect'] = (step) => {
    const progress = progressOf.get(step)
    if (progress !== undefined && progress.part >= MIN_OBSERVED_PART)
      return progress.workedMs / progress.part
    const known = learned.get(estimates.imageOf(step))
    if (step.spec.filling) return estimates.estimateOf(step) * meanErrorFactor()
    if (known === undefined || known.observations < MIN_OBSERVATIONS)
      return estimates.estimateOf(step)
    return estimates.estimateOf(step) * known.meanRatio
  }

  return {
    observe: (step, durationMs) => {
      const image = estimates.imageOf(step)
      observationCount += 1
      const before = learned.get(image)
      const ratio = durationMs / estimates.estimateOf(step)
      const meanRatio =
        before === undefined
          ? ratio
          : before.meanRatio + OBSERVATION_WEIGHT * (ratio - before.meanRatio)
      learned.delete(image)
      learned.set(image, { meanRatio, observations: (before?.observations ?? 0) + 1 })
      const oldest = learned.keys().next()
      if (learned.size > MAX_IMAGES && oldest.done !== true) learned.delete(oldest.value)
    },
    observeProgress: (step, workedMs, part) => {
      const progress = progressOf.get(step) ?? { workedMs: 0, part: 0 }
      progress.workedMs += workedMs
      progress.part += part
      progressOf.set(step, progress)
      if (step.spec.filling) recordError(step, progress)
    },
    expect,
    quantileMs: expect,
    remainingMs: (step, _workedMs, percent) => expect(step) * (1 - percent / FULL_PERCENT),
    observeTask: () => undefined,
    endTask: () => undefined,
    remainingShare: (_step, _index, percent) => 1 - percent / FULL_PERCENT,
    stepRemainingMs: expect,
    longestMs: expect,
    learned: () => ({ images: learned.size, observations: observationCount }),
    heaviestTails: () => [],
  }
}

export const createDurations = (model: DurationModel = 'mean'): Durations => {
  const mean = createMeanDurations()
  return model === 'quantile' ? quantileDurations.createQuantileDurations(mean) : mean
}
