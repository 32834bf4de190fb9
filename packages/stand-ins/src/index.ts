/** Stand-ins for the systems outside the project, their observer's records, and the audit. */
export * as audit from './audit.js'
export * as echo from './echo.js'
export * as fakeCaller from './fakeCaller.js'
export * as fakeEndpoint from './fakeEndpoint.js'
export * as fakeWorker from './fakeWorker.js'
export * as record from './record.js'
export * as relay from './relay.js'
