import * as controlClient from '@ebonyweir/control-client'
import * as protocol from '@ebonyweir/protocol'
import type * as agentOptions from './options.js'

/** Periodic sync of the agent with control. */
export interface ConfigSync {
  readonly start: () => void
  /** Syncs without waiting for the interval, for changes that control should learn immediately. */
  readonly syncNow: () => void
  readonly stop: () => void
}

export interface ConfigSyncHost {
  readonly options: agentOptions.ResolvedAgentOptions
  readonly view: controlClient.configView.ConfigView
  readonly record: () => protocol.control.AgentRecord
  readonly buckets: () => readonly protocol.control.ServiceBucket[]
  readonly onConfig: (untilMs: number, outDetail: string) => void
  readonly onFailure: () => void
}

/** Sync timeout. Two syncs must fit into the config lease, in case the first replica is unresponsive. */
const SYNC_TIMEOUT_MS = 1_500

/** Creates the sync loop. At most one sync is in progress. */
export const createConfigSync = (host: ConfigSyncHost): ConfigSync => {
  const { options, view } = host
  const control = controlClient.controlClient.createControlClient(options.controlAddresses)
  let timer: NodeJS.Timeout | undefined
  let syncing = false
  let syncRequested = false
  let stopped = false

  const outDetail = (): string => {
    const rule = view.outOfServiceRule(options.failureDomain)
    if (rule === undefined) return ''
    const { line, requestedBy } = rule
    return `failure domain ${options.failureDomain} is out by line ${line} (${requestedBy})`
  }

  const sync = async (): Promise<void> => {
    const sentAtMs = performance.now()
    const reply = await control.syncAgent(
      {
        cell: options.cell,
        agent: host.record(),
        knownRevision: view.revision(),
        buckets: host.buckets(),
      },
      SYNC_TIMEOUT_MS,
    )
    if (reply.isErr()) {
      host.onFailure()
      options.logger.warn('sync with control failed', { ...reply.error })
      return
    }
    const { config } = reply.value
    if (config === undefined) return
    const applied = view.apply(config, sentAtMs)
    if (applied.isErr()) {
      options.logger.warn('configuration from control refused', { ...applied.error })
      return
    }
    host.onConfig(sentAtMs + protocol.limits.CONFIG_LEASE_MS, outDetail())
  }

  const loop = async (): Promise<void> => {
    if (syncing) {
      syncRequested = true
      return
    }
    syncing = true
    clearTimeout(timer)
    await sync()
    syncing = false
    if (stopped) return
    timer = setTimeout(() => void loop(), syncRequested ? 0 : options.syncIntervalMs)
    syncRequested = false
  }

  return {
    start: () => void loop(),
    syncNow: () => void loop(),
    stop: () => {
      stopped = true
      clearTimeout(timer)
      control.close()
    },
  }
}
