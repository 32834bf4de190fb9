/** Client of the operator API for a test system: follows the leader and records accepted changes. */
import type * as protocol from '@ebonyweir/protocol'
import * as undici from 'undici'
import type * as record from './record.js'
import * as waiting from './waiting.js'

/** A response of the operator API. */
export interface OperatorAnswer {
  readonly status: number
  readonly body: unknown
}

/** Addresses of a replica for other processes. */
export interface ReplicaAddresses {
  readonly failureDomain: string
  readonly grpcRelay: { readonly address: string }
  readonly httpRelay: { readonly address: string }
}

/** Options of `createOperatorSession`. */
export interface OperatorSessionOptions {
  readonly addresses: readonly string[]
  readonly recorder: record.Recorder
}

/** Fields of a submitted job that override the defaults. */
export type JobOptions = Partial<protocol.operatorApi.SubmitJobRequest> & { readonly job: string }

/** Operator session of a test system. */
export interface OperatorSession {
  /** Sends one request to one address without following redirects; rejects if the connection fails. */
  readonly request: (
    address: string,
    method: 'GET' | 'POST',
    route: string,
    body?: unknown,
  ) => Promise<OperatorAnswer>
  /** Tries the replicas in turn until the leader answers. */
  readonly requestLeader: (
    method: 'GET' | 'POST',
    route: string,
    body?: unknown,
    deadlineMs?: number,
  ) => Promise<OperatorAnswer>
  readonly bootstrap: (cell: string, replicas: readonly ReplicaAddresses[]) => Promise<void>
  /** Replaces a lost replica by one with an empty data folder. */
  readonly replace: (oldId: string, replica: ReplicaAddresses) => Promise<void>
  readonly revision: () => Promise<number>
  /** Applies rules on top of the revision in force; resolves to the new revision. */
  readonly apply: (text: string, operator?: string) => Promise<number>
  /** Records an accepted change that the test sent itself. */
  readonly recordAccepted: (
    answer: protocol.operatorApi.ApplyRulesAnswer,
    before: string,
    text: string,
  ) => void
  readonly rules: () => Promise<protocol.operatorApi.RulesAnswer>
  readonly submit: (job: JobOptions) => Promise<OperatorAnswer>
  readonly job: (job: string) => Promise<protocol.operatorApi.JobAnswer>
  readonly status: () => Promise<protocol.operatorApi.StatusAnswer>
  readonly members: () => Promise<protocol.operatorApi.MembersAnswer>
}

const REQUEST_TIMEOUT_MS = 2_000
const LEADER_DEADLINE_MS = 30_000

const failureDomainsOut = (text: string): ReadonlySet<string> =>
  new Set(
    [...text.matchAll(/^failureDomain\.(\S+) = \{ state = "out" \}/gm)].map((m) => m[1] ?? ''),
  )

export const createOperatorSession = (options: OperatorSessionOptions): OperatorSession => {
  const { recorder } = options
  // Each request uses its own connection: an unresponsive one must not delay the next request.
  const dispatcher = new undici.Agent({ pipelining: 0 })
  let currentAddress = options.addresses[0] ?? ''

  const request: OperatorSession['request'] = async (address, method, route, body) => {
    const response = await undici.request(`http://${address}${route}`, {
      method,
      headers: { 'content-type': 'application/json' },
      body: body === undefined ? undefined : JSON.stringify(body),
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      dispatcher,
    })
    return { status: response.statusCode, body: await response.body.json() }
  }

  const selectNextAddress = () => {
    const next = options.addresses.indexOf(currentAddress) + 1
    currentAddress = options.addresses[next % options.addresses.length] ?? ''
  }

  const requestLeader: OperatorSession['requestLeader'] = (
    method,
    route,
    body,
    deadlineMs = LEADER_DEADLINE_MS,
  ) =>
    waiting.waitFor(
      `${method} ${route}`,
      async () => {
        try {
          const answer = await request(currentAddress, method, route, body)
          if (answer.status !== 421 && answer.status < 500) return answer
          const { leader } = answer.body as { readonly leader?: string }
          if (leader) currentAddress = leader
          else selectNextAddress()
          return undefined
        } catch (error) {
          selectNextAddress()
          throw error
        }
      },
      deadlineMs,
    )

  const get = async <T>(route: string): Promise<T> => (await requestLeader('GET', route)).body as T

  const identityOf = async (
    replica: ReplicaAddresses,
  ): Promise<protocol.operatorApi.MemberAddress> => {
    const { address } = replica.httpRelay
    const identity = await waiting.waitFor(`identity of ${address}`, async () => {
      const answer = await request(address, 'GET', '/v1/identity')
      return answer.status === 200
        ? (answer.body as protocol.operatorApi.IdentityAnswer)
        : undefined
    })
    return {
      id: identity.id,
      address: replica.grpcRelay.address,
      httpAddress: address,
      failureDomain: replica.failureDomain,
    }
  }

  const recordAccepted: OperatorSession['recordAccepted'] = (answer, before, text) => {
    const { revision, digest } = answer
    recorder.record({ kind: 'revisionAccepted', revision, digest })
    const [outBefore, outAfter] = [failureDomainsOut(before), failureDomainsOut(text)]
    for (const failureDomain of outAfter) {
      if (outBefore.has(failureDomain)) continue
      recorder.record({ kind: 'failureDomainChanged', failureDomain, state: 'out' })
    }
  }

  /** Recorded before the change is sent, since starts are allowed as soon as it may be in force. */
  const recordReturns = (before: string, text: string) => {
    const [outBefore, outAfter] = [failureDomainsOut(before), failureDomainsOut(text)]
    for (const failureDomain of outBefore) {
      if (outAfter.has(failureDomain)) continue
      recorder.record({ kind: 'failureDomainChanged', failureDomain, state: 'in' })
    }
  }

  const rules = () => get<protocol.operatorApi.RulesAnswer>('/v1/rules')

  const apply = async (text: string, operator = 'test'): Promise<number> => {
    const { revision, text: before } = await rules()
    recordReturns(before, text)
    const body = { expectedRevision: revision, operator, text }
    const answer = await requestLeader('POST', '/v1/rules', body)
    if (answer.status !== 200) throw new Error(`rule change refused: ${JSON.stringify(answer)}`)
    const accepted = answer.body as protocol.operatorApi.ApplyRulesAnswer
    recordAccepted(accepted, before, text)
    return accepted.revision
  }

  const bootstrap = async (cell: string, replicas: readonly ReplicaAddresses[]) => {
    const members = await Promise.all(replicas.map(identityOf))
    for (const replica of replicas) {
      const { address } = replica.httpRelay
      const answer = await request(address, 'POST', '/v1/members/bootstrap', { cell, members })
      if (answer.status !== 200) throw new Error(`bootstrap refused: ${JSON.stringify(answer)}`)
    }
    await requestLeader('GET', '/v1/rules')
  }

  const changeMembers = async (body: protocol.operatorApi.ChangeMembersRequest) => {
    const answer = await requestLeader('POST', '/v1/members', body)
    if (answer.status !== 200)
      throw new Error(`membership change refused: ${JSON.stringify(answer)}`)
  }

  return {
    request,
    requestLeader,
    bootstrap,
    replace: async (oldId, replica) => {
      await changeMembers({ add: await identityOf(replica), operator: 'test' })
      await changeMembers({ remove: oldId, operator: 'test' })
    },
    rules,
    revision: async () => (await rules()).revision,
    apply,
    recordAccepted,
    submit: (job) =>
      requestLeader('POST', '/v1/jobs', {
        team: 'workshop',
        kind: 'fitting-plan',
        tasks: 1,
        resources: { cpuMillis: 1000, memoryMb: 1024, accelerators: 0 },
        urgent: false,
        declaredRunMs: 1000,
        maxFailures: 3,
        command: 'run=1000',
        submittedBy: 'Yann Le Goff',
        ...job,
      }),
    job: (job) => get(`/v1/jobs/${job}`),
    status: () => get('/v1/status'),
    members: () => get('/v1/members'),
  }
}
