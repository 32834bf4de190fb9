import * as path from 'node:path'
import type * as protocol from '@ebonyweir/protocol'
import * as results from 'ts-results-es'
import * as errors from './errors.js'
import type * as fileSystems from './fileSystem.js'
import * as identities from './identity.js'
import * as nodeFileSystems from './nodeFileSystem.js'
import type * as replay from './replay.js'
import * as segmentFiles from './segments.js'
import * as snapshotFiles from './snapshotFile.js'

type LogEntry = protocol.replication.LogEntry

/** One write to the log; several are made durable by one sync. */
export interface LogWrite {
  readonly hardState: replay.HardState | undefined
  /** Entries from this index on are replaced. */
  readonly truncateFrom: number | undefined
  readonly entries: readonly LogEntry[]
}

/** Contents of a data folder when it was opened. */
export interface Recovered {
  readonly hardState: replay.HardState
  readonly snapshot: snapshotFiles.StoredSnapshot | undefined
  /** Entries that continue the snapshot without a gap. */
  readonly entries: readonly LogEntry[]
}

/**
 * Durable bytes of one replica. Calls of `append` must not overlap; the same holds for `saveSnapshot`. After a
 * `DiskError` nothing may be acknowledged any more and the process must stop.
 */
export interface Storage {
  /** Identity of the data folder. */
  readonly id: string
  /** Writes and syncs in one go; resolves when everything is durable. */
  append(writes: readonly LogWrite[]): Promise<results.Result<undefined, errors.DiskError>>
  /** Makes a snapshot durable, then removes older snapshots and the log before it. */
  saveSnapshot(
    meta: snapshotFiles.SnapshotMeta,
    data: Uint8Array,
  ): Promise<results.Result<undefined, errors.DiskError>>
  /** Part of the newest snapshot's data, and whether it is the last part; undefined when it is not `lastIndex`'s. */
  readSnapshot(
    lastIndex: number,
    offset: number,
    maxBytes: number,
  ): Promise<results.Result<SnapshotPart | undefined, errors.DiskError>>
  close(): Promise<void>
}

export interface SnapshotPart {
  readonly data: Buffer
  readonly done: boolean
}

export interface StorageOptions {
  readonly folder: string
  readonly cell: string
  /** @default file system of the operating system */
  readonly fileSystem?: fileSystems.FileSystem
  /** Length at which a new segment is started. @default 16 MiB */
  readonly maxSegmentBytes?: number
}

export interface OpenedStorage {
  readonly storage: Storage
  readonly recovered: Recovered
}

const guarded = async <Value>(
  action: () => Promise<Value>,
): Promise<results.Result<Value, errors.DiskError>> => {
  try {
    return results.Ok(await action())
  } catch (error) {
    return results.Err(errors.toDiskError(error))
  }
}

/** Opens a data folder, creating identity and log when it is empty. */
export const openStorage = async (
  options: StorageOptions,
): Promise<results.Result<OpenedStorage, errors.OpenError>> => {
  const opened = await guarded(() => open(options))
  return opened.isErr() ? results.Err(opened.error) : opened.value
}

const open = async (
  options: StorageOptions,
): Promise<results.Result<OpenedStorage, errors.OpenError>> => {
  const { folder, cell, maxSegmentBytes = 16 * 1024 * 1024 } = options
  const fileSystem = options.fileSystem ?? new nodeFileSystems.NodeFileSystem()
  await fileSystem.ensureFolder(folder)
  const identity = await identities.openIdentity(fileSystem, folder, cell)
  if (identity.isErr()) return results.Err(identity.error)
  const snapshot = await openSnapshot(fileSystem, folder)
  if (snapshot.isErr()) return results.Err(snapshot.error)
  const opened = await segmentFiles.openSegments(fileSystem, folder, maxSegmentBytes)
  if (opened.isErr()) return results.Err(opened.error)
  const { segments, log } = opened.value
  const continued = continueSnapshot(snapshot.value?.stored, log)
  if (continued.isErr()) return results.Err(continued.error)
  if (continued.value.staleFrom !== undefined) {
    await segments.append([
      { hardState: undefined, truncateFrom: continued.value.staleFrom, entries: [] },
    ])
  }
  const storage = createStorage(
    fileSystem,
    folder,
    identity.value.id,
    segments,
    snapshot.value?.location,
  )
  const { hardState } = log
  const recovered = {
    hardState,
    snapshot: snapshot.value?.stored,
    entries: continued.value.entries,
  }
  return results.Ok({ storage, recovered })
}

const openSnapshot = async (
  fileSystem: fileSystems.FileSystem,
  folder: string,
): Promise<
  results.Result<
    | {
        readonly stored: snapshotFiles.StoredSnapshot
        readonly location: snapshotFiles.SnapshotLocation
      }
    | undefined,
    errors.OpenError
  >
> => {
  const name = (await fileSystem.list(folder)).filter(snapshotFiles.isSnapshot).at(-1)
  if (name === undefined) return results.Ok(undefined)
  return snapshotFiles.read(fileSystem, folder, name)
}

interface Continuation {
  readonly entries: readonly LogEntry[]
  /** Set when the log on disk holds entries that a received snapshot replaced. */
  readonly staleFrom: number | undefined
}

/** Entries behind the snapshot; a gap between both means that synced bytes are missing. */
const continueSnapshot = (
  snapshot: snapshotFiles.StoredSnapshot | undefined,
  log: replay.ReplayedLog,
): results.Result<Continuation, errors.OpenError> => {
  const base = snapshot?.meta.lastIndex ?? 0
  const atBase = log.entries.find((entry) => entry.index === base)
  if (atBase !== undefined && atBase.term !== snapshot?.meta.lastTerm) {
    // All of it, so that the entry at the snapshot's index cannot make later entries look stale.
    return results.Ok({ entries: [], staleFrom: log.entries[0]?.index })
  }
  const entries = log.entries.filter((entry) => entry.index > base)
  const first = entries[0]
  if (first !== undefined && first.index !== base + 1) {
    const problem = `the log starts at entry ${first.index}, but the snapshot ends at ${base}`
    return results.Err(errors.damaged('log', problem))
  }
  return results.Ok({ entries, staleFrom: undefined })
}

const createStorage = (
  fileSystem: fileSystems.FileSystem,
  folder: string,
  id: string,
  segments: segmentFiles.Segments,
  initial: snapshotFiles.SnapshotLocation | undefined,
): Storage => {
  let location = initial
  // Segment files are shared by appends and compaction; one runs at a time.
  let queue: Promise<unknown> = Promise.resolve()
  const exclusive = <Value>(action: () => Promise<Value>): Promise<Value> => {
    const result = queue.then(action)
    queue = result.catch(() => undefined)
    return result
  }

  const removeOlder = async (): Promise<void> => {
    const names = await fileSystem.list(folder)
    const older = names.filter((name) => snapshotFiles.isSnapshot(name) && name !== location?.name)
    for (const name of older) await fileSystem.remove(path.join(folder, name))
  }

  return {
    id,
    append: (writes) =>
      guarded(async () => {
        await exclusive(() => segments.append(writes.map(toDiskWrite)))
        return undefined
      }),
    saveSnapshot: (meta, data) =>
      guarded(async () => {
        if (location !== undefined && location.lastIndex >= meta.lastIndex) return undefined
        location = await snapshotFiles.write(fileSystem, folder, meta, data)
        await removeOlder()
        await exclusive(() => segments.compact(meta.lastIndex))
        return undefined
      }),
    readSnapshot: (lastIndex, offset, maxBytes) =>
      guarded(async () => {
        if (location?.lastIndex !== lastIndex) return undefined
        const { name, dataOffset, dataBytes } = location
        const length = Math.max(Math.min(maxBytes, dataBytes - offset), 0)
        const data = await fileSystem.read(path.join(folder, name), dataOffset + offset, length)
        return { data, done: offset + data.length >= dataBytes }
      }),
    close: async () => {
      await queue
      await segments.close()
    },
  }
}

const toDiskWrite = (write: LogWrite): protocol.disk.DiskWrite => ({
  hardState: write.hardState && {
    term: write.hardState.term,
    votedFor: write.hardState.votedFor ?? '',
  },
  truncateFrom: write.truncateFrom ?? 0,
  entries: write.entries,
})
