import * as timers from 'node:timers/promises'
import * as protocol from '@ebonyweir/protocol'
import * as telemetry from '@ebonyweir/telemetry/logger'
import * as vitest from 'vitest'
import * as leaderStreams from '../src/leaderStream.js'
import * as replicas from './replicas.js'

const { afterEach, describe, expect, it } = vitest

/** A worker counts as lost after 6.8 s without a list; about half of that remains for the list and its commit. */
const MAX_ATTACH_MS = 3_500

/** An election takes up to 2 s; an agent that attaches soon after it leaves most of the 6.8 s for a second fault. */
const MAX_SWITCH_MS = 2_500

/** Longest election timeout of a replica. */
const ELECTION_TIMEOUT_MS = 1_000

/** Stall of a leader's event loop, longer than the time after which a stream counts as unresponsive. */
const STALL_MS = 2_000

const POLL_MS = 10

const REPORT: Omit<protocol.workflow.WorkerReport, 'sequence'> = {
  cell: 'c',
  agent: 'a',
  worker: undefined,
  draining: false,
  drainRemainingMs: 0,
  clockMs: 0,
  sample: 0,
  running: [],
  ended: [],
  rejected: [],
  hasMoreEnds: false,
}

const REPORT_INTERVAL_MS = 200

const started: { readonly stop: () => unknown }[] = []

const startReplica = async (behaviour?: Partial<replicas.Behaviour>): Promise<replicas.Replica> => {
  const replica = await replicas.startReplica(behaviour)
  started.push(replica)
  return replica
}

/** Stream of an agent that reports at once on a new stream and then at intervals. */
const startAgent = (...seeds: readonly replicas.Replica[]) => {
  const fences: number[] = []
  let sequence = 0
  const report = (): void => {
    sequence += 1
    stream.send({ ...REPORT, sequence })
  }
  const stream = leaderStreams.createLeaderStream({
    seeds: () => seeds.map(({ address }) => address),
    logger: telemetry.createSilentLogger(),
    nowMs: () => performance.now(),
    onOrders: ({ fence }) => fences.push(fence),
    onReportDue: report,
  })
  const timer = setInterval(report, REPORT_INTERVAL_MS)
  started.push({
    stop: () => {
      clearInterval(timer)
      stream.stop()
    },
  })
  stream.start()
  /** Time until `condition` holds, in milliseconds; infinite if it does not hold within `boundMs`. */
  const timeUntil = async (condition: () => boolean, boundMs: number): Promise<number> => {
    const startMs = performance.now()
    while (performance.now() - startMs < boundMs) {
      if (condition()) return performance.now() - startMs
      await timers.setTimeout(POLL_MS)
    }
    return Number.POSITIVE_INFINITY
  }
  return { stream, fences, timeUntil, timeToAttach: () => timeUntil(stream.isAttached, 10_000) }
}

afterEach(async () => {
  for (const { stop } of started.splice(0).reverse()) await stop()
})

describe('stream to the leader', () => {
  const slowLeaders: readonly {
    readonly name: string
    readonly leader: Partial<replicas.Behaviour>
  }[] = [
    { name: 'answers the first report after 2 s', leader: { firstAnswerMs: 2_000 } },
    { name: 'is blocked for 0.35 s of each 0.4 s', leader: { blockedMs: 350 } },
    {
      name: 'is blocked for 0.7 s in each turn of its event loop',
      leader: { blockedMs: 700, freeMs: 0 },
    },
  ]

  it.each(slowLeaders)(
    'guards against repeated new connections to a leader that $name',
    async ({ leader }) => {
      const slowLeader = await startReplica(leader)
      const follower = await startReplica({ leading: false, leader: slowLeader.address })
      const { timeToAttach } = startAgent(slowLeader, follower)
      expect(await timeToAttach()).toBeLessThan(MAX_ATTACH_MS)
      expect(slowLeader.connections()).toBeLessThanOrEqual(2)
    },
  )

  it('guards against waiting for a replica that accepts connections but never answers', async () => {
    const leader = await startReplica({ fence: 2 })
    const unresponsive = await startReplica()
    unresponsive.dropTraffic('all')
    // The second seed is tried first.
    const { timeToAttach, fences } = startAgent(leader, unresponsive)
    expect(await timeToAttach()).toBeLessThan(MAX_SWITCH_MS)
    expect(unresponsive.connections()).toBeGreaterThanOrEqual(1)
    expect(fences).toContain(2)
  })

  it('guards against staying with an unresponsive leader after another one was elected', async () => {
    const old = await startReplica()
    const next = await startReplica({ leading: false, leader: old.address })
    const { timeToAttach, timeUntil, fences } = startAgent(next, old)
    await timeToAttach()
    old.dropTraffic('all')
    await timers.setTimeout(ELECTION_TIMEOUT_MS)
    expect(fences).not.toContain(2)
    next.change({ leading: true, fence: 2 })
    expect(await timeUntil(() => fences.includes(2), 10_000)).toBeLessThan(MAX_SWITCH_MS)
  })

  it('guards against staying on a broken connection while new ones work', async () => {
    const leader = await startReplica()
    const follower = await startReplica({ leading: false, leader: leader.address })
    const { timeToAttach, timeUntil, fences } = startAgent(follower, leader)
    await timeToAttach()
    leader.dropTraffic('now')
    await timers.setTimeout(2 * REPORT_INTERVAL_MS)
    const ordersBefore = fences.length
    expect(await timeUntil(() => fences.length > ordersBefore, 10_000)).toBeLessThan(MAX_ATTACH_MS)
  })

  it('guards against a new connection for each poll while the group elects a leader', async () => {
    const next = await startReplica({ leading: false })
    const other = await startReplica({ leading: false })
    const { timeToAttach } = startAgent(next, other)
    await timers.setTimeout(2 * ELECTION_TIMEOUT_MS)
    next.change({ leading: true })
    expect(await timeToAttach()).toBeLessThan(MAX_SWITCH_MS)
    expect(next.connections()).toBe(1)
    expect(other.connections()).toBe(1)
  })

  it('guards against leaving a leader that answers again after a stall of its event loop', async () => {
    const leader = await startReplica()
    const follower = await startReplica({ leading: false, leader: leader.address })
    const { stream, timeToAttach, timeUntil, fences } = startAgent(follower, leader)
    await timeToAttach()
    leader.change({ blockedMs: STALL_MS, freeMs: 1_000 })
    await timers.setTimeout(STALL_MS / 2)
    const ordersBefore = fences.length
    leader.change({ blockedMs: 0 })
    expect(await timeUntil(() => fences.length > ordersBefore, 10_000)).toBeLessThan(MAX_ATTACH_MS)
    await timers.setTimeout(STALL_MS)
    expect(stream.isAttached()).toBe(true)
    expect(leader.connections()).toBeLessThanOrEqual(2)
  })
})
