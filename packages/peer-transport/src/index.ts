/** gRPC transport of replication messages, shared by all types of control group. */
export * from './transport.js'
export * from './replicationService.js'
