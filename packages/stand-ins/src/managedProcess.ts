/** Child processes of a test, and the ports and connections that they use. */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as net from 'node:net'
import * as path from 'node:path'
import * as readline from 'node:readline'
import type * as record from './record.js'

/** Options of `startProcess`. */
export interface ProcessOptions {
  readonly name: string
  /** Script and arguments for Node.js. */
  readonly args: readonly string[]
  /** Folder for the output file. */
  readonly logFolder: string
  readonly recorder: record.Recorder
  /** Address for callers. @default '' */
  readonly address?: string
  readonly env?: Readonly<Record<string, string>>
  /** Returns the fields of the line that reports readiness, or undefined for other lines. */
  readonly parseReady: (line: unknown) => Readonly<Record<string, unknown>> | undefined
}

/** A running child process. */
export interface ManagedProcess {
  readonly name: string
  readonly pid: number
  readonly ready: Readonly<Record<string, unknown>>
  readonly alive: () => boolean
  readonly signal: (signal: 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT') => void
  /** Resolves to the exit code, or -1 if a signal ended the process. */
  readonly exited: Promise<number>
  readonly kill: () => Promise<void>
}

const READY_DEADLINE_MS = 30_000

/** Detects the output line by which a stand-in reports that it is ready. */
export const parseStandInReady = (line: unknown): Readonly<Record<string, unknown>> | undefined => {
  const fields = line as Readonly<Record<string, unknown>>
  return fields.ready === true ? fields : undefined
}

/** Detects the log line by which a daemon reports that it has started. */
export const parseDaemonReady = (line: unknown): Readonly<Record<string, unknown>> | undefined => {
  const fields = line as Readonly<Record<string, unknown>>
  return fields.message === 'started' ? fields : undefined
}

const parseLine = (line: string): unknown => {
  try {
    return JSON.parse(line)
  } catch {
    return {}
  }
}

const waitUntilReady = (
  child: childProcess.ChildProcess,
  options: ProcessOptions,
  logFile: string,
): Promise<Readonly<Record<string, unknown>>> =>
  new Promise((resolve, reject) => {
    const fail = (reason: string) => {
      const logTail = fs.readFileSync(logFile, 'utf8').slice(-2000)
      reject(new Error(`${options.name} ${reason}\n${logTail}`))
    }
    const timer = setTimeout(() => {
      fail('did not become ready before the deadline')
    }, READY_DEADLINE_MS)
    child.once('exit', (code, signal) => {
      clearTimeout(timer)
      fail(`exited with ${String(code ?? signal)} before it was ready`)
    })
    if (child.stdout === null) return
    const lines = readline.createInterface({ input: child.stdout })
    lines.on('line', (line) => {
      fs.appendFileSync(logFile, `${line}\n`)
      const fields = options.parseReady(parseLine(line) ?? {})
      if (fields === undefined) return
      clearTimeout(timer)
      resolve(fields)
    })
  })

/** Starts a Node.js process and waits until it is ready. */
export const startProcess = async (options: ProcessOptions): Promise<ManagedProcess> => {
  const { name, recorder } = options
  fs.mkdirSync(options.logFolder, { recursive: true })
  const logFile = path.join(options.logFolder, `${name}.log`)
  const errors = fs.openSync(logFile, 'a')
  const child = childProcess.spawn(process.execPath, [...options.args], {
    stdio: ['ignore', 'pipe', errors],
    env: { ...process.env, ...options.env },
  })
  fs.closeSync(errors)
  const pid = child.pid ?? 0
  recorder.record({ kind: 'processStarted', name, processId: pid, address: options.address ?? '' })
  const exited = new Promise<number>((resolve) => {
    child.once('exit', (code) => {
      recorder.record({ kind: 'processExited', name, processId: pid, exitCode: code ?? -1 })
      resolve(code ?? -1)
    })
  })
  const alive = () => child.exitCode === null && child.signalCode === null
  const signal = (requested: 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT') => {
    if (!alive()) return
    // SIGCONT is recorded before it is sent: a resumed process may work before a later record is written.
    if (requested === 'SIGCONT')
      recorder.record({ kind: 'processSignalled', name, processId: pid, signal: requested })
    child.kill(requested)
    if (requested !== 'SIGCONT')
      recorder.record({ kind: 'processSignalled', name, processId: pid, signal: requested })
  }
  const kill = async () => {
    signal('SIGKILL')
    await exited
  }
  try {
    const ready = await waitUntilReady(child, options, logFile)
    return { name, pid, ready, alive, signal, exited, kill }
  } catch (error) {
    child.kill('SIGKILL')
    throw error
  }
}

const FIRST_PORT = 20_000
const PORTS_PER_TEST_PROCESS = 1_000
/** Maximum number of concurrent test processes; keeps all ports below the ephemeral range of the system. */
const MAX_TEST_PROCESSES = 12
const allocatedPorts = new Set<number>()

/** Each concurrent test process has its own port range, so that none takes a port of another one. */
const firstPort = (): number => {
  const slot = Number(process.env.VITEST_POOL_ID ?? 0) % MAX_TEST_PROCESSES
  return FIRST_PORT + slot * PORTS_PER_TEST_PROCESS
}

const isFree = (port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const server = net.createServer()
    server.once('error', () => {
      resolve(false)
    })
    server.listen(port, '127.0.0.1', () => {
      server.close(() => {
        resolve(true)
      })
    })
  })

/**
 * Finds a free loopback port below the ephemeral range, so that no outgoing connection takes it while
 * its process restarts.
 */
export const freePort = async (): Promise<number> => {
  for (;;) {
    const port = firstPort() + Math.floor(Math.random() * PORTS_PER_TEST_PROCESS)
    if (allocatedPorts.has(port) || !(await isFree(port))) continue
    allocatedPorts.add(port)
    return port
  }
}

/** Both ends of a loopback connection. */
export interface Connection {
  /** Address of the client; absent if only the ports are known. */
  readonly clientHost?: string
  readonly clientPort: number
  readonly serverPort: number
}

/** Loopback address with a port in the format of `/proc/net/tcp`. */
const procNetAddress = (port: number): string =>
  `0100007F:${port.toString(16).toUpperCase().padStart(4, '0')}`

/**
 * Inode of the client's socket in a connection table (`/proc/net/tcp`); undefined if the connection is not
 * in it. Connections to different servers may share a client port, so both ends have to match.
 */
export const clientInode = (table: string, connection: Connection): string | undefined => {
  const local = procNetAddress(connection.clientPort)
  const remote = procNetAddress(connection.serverPort)
  for (const line of table.split('\n')) {
    const fields = line.trim().split(/\s+/)
    if (fields[1] === local && fields[2] === remote) return fields[9]
  }
  return undefined
}

/** Finds the process among `pids` that opened a loopback connection; undefined if none did. */
export const ownerOfConnection = (
  connection: Connection,
  pids: readonly number[],
): number | undefined => {
  const inode = clientInode(fs.readFileSync('/proc/net/tcp', 'utf8'), connection)
  if (inode === undefined) return undefined
  return pids.find((pid) => holdsSocket(pid, inode))
}

const holdsSocket = (pid: number, inode: string): boolean => {
  const folder = `/proc/${pid}/fd`
  // A descriptor may be closed between the listing and the read.
  const targetOf = (name: string): string => {
    try {
      return fs.readlinkSync(`${folder}/${name}`)
    } catch {
      return ''
    }
  }
  try {
    return fs.readdirSync(folder).some((name) => targetOf(name) === `socket:[${inode}]`)
  } catch {
    return false
  }
}
