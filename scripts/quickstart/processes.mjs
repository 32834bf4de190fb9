// Starts and stops the child processes of the quickstart.
import * as perfHooks from 'node:perf_hooks'
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as net from 'node:net'
import * as path from 'node:path'
import * as readline from 'node:readline'
import * as timers from 'node:timers/promises'

const READY_TIMEOUT_MS = 30_000
const STOP_TIMEOUT_MS = 15_000
const POLL_INTERVAL_MS = 200

/** Finds free loopback ports; keeps all of them open until the last is found, so that they differ. */
export const findFreePorts = async (count) => {
  const servers = await Promise.all(
    Array.from({ length: count }, () => {
      const server = net.createServer()
      return new Promise((resolve) => {
        server.listen(0, '127.0.0.1', () => resolve(server))
      })
    }),
  )
  const ports = servers.map((server) => server.address().port)
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))))
  return ports
}

/** Calls `probe` until it returns a value other than undefined or false; rejects after `timeoutMs`. */
export const waitFor = async (condition, probe, timeoutMs = READY_TIMEOUT_MS) => {
  const deadlineMs = perfHooks.performance.now() + timeoutMs
  for (;;) {
    const value = await probe()
    if (value !== undefined && value !== false) return value
    if (perfHooks.performance.now() > deadlineMs)
      throw new Error(`timed out after ${timeoutMs} ms waiting for: ${condition}`)
    await timers.setTimeout(POLL_INTERVAL_MS)
  }
}

const parseLine = (line) => {
  try {
    return JSON.parse(line)
  } catch {
    return {}
  }
}

const isReady = (line) => line.message === 'started' || line.ready === true

/** Creates the process manager of one run; process output is written to files in `logFolder`. */
export const createProcesses = (root, logFolder) => {
  const running = new Map()
  let stopping = false

  /** Starts a Node program and resolves with the fields of its ready line. */
  const start = (name, args) =>
    new Promise((resolve, reject) => {
      if (stopping) {
        reject(new Error(`${name} was not started: the system is being stopped`))
        return
      }
      const log = fs.createWriteStream(path.join(logFolder, `${name}.log`))
      const child = childProcess.spawn(process.execPath, args, {
        cwd: root,
        stdio: ['ignore', 'pipe', 'pipe'],
      })
      const fail = (reason) => {
        reject(new Error(`${name} ${reason}; see ${path.join(logFolder, `${name}.log`)}`))
      }
      const timer = globalThis.setTimeout(() => fail('was not ready in time'), READY_TIMEOUT_MS)
      running.set(name, child)
      child.once('error', (error) => fail(error.message))
      child.once('exit', (code, signal) => {
        globalThis.clearTimeout(timer)
        running.delete(name)
        fail(`exited with ${code ?? signal}`)
      })
      child.stderr.pipe(log, { end: false })
      readline.createInterface({ input: child.stdout }).on('line', (line) => {
        log.write(`${line}\n`)
        const fields = parseLine(line)
        if (!isReady(fields)) return
        globalThis.clearTimeout(timer)
        resolve(fields)
      })
    })

  const stopChild = async (child) => {
    const exited = new Promise((resolve) => child.once('exit', resolve))
    child.kill('SIGTERM')
    const timer = globalThis.setTimeout(() => child.kill('SIGKILL'), STOP_TIMEOUT_MS)
    await exited
    globalThis.clearTimeout(timer)
  }

  return {
    start,
    /** Returns the ids of the running processes. */
    pids: () => [...running.values()].map((child) => child.pid),
    /** Stops all processes, with SIGKILL after a timeout; none can be started afterwards. */
    stopAll: () => {
      stopping = true
      return Promise.all([...running.values()].map(stopChild))
    },
  }
}
