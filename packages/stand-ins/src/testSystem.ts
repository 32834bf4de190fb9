/** A whole system of real processes on loopback for one test: daemons, stand-ins, relays, records. */
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as audits from './audit.js'
import * as fakeCaller from './fakeCaller.js'
import * as managed from './managedProcess.js'
import * as operator from './operatorSession.js'
import * as record from './record.js'
import * as relays from './relay.js'
import * as systemProcess from './systemProcess.js'
import * as waiting from './waiting.js'

/** Options of a test system. */
export interface TestSystemOptions {
  /** Folder of the repository, with built packages. */
  readonly repository: string
  /** Control replicas; one per failure domain in turn. @default 3 */
  readonly control?: number
  /** @default 0 */
  readonly entries?: number
  /** Agents; one per failure domain in turn. @default 0 */
  readonly agents?: number
  /** @default ['rennes', 'brest', 'vannes'] */
  readonly failureDomains?: readonly string[]
  /** Rules applied once the group has formed. @default none */
  readonly rules?: string
  /** Settings of single processes beyond the common ones, as TOML lines by process name. */
  readonly settings?: Readonly<Record<string, string>>
  /** Environment of the daemons. */
  readonly env?: Readonly<Record<string, string>>
}

/** A running test system. */
export interface TestSystem {
  readonly folder: string
  readonly failureDomains: readonly string[]
  readonly recorder: record.Recorder
  readonly control: readonly systemProcess.ControlProcess[]
  readonly entries: readonly systemProcess.DaemonProcess[]
  readonly agents: readonly systemProcess.AgentProcess[]
  readonly operator: operator.OperatorSession
  /** The replica that the members name as leader. */
  readonly leader: () => Promise<systemProcess.ControlProcess>
  /** Starts a stand-in that hosts workers; flags as in the package's README. */
  readonly startWorkers: (
    name: string,
    flags: systemProcess.StandInFlags,
  ) => Promise<systemProcess.StandIn>
  /** Starts an endpoint beside an agent. */
  readonly startEndpoint: (
    name: string,
    agent: systemProcess.AgentProcess,
    flags: systemProcess.StandInFlags,
  ) => Promise<systemProcess.StandIn>
  readonly createCaller: (
    name: string,
    options?: Partial<fakeCaller.FakeCallerOptions>,
  ) => fakeCaller.FakeCaller
  /** Cuts a control replica off from everything, silently. */
  readonly cutOff: (replica: systemProcess.ControlProcess, action: 'drop' | 'hold') => void
  /** Ends every cut. */
  readonly reconnect: () => void
  /** All records so far, in order. */
  readonly records: () => readonly record.ObserverRecord[]
  readonly audit: (options?: audits.AuditOptions) => audits.AuditResult
  /** Ends every process by its id and removes the folder. */
  readonly stop: () => Promise<void>
}

const CELL = 'test'
const DEFAULT_DOMAINS = ['rennes', 'brest', 'vannes'] as const

/** Starts a test system and waits until its group has a leader and its rules are accepted. */
export const createTestSystem = async (options: TestSystemOptions): Promise<TestSystem> => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'ebonyweir-system-'))
  const failureDomains = options.failureDomains ?? DEFAULT_DOMAINS
  const recorder = record.createRecorder(path.join(folder, 'records', 'harness.jsonl'), 'harness')
  const context: systemProcess.SystemContext = {
    cell: CELL,
    folder,
    repository: options.repository,
    recorder,
    settings: options.settings ?? {},
    env: options.env ?? {},
    processes: [],
    relays: [],
  }
  const stop = async () => {
    for (const callerOf of callers) await callerOf.close()
    for (const process of context.processes) process.signal('SIGKILL')
    await Promise.all(context.processes.map((process) => process.exited))
    for (const relay of context.relays) relay.close()
    recorder.close()
    if (process.env.EBONYWEIR_KEEP === undefined) fs.rmSync(folder, { recursive: true })
  }
  const callers: fakeCaller.FakeCaller[] = []
  const domainOf = (index: number): string => failureDomains[index % failureDomains.length] ?? ''
  const range = (count: number): readonly number[] => Array.from({ length: count }, (_, i) => i)

  try {
    const control = await Promise.all(
      range(options.control ?? 3).map((i) =>
        systemProcess.startControl(context, `control-${i}`, domainOf(i)),
      ),
    )
    const addresses = control.map((replica) => replica.httpRelay.address)
    const session = operator.createOperatorSession({ addresses, recorder })
    await session.bootstrap(CELL, control)
    const controlAddresses = control.map((replica) => replica.grpcRelay.address)
    const [entries, agents] = await Promise.all([
      Promise.all(
        range(options.entries ?? 0).map((i) =>
          systemProcess.startEntry(context, `entry-${i}`, domainOf(i), controlAddresses),
        ),
      ),
      Promise.all(
        range(options.agents ?? 0).map((i) =>
          systemProcess.startAgent(context, `agent-${i}`, domainOf(i), controlAddresses),
        ),
      ),
    ])
    if (options.rules !== undefined) await session.apply(options.rules)

    const leader = () =>
      waiting.waitFor('a leader', async () => {
        const members = await session.members()
        const found = members.members.find((member) => member.leader)
        return control.find((replica) => replica.httpRelay.address === found?.httpAddress)
      })

    const records = () => record.readRecords(path.join(folder, 'records'))

    const cutOff = (replica: systemProcess.ControlProcess, action: 'drop' | 'hold') => {
      replica.httpRelay.change({ action })
      replica.grpcRelay.change({ action })
      for (const other of control.filter((c) => c !== replica)) {
        other.grpcRelay.change({ action, clients: [replica.process().pid] })
      }
    }

    return {
      folder,
      failureDomains,
      recorder,
      control,
      entries,
      agents,
      operator: session,
      leader,
      startWorkers: (name, flags) =>
        systemProcess.startStandIn(context, 'fakeWorker', name, {
          cell: CELL,
          control: addresses.join(','),
          ...flags,
        }),
      startEndpoint: (name, agent, flags) =>
        systemProcess.startStandIn(context, 'fakeEndpoint', name, {
          failureDomain: agent.failureDomain,
          agentAddress: agent.httpAddress,
          ...flags,
        }),
      createCaller: (name, more = {}) => {
        const file = path.join(folder, 'records', `${name}.jsonl`)
        const created = fakeCaller.createFakeCaller({
          caller: name,
          entries: entries.map((entry) => entry.httpAddress),
          recorder: record.createRecorder(file, name),
          ...more,
        })
        callers.push(created)
        return created
      },
      cutOff,
      reconnect: () => {
        for (const relay of context.relays) relay.change({ action: 'pass' })
      },
      records,
      audit: (auditOptions) => audits.audit(records(), auditOptions),
      stop,
    }
  } catch (error) {
    await stop()
    throw error
  }
}

/** Ready line of a daemon, for tests that start one by themselves. */
export const daemonReady = managed.daemonReady

/** Relays of a system, for tests that add their own. */
export const createRelay = relays.createRelay
