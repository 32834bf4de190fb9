/** Identities of runs, and their labels in log lines. */
import type * as protocol from '@ebonyweir/protocol'
import * as workflowState from '@ebonyweir/workflow-state'

/** Maximum number of runs in one log line, so that its size is bounded. */
export const MAX_LOGGED_RUNS = 20

/** Labels of the first `MAX_LOGGED_RUNS` runs. */
export const describeRuns = (
  runs: readonly (protocol.workflow.TaskRun | undefined)[],
): readonly string[] =>
  runs.slice(0, MAX_LOGGED_RUNS).map((run) => (run ? workflowState.runKey(run) : ''))

/** Identity of an active run of the state machine, including its run number. */
export const runOf = ({ step, task }: workflowState.ActiveRun): protocol.workflow.TaskRun => ({
  job: step.job.spec.id,
  occurrence: step.occurrence,
  step: step.index,
  index: task.index,
  run: task.run,
})
