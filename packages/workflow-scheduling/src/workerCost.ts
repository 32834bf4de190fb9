/** Costs of workers for the tasks of a step, and the rate at which best-effort tasks would run there. */
import * as workflowState from '@ebonyweir/workflow-state'
import type * as candidates from './candidates.js'

/** Cost of a worker in another rack than the data or the rest of the step, as a share of a worker's capacity. */
const OTHER_RACK_COST = 1

/** Share of full speed below which a best-effort task waits for a better worker; a slow one mostly interferes. */
export const MIN_BEST_EFFORT_RATE = 0.5

/** Cost of each recent failure on the worker, as a share of a worker's capacity. */
const RECENT_FAILURE_COST = 0.5

/**
 * Share of full speed at which a best-effort task would run on a candidate; 0 if it is below `minRate`. Above 1 there is
 * free capacity for more than the task.
 */
export type RateOn = (candidate: candidates.CandidateWorker, minRate: number) => number

/**
 * Rate of the best-effort tasks of one step, limited by the interference that their neighbours tolerate and the CPU left
 * by tasks that go before them. Tasks that the worker's list does not contain yet take an equal share. The tolerated count
 * is constant during a plan, so it is computed once for all tasks of the step, and only where CPU is left.
 */
export const createBestEffortRate = (
  step: workflowState.StepView,
  rank: number,
  { disturbance, mayDisturb }: candidates.BestEffortInput,
): RateOn => {
  const { cpuMillis } = workflowState.claimOf(step.spec)
  const mustNotInterfere = mayDisturb?.(step) === false
  const toleratedOn = new Map<candidates.CandidateWorker, number>()

  const toleratedCountOn = (candidate: candidates.CandidateWorker): number => {
    const known = toleratedOn.get(candidate)
    if (known !== undefined) return known
    const computed = disturbance.safeToleratedCount(candidate.key, step.spec.image, rank)
    const isHarmless = computed === Number.POSITIVE_INFINITY
    const allowed = mustNotInterfere && !isHarmless ? 0 : computed
    toleratedOn.set(candidate, allowed)
    return allowed
  }

  return (candidate, minRate) => {
    let takenMillis = 0
    for (const task of candidate.bestEffortTasks)
      if (task.rank <= rank) takenMillis += task.cpuMillis
    const cpuRate = Math.max(0, candidate.leftCpuMillis - takenMillis) / Math.max(1, cpuMillis)
    if (cpuRate < minRate) return 0
    const rate = Math.min(toleratedCountOn(candidate) / (1 + candidate.unlistedCount), cpuRate)
    return rate < minRate ? 0 : rate
  }
}

/**
 * Cost of a worker for a task; the worker with the lowest cost is chosen. Tasks that reserve CPU are packed, which leaves
 * workers without latency-critical tasks to best-effort tasks that would interfere. Best-effort tasks are spread by free
 * capacity, because a tail latency rises faster the closer it is to its target.
 */
export const costOf = (
  candidate: candidates.CandidateWorker,
  step: workflowState.StepView,
  racksOfStep: ReadonlySet<string>,
  bestEffortRate: number,
): number => {
  const { description, consecutiveFailures } = candidate.worker
  const { dataRack, filling, sameRack } = step.spec
  const freeShare = candidate.cpuMillis / Math.max(1, candidate.capacity.cpuMillis)
  let cost = consecutiveFailures * RECENT_FAILURE_COST
  cost += filling ? 1 / (1 + bestEffortRate) : freeShare
  if (dataRack !== '' && dataRack !== description.rack) cost += OTHER_RACK_COST
  if (sameRack && !isRackOfStep(racksOfStep, description.rack)) cost += OTHER_RACK_COST
  return cost
}

const isRackOfStep = (racks: ReadonlySet<string>, rack: string): boolean =>
  racks.size === 0 || racks.has(rack)
