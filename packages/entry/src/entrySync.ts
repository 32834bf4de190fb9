import type * as controlClient from '@ebonyweir/control-client'
import type * as directory from './directory.js'
import type * as entryOptions from './options.js'
import type * as serviceBuckets from './serviceBuckets.js'

/** Periodic sync of the entry instance with control. */
export interface EntrySync {
  readonly start: () => void
  readonly stop: () => void
}

export interface EntrySyncHost {
  readonly options: entryOptions.ResolvedEntryOptions
  readonly incarnation: number
  readonly control: controlClient.controlClient.ControlClient
  readonly view: controlClient.configView.ConfigView
  readonly directory: directory.Directory
  readonly buckets: serviceBuckets.ServiceBuckets
  readonly onApplied: () => void
  readonly onFailure: () => void
}

/** Sync timeout. Two syncs must fit into the config lease, in case the first replica is unresponsive. */
const SYNC_TIMEOUT_MS = 1_500

/** Creates the sync loop. At most one sync is in progress. */
export const createEntrySync = (host: EntrySyncHost): EntrySync => {
  const { options, view, directory, buckets } = host
  let timer: NodeJS.Timeout | undefined
  let stopped = false

  const sync = async (): Promise<void> => {
    const sentAtMs = performance.now()
    const unsent = buckets.unsent(Date.now())
    const reply = await host.control.syncEntry(
      {
        cell: options.cell,
        entry: options.name,
        incarnation: host.incarnation,
        failureDomain: options.failureDomain,
        knownRevision: view.revision(),
        knownDirectoryEpoch: directory.knownEpoch(),
        knownDirectoryVersion: directory.knownVersion(),
        buckets: unsent,
        httpAddress: options.httpAddress,
      },
      SYNC_TIMEOUT_MS,
    )
    if (reply.isErr()) {
      host.onFailure()
      options.logger.warn('sync with control failed', { ...reply.error })
      return
    }
    const { config, directory: delta } = reply.value
    if (config === undefined) return
    const applied = view.apply(config, sentAtMs)
    if (applied.isErr()) {
      options.logger.warn('configuration from control refused', { ...applied.error })
      return
    }
    buckets.acknowledge(unsent)
    if (delta !== undefined) directory.apply(delta, performance.now())
    host.onApplied()
  }

  const loop = async (): Promise<void> => {
    await sync()
    if (!stopped) timer = setTimeout(() => void loop(), options.syncIntervalMs)
  }

  return {
    start: () => void loop(),
    stop: () => {
      stopped = true
      clearTimeout(timer)
    },
  }
}
