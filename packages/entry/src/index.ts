/** Entry role: accepts requests from callers and routes them to the agents of the endpoints. */
export * as entry from './entry.js'
export * as options from './options.js'
export * as serviceBuckets from './serviceBuckets.js'
export { createEntry } from './entry.js'
export { resolveEntryOptions, type EntryOptions } from './options.js'
