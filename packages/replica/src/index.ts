/** Runs the consensus state machine with storage, a transport and a clock. */
export * from './types.js'
export * from './replica.js'
