/** Estimate of the number of best-effort tasks that the workers could run at full speed. */
import type * as protocol from '@ebonyweir/protocol'
import * as workflowState from '@ebonyweir/workflow-state'
import type * as candidates from './candidates.js'
import * as unusedCpu from './unusedCpu.js'

/** Rank to which every best-effort task yields. */
const FIRST_RANK = -1

/** Share of the workers whose part of the supply one estimate refreshes; the others keep theirs from earlier ones. */
const REFRESHED_SHARE = 0.25

/** Estimates the supply of one service; keeps the parts of workers between estimates. */
export type BestEffortSupply = (
  input: candidates.BestEffortInput,
  steps: readonly workflowState.StepView[],
) => number

/** Tasks of the steps that could run at full speed on a worker without other best-effort tasks, as the mean of the steps. */
const supplyOfWorker = (
  { view, disturbance }: candidates.BestEffortInput,
  { identity, failureDomain, capacity }: protocol.workflow.WorkerDescription,
  steps: readonly workflowState.StepView[],
): number => {
  if (identity === undefined || capacity === undefined) return 0
  if (view.evacuated.has(failureDomain)) return 0
  const key = workflowState.workerKey(identity)
  const leftCpuMillis = unusedCpu.bestEffortCpuMillis(
    key,
    capacity,
    view.loads.get(key),
    disturbance,
  )
  let sum = 0
  for (const { spec } of steps) {
    const tolerated = disturbance.toleratedCount(key, spec.image, FIRST_RANK)
    const { cpuMillis } = workflowState.claimOf(spec)
    sum += Math.min(tolerated, leftCpuMillis / Math.max(1, cpuMillis))
  }
  return sum / Math.max(1, steps.length)
}

/**
 * Creates an estimate of the number of tasks of best-effort steps that could run at full speed on the workers without other
 * best-effort tasks. A new worker's part is computed at once, a known worker's in turn: the load of latency-critical tasks
 * changes little between a few estimates.
 */
export const createBestEffortSupply = (): BestEffortSupply => {
  let parts = new Map<string, number>()
  let turn = 0

  return (input, steps) => {
    const { workers } = input
    const refreshed = Math.ceil(workers.length * REFRESHED_SHARE)
    const next = new Map<string, number>()
    let supply = 0
    for (const [index, { description }] of workers.entries()) {
      const { identity } = description
      if (identity === undefined) continue
      const key = workflowState.workerKey(identity)
      const isDue = (index - turn + workers.length) % workers.length < refreshed
      const known = isDue ? undefined : parts.get(key)
      const part = known ?? supplyOfWorker(input, description, steps)
      next.set(key, part)
      supply += part
    }
    parts = next
    turn = workers.length === 0 ? 0 : (turn + refreshed) % workers.length
    return supply
  }
}
