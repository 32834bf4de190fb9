/** Agent of one worker: carries out the leader's orders and reports the worker's runs. */
export * from './announcement.js'
export * from './attachTrace.js'
export * from './runner.js'
export * from './workerAgent.js'
