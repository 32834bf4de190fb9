/** What the workers of a service lack for one more task of a step. */
import * as workflowState from '@ebonyweir/workflow-state'
import type * as candidates from './candidates.js'

/** Numbers of workers by what they lack for one more task of a step. */
export interface Shortages {
  workers: number
  /** Evacuated, without the required label, or at the limit of tasks of the step per worker. */
  excluded: number
  cpu: number
  memory: number
  /** Workers that lack only memory, and would have enough without their best-effort tasks. */
  memoryOfFillers: number
}

const bestEffortMemoryMb = (load: workflowState.WorkerLoad | undefined): number => {
  let sum = 0
  for (const { step } of load?.runs.values() ?? []) {
    if (step.spec.filling) sum += workflowState.claimOf(step.spec).memoryMb
  }
  return sum
}

/** Counts the workers of a step's service by what they lack for one more of its tasks at present. */
export const shortagesOf = (
  step: workflowState.StepView,
  view: Pick<workflowState.WorkflowView, 'loads' | 'evacuated'>,
  workers: readonly candidates.PlacementWorker[],
): Readonly<Shortages> => {
  const found: Shortages = { workers: 0, excluded: 0, cpu: 0, memory: 0, memoryOfFillers: 0 }
  const { requiredLabel, maxPerWorker } = step.spec
  const claim = workflowState.claimOf(step.spec)
  for (const { description } of workers) {
    const { identity, capacity, service, labels, failureDomain } = description
    if (identity === undefined || capacity === undefined) continue
    if (service !== step.job.queue.service) continue
    found.workers += 1
    const load = view.loads.get(workflowState.workerKey(identity))
    const isFull = maxPerWorker > 0 && (load?.runsOfStep.get(step) ?? 0) >= maxPerWorker
    const isUnlabelled = requiredLabel !== '' && !labels.includes(requiredLabel)
    if (isFull || isUnlabelled || view.evacuated.has(failureDomain)) {
      found.excluded += 1
      continue
    }
    const lacksCpu = (load?.cpuMillis ?? 0) + claim.cpuMillis > capacity.cpuMillis
    const missingMemoryMb = (load?.memoryMb ?? 0) + claim.memoryMb - capacity.memoryMb
    if (lacksCpu) found.cpu += 1
    if (missingMemoryMb > 0) found.memory += 1
    if (!lacksCpu && missingMemoryMb > 0 && bestEffortMemoryMb(load) >= missingMemoryMb) {
      found.memoryOfFillers += 1
    }
  }
  return found
}
