/** Estimate of the CPU that a worker's other tasks leave to best-effort tasks; shared by placement, supply and paces. */
import type * as protocol from '@ebonyweir/protocol'
import * as workflowState from '@ebonyweir/workflow-state'
import type * as interference from './interference.js'

interface CachedRunKey {
  readonly run: number
  readonly key: string
}

/** Keys of the current runs; cached because each plan needs them for all workers. */
const runKeys = new WeakMap<workflowState.TaskView, CachedRunKey>()

/** Cached `runKey` of an active run. */
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
 * CPU of a worker available to best-effort tasks, in thousandths of a processor. A latency-critical task counts with the
 * utilization that its tail latency indicates, other tasks with their claim. The learned overestimate is subtracted.
 */
export const bestEffortCpuMillis = (
  worker: string,
  capacity: protocol.workflow.Resources,
  load: workflowState.WorkerLoad | undefined,
  disturbance: Pick<interference.InterferenceModel, 'utilization' | 'cpuOverestimateMillis'>,
): number => {
  let leftMillis = capacity.cpuMillis - disturbance.cpuOverestimateMillis(worker)
  for (const active of load?.runs.values() ?? []) {
    const { spec } = active.step
    if (spec.filling) continue
    const { cpuMillis } = workflowState.claimOf(spec)
    const used = spec.tailTargetMs > 0 ? disturbance.utilization(worker, activeRunKey(active)) : 1
    leftMillis -= cpuMillis * used
  }
  return Math.max(0, leftMillis)
}
