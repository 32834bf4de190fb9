/** Scheduling policies of a term for best-effort jobs; experiments replace some of them for comparison. */
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as bestEffortPacing from './bestEffortPacing.js'
import * as bestEffortRanks from './bestEffortRanks.js'

export interface TermPolicies {
  readonly createInterferenceModel: typeof scheduling.createInterferenceModel
  readonly createHealth: typeof scheduling.createHealth
  readonly createDurations: typeof scheduling.createDurations
  readonly createBestEffortRanks: typeof bestEffortRanks.createBestEffortRanks
  readonly createBestEffortPacing: typeof bestEffortPacing.createBestEffortPacing
  readonly createBestEffortWorkerSearch: typeof scheduling.createBestEffortWorkerSearch
  readonly planAssignments: typeof scheduling.planAssignments
}

export const DEFAULT_TERM_POLICIES: TermPolicies = {
  createInterferenceModel: scheduling.createInterferenceModel,
  createHealth: scheduling.createHealth,
  createDurations: scheduling.createDurations,
  createBestEffortRanks: bestEffortRanks.createBestEffortRanks,
  createBestEffortPacing: bestEffortPacing.createBestEffortPacing,
  createBestEffortWorkerSearch: scheduling.createBestEffortWorkerSearch,
  planAssignments: scheduling.planAssignments,
}
