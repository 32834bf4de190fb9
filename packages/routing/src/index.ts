/** Request routing policy: which endpoint runs a request, which is next and which is refused. */
export * as choice from './choice.js'
export * as endpoint from './endpoint.js'
export * as endpointTable from './endpointTable.js'
export * as fairQueue from './fairQueue.js'
export * as latencyTracker from './latencyTracker.js'
export * as outliers from './outliers.js'
export * as retryBudget from './retryBudget.js'
export * as serviceRouter from './serviceRouter.js'
