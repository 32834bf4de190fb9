/** Drives the replicated log with storage, a transport and a clock. */
export * from './types.js'
export * from './replica.js'
