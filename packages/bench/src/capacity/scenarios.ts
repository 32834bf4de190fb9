/** Measurements of the capacity benchmark: workers, requests and configuration changes. */
import * as path from 'node:path'
import * as controlClient from '@ebonyweir/control-client'
import * as standIns from '@ebonyweir/stand-ins'
import * as processUse from './processUse.js'
import * as report from './report.js'

const REPOSITORY = path.resolve(import.meta.dirname, '../../../..')
const SETTLE_MS = 3_000
const MEASURE_MS = 8_000
/** The clients share one process; opening all connections at once would exceed the deadline of a sync. */
const START_SPACING_MS = 25
/** Workers of one process connect at the same time; the in-process relay does not handle more of them. */
const WORKERS_PER_PROCESS = 100
const CLIENTS_READY_TIMEOUT_MS = 90_000

const RULES = `service.desk = { runners = 0, slots = 32, connections = 64, queue = 64, timeoutMs = 3000, targetMs = 100, objective = 0.99, cpuMillis = 100, memoryMb = 64 } # bench
team.workshop = { cpuMillis = 900000000, memoryMb = 900000000, accelerators = 0, weight = 1 } # bench
`

type System = standIns.testSystem.TestSystem

const withSystem = async <T>(
  options: Partial<standIns.testSystem.TestSystemOptions>,
  body: (system: System) => Promise<T>,
): Promise<T> => {
  const system = await standIns.testSystem.createTestSystem({
    repository: REPOSITORY,
    rules: RULES,
    ...options,
  })
  try {
    return await body(system)
  } finally {
    await system.stop()
  }
}

/** Bytes through the HTTP relay of a replica in both directions. */
const relayedBytes = (replica: standIns.systemProcess.ControlProcess): number => {
  const { bytesToTarget, bytesToClient } = replica.httpRelay.status()
  return bytesToTarget + bytesToClient
}

const measureLeader = async (
  leader: standIns.systemProcess.ControlProcess,
  workers: number,
  prefix: string,
): Promise<report.Row> => {
  const before = processUse.readUse(leader.process().pid)
  const bytesBefore = relayedBytes(leader)
  await standIns.waiting.sleep(MEASURE_MS)
  const after = processUse.readUse(leader.process().pid)
  const seconds = (after.atMs - before.atMs) / 1000
  return {
    [`${prefix}CorePercent`]: processUse.corePercent(before, after),
    [`${prefix}ResidentMb`]: after.residentMb,
    [`${prefix}AnonymousMb`]: after.anonymousMb,
    [`${prefix}BytesPerWorkerPerSecond`]: (relayedBytes(leader) - bytesBefore) / workers / seconds,
  }
}

/** Measures the control leader with a number of workers, idle and while every worker runs tasks. */
export const measureWorkers = (workers: number): Promise<report.Row> =>
  withSystem({ control: 3 }, async (system) => {
    const failureDomain = system.failureDomains.join(',')
    for (let started = 0; started < workers; started += WORKERS_PER_PROCESS) {
      const count = Math.min(WORKERS_PER_PROCESS, workers - started)
      await system.startWorkers(`many-${started}`, {
        count,
        failureDomain,
        tickMs: 500,
        record: '',
      })
      await standIns.waiting.sleep(SETTLE_MS)
    }
    await standIns.waiting.waitFor(
      'all workers',
      async () => (await system.operator.status()).workers.length === workers || undefined,
      60_000,
    )
    const leader = await system.leader()
    await standIns.waiting.sleep(SETTLE_MS)
    const idle = await measureLeader(leader, workers, 'rest')
    for (let i = 0; i < 4; i++) {
      await system.operator.submit({ job: `many-${i}`, tasks: workers, command: 'run=4000' })
    }
    const busy = await measureLeader(leader, workers, 'busy')
    return { workers, ...idle, ...busy }
  })

/** Measures an agent and an entry at a request rate. */
export const measureRequests = (ratePerSecond: number): Promise<report.Row> =>
  withSystem({ control: 1, entries: 1, agents: 1 }, async (system) => {
    const [agent, entry] = [system.agents[0], system.entries[0]]
    if (agent === undefined || entry === undefined) throw new Error('no agent or entry started')
    await system.startEndpoint('endpoint', agent, { service: 'desk', slots: 32, record: '' })
    const recorder = standIns.record.createRecorder('', 'bench')
    const caller = system.createCaller('caller', { recorder })
    await standIns.waiting.waitFor('answers', async () => {
      const answer = await caller.send({ service: 'desk', method: 'GET' })
      return answer.status === 200 || undefined
    })
    await standIns.waiting.sleep(SETTLE_MS)
    const pids = [agent.process().pid, entry.process().pid] as const
    const before = pids.map(processUse.readUse)
    const bytesBefore =
      agent.grpcRelay.status().bytesToTarget + agent.grpcRelay.status().bytesToClient
    const load = { service: 'desk', method: 'GET' as const, ratePerSecond, durationMs: MEASURE_MS }
    const result = ratePerSecond === 0 ? undefined : await caller.load(load)
    if (result === undefined) await standIns.waiting.sleep(MEASURE_MS)
    const after = pids.map(processUse.readUse)
    const useOf = (name: string, i: 0 | 1): report.Row => {
      const [from, to] = [before[i], after[i]]
      if (from === undefined || to === undefined)
        throw new Error(`no CPU and memory reading of the ${name} process`)
      return {
        [`${name}CorePercent`]: processUse.corePercent(from, to),
        [`${name}ResidentMb`]: to.residentMb,
        [`${name}AnonymousMb`]: to.anonymousMb,
      }
    }
    const bytesAfter =
      agent.grpcRelay.status().bytesToTarget + agent.grpcRelay.status().bytesToClient
    return {
      requestsPerSecond: (result?.answered ?? 0) / (MEASURE_MS / 1000),
      ...useOf('agent', 0),
      ...useOf('entry', 1),
      agentBytesPerSecond: (bytesAfter - bytesBefore) / (MEASURE_MS / 1000),
    }
  })

interface SyncingClient {
  readonly seenAtMs: (revision: number) => number | undefined
  readonly stop: () => void
}

/** Starts a client that syncs once a second like an entry and records when it first saw each revision. */
const createSyncingClient = (
  addresses: readonly string[],
  name: string,
  startAfterMs: number,
): SyncingClient => {
  const control = controlClient.controlClient.createControlClient(addresses)
  const view = controlClient.configView.createConfigView()
  const seen = new Map<number, number>()
  let stopped = false
  const loop = async () => {
    await standIns.waiting.sleep(startAfterMs)
    while (!stopped) {
      const sentAtMs = performance.now()
      const request = {
        cell: 'test',
        entry: name,
        incarnation: 1,
        failureDomain: 'rennes',
        knownRevision: view.revision(),
        knownDirectoryEpoch: 0,
        knownDirectoryVersion: 0,
        buckets: [],
        httpAddress: '',
      }
      const reply = await control.syncEntry(request, 1500)
      if (reply.isOk() && reply.value.config !== undefined) view.apply(reply.value.config, sentAtMs)
      if (!seen.has(view.revision())) seen.set(view.revision(), performance.now())
      await standIns.waiting.sleep(1000 - ((performance.now() - sentAtMs) % 1000))
    }
    control.close()
  }
  void loop()
  return {
    // A newer revision includes the older one.
    seenAtMs: (revision) => [...seen].filter(([r]) => r >= revision).map(([, atMs]) => atMs)[0],
    stop: () => {
      stopped = true
    },
  }
}

/** Measures the time from sending a change until it is in force at a number of syncing clients. */
export const measureConfiguration = (clients: number): Promise<report.Row> =>
  withSystem({ control: 3 }, async (system) => {
    const addresses = system.control.map((replica) => replica.grpcRelay.address)
    const syncingClients = Array.from({ length: clients }, (_, i) =>
      createSyncingClient(addresses, `client-${i}`, i * START_SPACING_MS),
    )
    await standIns.waiting.waitFor(
      'all clients',
      () => syncingClients.every((client) => client.seenAtMs(1) !== undefined) || undefined,
      CLIENTS_READY_TIMEOUT_MS,
    )
    const tookMs: number[] = []
    for (let change = 0; change < 5; change++) {
      const sentMs = performance.now()
      const line = `team.change-${change} = { cpuMillis = 1000, memoryMb = 1024 } # bench\n`
      const revision = await system.operator.apply(`${RULES}${line}`)
      await standIns.waiting.waitFor(
        'the change everywhere',
        () =>
          syncingClients.every((client) => client.seenAtMs(revision) !== undefined) || undefined,
      )
      tookMs.push(...syncingClients.map((client) => (client.seenAtMs(revision) ?? NaN) - sentMs))
    }
    for (const client of syncingClients) client.stop()
    const sorted = tookMs.toSorted((a, b) => a - b)
    return {
      clients,
      p50Ms: report.quantile(sorted, 0.5),
      p99Ms: report.quantile(sorted, 0.99),
      maxMs: report.quantile(sorted, 1),
    }
  })
