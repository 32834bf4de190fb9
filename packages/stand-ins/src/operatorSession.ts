/** An operator of a test system: the operator API with the leader followed, and what was accepted recorded. */
import type * as protocol from '@ebonyweir/protocol'
import * as undici from 'undici'
import type * as record from './record.js'
import * as waiting from './waiting.js'

/** An answer of the operator API. */
export interface OperatorAnswer {
  readonly status: number
  readonly body: unknown
}

/** A replica as it is reached by others. */
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

/** What a test may change in a job. */
export type JobOptions = Partial<protocol.operatorApi.SubmitJobRequest> & { readonly job: string }

/** An operator of a test system. */
export interface OperatorSession {
  /** One request to one address, redirects not followed; rejects if the connection fails. */
  readonly ask: (
    address: string,
    method: 'GET' | 'POST',
    route: string,
    body?: unknown,
  ) => Promise<OperatorAnswer>
  /** Asks the replicas in turn until the leader answers. */
  readonly call: (
    method: 'GET' | 'POST',
    route: string,
    body?: unknown,
    deadlineMs?: number,
  ) => Promise<OperatorAnswer>
  readonly bootstrap: (cell: string, replicas: readonly ReplicaAddresses[]) => Promise<void>
  /** Adds a replica with an empty folder in place of one that is gone. */
  readonly replace: (oldId: string, replica: ReplicaAddresses) => Promise<void>
  readonly revision: () => Promise<number>
  /** Applies rules on top of the revision in force; resolves to the new revision. */
  readonly apply: (text: string, operator?: string) => Promise<number>
  /** Notes an accepted change that the test made by itself. */
  readonly noteAccepted: (
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
const CALL_DEADLINE_MS = 30_000

const domainsOut = (text: string): ReadonlySet<string> =>
  new Set(
    [...text.matchAll(/^failureDomain\.(\S+) = \{ state = "out" \}/gm)].map((m) => m[1] ?? ''),
  )

/** Creates an operator's session. */
export const createOperatorSession = (options: OperatorSessionOptions): OperatorSession => {
  const { recorder } = options
  // Every request has a connection of its own: one that went silent must not delay the next.
  const dispatcher = new undici.Agent({ pipelining: 0 })
  let preferred = options.addresses[0] ?? ''

  const ask: OperatorSession['ask'] = async (address, method, route, body) => {
    const response = await undici.request(`http://${address}${route}`, {
      method,
      headers: { 'content-type': 'application/json' },
      body: body === undefined ? undefined : JSON.stringify(body),
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      dispatcher,
    })
    return { status: response.statusCode, body: await response.body.json() }
  }

  const rotate = () => {
    const next = options.addresses.indexOf(preferred) + 1
    preferred = options.addresses[next % options.addresses.length] ?? ''
  }

  const call: OperatorSession['call'] = (method, route, body, deadlineMs = CALL_DEADLINE_MS) =>
    waiting.waitFor(
      `${method} ${route}`,
      async () => {
        try {
          const answer = await ask(preferred, method, route, body)
          if (answer.status !== 421 && answer.status < 500) return answer
          const { leader } = answer.body as { readonly leader?: string }
          if (leader) preferred = leader
          else rotate()
          return undefined
        } catch (error) {
          rotate()
          throw error
        }
      },
      deadlineMs,
    )

  const get = async <T>(route: string): Promise<T> => (await call('GET', route)).body as T

  const identityOf = async (
    replica: ReplicaAddresses,
  ): Promise<protocol.operatorApi.MemberAddress> => {
    const { address } = replica.httpRelay
    const identity = await waiting.waitFor(`identity of ${address}`, async () => {
      const answer = await ask(address, 'GET', '/v1/identity')
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

  const noteAccepted: OperatorSession['noteAccepted'] = (answer, before, text) => {
    const { revision, digest } = answer
    recorder.note({ kind: 'revisionAccepted', revision, digest })
    const [was, is] = [domainsOut(before), domainsOut(text)]
    for (const failureDomain of is) {
      if (was.has(failureDomain)) continue
      recorder.note({ kind: 'failureDomainChanged', failureDomain, state: 'out' })
    }
  }

  /** Noted before the change is sent: a start is allowed as soon as the change may be in force. */
  const noteReturns = (before: string, text: string) => {
    const [was, is] = [domainsOut(before), domainsOut(text)]
    for (const failureDomain of was) {
      if (is.has(failureDomain)) continue
      recorder.note({ kind: 'failureDomainChanged', failureDomain, state: 'in' })
    }
  }

  const rules = () => get<protocol.operatorApi.RulesAnswer>('/v1/rules')

  const apply = async (text: string, operator = 'test'): Promise<number> => {
    const { revision, text: before } = await rules()
    noteReturns(before, text)
    const body = { expectedRevision: revision, operator, text }
    const answer = await call('POST', '/v1/rules', body)
    if (answer.status !== 200) throw new Error(`rules refused: ${JSON.stringify(answer)}`)
    const accepted = answer.body as protocol.operatorApi.ApplyRulesAnswer
    noteAccepted(accepted, before, text)
    return accepted.revision
  }

  const bootstrap = async (cell: string, replicas: readonly ReplicaAddresses[]) => {
    const members = await Promise.all(replicas.map(identityOf))
    for (const replica of replicas) {
      const { address } = replica.httpRelay
      const answer = await ask(address, 'POST', '/v1/members/bootstrap', { cell, members })
      if (answer.status !== 200) throw new Error(`bootstrap refused: ${JSON.stringify(answer)}`)
    }
    await call('GET', '/v1/rules')
  }

  const change = async (body: protocol.operatorApi.ChangeMembersRequest) => {
    const answer = await call('POST', '/v1/members', body)
    if (answer.status !== 200) throw new Error(`members refused: ${JSON.stringify(answer)}`)
  }

  return {
    ask,
    call,
    bootstrap,
    replace: async (oldId, replica) => {
      await change({ add: await identityOf(replica), operator: 'test' })
      await change({ remove: oldId, operator: 'test' })
    },
    rules,
    revision: async () => (await rules()).revision,
    apply,
    noteAccepted,
    submit: (job) =>
      call('POST', '/v1/jobs', {
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
