/** Durations of tasks learned from completed runs, since submitters' estimates are rough. */
import type * as workflowState from '@ebonyweir/workflow-state'

/** Weight of a new observation in the running mean; about the last ten observations count. */
const OBSERVATION_WEIGHT = 0.2

/** Observations after which the learned mean replaces the estimate. */
const MIN_OBSERVATIONS = 3

/** Images remembered; the one observed longest ago is forgotten first. */
const MAX_IMAGES = 4_096

/** Part of one task whose progress must have been seen before a step's own speed replaces the estimate. */
const MIN_SEEN_PART = 0.15

/** Filling steps from which the error of estimates is learned; fewer say little, older ones may be of another kind. */
const MIN_STEPS = 3
const MAX_STEPS = 60

/** Duration assumed for a task without an estimate, in milliseconds. */
export const DEFAULT_DURATION_MS = 2_000

interface Seen {
  workedMs: number
  part: number
}

interface Learned {
  readonly meanRatio: number
  readonly observations: number
}

/** Learned ratio of actual to estimated duration. */
export interface Durations {
  readonly observe: (step: workflowState.StepView, durationMs: number) => void
  /**
   * Learns from the progress of one of a step's tasks: the full-speed time in which a part (0 to 1) of it was done. The
   * tasks of a step take nearly the same time, while its estimate is often wrong by a factor of two or more.
   */
  readonly observeProgress: (step: workflowState.StepView, workedMs: number, part: number) => void
  /** Expected duration of one task in milliseconds. */
  readonly expect: (step: workflowState.StepView) => number
}

const imageOf = (step: workflowState.StepView): string =>
  step.spec.image === '' ? `${step.job.queue.name}/` : step.spec.image

const estimateOf = (step: workflowState.StepView): number =>
  step.spec.estimatedMs > 0 ? step.spec.estimatedMs : DEFAULT_DURATION_MS

export const createDurations = (): Durations => {
  const learned = new Map<string, Learned>()
  const seenOf = new WeakMap<workflowState.StepView, Seen>()
  /** Logarithm of actual to estimated duration of the filling steps seen last. */
  const errorOf = new Map<workflowState.StepView, number>()

  const noteError = (step: workflowState.StepView, { workedMs, part }: Seen): void => {
    if (part < MIN_SEEN_PART || workedMs <= 0) return
    errorOf.set(step, Math.log(workedMs / part / estimateOf(step)))
    const oldest = errorOf.keys().next()
    if (errorOf.size > MAX_STEPS && oldest.done !== true) errorOf.delete(oldest.value)
  }

  /** Factor by which estimates of filling steps are wrong on average. */
  const meanError = (): number => {
    if (errorOf.size < MIN_STEPS) return 1
    let sum = 0
    for (const error of errorOf.values()) sum += error
    return Math.exp(sum / errorOf.size)
  }

  return {
    observe: (step, durationMs) => {
      const image = imageOf(step)
      const before = learned.get(image)
      const ratio = durationMs / estimateOf(step)
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
      const seen = seenOf.get(step) ?? { workedMs: 0, part: 0 }
      seen.workedMs += workedMs
      seen.part += part
      seenOf.set(step, seen)
      if (step.spec.filling) noteError(step, seen)
    },
    expect: (step) => {
      const seen = seenOf.get(step)
      if (seen !== undefined && seen.part >= MIN_SEEN_PART) return seen.workedMs / seen.part
      const known = learned.get(imageOf(step))
      if (step.spec.filling) return estimateOf(step) * meanError()
      if (known === undefined || known.observations < MIN_OBSERVATIONS) return estimateOf(step)
      return estimateOf(step) * known.meanRatio
    },
  }
}
