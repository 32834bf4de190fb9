import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as grpc from '@grpc/grpc-js'
import * as protocol from '@ebonyweir/protocol'
import * as telemetry from '@ebonyweir/telemetry/logger'
import * as vitest from 'vitest'
import type * as context from '../src/context.js'
import * as grpcServer from '../src/grpcServer.js'
import type * as leaderTerm from '../src/leaderTerm.js'
import type * as workerSession from '../src/workerSession.js'
import * as workStatistics from '../src/workStatistics.js'

const { afterEach, describe, expect, it } = vitest

/** Time for a message to arrive on loopback on a busy machine, in milliseconds. */
const SETTLE_MS = 300

const started: { readonly stop: () => unknown }[] = []

const freePort = (): Promise<number> =>
  new Promise((resolve) => {
    const server = net.createServer()
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as net.AddressInfo
      server.close(() => {
        resolve(port)
      })
    })
  })

/** Sequence of a report whose handling throws. */
const FAILING_SEQUENCE = 666

/** Server of a replica whose role and lease the test sets; sessions answer each report with its sequence. */
const startServer = async () => {
  const grpcAddress = `127.0.0.1:${await freePort()}`
  const replica: { role: 'leader' | 'follower'; leaseValid: boolean } = {
    role: 'leader',
    leaseValid: true,
  }
  const handled: number[] = []
  const streams: workerSession.OrderStream[] = []
  const orders = (sequence: number): protocol.workflow.WorkerOrders => ({
    sequence,
    fence: 1,
    streamNumber: 1,
    leaseUntilMs: 0,
    acknowledgedEnd: 0,
    starts: [],
    stops: [],
    hint: undefined,
    leading: true,
    worker: undefined,
    paces: [],
    unknownService: false,
    withdrawals: [],
  })
  const sent = new Map<unknown, workerSession.OrderStream>()
  const term = {
    attach: (_: string, stream: workerSession.OrderStream) => {
      streams.at(-1)?.end()
      streams.push(stream)
      const session = {}
      sent.set(session, stream)
      return session
    },
    detach: () => undefined,
    handleReport: (session: unknown, { sequence }: protocol.workflow.WorkerReport) => {
      if (sequence === FAILING_SEQUENCE) throw new Error('thrown by the test')
      handled.push(sequence)
      sent.get(session)?.send(orders(sequence))
    },
  } as unknown as leaderTerm.LeaderTerm
  const ctx = {
    options: { cell: 'c', grpcAddress, logger: telemetry.createSilentLogger() },
    replica: { leadership: () => ({ ...replica, term: 1 }) },
    nowMs: () => performance.now(),
    work: workStatistics.createWorkStatistics(() => performance.now()),
    hint: () => ({ leader: '', members: [] }),
  } as unknown as context.ControlContext
  const server = grpcServer.createGrpcServer(ctx, {
    calls: {},
    membership: {},
    term: () => (replica.role === 'leader' && replica.leaseValid ? term : undefined),
  } as unknown as grpcServer.ServerParts)
  ;(await server.start()).unwrap()
  started.push({ stop: () => server.stop(0) })

  /** Stream of an agent: the messages it received, as sequences or "redirected". */
  const attach = () => {
    const credentials = grpc.credentials.createInsecure()
    const client = new protocol.workflow.WorkflowClient(grpcAddress, credentials)
    const call = client.attach()
    const received: (number | 'redirected')[] = []
    call.on('data', ({ leading, sequence }: protocol.workflow.WorkerOrders) => {
      received.push(leading ? sequence : 'redirected')
    })
    call.on('error', () => undefined)
    started.push({
      stop: () => {
        call.cancel()
        client.close()
      },
    })
    const report = (sequence: number): void => {
      call.write({
        cell: 'c',
        agent: 'a',
        sequence,
        worker: undefined,
        draining: false,
        drainRemainingMs: 0,
        clockMs: 0,
        sample: 0,
        running: [],
        ended: [],
        rejected: [],
        hasMoreEnds: false,
      })
    }
    return { received, report }
  }
  return { replica, handled, attach }
}

afterEach(async () => {
  for (const { stop } of started.splice(0).reverse()) await stop()
})

describe('stream of an agent at a replica', () => {
  const cases: readonly {
    readonly name: string
    readonly role: 'leader' | 'follower'
    /** When the lease is valid again, in milliseconds; undefined for never. */
    readonly leaseAfterMs?: number
    readonly received: readonly (number | 'redirected')[]
  }[] = [
    {
      name: 'redirecting agents from a leader whose lease is void for a moment',
      role: 'leader',
      leaseAfterMs: 400,
      received: [1],
    },
    {
      name: 'keeping agents at a partitioned leader',
      role: 'leader',
      received: ['redirected'],
    },
    {
      name: 'keeping agents at a replica that does not lead',
      role: 'follower',
      received: ['redirected'],
    },
  ]

  it.each(cases)('guards against $name', async ({ role, leaseAfterMs, received }) => {
    const { replica, attach } = await startServer()
    Object.assign(replica, { role, leaseValid: false })
    const agent = attach()
    agent.report(1)
    await timers.setTimeout(leaseAfterMs ?? 0)
    if (leaseAfterMs !== undefined) replica.leaseValid = true
    await vitest.vi.waitUntil(() => agent.received.length > 0, { timeout: 5_000 })
    expect(agent.received).toEqual(received)
  })

  it('guards against an error in one report that ends the process or other streams', async () => {
    const { handled, attach } = await startServer()
    const first = attach()
    first.report(1)
    await vitest.vi.waitUntil(() => first.received.length > 0)
    first.report(FAILING_SEQUENCE)
    await timers.setTimeout(SETTLE_MS)
    const second = attach()
    second.report(2)
    await vitest.vi.waitUntil(() => second.received.length > 0)
    expect(handled).toEqual([1, 2])
  })

  it('guards against a report on a stream that a newer one of the agent has replaced', async () => {
    const { handled, attach } = await startServer()
    const older = attach()
    older.report(1)
    await vitest.vi.waitUntil(() => older.received.length > 0)
    const newer = attach()
    newer.report(3)
    await vitest.vi.waitUntil(() => newer.received.length > 0)
    older.report(2)
    await timers.setTimeout(SETTLE_MS)
    newer.report(4)
    await vitest.vi.waitUntil(() => newer.received.length > 1)
    expect(handled).toEqual([1, 3, 4])
    expect(newer.received).toEqual([3, 4])
  })
})
