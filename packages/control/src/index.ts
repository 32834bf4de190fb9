/** Control role of the daemon. */
export * from './control.js'
export * from './options.js'
export * as workerSessions from './workerSessions.js'
