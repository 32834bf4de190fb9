import * as grpc from '@grpc/grpc-js'
import * as protocol from '@ebonyweir/protocol'
import * as execution from './execution.js'
import * as executionResult from './executionResult.js'
import type * as executionState from './executionState.js'

type Result = executionState.ExecutionResult

/** Dependencies of the gRPC service of an agent. */
export interface AgentServiceHost {
  readonly cell: string
  readonly step: (input: execution.Input) => readonly execution.Effect[]
  readonly run: (effects: readonly execution.Effect[]) => void
  readonly load: () => protocol.agent.LoadReport
  readonly onExecute: (request: protocol.agent.ExecuteRequest) => void
}

/** Execute calls that wait for the result of a request id. */
export interface PendingCalls {
  readonly reply: (requestId: string, result: Result) => void
}

type Callback = grpc.sendUnaryData<protocol.agent.ExecuteReply>

/** Creates the handlers of `protocol.agent.AgentService`. */
export const createAgentService = (
  host: AgentServiceHost,
): PendingCalls & { readonly handlers: protocol.agent.AgentServer } => {
  const pendingCalls = new Map<string, Set<Callback>>()

  const replyOf = (requestId: string, result: Result): protocol.agent.ExecuteReply => ({
    requestId,
    result,
    load: host.load(),
  })

  const otherCellRefusal = (cell: string): Result =>
    executionResult.notRun(
      protocol.agent.RefusalReason.OTHER_CELL,
      `the request is for cell ${cell}, this agent belongs to ${host.cell}`,
    )

  const addPendingCall = (requestId: string, callback: Callback): void => {
    const callbacks = pendingCalls.get(requestId) ?? new Set()
    callbacks.add(callback)
    pendingCalls.set(requestId, callbacks)
  }

  const removePendingCall = (requestId: string, callback: Callback): void => {
    const callbacks = pendingCalls.get(requestId)
    if (callbacks?.delete(callback) !== true || callbacks.size > 0) return
    pendingCalls.delete(requestId)
    host.run(host.step({ kind: 'cancel', requestId }))
  }

  const handlers: protocol.agent.AgentServer = {
    execute: (call, callback) => {
      const { request } = call
      if (request.cell !== host.cell) {
        callback(null, replyOf(request.requestId, otherCellRefusal(request.cell)))
        return
      }
      addPendingCall(request.requestId, callback)
      call.on('cancelled', () => {
        removePendingCall(request.requestId, callback)
      })
      host.onExecute(request)
      host.run(host.step({ kind: 'execute', request }))
    },
    resolve: (call, callback) => {
      const { requestId, agentIncarnation, cell, peek } = call.request
      const unknown = {
        requestId,
        state: protocol.agent.ResolveState.RESOLVED_UNKNOWN,
        result: undefined,
      }
      if (cell !== host.cell) {
        callback(null, unknown)
        return
      }
      const effects = host.step({ kind: 'resolve', requestId, incarnation: agentIncarnation, peek })
      const resolved = effects.find((effect) => effect.kind === 'resolved')
      const result = resolved?.result
      callback(null, {
        requestId,
        state: resolved?.state ?? unknown.state,
        result: result === undefined ? undefined : replyOf(requestId, result),
      })
      host.run(effects)
    },
    probe: (call, callback) => {
      const { cell, confirmed } = call.request
      if (cell !== host.cell) {
        callback({ code: grpc.status.FAILED_PRECONDITION, details: `this is cell ${host.cell}` })
        return
      }
      host.step({ kind: 'confirm', requestIds: confirmed })
      callback(null, host.load())
    },
  }

  return {
    handlers,
    reply: (requestId, result) => {
      const callbacks = pendingCalls.get(requestId)
      if (callbacks === undefined) return
      pendingCalls.delete(requestId)
      const reply = replyOf(requestId, result)
      for (const callback of callbacks) callback(null, reply)
    },
  }
}
