// Child processes of the quickstart: started, awaited and ended by their process id.
import * as perfHooks from 'node:perf_hooks'
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as net from 'node:net'
import * as path from 'node:path'
import * as readline from 'node:readline'
import * as timers from 'node:timers/promises'

const READY_DEADLINE_MS = 30_000
const STOP_DEADLINE_MS = 15_000
const POLL_INTERVAL_MS = 200

/** Finds free ports on loopback; all are open at the same time, so that none is given twice. */
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

/** Repeats `probe` until it gives a value; rejects after `deadlineMs`. */
export const waitFor = async (what, probe, deadlineMs = READY_DEADLINE_MS) => {
  const untilMs = perfHooks.performance.now() + deadlineMs
  for (;;) {
    const value = await probe()
    if (value !== undefined && value !== false) return value
    if (perfHooks.performance.now() > untilMs)
      throw new Error(`not reached in ${deadlineMs} ms: ${what}`)
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

/** Creates the set of processes of one run; their output goes to files in `logFolder`. */
export const createProcesses = (root, logFolder) => {
  const running = new Map()
  let stopping = false

  /** Starts a Node program and resolves with the fields of its ready line. */
  const start = (name, args) =>
    new Promise((resolve, reject) => {
      if (stopping) {
        reject(new Error(`${name} was not started, since everything is being stopped`))
        return
      }
      const log = fs.createWriteStream(path.join(logFolder, `${name}.log`))
      const child = childProcess.spawn(process.execPath, args, {
        cwd: root,
        stdio: ['ignore', 'pipe', 'pipe'],
      })
      const fail = (why) => {
        reject(new Error(`${name} ${why}; see ${path.join(logFolder, `${name}.log`)}`))
      }
      const timer = globalThis.setTimeout(() => fail('was not ready in time'), READY_DEADLINE_MS)
      running.set(name, child)
      child.once('error', (error) => fail(error.message))
      child.once('exit', (code, signal) => {
        globalThis.clearTimeout(timer)
        running.delete(name)
        fail(`ended with ${code ?? signal}`)
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

  const stopOne = async (child) => {
    const exited = new Promise((resolve) => child.once('exit', resolve))
    child.kill('SIGTERM')
    const timer = globalThis.setTimeout(() => child.kill('SIGKILL'), STOP_DEADLINE_MS)
    await exited
    globalThis.clearTimeout(timer)
  }

  return {
    start,
    /** Ids of the processes that run. */
    pids: () => [...running.values()].map((child) => child.pid),
    /** Ends every process by its id, gracefully at first; none can be started afterwards. */
    stopAll: () => {
      stopping = true
      return Promise.all([...running.values()].map(stopOne))
    },
  }
}
