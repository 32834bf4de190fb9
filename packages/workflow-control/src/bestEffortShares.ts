/** Work and supply of best-effort jobs as the fair shares count them. */
import * as scheduling from '@ebonyweir/workflow-scheduling'
import type * as workflowState from '@ebonyweir/workflow-state'

type UnstartedWork = Pick<scheduling.CompetingJob, 'unstartedCores' | 'unstartedCoreMs'>

/** Work of the best-effort tasks that never ran; the start of the others was charged. */
export const unstartedWorkOf = (
  steps: readonly workflowState.StepView[],
  expected: Pick<scheduling.Durations, 'expect'>,
): UnstartedWork => {
  let unstartedCores = 0
  let unstartedCoreMs = 0
  for (const step of steps) {
    if (!step.spec.filling) continue
    const count = step.tasks.filter(({ phase, run }) => phase === 'waiting' && run === 0).length
    const cores = count * scheduling.coresOf(step)
    unstartedCores += cores
    unstartedCoreMs += cores * expected.expect(step)
  }
  return { unstartedCores, unstartedCoreMs }
}

/** CPU of the best-effort tasks of the competing jobs; `supply` is the number of tasks that could run at full speed. */
export const supplyOf = (
  jobs: readonly (readonly workflowState.StepView[])[],
  supply: number,
): scheduling.PoolSupply => {
  let tasks = 0
  let runningTasks = 0
  let cores = 0
  for (const step of jobs.flat()) {
    if (!step.spec.filling) continue
    tasks += step.tasks.length
    runningTasks += step.assignedCount
    cores += step.tasks.length * scheduling.coresOf(step)
  }
  const meanCores = tasks > 0 ? cores / tasks : 0
  const freeTasks = Math.max(0, supply * scheduling.PLANNED_SUPPLY_SHARE - runningTasks)
  return { freeCores: freeTasks * meanCores, runningCores: runningTasks * meanCores }
}
