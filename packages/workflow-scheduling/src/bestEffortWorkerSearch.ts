/** Search for workers on which best-effort tasks would run fast enough. */
import type * as workflowState from '@ebonyweir/workflow-state'
import * as candidates from './candidates.js'
import * as placementFailures from './placementFailures.js'
import * as workerCost from './workerCost.js'

/** Search for workers for best-effort tasks; valid as long as the view and the interference model do not change. */
export interface BestEffortWorkerSearch {
  /**
   * Reserves a worker that runs a best-effort task of the step fast enough that it need not wait for a better one; false if
   * there is none. Later searches count the task as placed there.
   */
  readonly reserveAcceptableWorker: (step: workflowState.StepView) => boolean
}

export const createBestEffortWorkerSearch = (
  input: candidates.BestEffortInput,
): BestEffortWorkerSearch => {
  const failures = placementFailures.createPlacementFailures(input.mayDisturb)
  let known: readonly candidates.CandidateWorker[] | undefined
  return {
    reserveAcceptableWorker: (step) => {
      const rank = input.fillerRank(step)
      if (failures.covers(step, rank, workerCost.MIN_BEST_EFFORT_RATE)) return false
      known ??= candidates.createCandidates(input)
      const { rateOn } = workerCost.createBestEffortRate(step, rank, input)
      const found = known.find(
        (candidate) =>
          candidates.isEligible(candidate, step) &&
          rateOn(candidate, workerCost.MIN_BEST_EFFORT_RATE) > 0,
      )
      if (found === undefined) failures.record(step, rank, workerCost.MIN_BEST_EFFORT_RATE)
      else candidates.reserve(found, step, rank)
      return found !== undefined
    },
  }
}

/** Share of full speed that a best-effort task could reach on the best of `workers`. */
export const maxBestEffortRate = (
  input: candidates.BestEffortInput,
  step: workflowState.StepView,
): number => {
  const { rateOn } = workerCost.createBestEffortRate(step, input.fillerRank(step), input)
  const suitable = candidates
    .createCandidates(input)
    .filter((candidate) => candidates.isEligible(candidate, step))
  return Math.min(1, Math.max(0, ...suitable.map((candidate) => rateOn(candidate, 0))))
}
