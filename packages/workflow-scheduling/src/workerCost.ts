/** Costs of workers for the tasks of a step, and the rate at which best-effort tasks would run there. */
import * as workflowState from '@ebonyweir/workflow-state'
import type * as candidates from './candidates.js'

/** Cost of a worker in another rack than the data or the rest of the step, as a share of a worker's capacity. */
const OTHER_RACK_COST = 1

/** Share of full speed below which a best-effort task waits for a better worker; a slow one mostly interferes. */
export const MIN_BEST_EFFORT_RATE = 0.5

/** Lost time of a run on a remote worker, when the wait for locality is on. */
export interface RemoteCost {
  /** Racks near the data or the group of the step. */
  readonly near: ReadonlySet<string>
  /** Time that a remote run loses, as a multiple of the task's duration. */
  readonly lossFactor: number
}

/** Cost of each recent failure on the worker, as a share of a worker's capacity. */
const RECENT_FAILURE_COST = 0.5

/**
 * Share of full speed at which a best-effort task would run on a candidate; 0 if it is below `minRate`. Above 1 there is
 * free capacity for more than the task.
 */
export type RateOn = (candidate: candidates.CandidateWorker, minRate: number) => number

export interface BestEffortRate {
  readonly rateOn: RateOn
  /**
   * Confirms the choice of a candidate before its reservation. False for a candidate on which the task would explore an
   * unknown pair if another task of the plan explores that pair.
   */
  readonly confirm: (candidate: candidates.CandidateWorker) => boolean
}

/**
 * Rate of the best-effort tasks of one step, limited by the interference that their neighbours tolerate and the CPU left
 * by tasks that go before them. Tasks that the worker's list does not contain yet take an equal share. The tolerated count
 * is constant during a plan, so it is computed once for all tasks of the step, and only where CPU is left. With
 * `mayExplore`, a task of a step that must not interfere may start beside tasks of which it is unknown whether it does.
 */
export const createBestEffortRate = (
  step: workflowState.StepView,
  rank: number,
  { disturbance, mayDisturb }: candidates.BestEffortInput,
  mayExplore = false,
): BestEffortRate => {
  const { cpuMillis } = workflowState.claimOf(step.spec)
  const mustNotInterfere = mayDisturb?.(step) === false
  const toleratedOn = new Map<candidates.CandidateWorker, number>()
  const exploring = new Set<candidates.CandidateWorker>()

  const toleratedCountOn = (candidate: candidates.CandidateWorker): number => {
    const known = toleratedOn.get(candidate)
    if (known !== undefined) return known
    const computed = disturbance.safeToleratedCount(candidate.key, step.spec.image, rank)
    const isHarmless = computed === Number.POSITIVE_INFINITY
    let allowed = mustNotInterfere && !isHarmless ? 0 : computed
    if (mayExplore && mustNotInterfere && isExplorable(candidate)) {
      allowed = MIN_BEST_EFFORT_RATE
      exploring.add(candidate)
    }
    toleratedOn.set(candidate, allowed)
    return allowed
  }

  const isExplorable = (candidate: candidates.CandidateWorker): boolean =>
    candidate.unlistedCount === 0 && disturbance.mayExplore(candidate.key, step.spec.image)

  const confirm: BestEffortRate['confirm'] = (candidate) => {
    if (!exploring.has(candidate)) return true
    if (!isExplorable(candidate)) return false
    disturbance.beginExploration(candidate.key, step.spec.image)
    return true
  }

  const rateOn: RateOn = (candidate, minRate) => {
    let takenMillis = 0
    for (const task of candidate.bestEffortTasks)
      if (task.rank <= rank) takenMillis += task.cpuMillis
    const cpuRate = Math.max(0, candidate.leftCpuMillis - takenMillis) / Math.max(1, cpuMillis)
    if (cpuRate < minRate) return 0
    const rate = Math.min(toleratedCountOn(candidate) / (1 + candidate.unlistedCount), cpuRate)
    return rate < minRate ? 0 : rate
  }

  return { rateOn, confirm }
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
  remote?: RemoteCost,
): number => {
  const { description, consecutiveFailures } = candidate.worker
  const { dataRack, filling, sameRack } = step.spec
  const freeShare = candidate.cpuMillis / Math.max(1, candidate.capacity.cpuMillis)
  let cost = consecutiveFailures * RECENT_FAILURE_COST
  cost += filling ? 1 / (1 + bestEffortRate) : freeShare
  if (remote !== undefined) return cost + remoteCostOf(description.rack, remote)
  if (dataRack !== '' && dataRack !== description.rack) cost += OTHER_RACK_COST
  if (sameRack && !isRackOfStep(racksOfStep, description.rack)) cost += OTHER_RACK_COST
  return cost
}

/**
 * Cost of the lost time, in durations of the task as the cost of a failure, which makes about half a run useless. It
 * exceeds 1, the largest difference by free capacity, so that packing never costs time.
 */
const remoteCostOf = (rack: string, { near, lossFactor }: RemoteCost): number =>
  lossFactor <= 0 || near.has(rack) ? 0 : OTHER_RACK_COST + lossFactor

const isRackOfStep = (racks: ReadonlySet<string>, rack: string): boolean =>
  racks.size === 0 || racks.has(rack)
