/** Starts the project's programs with the commands of the deploy file, on loopback addresses of a block of their own. */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import { performance } from 'node:perf_hooks'
import * as timers from 'node:timers/promises'
import * as url from 'node:url'
import * as calls from './http.mjs'
import * as proxies from './proxy.mjs'
import * as runners from './runner.mjs'

const ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../../..')
const DEPLOY_FILE = path.join(ROOT, 'deploy/system.toml')

const ZONES = ['rennes', 'brest', 'vannes']
const HEARTBEAT_MS = 1_500
const MAX_LEASE_MS = 6_000

export const SERVICE = 'desk'

/** Command of a role in the deploy file. */
const commandOf = (role) => {
  const text = fs.readFileSync(DEPLOY_FILE, 'utf8')
  const section = text.split(`[roles.${role}]`)[1] ?? ''
  const run = /^run = "(?<run>[^"]+)"$/mu.exec(section)?.groups?.run
  if (run === undefined) throw new Error(`the deploy file has no command for ${role}`)
  return run.split(' ')
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

export const wait = (ms) => timers.setTimeout(ms)

/** Waits until `check` holds; resolves to whether it did within the time. */
export const waitUntil = async (check, timeoutMs, intervalMs = 20) => {
  const endMs = performance.now() + timeoutMs
  for (;;) {
    if (await check()) return true
    if (performance.now() > endMs) return false
    await wait(intervalMs)
  }
}

/** @param late calls of the first agent to its runner that come late; undefined for none */
export const createSystem = async ({
  record,
  agentCount,
  guards = true,
  onStart,
  onNoted,
  late,
}) => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'ebonyweir-review-'))
  const block = `127.${20 + (process.pid % 200)}.${Math.floor(Math.random() * 250)}`
  const ipOf = (last) => `${block}.${last}`
  const ports = []
  while (ports.length < 6) {
    const port = await freePort(ipOf(1))
    if (!ports.includes(port)) ports.push(port)
  }
  const [controlPort, internalPort, callerPort, workerPort, metricsPort, proxyPort] = ports
  const instances = new Map()
  const controls = [1, 2, 3].map((last) => `${ipOf(last)}:${controlPort}`)

  const define = (name, role, last, zone, extra) => {
    instances.set(name, { name, role, last, zone, extra, lines: [], child: undefined })
  }
  const names = { controls: [], agents: [], entry: 'entry' }
  for (const [index, zone] of ZONES.entries()) {
    const name = `control-${index + 1}`
    names.controls.push(name)
    define(name, 'control', index + 1, zone, [
      `dataFolder = "${path.join(folder, name)}"`,
      `controlAddress = "${controls[index]}"`,
    ])
  }
  const workers = []
  for (let index = 0; index < agentCount; index += 1) {
    const name = `agent-${index + 1}`
    const last = 11 + index
    const zone = ZONES[index % ZONES.length]
    names.agents.push(name)
    define(name, 'agent', last, zone, [
      `controlAddress = "${ipOf(last)}:${controlPort}"`,
      `workerAddress = "${ipOf(last)}:${late !== undefined && index === 0 ? proxyPort : workerPort}"`,
    ])
    workers.push(
      runners.createRunner({
        id: `i-${index + 1}`,
        service: SERVICE,
        host: ipOf(last),
        port: workerPort,
        agentAddress: `${ipOf(last)}:${controlPort}`,
        zone,
        maxLeaseMs: MAX_LEASE_MS,
        heartbeatMs: HEARTBEAT_MS,
        guards,
        record,
        onStart,
        onNoted,
      }),
    )
  }
  const proxy =
    late &&
    proxies.createProxy({
      host: ipOf(11),
      port: proxyPort,
      target: `${ipOf(11)}:${workerPort}`,
      record,
      ...late,
    })
  await proxy?.start()
  define('entry', 'entry', 9, ZONES[0], [
    `callerAddress = "${ipOf(9)}:${callerPort}"`,
    `readinessAddress = "${ipOf(9)}:${controlPort}"`,
  ])

  /** Starts a process with settings like those that the template gives on a small deployment. */
  const start = (name, { bootstrap = false } = {}) => {
    const instance = instances.get(name)
    const file = path.join(folder, `${name}.toml`)
    const lines = [
      `role = "${instance.role}"`,
      'cell = "platform"',
      `name = "${name}"`,
      `failureDomain = "${instance.zone}"`,
      `ip = "${ipOf(instance.last)}"`,
      `metricsPort = ${metricsPort}`,
      `internalPorts = [${internalPort}, ${internalPort}]`,
      `seeds = ${JSON.stringify(controls)}`,
      `mayForm = ${bootstrap}`,
      'toleratedLosses = 1',
      `maxLeaseMs = ${MAX_LEASE_MS}`,
      'shutdownGraceMs = 6000',
      'statusRetentionMs = 120000',
      ...instance.extra,
    ]
    fs.writeFileSync(file, lines.join('\n'))
    const [program, ...args] = commandOf(instance.role)
    const child = childProcess.spawn(program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, EBONYWEIR_BOOT: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    })
    const keep = (chunk) => instance.lines.push(...String(chunk).split('\n').filter(Boolean))
    child.stdout.on('data', keep)
    child.stderr.on('data', keep)
    child.once('exit', (code, signalName) => {
      record(name, `process ${child.pid} ended, ${signalName ?? `status ${code}`}`)
    })
    instance.child = child
    record(name, `process ${child.pid} started, Bootstrap ${bootstrap}`)
  }

  const isUp = (child) =>
    child !== undefined && child.exitCode === null && child.signalCode === null

  const signal = (name, signalName) => {
    const { child } = instances.get(name)
    if (!isUp(child)) return
    record(name, `gets ${signalName}`)
    child.kill(signalName)
  }

  const routeHost = 'desk.example'
  const routePrefix = '/jobs/'

  const configuration = ({ version, maxAttempts = 3, services = [SERVICE] }) => ({
    Version: version,
    Routes: [
      {
        Name: 'r-1',
        Host: routeHost,
        PathPrefix: routePrefix,
        Kind: 'non_idempotent',
        TimeoutMs: 3_000,
        TargetLatencyMs: 1_000,
        Priority: 0,
        Service: SERVICE,
        MaxAttempts: maxAttempts,
        SlackFactor: 2,
      },
    ],
    Services: services.map((Name) => ({
      Name,
      HealthPath: '/healthz',
      MaxConnections: 64,
      Protocol: 'h1',
      Tls: false,
      EnforcesCapacity: guards,
      Standby: false,
    })),
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 262_144,
      HeaderTimeoutMs: 3_000,
      IdleTimeoutMs: 15_000,
    },
  })

  let nextControl = 0
  /** Sends a call of the operator to the control nodes in turn until one gives a clear answer. */
  const operate = async ({ method, path: target, body, headers, timeoutMs }) => {
    const endMs = performance.now() + timeoutMs
    let reply = { status: 0 }
    while (performance.now() < endMs) {
      nextControl += 1
      const address = controls[nextControl % controls.length]
      reply = await calls.call({ address, method, path: target, body, headers, timeoutMs: 1_000 })
      const version = body?.Version === undefined ? '' : ` version ${body.Version}`
      record('operator', `${method} ${target}${version} at ${address} answered ${reply.status}`)
      if (reply.status >= 200 && reply.status < 500 && ![408, 429].includes(reply.status)) break
      await wait(200)
    }
    return reply
  }

  const client = async ({ method, id, body, timeoutMs = 3_000 }) => {
    const reply = await calls.call({
      address: `${ipOf(9)}:${callerPort}`,
      method,
      path: `${routePrefix}${id}`,
      body,
      headers: { host: routeHost, 'content-type': 'application/json', 'x-deadline-ms': '3000' },
      timeoutMs,
    })
    const state = reply.body?.State ?? ''
    record('client', `${method} ${id} answered ${reply.status} ${state}`)
    return reply
  }

  return {
    folder,
    names,
    workers,
    controls,
    agentAddresses: names.agents.map((_, index) => `${ipOf(11 + index)}:${controlPort}`),
    start,
    signal,
    operate,
    client,
    configuration,
    linesOf: (name) => instances.get(name).lines,
    configure: (fields, timeoutMs = 20_000) =>
      operate({
        method: 'POST',
        path: '/-/config/replace',
        body: configuration(fields),
        timeoutMs,
      }),
    /** Submits a job as a client does, with the same id until there is a clear answer. */
    submit: async (id, body) => {
      let reply = { status: 0 }
      for (let attempt = 0; attempt < 5; attempt += 1) {
        reply = await client({ method: 'POST', id, body })
        if ([200, 400, 404].includes(reply.status)) break
        await wait(300)
      }
      return reply
    },
    /** Ends all processes that were started, and the stand-ins. */
    close: async () => {
      proxy?.close()
      for (const worker of workers) worker.crash()
      const ended = [...instances.values()].map(({ child }) => {
        if (!isUp(child)) return undefined
        return new Promise((resolve) => {
          child.once('exit', resolve)
          child.kill('SIGKILL')
        })
      })
      await Promise.all(ended)
      fs.rmSync(folder, { recursive: true, force: true })
    },
  }
}
