/** The daemon `ebonyweird`. */
export * from './arguments.js'
export * from './daemon.js'
export * from './role.js'
export * from './shutdown.js'
export * as exitCodes from './exitCodes.js'
