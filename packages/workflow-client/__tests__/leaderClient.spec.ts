import * as timers from 'node:timers/promises'
import * as grpc from '@grpc/grpc-js'
import * as protocol from '@ebonyweir/protocol'
import * as workflowClient from '@ebonyweir/workflow-client'
import * as vitest from 'vitest'
import * as relays from './relay.js'

const { afterEach, describe, expect, it } = vitest
const { CallOutcome, JobState } = protocol.workflow

/** Timeout of a call. */
const TIMEOUT_MS = 2_500

/** 1.2 s until an unresponsive connection is replaced, and time for the new connection on a busy machine. */
const REPLACEMENT_BOUND_MS = 1_700

const QUERY: protocol.workflow.JobQuery = { host: 'h', path: '/', job: 'j' }

const SUBMISSION: protocol.workflow.SubmitRequest = {
  host: 'h',
  path: '/',
  spec: undefined,
  callerDomain: '',
}

const started: { readonly stop: () => void }[] = []

interface Replica extends relays.Relay {
  leading: boolean
  /** Address that the replica reports as the leader's while it is a follower. */
  leader: string
  /** Delay of each answer in milliseconds. */
  answerDelayMs: number
  /** Outcome of each call while the replica is the leader. */
  outcome: protocol.workflow.CallOutcome
  /** Names of the received calls, in order. */
  readonly received: string[]
}

/** Starts a replica that answers calls over gRPC, behind a relay. */
const startReplica = async (
  behaviour: Partial<Pick<Replica, 'leading' | 'leader' | 'answerDelayMs' | 'outcome'>> = {},
): Promise<Replica> => {
  const server = new grpc.Server()
  const received: string[] = []
  const answer = (name: string, send: (reply: protocol.workflow.CallReply) => void): void => {
    received.push(name)
    const { leading, leader, answerDelayMs } = replica
    const outcome = leading ? replica.outcome : CallOutcome.NOT_LEADING
    const hint = { leader: leading ? '' : leader, members: [] }
    setTimeout(send, leading ? answerDelayMs : 0, { outcome, hint, retryAfterMs: 0, detail: '' })
  }
  server.addService(protocol.workflow.WorkflowService, {
    submit: (_: unknown, done: grpc.sendUnaryData<protocol.workflow.CallReply>) => {
      answer('submit', (reply) => {
        done(null, reply)
      })
    },
    cancel: (_: unknown, done: grpc.sendUnaryData<protocol.workflow.CallReply>) => {
      answer('cancel', (reply) => {
        done(null, reply)
      })
    },
    inspect: (_: unknown, done: grpc.sendUnaryData<protocol.workflow.JobReply>) => {
      answer('inspect', (reply) => {
        done(null, { reply, state: JobState.QUEUED })
      })
    },
  })
  const port = await new Promise<number>((resolve) => {
    server.bindAsync('127.0.0.1:0', grpc.ServerCredentials.createInsecure(), (_, bound) => {
      resolve(bound)
    })
  })
  const relay = await relays.startRelay(port)
  const replica: Replica = {
    leading: true,
    leader: '',
    answerDelayMs: 0,
    outcome: CallOutcome.OK,
    ...behaviour,
    ...relay,
    received,
    stop: () => {
      relay.stop()
      server.forceShutdown()
    },
  }
  started.push(replica)
  return replica
}

const startClient = (...seeds: readonly { readonly address: string }[]) => {
  const client = workflowClient.createLeaderClient({
    seeds: () => seeds.map(({ address }) => address),
  })
  started.push({ stop: client.close })
  return client
}

const timed = async <T>(call: Promise<T>): Promise<readonly [T, number]> => {
  const startMs = performance.now()
  return [await call, performance.now() - startMs]
}

afterEach(() => {
  for (const { stop } of started.splice(0).reverse()) stop()
})

describe('calls to the leader', () => {
  const slowLeaders = [
    { name: 'answers after 0.9 s', answerDelayMs: 900, connections: 1 },
    // The connection is replaced before the answer, but the call stays open.
    { name: 'answers its only call after 1.6 s', answerDelayMs: 1_600, connections: 2 },
  ]

  it.each(slowLeaders)(
    'guards against abandoning a leader that $name',
    async ({ answerDelayMs, connections }) => {
      const leader = await startReplica({ answerDelayMs })
      const follower = await startReplica({ leading: false, leader: leader.address })
      const client = startClient(follower, leader)
      const result = await client.cancel(QUERY, TIMEOUT_MS)
      expect(result.isOk() ? 'done' : result.error).toBe('done')
      expect(leader.connections()).toBeLessThanOrEqual(connections)
    },
  )

  it('guards against a slow call that resets the other calls on its connection', async () => {
    const leader = await startReplica({ answerDelayMs: 1_000 })
    const client = startClient(leader)
    const first = client.cancel(QUERY, TIMEOUT_MS)
    await timers.setTimeout(400)
    leader.answerDelayMs = 900
    const second = await client.inspect(QUERY, TIMEOUT_MS)
    expect([(await first).isOk(), second.isOk()]).toEqual([true, true])
    expect(leader.received).toEqual(['cancel', 'inspect'])
    expect(leader.connections()).toBe(1)
  })

  it('guards against waiting on a connection whose state the network lost', async () => {
    const leader = await startReplica()
    const client = startClient(leader)
    expect((await client.inspect(QUERY, TIMEOUT_MS)).isOk()).toBe(true)
    leader.dropTraffic('now')
    const [result, tookMs] = await timed(client.inspect(QUERY, TIMEOUT_MS))
    expect(result.isOk()).toBe(true)
    expect(tookMs).toBeLessThan(REPLACEMENT_BOUND_MS)
    expect(leader.connections()).toBe(2)
  })

  it('guards against keeping an unresponsive connection because each call times out first', async () => {
    const leader = await startReplica()
    const client = startClient(leader)
    await client.inspect(QUERY, TIMEOUT_MS)
    leader.dropTraffic('now')
    const outcomes: boolean[] = []
    for (let attempt = 0; attempt < 5; attempt += 1) {
      outcomes.push((await client.inspect(QUERY, 350)).isOk())
    }
    expect(outcomes[0]).toBe(false)
    expect(outcomes.at(-1)).toBe(true)
  })

  it('guards against missing a newly elected leader while the old one is unresponsive', async () => {
    const old = await startReplica()
    const next = await startReplica({ leading: false, leader: old.address })
    const client = startClient(next, old)
    await client.cancel(QUERY, TIMEOUT_MS)
    old.dropTraffic('all')
    setTimeout(() => {
      next.leading = true
    }, 1_000)
    const [result, tookMs] = await timed(client.cancel(QUERY, 1_400))
    expect(result.isOk()).toBe(true)
    expect(tookMs).toBeLessThan(1_400)
  })

  it('guards against ruling out a call that an unresponsive replica may have received', async () => {
    const leader = await startReplica()
    const client = startClient(leader)
    await client.cancel(QUERY, TIMEOUT_MS)
    leader.dropTraffic('all')
    const unanswered = await client.cancel(QUERY, 600)
    expect(unanswered.isErr() && unanswered.error.maybeDone).toBe(true)
  })

  it('guards against an uncertain outcome of a call that no replica can have received', async () => {
    const gone = await startReplica()
    gone.stop()
    const refused = await startClient(gone).cancel(QUERY, 600)
    expect(refused.isErr() && refused.error.maybeDone).toBe(false)
    const unresponsive = await startReplica()
    unresponsive.dropTraffic('all')
    const unanswered = await startClient(unresponsive).cancel(QUERY, 600)
    expect(unanswered.isErr() && unanswered.error.maybeDone).toBe(false)
  })

  const refusals = [
    { name: 'overloaded', outcome: CallOutcome.OVERLOADED },
    { name: 'without the queue', outcome: CallOutcome.NO_QUEUE },
    { name: 'without a configuration', outcome: CallOutcome.UNCONFIGURED },
  ]

  it.each(refusals)(
    'guards against a refusal by a leader $name of a job that an unresponsive replica may have received',
    async ({ outcome }) => {
      const old = await startReplica()
      const next = await startReplica({ leading: false, leader: old.address, outcome })
      const client = startClient(next, old)
      await client.cancel(QUERY, TIMEOUT_MS)
      old.dropTraffic('all')
      next.leading = true
      const result = await client.submit(SUBMISSION, TIMEOUT_MS)
      expect(next.received).toContain('submit')
      expect(result.isErr() && result.error.maybeDone).toBe(true)
    },
  )

  it.each(refusals)(
    'returns the refusal of a job that only a leader $name received',
    async ({ outcome }) => {
      const leader = await startReplica({ outcome })
      const follower = await startReplica({ leading: false, leader: leader.address })
      const result = await startClient(follower, leader).submit(SUBMISSION, TIMEOUT_MS)
      expect(result.isOk() && result.value.outcome).toBe(outcome)
    },
  )
})
