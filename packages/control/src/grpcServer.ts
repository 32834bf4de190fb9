/** gRPC server of a control replica: replication, and calls from entries and agents. */
import * as grpc from '@grpc/grpc-js'
import * as peerTransport from '@ebonyweir/peer-transport'
import * as protocol from '@ebonyweir/protocol'
import * as results from 'ts-results-es'
import * as claims from './claims.js'
import type * as context from './context.js'
import * as processSync from './processSync.js'

type AsyncHandler<Request, Reply> = (
  request: Request,
) => Promise<results.Result<Reply, Partial<grpc.StatusObject>>>

const unary =
  <Request, Reply>(handle: AsyncHandler<Request, Reply>): grpc.handleUnaryCall<Request, Reply> =>
  (call, callback) => {
    handle(call.request).then(
      (result) => {
        if (result.isOk()) callback(null, result.value)
        else callback(result.error)
      },
      (error: unknown) => {
        callback({ code: grpc.status.INTERNAL, details: String(error) })
      },
    )
  }

const controlService = (ctx: context.ControlContext): protocol.control.ControlServer => ({
  syncEntry: (call, callback) => {
    callback(null, processSync.syncEntry(ctx, call.request))
  },
  syncAgent: (call, callback) => {
    callback(null, processSync.syncAgent(ctx, call.request))
  },
  claim: unary((request) => claims.claim(ctx, request)),
  settle: unary((request) => claims.settle(ctx, request)),
})

export interface GrpcServer {
  readonly start: () => Promise<results.Result<void, string>>
  /** Waits for calls in progress, at most `timeoutMs`, then closes. */
  readonly stop: (timeoutMs: number) => Promise<void>
}

export const createGrpcServer = (ctx: context.ControlContext): GrpcServer => {
  const server = new grpc.Server(peerTransport.CHANNEL_OPTIONS)
  const replication = peerTransport.createReplicationService(ctx.replica)
  server.addService(protocol.replication.ReplicationService, { ...replication.handlers })
  server.addService(protocol.control.ControlService, { ...controlService(ctx) })

  const start: GrpcServer['start'] = () =>
    new Promise((resolve) => {
      const { grpcAddress } = ctx.options
      server.bindAsync(grpcAddress, grpc.ServerCredentials.createInsecure(), (error) => {
        if (error === null) resolve(results.Ok(undefined))
        else resolve(results.Err(`cannot listen on ${grpcAddress}: ${error.message}`))
      })
    })

  const stop: GrpcServer['stop'] = (timeoutMs) =>
    new Promise((resolve) => {
      replication.end()
      const timer = setTimeout(() => {
        server.forceShutdown()
        resolve()
      }, timeoutMs)
      server.tryShutdown(() => {
        clearTimeout(timer)
        resolve()
      })
    })

  return { start, stop }
}
