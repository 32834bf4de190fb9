/** Agent role: runs requests on the endpoints of its instance and tracks which requests ran. */
export * as agent from './agent.js'
export * as execution from './execution.js'
export * as executionResult from './executionResult.js'
export * as executionState from './executionState.js'
export * as options from './options.js'
export { createAgent } from './agent.js'
export { resolveAgentOptions, type AgentOptions } from './options.js'
