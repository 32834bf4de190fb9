/** Exhaustive and random exploration of the production step functions. */
export * from './engine.js'
export * from './consensusModel.js'
export * from './consensusScenarios.js'
export * from './randomRuns.js'
export * from './commandModel.js'
export * from './leaseModel.js'
export * from './commandScenarios.js'
