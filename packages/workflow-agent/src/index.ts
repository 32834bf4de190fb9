/** Agent beside one worker: carries the leader's orders out and reports what the worker lists. */
export * from './attachTrace.js'
export * from './runner.js'
export * from './workerAgent.js'
