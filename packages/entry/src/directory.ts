import type * as controlClient from '@ebonyweir/control-client'
import type * as protocol from '@ebonyweir/protocol'
import type * as routing from '@ebonyweir/routing'
import * as agentConnection from './agentConnection.js'

/** Location of an endpoint and the connection to its agent. */
export interface EndpointLocation {
  readonly endpoint: string
  readonly service: string
  readonly agent: string
  readonly failureDomain: string
  readonly connection: agentConnection.AgentConnection
}

/** Address and incarnation of an agent. */
export interface AgentLocation {
  readonly agent: string
  readonly address: string
  readonly incarnation: number
}

/** Agents and endpoints known to this entry instance, with a connection to each agent. */
export interface Directory {
  readonly knownEpoch: () => number
  readonly knownVersion: () => number
  readonly apply: (delta: protocol.control.DirectoryDelta, nowMs: number) => void
  /** Removes agents whose grace period has expired and publishes the current listings. */
  readonly refresh: (nowMs: number) => void
  readonly locate: (endpointId: string) => EndpointLocation | undefined
  readonly agentCount: () => number
  /** Agents that have announced an endpoint of the service. */
  readonly agentsOf: (service: string) => readonly AgentLocation[]
  readonly close: () => void
}

export interface DirectoryHost {
  readonly cell: string
  readonly entry: string
  readonly probeIntervalMs: number
  readonly view: controlClient.configView.ConfigView
  readonly onListings: (
    service: string,
    listings: readonly routing.endpoint.EndpointListing[],
    nowMs: number,
  ) => void
  readonly onReport: (
    service: string,
    endpointId: string,
    report: protocol.agent.EndpointLoad,
    nowMs: number,
  ) => void
  readonly onReachable: (service: string, endpointId: string, reachable: boolean) => void
  readonly onReplaced: () => void
}

/**
 * Grace period for agents that the directory of a new leader does not list yet. Keeping them is
 * safe, because agents themselves refuse requests that they may not run.
 */
const NEW_LEADER_GRACE_MS = 3_000

interface KnownAgent {
  record: protocol.control.AgentRecord
  readonly connection: agentConnection.AgentConnection
  graceUntilMs: number
}

const endpointIdOf = (agent: string, endpoint: string): string => `${agent}/${endpoint}`

/** Creates an empty directory. */
export const createDirectory = (host: DirectoryHost): Directory => {
  const agents = new Map<string, KnownAgent>()
  let locations = new Map<string, EndpointLocation>()
  let services = new Set<string>()
  let epoch = 0
  let version = 0

  const locationsOf = (agent: string): readonly (readonly [string, EndpointLocation])[] =>
    [...locations].filter(([, location]) => location.agent === agent)

  const connect = (name: string, address: string): agentConnection.AgentConnection =>
    agentConnection.createAgentConnection(address, {
      cell: host.cell,
      entry: host.entry,
      probeIntervalMs: host.probeIntervalMs,
      onReplaced: host.onReplaced,
      onReachable: (reachable) => {
        for (const [id, { service }] of locationsOf(name)) host.onReachable(service, id, reachable)
      },
      onReport: (report) => {
        const nowMs = performance.now()
        for (const load of report.endpoints) {
          host.onReport(load.service, endpointIdOf(name, load.endpoint), load, nowMs)
        }
      },
    })

  const upsert = (record: protocol.control.AgentRecord): void => {
    const existing = agents.get(record.agent)
    if (existing?.connection.address === record.address) {
      existing.record = record
      existing.graceUntilMs = Infinity
      return
    }
    existing?.connection.close()
    const connection = connect(record.agent, record.address)
    agents.set(record.agent, { record, connection, graceUntilMs: Infinity })
  }

  const remove = (name: string): void => {
    agents.get(name)?.connection.close()
    agents.delete(name)
  }

  const isClosed = (agent: protocol.control.AgentRecord, leaving: boolean): boolean =>
    leaving || host.view.outOfServiceRule(agent.failureDomain) !== undefined

  const listings = (): Map<string, routing.endpoint.EndpointListing[]> => {
    const byService = new Map<string, routing.endpoint.EndpointListing[]>()
    for (const { record, connection } of agents.values()) {
      const { agent, failureDomain } = record
      for (const { endpoint, service, slots, leaving } of record.endpoints) {
        const id = endpointIdOf(agent, endpoint)
        locations.set(id, { endpoint, service, agent, failureDomain, connection })
        const list = byService.get(service) ?? []
        list.push({ id, failureDomain, slots, closed: isClosed(record, leaving) })
        byService.set(service, list)
      }
    }
    return byService
  }

  const refresh = (nowMs: number): void => {
    for (const [name, knownAgent] of agents) if (knownAgent.graceUntilMs <= nowMs) remove(name)
    locations = new Map()
    const byService = listings()
    for (const service of services) {
      if (!byService.has(service)) host.onListings(service, [], nowMs)
    }
    for (const [service, list] of byService) host.onListings(service, list, nowMs)
    services = new Set(byService.keys())
  }

  const removeUnlisted = (delta: protocol.control.DirectoryDelta, nowMs: number): void => {
    const listed = new Set(delta.agents.map((record) => record.agent))
    for (const [name, knownAgent] of agents) {
      if (listed.has(name)) continue
      if (delta.epoch === epoch) remove(name)
      else knownAgent.graceUntilMs = Math.min(knownAgent.graceUntilMs, nowMs + NEW_LEADER_GRACE_MS)
    }
  }

  return {
    knownEpoch: () => epoch,
    knownVersion: () => version,
    apply: (delta, nowMs) => {
      if (delta.epoch < epoch) return
      if (delta.full) removeUnlisted(delta, nowMs)
      for (const name of delta.removed) remove(name)
      for (const record of delta.agents) upsert(record)
      epoch = delta.epoch
      version = delta.version
      refresh(nowMs)
    },
    refresh,
    locate: (endpointId) => locations.get(endpointId),
    agentCount: () => agents.size,
    agentsOf: (service) =>
      [...agents.values()]
        .filter(({ record }) => record.endpoints.some((e) => e.service === service))
        .map(({ record: { agent, address, incarnation } }) => ({ agent, address, incarnation })),
    close: () => {
      for (const name of [...agents.keys()]) remove(name)
    },
  }
}
