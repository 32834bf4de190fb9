/** Processors of a worker that its other tasks leave to fillers: one estimate for placement, supply and paces. */
import type * as protocol from '@ebonyweir/protocol'
import * as workflowState from '@ebonyweir/workflow-state'
import type * as pacing from './pacing.js'

interface RunKey {
  readonly run: number
  readonly key: string
}

/** Keys of the current runs, since each plan asks for those of all workers. */
const runKeys = new WeakMap<workflowState.TaskView, RunKey>()

/** `runKey` of an active run. */
export const activeRunKey = ({ step, task }: workflowState.ActiveRun): string => {
  const known = runKeys.get(task)
  if (known?.run === task.run) return known.key
  const key = workflowState.runKey({
    job: step.job.spec.id,
    occurrence: step.occurrence,
    step: step.index,
    index: task.index,
    run: task.run,
  })
  runKeys.set(task, { run: task.run, key })
  return key
}

/**
 * Processors of a worker that its other tasks do not use, in thousandths. A serving task counts with the utilization that
 * its tail shows, other tasks with their claim. What fillers beside them were short of is taken off.
 */
export const leftToFillers = (
  worker: string,
  capacity: protocol.workflow.Resources,
  load: workflowState.WorkerLoad | undefined,
  disturbance: Pick<pacing.Disturbance, 'utilization' | 'missingCpuMillis'>,
): number => {
  let leftMillis = capacity.cpuMillis - disturbance.missingCpuMillis(worker)
  for (const active of load?.runs.values() ?? []) {
    const { spec } = active.step
    if (spec.filling) continue
    const { cpuMillis } = workflowState.claimOf(spec)
    const used = spec.tailTargetMs > 0 ? disturbance.utilization(worker, activeRunKey(active)) : 1
    leftMillis -= cpuMillis * used
  }
  return Math.max(0, leftMillis)
}
