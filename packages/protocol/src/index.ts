/** Messages between the processes of a cell, generated from `proto/` with `npm run generate`. */
export * as agent from './generated/agent.js'
export * as command from './generated/command.js'
export * as common from './generated/common.js'
export * as control from './generated/control.js'
export * as replication from './generated/replication.js'
export * as disk from './generated/disk.js'
export * as limits from './limits.js'
