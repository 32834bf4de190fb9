/** A complete system of real processes on loopback for one test: daemons, stand-ins, relays, records. */
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
  /** Root of the repository, with built packages. */
  readonly repository: string
  /** Number of control replicas, assigned to the failure domains round-robin. @default 3 */
  readonly control?: number
  /** Number of entries, assigned likewise. @default 0 */
  readonly entries?: number
  /** Number of agents, assigned likewise. @default 0 */
  readonly agents?: number
  /** @default ['rennes', 'brest', 'vannes'] */
  readonly failureDomains?: readonly string[]
  /** Rules to apply once the group has formed. @default none */
  readonly rules?: string
  /** Additional settings as TOML lines, by process name. */
  readonly settings?: Readonly<Record<string, string>>
  /** Additional environment variables of the daemons. */
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
  /** Waits until the group reports a leader, and returns its replica. */
  readonly leader: () => Promise<systemProcess.ControlProcess>
  /** Starts a stand-in that hosts fake workers; the package README lists the flags. */
  readonly startWorkers: (
    name: string,
    flags: systemProcess.StandInFlags,
  ) => Promise<systemProcess.StandIn>
  /** Starts a fake endpoint that announces itself to an agent. */
  readonly startEndpoint: (
    name: string,
    agent: systemProcess.AgentProcess,
    flags: systemProcess.StandInFlags,
  ) => Promise<systemProcess.StandIn>
  readonly createCaller: (
    name: string,
    options?: Partial<fakeCaller.FakeCallerOptions>,
  ) => fakeCaller.FakeCaller
  /** Drops or holds all traffic from and to a control replica without closing connections. */
  readonly isolate: (replica: systemProcess.ControlProcess, action: 'drop' | 'hold') => void
  /** Sets all relays to forward again. */
  readonly reconnect: () => void
  /** All records so far, sorted by time. */
  readonly records: () => readonly record.ObserverRecord[]
  readonly audit: (options?: audits.AuditOptions) => audits.AuditResult
  /** Kills all processes and removes the folder. */
  readonly stop: () => Promise<void>
}

const CELL = 'test'
const DEFAULT_FAILURE_DOMAINS = ['rennes', 'brest', 'vannes'] as const

/** Starts a test system and waits until its group has a leader and its rules are accepted. */
export const createTestSystem = async (options: TestSystemOptions): Promise<TestSystem> => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'ebonyweir-system-'))
  const failureDomains = options.failureDomains ?? DEFAULT_FAILURE_DOMAINS
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
    for (const caller of callers) await caller.close()
    for (const process of context.processes) process.signal('SIGKILL')
    await Promise.all(context.processes.map((process) => process.exited))
    for (const relay of context.relays) relay.close()
    recorder.close()
    if (process.env.EBONYWEIR_KEEP === undefined) fs.rmSync(folder, { recursive: true })
  }
  const callers: fakeCaller.FakeCaller[] = []
  const failureDomainOf = (index: number): string =>
    failureDomains[index % failureDomains.length] ?? ''
  const indices = (count: number): readonly number[] => Array.from({ length: count }, (_, i) => i)

  try {
    const control = await Promise.all(
      indices(options.control ?? 3).map((i) =>
        systemProcess.startControl(context, `control-${i}`, failureDomainOf(i)),
      ),
    )
    const addresses = control.map((replica) => replica.httpRelay.address)
    const session = operator.createOperatorSession({ addresses, recorder })
    await session.bootstrap(CELL, control)
    const controlAddresses = control.map((replica) => replica.grpcRelay.address)
    const [entries, agents] = await Promise.all([
      Promise.all(
        indices(options.entries ?? 0).map((i) =>
          systemProcess.startEntry(context, `entry-${i}`, failureDomainOf(i), controlAddresses),
        ),
      ),
      Promise.all(
        indices(options.agents ?? 0).map((i) =>
          systemProcess.startAgent(context, `agent-${i}`, failureDomainOf(i), controlAddresses),
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

    const isolate = (replica: systemProcess.ControlProcess, action: 'drop' | 'hold') => {
      replica.httpRelay.setMode({ action })
      replica.grpcRelay.setMode({ action })
      for (const other of control.filter((c) => c !== replica)) {
        other.grpcRelay.setMode({ action, clients: [replica.process().pid] })
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
      createCaller: (name, overrides = {}) => {
        const file = path.join(folder, 'records', `${name}.jsonl`)
        const created = fakeCaller.createFakeCaller({
          caller: name,
          entries: entries.map((entry) => entry.httpAddress),
          recorder: record.createRecorder(file, name),
          ...overrides,
        })
        callers.push(created)
        return created
      },
      isolate,
      reconnect: () => {
        for (const relay of context.relays) relay.setMode({ action: 'pass' })
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

/** Detects the ready line of a daemon, for tests that start one themselves. */
export const daemonReady = managed.parseDaemonReady

/** Creates a relay, for tests that add their own. */
export const createRelay = relays.createRelay
