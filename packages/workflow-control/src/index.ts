/** Control role of graph jobs: one replica of the group with the calls of entries, operators and worker agents. */
export type * from './context.js'
export * from './leaderTerm.js'
export * from './options.js'
export * from './timing.js'
export * from './workflowControl.js'
export * from './workMeter.js'
