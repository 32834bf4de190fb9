/** Steps of a job that is not open yet, in the form that durations and order use. */
import type * as protocol from '@ebonyweir/protocol'
import type * as workflowState from '@ebonyweir/workflow-state'

/** Creates views of the steps of a job as if it were submitted at `submittedMs`; they have no tasks. */
export const draftSteps = (
  spec: protocol.workflow.JobSpec,
  queue: protocol.workflow.Queue,
  submittedMs: number,
): readonly workflowState.StepView[] => {
  const occurrences = new Map<number, workflowState.OccurrenceView>()
  const job: workflowState.JobView = {
    spec,
    queue,
    callerDomain: '',
    phase: 'active',
    submittedMs,
    endedMs: 0,
    occurrences,
    openedCount: 1,
    hasRun: false,
  }
  const steps = spec.steps.map((step, index) => ({
    job,
    occurrence: 0,
    index,
    spec: step,
    tasks: [],
    waitingCount: step.taskCount,
    assignedCount: 0,
    completedCount: 0,
    blockedBy: step.after.length,
  }))
  occurrences.set(0, { number: 0, steps })
  return steps
}
