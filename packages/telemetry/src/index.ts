/** Logs, metrics and service-level burn. Import a sub-path to load only one of them. */
export * from './logger.js'
export * from './metrics.js'
