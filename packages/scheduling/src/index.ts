/** Scheduling policy of a cell: pure decisions over the control state and the leader's soft state. */
export * from './scheduler.js'
export * from './types.js'
