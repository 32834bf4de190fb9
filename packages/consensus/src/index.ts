/** Raft state machine without I/O: elections, replication, snapshots, membership changes and the leader lease. */
export * as logs from './log.js'
export * as membership from './membership.js'
export * from './types.js'
export * from './config.js'
export * from './state.js'
export * from './status.js'
export * from './step.js'
