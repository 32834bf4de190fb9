/** Entry role: takes the requests of callers and routes them to the agents beside the endpoints. */
export * as entry from './entry.js'
export * as options from './options.js'
export * as serviceBuckets from './serviceBuckets.js'
export { createEntry } from './entry.js'
export { resolveEntryOptions, type EntryOptions } from './options.js'
