/** Validation of submitted jobs. */
import type * as protocol from '@ebonyweir/protocol'
import * as results from 'ts-results-es'

/** Maximum number of tasks in one occurrence of a job, so that one job cannot exhaust a replica's memory. */
export const MAX_TASKS_PER_JOB = 20_000

export const MAX_STEPS_PER_JOB = 1_000

/** Validates a job; the error describes the first problem. */
export const checkJobSpec = (
  spec: protocol.workflow.JobSpec,
): results.Result<undefined, string> => {
  if (spec.steps.length === 0) return results.Err('the job has no steps')
  if (spec.steps.length > MAX_STEPS_PER_JOB) return results.Err('the job has too many steps')
  const taskCount = spec.steps.reduce((sum, step) => sum + step.taskCount, 0)
  if (taskCount > MAX_TASKS_PER_JOB) return results.Err('the job has too many tasks')
  for (const [index, step] of spec.steps.entries()) {
    if (step.taskCount < 1) return results.Err(`step ${index}: it has no tasks`)
    const { cpuMillis, memoryMb, accelerators } = claimOf(step)
    if (Math.min(cpuMillis, memoryMb, accelerators) < 0) {
      return results.Err(`step ${index}: a claim is negative`)
    }
    const isEarlier = (other: number): boolean => other >= 0 && other < index
    if (!step.after.every(isEarlier)) {
      return results.Err(`step ${index}: it follows a step that is not an earlier one`)
    }
  }
  if (spec.repetitions > 0 && spec.intervalMs < 0) return results.Err('the interval is negative')
  return results.Ok(undefined)
}

const NO_CLAIM: protocol.workflow.Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }

/** Resources that one task of a step claims. */
export const claimOf = (step: protocol.workflow.Step): protocol.workflow.Resources =>
  step.claim ?? NO_CLAIM
