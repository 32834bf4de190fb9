/** Logs and metrics. Import a sub-path to load only one of them; burn rates are in `./burn`. */
export * from './logger.js'
export * from './metrics.js'
