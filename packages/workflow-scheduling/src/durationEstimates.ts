/** Submitted estimates of task durations, and the key under which deviations from them are learned. */
import type * as workflowState from '@ebonyweir/workflow-state'

/** Duration assumed for a task without an estimate. */
export const DEFAULT_DURATION_MS = 2_000

/** Image of a step, or its queue if it names none. */
export const imageOf = (step: workflowState.StepView): string =>
  step.spec.image === '' ? `${step.job.queue.name}/` : step.spec.image

export const estimateOf = (step: workflowState.StepView): number =>
  step.spec.estimatedMs > 0 ? step.spec.estimatedMs : DEFAULT_DURATION_MS
