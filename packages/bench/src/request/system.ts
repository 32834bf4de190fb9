/** System of the request benchmark: three control replicas, one entry, one agent and one endpoint. */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as standIns from '@ebonyweir/stand-ins'

export interface BenchSystem {
  readonly entryAddress: string
  readonly endpointAddress: string
  readonly entryPid: number
  readonly agentPid: number
  readonly stop: () => Promise<void>
}

const RULES =
  'service.bench = { runners = 0, slots = 64, connections = 64, queue = 256, timeoutMs = 5000, ' +
  'targetMs = 100, objective = 0.99, cpuMillis = 100, memoryMb = 64 } # benchmark\n'

/** Starts the system; `nodeFlags` are passed to the Node process of the agent. */
export const startBenchSystem = async (
  repository: string,
  nodeFlags: readonly string[],
): Promise<BenchSystem> => {
  const system = await standIns.testSystem.createTestSystem({
    repository,
    entries: 1,
    rules: RULES,
  })
  const [entry] = system.entries
  if (entry === undefined) throw new Error('test system started no entry')
  const logFolder = path.join(system.folder, 'logs')
  const grpcAddress = `127.0.0.1:${await standIns.managedProcess.freePort()}`
  const httpAddress = `127.0.0.1:${await standIns.managedProcess.freePort()}`
  const settings = path.join(system.folder, 'bench-agent.toml')
  const controlAddresses = system.control.map((replica) => replica.grpcRelay.address)
  fs.writeFileSync(
    settings,
    [
      'role = "agent"',
      'cell = "test"',
      'name = "bench-agent"',
      'failureDomain = "rennes"',
      'worker = "bench-worker"',
      `grpcAddress = "${grpcAddress}"`,
      `httpAddress = "${httpAddress}"`,
      `controlAddresses = ${JSON.stringify(controlAddresses)}`,
    ].join('\n'),
  )
  const daemon = path.join(repository, 'packages/daemon/dist/bin.js')
  const agent = await standIns.managedProcess.startProcess({
    name: 'bench-agent',
    args: [...nodeFlags, daemon, '--settings', settings],
    logFolder,
    recorder: system.recorder,
    parseReady: standIns.managedProcess.parseDaemonReady,
  })
  const endpoint = await standIns.managedProcess.startProcess({
    name: 'bench-endpoint',
    args: [path.join(repository, 'packages/bench/dist/request/endpoint.js'), httpAddress],
    logFolder,
    recorder: system.recorder,
    parseReady: standIns.managedProcess.parseStandInReady,
  })
  return {
    entryAddress: entry.httpAddress,
    endpointAddress: `127.0.0.1:${Number(endpoint.ready.port)}`,
    entryPid: entry.process().pid,
    agentPid: agent.pid,
    stop: async () => {
      await endpoint.kill()
      await agent.kill()
      await system.stop()
    },
  }
}
