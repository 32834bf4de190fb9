import * as grpc from '@grpc/grpc-js'
import * as protocol from '@ebonyweir/protocol'

type Claim = protocol.command.ClaimRequest & {
  settled: protocol.command.SettleClaim | undefined
}

/** In-memory fake of the control service with one replica: rules, agent directory and claims. */
export interface StandInControl {
  readonly address: string
  revision: number
  epoch: number
  rules: protocol.common.RuleRecord[]
  /** Whether no call is answered, as by a replica that hangs. */
  isUnresponsive: boolean
  /** Whether claims are recorded but fail, as when the reply is lost. */
  loseClaimReplies: boolean
  /** Whether replies to entries omit the agent directory. */
  hideDirectory: boolean
  readonly agents: Map<string, protocol.control.AgentRecord>
  readonly claims: Map<string, Claim>
  readonly buckets: protocol.control.ServiceBucket[]
  readonly close: () => void
}

export const rule = (
  key: string,
  body: string,
  line = 1,
  requestedBy = 'Yann Le Goff',
): protocol.common.RuleRecord => ({ key, line, requestedBy, body, changedAtRevision: 1 })

const { ClaimState } = protocol.control
const { ClaimOutcome } = protocol.command

const claimReply = (
  state: protocol.control.ClaimState,
  claim: Claim,
): protocol.control.ClaimReply => ({
  redirect: undefined,
  state,
  requestId: claim.requestId,
  outcome: claim.settled?.outcome ?? ClaimOutcome.CLAIM_OUTCOME_UNSPECIFIED,
  answerStatus: claim.settled?.answerStatus ?? 0,
  entry: claim.entry,
  agent: claim.settled?.agent ?? '',
  agentAddress: claim.settled?.agentAddress ?? '',
  agentIncarnation: claim.settled?.agentIncarnation ?? 0,
})

export const startControl = async (
  rules: readonly protocol.common.RuleRecord[],
): Promise<StandInControl> => {
  const server = new grpc.Server()
  const agents = new Map<string, protocol.control.AgentRecord>()
  const claims = new Map<string, Claim>()
  const buckets: protocol.control.ServiceBucket[] = []

  const config = (): protocol.control.ConfigDelta => ({
    epoch: control.epoch,
    revision: control.revision,
    full: true,
    rules: control.rules,
    removed: [],
  })

  const claim = (request: protocol.command.ClaimRequest): protocol.control.ClaimReply => {
    const id = `${request.service} ${request.caller} ${request.key}`
    const known = claims.get(id)
    if (known === undefined || known.settled?.outcome === ClaimOutcome.NOT_RUN) {
      const created = { ...request, settled: undefined }
      claims.set(id, created)
      return claimReply(ClaimState.GRANTED, created)
    }
    if (known.digest !== request.digest) return claimReply(ClaimState.MISMATCH, known)
    const state = known.settled === undefined ? ClaimState.IN_PROGRESS : ClaimState.SETTLED
    return claimReply(state, known)
  }

  const handlers: protocol.control.ControlServer = {
    syncEntry: (call, callback) => {
      if (control.isUnresponsive) return
      buckets.push(...call.request.buckets)
      const directory = {
        epoch: control.epoch,
        version: 1,
        full: true,
        agents: [...agents.values()],
        removed: [],
      }
      callback(null, {
        redirect: undefined,
        config: config(),
        directory: control.hideDirectory ? undefined : directory,
      })
    },
    syncAgent: (call, callback) => {
      if (control.isUnresponsive) return
      const { agent } = call.request
      if (agent !== undefined) agents.set(agent.agent, agent)
      callback(null, { redirect: undefined, config: config() })
    },
    claim: (call, callback) => {
      if (control.isUnresponsive) return
      const reply = claim(call.request)
      if (control.loseClaimReplies) callback({ code: grpc.status.UNAVAILABLE, details: 'lost' })
      else callback(null, reply)
    },
    settle: (call, callback) => {
      if (control.isUnresponsive) return
      const { service, caller, key } = call.request
      const known = claims.get(`${service} ${caller} ${key}`)
      if (known?.requestId === call.request.requestId) known.settled = call.request
      callback(null, { redirect: undefined })
    },
  }

  server.addService(protocol.control.ControlService, handlers)
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync('127.0.0.1:0', grpc.ServerCredentials.createInsecure(), (error, bound) => {
      if (error === null) resolve(bound)
      else reject(error)
    })
  })
  const control: StandInControl = {
    address: `127.0.0.1:${port}`,
    revision: 1,
    epoch: 1,
    rules: [...rules],
    isUnresponsive: false,
    loseClaimReplies: false,
    hideDirectory: false,
    agents,
    claims,
    buckets,
    close: () => {
      server.forceShutdown()
    },
  }
  return control
}
