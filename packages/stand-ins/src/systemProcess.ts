/** Processes of a test system, with their settings files and relays. */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as undici from 'undici'
import * as managed from './managedProcess.js'
import type * as record from './record.js'
import * as relays from './relay.js'

/** State shared by the processes of one test system. */
export interface SystemContext {
  readonly cell: string
  readonly folder: string
  readonly repository: string
  readonly recorder: record.Recorder
  readonly settings: Readonly<Record<string, string>>
  readonly env: Readonly<Record<string, string>>
  readonly processes: managed.ManagedProcess[]
  readonly relays: relays.Relay[]
}

/** A daemon that can be restarted with the same settings. */
export interface DaemonProcess {
  readonly name: string
  readonly failureDomain: string
  readonly httpAddress: string
  readonly process: () => managed.ManagedProcess
  /** Waits until the process has exited, then starts it again. */
  readonly restart: () => Promise<void>
}

/** A control replica; other processes connect to it through its relays. */
export interface ControlProcess extends DaemonProcess {
  readonly grpcRelay: relays.Relay
  readonly httpRelay: relays.Relay
  readonly deleteData: () => void
}

/** An agent; entries connect to it through its relay. */
export interface AgentProcess extends DaemonProcess {
  readonly grpcRelay: relays.Relay
}

/** Flags of a stand-in by name; true for a flag without a value. */
export type StandInFlags = Readonly<Record<string, string | number | true>>

/** A stand-in process with its control server. */
export interface StandIn {
  readonly name: string
  readonly process: () => managed.ManagedProcess
  readonly request: (method: 'GET' | 'PUT', route: string, body?: unknown) => Promise<unknown>
  readonly restart: () => Promise<void>
}

const toToml = (fields: Readonly<Record<string, string | number | readonly string[]>>): string =>
  Object.entries(fields)
    .map(([name, value]) => `${name} = ${JSON.stringify(value)}`)
    .join('\n')

const DAEMON_BIN = 'packages/daemon/dist/bin.js'
const STAND_IN_BIN_FOLDER = 'packages/stand-ins/dist/bin'

const startDaemon = async (
  context: SystemContext,
  name: string,
  fields: Readonly<Record<string, string | number | readonly string[]>>,
  address: string,
): Promise<managed.ManagedProcess> => {
  const file = path.join(context.folder, `${name}.toml`)
  fs.writeFileSync(file, `${toToml(fields)}\n${context.settings[name] ?? ''}\n`)
  const process = await managed.startProcess({
    name,
    args: [path.join(context.repository, DAEMON_BIN), '--settings', file],
    logFolder: path.join(context.folder, 'logs'),
    recorder: context.recorder,
    address,
    env: context.env,
    parseReady: managed.parseDaemonReady,
  })
  context.processes.push(process)
  return process
}

const createRestartable = async (start: () => Promise<managed.ManagedProcess>) => {
  let current = await start()
  return {
    process: () => current,
    restart: async () => {
      await current.exited
      current = await start()
    },
  }
}

const openRelay = async (context: SystemContext, port: number): Promise<relays.Relay> => {
  const relay = await relays.createRelay({
    target: `127.0.0.1:${port}`,
    port: await managed.freePort(),
    clientOf: (connection) =>
      // Operator sessions and callers connect from the test process itself.
      managed.ownerOfConnection(connection, [
        process.pid,
        ...context.processes.filter((started) => started.alive()).map((started) => started.pid),
      ]),
  })
  context.relays.push(relay)
  return relay
}

/** Starts a control replica with its relays. */
export const startControl = async (
  context: SystemContext,
  name: string,
  failureDomain: string,
): Promise<ControlProcess> => {
  const [grpcPort, httpPort] = [await managed.freePort(), await managed.freePort()]
  const grpcRelay = await openRelay(context, grpcPort)
  const httpRelay = await openRelay(context, httpPort)
  const dataFolder = path.join(context.folder, `${name}-data`)
  const fields = {
    role: 'control',
    cell: context.cell,
    name,
    failureDomain,
    rack: `${failureDomain}-rack`,
    grpcAddress: `127.0.0.1:${grpcPort}`,
    httpAddress: `127.0.0.1:${httpPort}`,
    dataFolder,
  }
  const running = await createRestartable(() =>
    startDaemon(context, name, fields, httpRelay.address),
  )
  const deleteData = () => {
    fs.rmSync(dataFolder, { recursive: true })
  }
  const { httpAddress } = fields
  return { name, failureDomain, httpAddress, grpcRelay, httpRelay, deleteData, ...running }
}

/** Starts an entry. */
export const startEntry = async (
  context: SystemContext,
  name: string,
  failureDomain: string,
  controlAddresses: readonly string[],
): Promise<DaemonProcess> => {
  const httpAddress = `127.0.0.1:${await managed.freePort()}`
  const fields = {
    role: 'entry',
    cell: context.cell,
    name,
    failureDomain,
    httpAddress,
    controlAddresses,
    shutdownGraceMs: 1000,
  }
  const running = await createRestartable(() => startDaemon(context, name, fields, httpAddress))
  return { name, failureDomain, httpAddress, ...running }
}

/** Starts an agent with a relay between it and the entries. */
export const startAgent = async (
  context: SystemContext,
  name: string,
  failureDomain: string,
  controlAddresses: readonly string[],
): Promise<AgentProcess> => {
  const [grpcPort, httpPort] = [await managed.freePort(), await managed.freePort()]
  const grpcRelay = await openRelay(context, grpcPort)
  const httpAddress = `127.0.0.1:${httpPort}`
  const fields = {
    role: 'agent',
    cell: context.cell,
    name,
    failureDomain,
    worker: `worker-${name}`,
    grpcAddress: `127.0.0.1:${grpcPort}`,
    advertisedAddress: grpcRelay.address,
    httpAddress,
    controlAddresses,
  }
  const running = await createRestartable(() => startDaemon(context, name, fields, httpAddress))
  return { name, failureDomain, httpAddress, grpcRelay, ...running }
}

const toArguments = (flags: StandInFlags): readonly string[] =>
  Object.entries(flags).flatMap(([name, value]) =>
    value === true ? [`--${name}`] : [`--${name}`, String(value)],
  )

/** Starts the executable of a stand-in. */
export const startStandIn = async (
  context: SystemContext,
  executable: 'fakeWorker' | 'fakeEndpoint' | 'fakeCaller' | 'relay',
  name: string,
  flags: StandInFlags,
): Promise<StandIn> => {
  const file = path.join(context.folder, 'records', `${name}.jsonl`)
  const args = [
    path.join(context.repository, STAND_IN_BIN_FOLDER, `${executable}.js`),
    ...toArguments({ name, record: file, ...flags }),
  ]
  const running = await createRestartable(async () => {
    const process = await managed.startProcess({
      name,
      args,
      logFolder: path.join(context.folder, 'logs'),
      recorder: context.recorder,
      parseReady: managed.parseStandInReady,
    })
    context.processes.push(process)
    return process
  })
  const request = async (
    method: 'GET' | 'PUT',
    route: string,
    body?: unknown,
  ): Promise<unknown> => {
    const port = Number(running.process().ready.controlPort)
    const response = await undici.request(`http://127.0.0.1:${port}${route}`, {
      method,
      body: body === undefined ? undefined : JSON.stringify(body),
    })
    return response.body.json()
  }
  return { name, request, ...running }
}
