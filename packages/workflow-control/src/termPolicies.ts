/** Scheduling policies of a term for best-effort jobs; experiments replace some of them for comparison. */
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as bestEffortPacing from './bestEffortPacing.js'
import * as bestEffortRanks from './bestEffortRanks.js'

export interface TermParts {
  readonly createDisturbance: typeof scheduling.createDisturbance
  readonly createDurations: typeof scheduling.createDurations
  readonly createFillerRanks: typeof bestEffortRanks.createBestEffortRanks
  readonly createFillerPacing: typeof bestEffortPacing.createBestEffortPacing
  readonly createFillingPlaces: typeof scheduling.createFillingPlaces
  readonly planAssignments: typeof scheduling.planAssignments
}

export const TERM_PARTS: TermParts = {
  createDisturbance: scheduling.createDisturbance,
  createDurations: scheduling.createDurations,
  createFillerRanks: bestEffortRanks.createBestEffortRanks,
  createFillerPacing: bestEffortPacing.createBestEffortPacing,
  createFillingPlaces: scheduling.createFillingPlaces,
  planAssignments: scheduling.planAssignments,
}
