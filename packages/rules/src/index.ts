/** Rules file: parsing, checks, digest and comparison. Agents import the smaller `./record` instead. */
export * from './diff.js'
export * from './edit.js'
export * from './parse.js'
export * from './record.js'
export * from './schema.js'
