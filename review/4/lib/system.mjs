/** Starts the project's programs with the commands of the deploy file, on loopback addresses, with stand-ins around them. */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import * as timers from 'node:timers'
import { performance } from 'node:perf_hooks'
import * as url from 'node:url'
import * as calls from './http.mjs'
import * as runners from './runner.mjs'

export const ROOT = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '../../..')

/** Bounds of the users' deployment `kerfourn-swap`. */
const BOUNDS = { HoldMaxMs: 6_000, GraceS: 6, status_s: 120 }

const ZONES = ['rennes', 'brest', 'vannes']
const RESTART_DELAY_MS = 300
const OPERATOR_TIMEOUT_MS = 1_000
const CLIENT_DEADLINE_MS = 3_000

export const HOST = 'nony24.example'
export const PREFIX = '/lohu930/'
export const SERVICE = 'huvo11a'

/** Renders the forms of placeholders that the project's template uses. */
const render = (template, fields) => {
  const valueOf = (name) => name.split('.').reduce((value, part) => value?.[part], fields)
  return template
    .replace(/\{\{#([\w.]+)\}\}\n([\s\S]*?)\{\{\/\1\}\}\n/gu, (_, name, inner) =>
      valueOf(name) === undefined || valueOf(name) === null ? '' : inner,
    )
    .replace(/\{\{([\w.]+)\|json\}\}/gu, (_, name) => JSON.stringify(valueOf(name)))
}

const freePort = (host) =>
  new Promise((resolve, reject) => {
    const server = net.createServer()
    server.once('error', reject)
    server.listen(0, host, () => {
      const { port } = server.address()
      server.close(() => resolve(port))
    })
  })

const commandOf = (role) => {
  const text = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8')
  const section = text.split(`[roles.${role}]`)[1] ?? ''
  return (/^run = "(.*)"$/mu.exec(section)?.[1] ?? '').split(' ')
}

/**
 * @param options `record`; `workers`: zone, kind and capacity of each runner; `maxAttempts` of the queue
 */
export const createSystem = async ({ record, workers, maxAttempts = 2 }) => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'ebonyweir-review-'))
  const block = `127.${20 + (process.pid % 200)}.${Math.floor(process.pid / 200) % 250}`
  const template = fs.readFileSync(path.join(ROOT, 'platform/settings.toml.tmpl'), 'utf8')
  const [controlPort, internalPort, callerPort, readinessPort] = [
    await freePort(`${block}.1`),
    await freePort(`${block}.1`),
    await freePort(`${block}.1`),
    await freePort(`${block}.1`),
  ]
  const seeds = [1, 2, 3].map((octet) => `${block}.${octet}:${controlPort}`)
  const machines = new Map()
  const runnerLog = []
  const gangs = runners.createGangs()
  let closing = false

  const define = (name, role, octet, zone, listen, extra = {}) => {
    machines.set(name, {
      name,
      role,
      process: undefined,
      lines: [],
      fields: {
        Role: role,
        NodeName: name,
        Zone: zone,
        Ip: `${block}.${octet}`,
        InternalPorts: [internalPort],
        Seeds: seeds,
        FaultTolerance: { Machines: 1 },
        Bounds: BOUNDS,
        Listen: listen,
        ...extra,
      },
    })
  }

  const start = (name, bootstrap) => {
    const machine = machines.get(name)
    const text = render(template, { ...machine.fields, Bootstrap: bootstrap })
    const file = path.join(folder, `${name}.toml`)
    // The metrics have a fixed port; the script uses free ones only.
    fs.writeFileSync(file, text.replace(/^metricsPort = .*$/mu, 'metricsPort = 0'))
    const [program, ...words] = commandOf(machine.role)
    const child = childProcess.spawn(program, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH ?? '',
        HOME: process.env.HOME ?? '',
        LANG: process.env.LANG ?? '',
        EBONYWEIR_BOOT: file,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    })
    let partial = ''
    child.stdout.on('data', (chunk) => {
      const lines = (partial + chunk.toString()).split('\n')
      partial = lines.pop() ?? ''
      machine.lines.push(...lines)
    })
    child.stderr.resume()
    child.once('exit', (code, signal) => {
      if (closing) return
      record('platform', `${name} ended (${signal ?? code}); it is started again`)
      timers.setTimeout(() => {
        if (!closing) start(name, false)
      }, RESTART_DELAY_MS)
    })
    machine.process = child
    record('platform', `${name} started, pid ${child.pid}`)
  }

  const signal = (name, signalName) => {
    record('platform', `${signalName} to ${name}`)
    machines.get(name).process.kill(signalName)
  }

  for (const [index, zone] of ZONES.entries()) {
    const octet = index + 1
    define(
      `control-${zone}`,
      'control',
      octet,
      zone,
      { Control: seeds[index] },
      { DataDir: path.join(folder, `control-${zone}`) },
    )
  }
  define('entry-rennes', 'entry', 21, 'rennes', {
    Frontend: `${block}.21:${callerPort}`,
    Readiness: `${block}.21:${readinessPort}`,
  })
  const callerAddress = `${block}.21:${callerPort}`

  const runnerList = []
  for (const [index, worker] of workers.entries()) {
    const host = `${block}.${index + 31}`
    const runner = runners.createRunner({
      id: `i-${index + 1}`,
      host,
      agentAddress: `${host}:${controlPort}`,
      zone: worker.zone,
      service: SERVICE,
      labels: [worker.kind, `r1-${worker.zone}`],
      capacity: { Cpu: 16_000, MemMb: 62_500, Gpu: 0, ...worker.capacity },
      gangs,
      record,
      log: runnerLog,
    })
    const app = await runner.listen()
    runnerList.push(runner)
    define(
      `agent-${index + 1}`,
      'agent',
      index + 31,
      worker.zone,
      { Control: `${host}:${controlPort}` },
      { app },
    )
  }

  const operatorCall = async (address, method, target, body) => {
    const answer = await calls.call({
      address,
      method,
      path: target,
      body,
      timeoutMs: OPERATOR_TIMEOUT_MS,
    })
    record('operator', `${method} ${target} at ${address}: ${answer.status || 'no answer'}`)
    return answer
  }

  /** Sends an order to the control machines in turn, beginning with `first`, until one acknowledges it. */
  const order = async (target, body, first = 'control-rennes', limitMs = 20_000) => {
    const endMs = performance.now() + limitMs
    const names = ZONES.map((zone) => `control-${zone}`)
    for (let at = names.indexOf(first); performance.now() < endMs; at += 1) {
      const address = machines.get(names[at % names.length]).fields.Listen.Control
      const { status } = await operatorCall(address, 'POST', target, body)
      if (status === 200) return true
      if (status >= 400 && status < 500) return false
      await calls.sleep(100)
    }
    return false
  }

  const clientCall = async (method, target, body) => {
    const answer = await calls.call({
      address: callerAddress,
      method,
      path: target,
      body,
      headers: { host: HOST, 'x-deadline-ms': String(CLIENT_DEADLINE_MS) },
      timeoutMs: CLIENT_DEADLINE_MS,
    })
    const text = answer.body === undefined ? '' : ` ${JSON.stringify(answer.body)}`
    record('client', `${method} ${target}: ${answer.status || 'no answer'}${text}`)
    return answer
  }

  return {
    runners: runnerList,
    runnerLog,
    machines,
    controlPort,
    block,
    signal,
    order,
    clientCall,
    start: async () => {
      for (const name of machines.keys()) start(name, true)
      for (const runner of runnerList) runner.startHeartbeats()
    },
    /** Sends the configuration until it is accepted. */
    configure: (version) =>
      order('/-/config/replace', {
        Version: version,
        Routes: [
          {
            Name: 'r-3hwrr6x',
            Host: HOST,
            PathPrefix: PREFIX,
            Kind: 'non_idempotent',
            TimeoutMs: 3_000,
            TargetLatencyMs: 250,
            Priority: 0,
            Service: SERVICE,
            MaxAttempts: maxAttempts,
            SlackFactor: 1.5,
          },
        ],
        Services: [
          {
            Name: SERVICE,
            HealthPath: '/healthz',
            MaxConnections: 64,
            Protocol: 'h1',
            Tls: false,
            ColdStartS: 0,
            ColdPerS: 0,
            EnforcesCapacity: true,
            Standby: false,
          },
        ],
        Limits: {
          MaxHeaderBytes: 16_384,
          MaxBodyBytes: 262_144,
          HeaderTimeoutMs: 3_000,
          IdleTimeoutMs: 15_000,
        },
      }),
    /** Hands a job in until it is accepted; the same request is sent again after a refusal or no answer. */
    submit: async (id, job, limitMs = 20_000) => {
      const endMs = performance.now() + limitMs
      while (performance.now() < endMs) {
        const { status } = await clientCall('POST', `${PREFIX}${id}`, job)
        if (status === 200) return true
        await calls.sleep(500)
      }
      return false
    },
    state: async (id) => {
      const { status, body } = await clientCall('GET', `${PREFIX}${id}`)
      return status === 200 ? body.State : status
    },
    /** Polls the state until it is one of `wanted`; undefined if it is none of them in time. */
    waitForState: async (id, wanted, limitMs) => {
      const endMs = performance.now() + limitMs
      while (performance.now() < endMs) {
        const { status, body } = await clientCall('GET', `${PREFIX}${id}`)
        if (status === 200 && wanted.includes(body.State)) return body.State
        await calls.sleep(500)
      }
      return undefined
    },
    /** Control machine that logged leadership for the highest term. */
    leader: () =>
      [...machines.values()]
        .flatMap(({ name, lines }) => lines.map((line) => ({ name, line })))
        .filter(({ line }) => line.includes('"message":"leading"'))
        .map(({ name, line }) => ({ name, term: Number(/"term":(\d+)/u.exec(line)?.[1] ?? 0) }))
        .sort((a, b) => b.term - a.term)[0]?.name,
    followers: function () {
      const leading = this.leader()
      return ZONES.map((zone) => `control-${zone}`).filter((name) => name !== leading)
    },
    close: async () => {
      closing = true
      for (const runner of runnerList) runner.close()
      await Promise.all(
        [...machines.values()].map(
          ({ process: child }) =>
            new Promise((resolve) => {
              if (child === undefined || child.exitCode !== null || child.signalCode !== null) {
                resolve()
                return
              }
              child.once('exit', resolve)
              child.kill('SIGKILL')
            }),
        ),
      )
      fs.rmSync(folder, { recursive: true, force: true })
    },
  }
}

export const jobId = (number) => number.toString(16).padStart(16, '0')
