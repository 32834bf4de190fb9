/** Client of the leader of a workflow control group. */
export * from './addressBook.js'
export * from './evacuationOrders.js'
export * from './leaderClient.js'
export * from './leaderWait.js'
export * from './readDelay.js'
