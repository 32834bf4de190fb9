/** Settings of the daemon's roles. */
export * from './addresses.js'
export * from './schema.js'
export * from './scheduling.js'
export * from './settings.js'
