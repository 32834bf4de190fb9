/** Replicated state machine of queues, jobs (graphs of steps) and the runs of their tasks. */
export * from './configuration.js'
export { isLateEnd } from './ends.js'
export { revisionOf } from './evacuations.js'
export * from './keys.js'
export * from './listedRuns.js'
export * from './spec.js'
export * from './types.js'
export * from './workflowState.js'
