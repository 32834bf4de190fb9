// System of the quickstart: settings files, daemons and simulated workers in three failure domains.
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as processes from './processes.mjs'

export const CELL = 'quickstart'
export const FAILURE_DOMAINS = ['rennes', 'brest', 'vannes']
const ENTRY_DOMAINS = ['rennes', 'vannes']
const WORKERS_PER_DOMAIN = 2

export const RULES = `# Rules of the quickstart. Each line says who asked for it.
failureDomain.rennes = { state = "in" } # Operations
failureDomain.brest = { state = "in" } # Operations
failureDomain.vannes = { state = "in" } # Operations
service.swap-desk = { runners = 6, slots = 8, connections = 64, timeoutMs = 2000, targetMs = 80, objective = 0.995, cpuMillis = 4000, memoryMb = 8192, quick = true } # Maëlle Kerjean, counter desk
guard.swap-desk = { maxSlowdown = 1.2, throttleFloorPercent = 25 } # Maëlle Kerjean, counter desk
placement.swap-desk = { match = "swap-desk", spread = "failureDomain" } # Maëlle Kerjean, counter desk
team.workshop = { cpuMillis = 48000, memoryMb = 196608, weight = 3 } # Yann Le Goff, workshop
placement.fitting = { match = "fitting-*", failureDomains = ["rennes", "brest", "vannes"], spread = "rack" } # Yann Le Goff, workshop
weighting.default = { throughput = 0.7, evictions = 0.7, tail = 0.3 } # Yann Le Goff, workshop
`

const toToml = (fields) =>
  Object.entries(fields)
    .map(([name, value]) => `${name} = ${JSON.stringify(value)}\n`)
    .join('')

/** Creates the system; no process runs before `startControl`. */
export const createSystem = async (root, folder) => {
  const ports = await processes.findFreePorts(FAILURE_DOMAINS.length * 2)
  const children = processes.createProcesses(root, folder)
  const controlHttp = FAILURE_DOMAINS.map((_, i) => `127.0.0.1:${ports[2 * i]}`)
  const controlGrpc = FAILURE_DOMAINS.map((_, i) => `127.0.0.1:${ports[2 * i + 1]}`)

  const startDaemon = (name, fields) => {
    const file = path.join(folder, `${name}.toml`)
    fs.writeFileSync(file, toToml({ cell: CELL, name, ...fields }))
    return children.start(name, ['packages/daemon/dist/bin.js', '--settings', file])
  }

  const startControl = () =>
    Promise.all(
      FAILURE_DOMAINS.map((failureDomain, i) =>
        startDaemon(`control-${failureDomain}`, {
          role: 'control',
          failureDomain,
          rack: `${failureDomain}-1`,
          grpcAddress: controlGrpc[i],
          httpAddress: controlHttp[i],
          dataFolder: `control-${failureDomain}-data`,
        }),
      ),
    )

  const startEntries = async () => {
    const started = await Promise.all(
      ENTRY_DOMAINS.map((failureDomain) =>
        startDaemon(`entry-${failureDomain}`, {
          role: 'entry',
          failureDomain,
          httpAddress: '127.0.0.1:0',
          controlAddresses: controlGrpc,
          shutdownGraceMs: 0,
        }),
      ),
    )
    return started.map((fields) => fields.httpAddress)
  }

  /** Starts one agent per failure domain, and the workers whose service tasks open its endpoints. */
  const startInstances = () =>
    Promise.all(
      FAILURE_DOMAINS.map(async (failureDomain) => {
        const { httpAddress } = await startDaemon(`agent-${failureDomain}`, {
          role: 'agent',
          failureDomain,
          worker: `${failureDomain}-w-0`,
          grpcAddress: '127.0.0.1:0',
          httpAddress: '127.0.0.1:0',
          controlAddresses: controlGrpc,
        })
        await startWorkers(failureDomain, httpAddress)
      }),
    )

  const startWorkers = (failureDomain, agentAddress) => {
    const flags = {
      name: `${failureDomain}-w`,
      cell: CELL,
      failureDomain,
      control: controlHttp.join(','),
      count: WORKERS_PER_DOMAIN,
      cpuMillis: 16_000,
      memoryMb: 60_000,
      agentAddress,
    }
    const args = Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, String(value)])
    const programPath = 'packages/stand-ins/dist/bin/fakeWorker.js'
    return children.start(`workers-${failureDomain}`, [programPath, ...args])
  }

  return { children, controlHttp, startControl, startEntries, startInstances }
}
