/**
 * Scheduling policy for jobs: order, placement, worker health, pacing and admission. The modules do no I/O and read no
 * clock; the time is an argument.
 */
export * from './admission.js'
export * from './alarm.js'
export * from './durations.js'
export * from './bestEffortRanking.js'
export * from './bestEffortSupply.js'
export * from './bestEffortWorkerSearch.js'
export { unlistedBestEffortCount, type PlacementWorker } from './candidates.js'
export * from './fairShareAdmission.js'
export * from './fairShares.js'
export * from './health.js'
export * from './colocatedTasks.js'
export * from './order.js'
export * from './interference.js'
export * from './placement.js'
export * from './progress.js'
export * from './shareOrder.js'
export * from './sizeClasses.js'
export * from './unusedCpu.js'
