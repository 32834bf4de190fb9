/**
 * Model of task durations with tails: quantiles of actual to estimated duration per image, and the own progress of each
 * running task. A few tasks that take several times as long raise neither the expectation of the others nor suspicion.
 */
import type * as workflowState from '@ebonyweir/workflow-state'
import * as estimates from './durationEstimates.js'
import type * as durations from './durations.js'
import * as ratioQuantiles from './ratioQuantiles.js'
import * as taskRates from './taskRates.js'

const MEDIAN = 0.5

/** Quantile that shows a tail; a tail of 3 % reaches it with near certainty in a window of 256 observations. */
export const TAIL_QUANTILE = 0.99

/**
 * Ratio of the tail quantile to the median from which the tail is heavy and the median is expected instead of the mean.
 * A spread of 0.5 without a tail stays below it (3.2).
 */
const HEAVY_TAIL_FACTOR = 4

/** A task is long if it takes this multiple of what its step is expected to take; normal spread rarely does. */
const LONG_TASK_FACTOR = 3

/** Progress below which the reported percentage, a whole number, is too coarse for a rate. */
const MIN_RATE_PERCENT = 3

/**
 * Quantiles at which half of the tasks that exceeded the one before have ended. The next of them beyond the time that a
 * task has worked is the median of its duration, given that it has not ended.
 */
const SURVIVAL_QUANTILES = [0.5, 0.75, 0.875, 0.9375, 0.96875, 0.984375, 1]

/** Images examined for heavy tails, so that the log line costs at most a few milliseconds. */
const MAX_EXAMINED_IMAGES = 256

const FULL_PERCENT = 100

type StepView = workflowState.StepView

/** Adds tails to the model `mean`, which decides where there is no heavy tail. */
export const createQuantileDurations = (mean: durations.Durations): durations.Durations => {
  const ratios = ratioQuantiles.createRatioQuantiles()
  const rates = taskRates.createTaskRates()

  const expect = (step: StepView): number => {
    // The speed of a best-effort step is known from the progress of all its tasks.
    if (step.spec.filling) return mean.expect(step)
    const image = estimates.imageOf(step)
    const median = ratios.quantile(image, MEDIAN)
    const tail = ratios.quantile(image, TAIL_QUANTILE)
    if (median === undefined || tail === undefined) return mean.expect(step)
    if (tail < HEAVY_TAIL_FACTOR * median) return mean.expect(step)
    return estimates.estimateOf(step) * median
  }

  const quantileMs = (step: StepView, q: number): number => {
    const image = estimates.imageOf(step)
    const ratio = ratios.quantile(image, q)
    const median = ratios.quantile(image, MEDIAN)
    if (ratio === undefined || median === undefined) return expect(step)
    if (step.spec.filling) return (expect(step) * ratio) / median
    return estimates.estimateOf(step) * ratio
  }

  /** Median of the remaining time of a task about which only the time it has worked is known. */
  const residualMs = (step: StepView, workedMs: number): number => {
    const expectedMs = expect(step)
    if (workedMs < expectedMs) return expectedMs - workedMs
    for (const q of SURVIVAL_QUANTILES) {
      const durationMs = quantileMs(step, q)
      if (durationMs > workedMs) return durationMs - workedMs
    }
    // A task beyond all observations is expected to take as long again.
    return workedMs
  }

  const remainingMs = (step: StepView, workedMs: number, percent: number): number => {
    const left = Math.max(0, FULL_PERCENT - percent)
    if (percent < MIN_RATE_PERCENT) return residualMs(step, Math.max(0, workedMs))
    if (workedMs <= 0) return expect(step) * (left / FULL_PERCENT)
    return (workedMs * left) / percent
  }

  /**
   * Whether the rate of a task is its own. A best-effort task also slows down beside others on the same CPUs, which the
   * mean of its step averages out; only one that is far slower is long.
   */
  const isOwnSpeed = (step: StepView, totalMs: number): boolean =>
    !step.spec.filling || totalMs >= LONG_TASK_FACTOR * expect(step)

  const taskRemainingMs = (step: StepView, index: number, percent: number): number => {
    const left = Math.max(0, 1 - percent / FULL_PERCENT)
    const totalMs = rates.totalMs(step, index)
    if (totalMs !== undefined && isOwnSpeed(step, totalMs)) return totalMs * left
    // The elapsed time of a best-effort task includes pauses, and a percentage may stem from a checkpoint.
    const isTimeKnown = !step.spec.filling && percent < MIN_RATE_PERCENT
    return isTimeKnown
      ? remainingMs(step, rates.elapsedMs(step, index), percent)
      : expect(step) * left
  }

  const recordRatio = (step: StepView, durationMs: number): void => {
    ratios.observe(estimates.imageOf(step), durationMs / estimates.estimateOf(step))
  }

  return {
    expect,
    quantileMs,
    remainingMs,
    observe: (step, durationMs) => {
      mean.observe(step, durationMs)
      recordRatio(step, durationMs)
    },
    observeProgress: mean.observeProgress,
    observeTask: rates.observe,
    endTask: (step, index, kind, hasCheckpoint) => {
      rates.end(step, index, kind, hasCheckpoint)
      // Runs of best-effort tasks are paced, so only their full-speed time compares with the estimate.
      const totalMs = rates.totalMs(step, index)
      if (kind === 'completed' && step.spec.filling && totalMs !== undefined) {
        recordRatio(step, totalMs)
      }
    },
    remainingShare: (step, index, percent) => {
      const expectedMs = expect(step)
      if (expectedMs <= 0) return Math.max(0, 1 - percent / FULL_PERCENT)
      return taskRemainingMs(step, index, percent) / expectedMs
    },
    stepRemainingMs: (step) => {
      if (step.tasks.length - step.completedCount !== 1) return expect(step)
      const last = step.tasks.find(({ phase }) => phase !== 'completed')
      if (last === undefined) return expect(step)
      return taskRemainingMs(step, last.index, rates.percentOf(step, last.index))
    },
    longestMs: (step) => {
      const expectedMs = expect(step)
      const largestMs = rates.largestTotalMs(step)
      return largestMs >= LONG_TASK_FACTOR * expectedMs ? largestMs : expectedMs
    },
    learned: () => ({ images: ratios.imageCount(), observations: ratios.observationCount() }),
    heaviestTails: (limit) =>
      ratios
        .recentImages(MAX_EXAMINED_IMAGES)
        .flatMap((image) => {
          const median = ratios.quantile(image, MEDIAN)
          const tail = ratios.quantile(image, TAIL_QUANTILE)
          return median === undefined || tail === undefined ? [] : [{ image, median, tail }]
        })
        .filter(({ median, tail }) => tail >= HEAVY_TAIL_FACTOR * median)
        .sort((a, b) => b.tail / b.median - a.tail / a.median)
        .slice(0, limit),
  }
}
