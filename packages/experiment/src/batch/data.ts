/** Deployments and scenarios of the batch experiment, read from JSON files. */
import * as fs from 'node:fs'
import * as path from 'node:path'
import type * as controlState from '@ebonyweir/control-state'

export interface Kind {
  readonly kind: string
  readonly team: string
  /** Relative frequency of the kind among arriving jobs. */
  readonly mix: number
  readonly cpuMillis: number
  readonly memoryMb: number
  /** Median run time without interference. */
  readonly runMs: number
  /** Increase of the logarithm of a service's tail latency per share of the machine, at medium load. */
  readonly serviceHarm: number
  /** Increase of the logarithm of another task's run time per share of the machine. */
  readonly batchHarm: number
  /** Factor on the `batchHarm` of other tasks for a task of this kind. */
  readonly sensitivity: number
}

export interface Deployment {
  readonly name: string
  readonly failureDomains: readonly string[]
  readonly workers: number
  readonly workersPerRack: number
  readonly capacity: controlState.Resources
  readonly service: {
    readonly name: string
    readonly runners: number
    readonly cpuMillis: number
    readonly memoryMb: number
    readonly targetMs: number
    /** Tail latency of an idle runner without batch tasks. */
    readonly baseP99Ms: number
  }
  readonly weighting: controlState.Weighting
  readonly kinds: readonly Kind[]
  readonly noisyKind: Kind
}

export interface Scenario {
  readonly name: string
  readonly durationMs: number
  /** Arriving batch work relative to the capacity that the runners leave free. */
  readonly batchDemand: number
  /** Points of time and load of all runners together, interpolated linearly. */
  readonly serviceLoad: readonly (readonly [number, number])[]
  readonly urgentPerMinute: number
  /** Arrival times and task counts of jobs of the noisy kind. */
  readonly noiseWaves: readonly (readonly [number, number])[]
  /** Largest factor by which actual sizes differ from the declared ones, up or down. */
  readonly wrongSizes: number
  readonly wrongRunTimes: number
  readonly cancelAtMs: readonly number[]
  /** Share of the jobs that a cancellation wave cancels. */
  readonly cancelShare: number
  /** Number of workers that fail every task they start. */
  readonly badWorkers: number
  /** When the second failure domain leaves and returns. */
  readonly domainOut: readonly [number, number] | null
}

const root = path.resolve(import.meta.dirname, '../..')

const readAll = (folder: string): readonly unknown[] =>
  fs
    .readdirSync(path.join(root, folder))
    .filter((name) => name.endsWith('.json'))
    .sort()
    .map((name) => JSON.parse(fs.readFileSync(path.join(root, folder, name), 'utf8')) as unknown)

export const readDeployments = (): readonly Deployment[] =>
  readAll('deployments') as readonly Deployment[]
export const readScenarios = (): readonly Scenario[] => readAll('scenarios') as readonly Scenario[]

/** Load of the service at a time, interpolated linearly. */
export const loadAt = (scenario: Scenario, nowMs: number): number => {
  let [beforeMs, before] = scenario.serviceLoad[0] ?? [0, 0]
  for (const [atMs, load] of scenario.serviceLoad) {
    if (atMs > nowMs) return before + ((load - before) * (nowMs - beforeMs)) / (atMs - beforeMs)
    beforeMs = atMs
    before = load
  }
  return before
}

/** Rules text of a deployment; `out` is the failure domain that is out of service. */
export const rulesTextOf = (deployment: Deployment, out: string | undefined): string => {
  const { service, weighting, capacity, workers } = deployment
  const all = `cpuMillis = ${capacity.cpuMillis * workers}, memoryMb = ${capacity.memoryMb * workers}`
  const teams = new Set([...deployment.kinds, deployment.noisyKind].map(({ team }) => team))
  const sizes = `cpuMillis = ${service.cpuMillis}, memoryMb = ${service.memoryMb}`
  const lines = [
    `service.${service.name} = { runners = ${service.runners}, slots = 8, connections = 64, timeoutMs = 2000, targetMs = ${service.targetMs}, objective = 0.99, ${sizes} } # experiment`,
    `guard.${service.name} = { maxSlowdown = 1.2, throttleFloorPercent = 25 } # experiment`,
    `weighting.default = { throughput = ${weighting.throughput}, evictions = ${weighting.evictions}, tail = ${weighting.tail} } # experiment`,
    ...[...teams].map((team) => `team.${team} = { ${all}, weight = 1 } # experiment`),
    ...deployment.failureDomains.map(
      (name) => `failureDomain.${name} = { state = "${name === out ? 'out' : 'in'}" } # experiment`,
    ),
  ]
  return lines.join('\n')
}
