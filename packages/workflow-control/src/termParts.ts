/** Decisions of a term about jobs that fill; an experiment replaces some of them to compare policies. */
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as fillerPacing from './fillerPacing.js'
import * as fillerRanks from './fillerRanks.js'

export interface TermParts {
  readonly createDisturbance: typeof scheduling.createDisturbance
  readonly createDurations: typeof scheduling.createDurations
  readonly createFillerRanks: typeof fillerRanks.createFillerRanks
  readonly createFillerPacing: typeof fillerPacing.createFillerPacing
  readonly createFillingPlaces: typeof scheduling.createFillingPlaces
  readonly planAssignments: typeof scheduling.planAssignments
}

export const TERM_PARTS: TermParts = {
  createDisturbance: scheduling.createDisturbance,
  createDurations: scheduling.createDurations,
  createFillerRanks: fillerRanks.createFillerRanks,
  createFillerPacing: fillerPacing.createFillerPacing,
  createFillingPlaces: scheduling.createFillingPlaces,
  planAssignments: scheduling.planAssignments,
}
