/**
 * Stand-in for a runner, as the users' PROTOCOL.md describes it: runs tasks under leases and fencing tokens, lists its
 * runs and ends, sends heartbeats. A task's `Spec` is the JSON text of `{ workMs, gang, lasting }`; it stands for the
 * program that the real runner would start.
 */
import * as buffer from 'node:buffer'
import * as http from 'node:http'
import { performance } from 'node:perf_hooks'
import * as nodeTimers from 'node:timers'
import * as calls from './http.mjs'

const HOLD_MAX_MS = 6_000
const STOP_MS = 100
const STARTUP_MS = 300
const GANG_TIMEOUT_MS = 3_000
const HEARTBEAT_MS = 1_500
const HEARTBEAT_TIMEOUT_MS = 1_000
const MAX_LISTED_ENDS = 500

/** Members of gangs on all runners, by job, occurrence, step and run. */
export const createGangs = () => new Map()

const gangKeyOf = ({ task, run }) => `${task.split('.').slice(0, 3).join('.')}#${run}`

const readBody = async (request) => {
  const chunks = []
  for await (const chunk of request) chunks.push(chunk)
  const text = buffer.Buffer.concat(chunks).toString('utf8')
  return text === '' ? {} : JSON.parse(text)
}

/**
 * @param options `id`, `host`, `agentAddress` (where heartbeats go), `zone`, `service`, `labels`, `capacity`, `gangs`,
 *   `record` and `log`, the list of starts and ends of all runners
 */
export const createRunner = (options) => {
  const { id, host, zone, service, labels, capacity, gangs, record, log } = options
  const bornMs = Date.now()
  const clockOffsetMs = 100_000 - performance.now()
  const running = new Map()
  const highestRun = new Map()
  const finished = []
  const waits = new Set()
  let fence = 0
  let leaseUntilMs = 0
  let endCount = 0
  let sequence = 0
  let failAfterMs
  let closed = false

  const clockMs = () => Math.round(performance.now() + clockOffsetMs)

  const used = (kind) => [...running.values()].reduce((sum, { claim }) => sum + claim[kind], 0)

  const end = (entry, how) => {
    if (running.get(entry.task) !== entry) return
    for (const timer of entry.timers) nodeTimers.clearTimeout(timer)
    running.delete(entry.task)
    endCount += 1
    finished.push([endCount, entry.task, entry.run, how, ''])
    log.push({ kind: 'end', runner: id, task: entry.task, run: entry.run, how, atMs: Date.now() })
    record(id, `run ${entry.task}#${entry.run} ended ${how}, end ${endCount}`)
    for (const wake of [...waits]) wake()
    if (entry.spec.gang > 0) endGang(entry, how)
  }

  /** A done gang is done everywhere; any other end breaks the other members. */
  const endGang = (entry, how) => {
    const members = gangs.get(gangKeyOf(entry)) ?? []
    gangs.delete(gangKeyOf(entry))
    for (const member of members) {
      if (member.entry === entry) continue
      nodeTimers.setTimeout(() => {
        member.end(member.entry, how === 'done' ? 'done' : 'broken')
      }, 2)
    }
  }

  const startWork = (entry) => {
    entry.workingSinceMs = performance.now()
    if (failAfterMs !== undefined) {
      entry.timers.push(nodeTimers.setTimeout(() => end(entry, 'failed'), failAfterMs))
    } else if (!entry.spec.lasting) {
      entry.timers.push(nodeTimers.setTimeout(() => end(entry, 'done'), entry.spec.workMs))
    }
  }

  const joinGang = (entry) => {
    const key = gangKeyOf(entry)
    const members = gangs.get(key) ?? []
    members.push({ entry, end, startWork })
    gangs.set(key, members)
    if (members.length < entry.spec.gang) {
      entry.timers.push(
        nodeTimers.setTimeout(() => {
          if (entry.workingSinceMs === undefined) end(entry, 'alone')
        }, GANG_TIMEOUT_MS),
      )
      return
    }
    for (const member of members) member.startWork(member.entry)
  }

  const percentOf = ({ spec, workingSinceMs }) => {
    if (workingSinceMs === undefined) return 0
    const workedMs = performance.now() - workingSinceMs
    if (spec.lasting) return workedMs >= STARTUP_MS ? 100 : 0
    return Math.min(99, Math.floor((100 * workedMs) / spec.workMs))
  }

  const extendLease = (untilMs) => {
    if (typeof untilMs !== 'number') return
    leaseUntilMs = Math.max(leaseUntilMs, Math.min(untilMs, clockMs() + HOLD_MAX_MS))
  }

  const isStale = (body) => {
    const token = Number(body.FencingToken ?? 0)
    if (token < fence) return true
    fence = token
    return false
  }

  const start = (body) => {
    if (isStale(body)) return [409, { Reason: 'fence' }]
    const task = String(body.Task)
    const run = Number(body.Run)
    if (running.get(task)?.run === run) return [200, {}]
    extendLease(body.UntilMs)
    if (run <= (highestRun.get(task) ?? 0)) return [409, { Reason: 'old' }]
    if (Number(body.UntilMs) <= clockMs()) return [409, { Reason: 'late' }]
    const spec = JSON.parse(body.Spec)
    const claim = { cpu: spec.cpu ?? 0 }
    if (used('cpu') + claim.cpu > capacity.Cpu) return [409, { Reason: 'room' }]
    highestRun.set(task, run)
    const entry = { task, run, spec, claim, timers: [], workingSinceMs: undefined }
    running.set(task, entry)
    log.push({ kind: 'start', runner: id, task, run, atMs: Date.now() })
    record(id, `start ${task}#${run}`)
    if (spec.gang > 0) joinGang(entry)
    else startWork(entry)
    return [200, {}]
  }

  const stop = (body) => {
    if (isStale(body)) return [409, { Reason: 'fence' }]
    const task = String(body.Task)
    const run = Number(body.Run)
    highestRun.set(task, Math.max(run, highestRun.get(task) ?? 0))
    record(id, `stop ordered ${task}#${run}`)
    const entry = running.get(task)
    if (entry?.run === run) {
      log.push({ kind: 'stop', runner: id, task, run, atMs: Date.now(), percent: percentOf(entry) })
      nodeTimers.setTimeout(() => end(entry, 'stopped'), STOP_MS)
    }
    return [200, {}]
  }

  const hold = async (body) => {
    if (isStale(body)) return [409, { Reason: 'fence' }]
    extendLease(body.UntilMs)
    const lastSeen = Number(body.LastSeen ?? 0)
    while (finished.length > 0 && finished[0][0] <= lastSeen) finished.shift()
    const waitMs = Math.min(2_000, Number(body.WaitMs ?? 0))
    if (finished.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        const wake = () => {
          nodeTimers.clearTimeout(timer)
          waits.delete(wake)
          resolve()
        }
        const timer = nodeTimers.setTimeout(wake, waitMs)
        waits.add(wake)
      })
    }
    return [
      200,
      {
        Running: [...running.values()].map((entry) => [
          entry.task,
          entry.run,
          '',
          percentOf(entry),
          0,
        ]),
        Finished: finished.slice(0, MAX_LISTED_ENDS),
      },
    ]
  }

  const answer = async (path, headers, body) => {
    const expected = headers['x-expected-instance']
    if (expected !== undefined && expected !== id) return [421, {}]
    if (path === '/-/run-start') return start(body)
    if (path === '/-/run-stop') return stop(body)
    if (path === '/-/hold') return hold(body)
    if (path === '/-/pace') return isStale(body) ? [409, { Reason: 'fence' }] : [200, {}]
    return [404, {}]
  }

  const server = http.createServer((request, response) => {
    readBody(request)
      .then((body) => answer(request.url ?? '', request.headers, body))
      .then(([status, fields]) => {
        response.writeHead(status, { 'content-type': 'application/json' })
        response.end(JSON.stringify({ ...fields, ClockMs: clockMs(), born: bornMs }))
      })
      .catch(() => {
        response.destroy()
      })
  })
  server.keepAliveTimeout = 60_000

  const leaseTimer = nodeTimers.setInterval(() => {
    if (leaseUntilMs === 0 || clockMs() < leaseUntilMs) return
    for (const entry of [...running.values()]) end(entry, 'lapsed')
  }, 20)

  const ownAddress = () => `${host}:${server.address().port}`

  const heartbeat = async () => {
    sequence += 1
    await calls.call({
      address: options.agentAddress,
      method: 'POST',
      path: `/-/instances/${id}/heartbeat`,
      timeoutMs: HEARTBEAT_TIMEOUT_MS,
      body: {
        Service: service,
        Address: ownAddress(),
        Zone: zone,
        Version: 'v1',
        Slots: 8,
        State: 'ready',
        ColdRemainingMs: 0,
        Capacity: capacity,
        Labels: labels,
        ClockMs: clockMs(),
        Sequence: sequence,
        born: bornMs,
      },
    })
  }

  const sendHeartbeats = async () => {
    while (!closed) {
      await heartbeat()
      await calls.sleep(HEARTBEAT_MS)
    }
  }

  return {
    id,
    zone,
    labels,
    capacity,
    bornMs,
    runningCount: () => running.size,
    /** Ends a running task as failed through its own fault. */
    failTask: (task) => {
      const entry = running.get(task)
      if (entry !== undefined) end(entry, 'failed')
    },
    /** From now on all runs that begin to work here fail after this time; undefined ends that. */
    setFailAfterMs: (ms) => {
      failAfterMs = ms
    },
    listen: () =>
      new Promise((resolve) => {
        server.listen(0, host, () => resolve(ownAddress()))
      }),
    startHeartbeats: () => {
      void sendHeartbeats()
    },
    close: () => {
      closed = true
      nodeTimers.clearInterval(leaseTimer)
      for (const { timers } of running.values())
        for (const timer of timers) nodeTimers.clearTimeout(timer)
      server.close()
      server.closeAllConnections()
    },
  }
}
