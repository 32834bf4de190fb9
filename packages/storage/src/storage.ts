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

/** One write to the log; one sync can make several of them durable. */
export interface LogWrite {
  readonly hardState: replay.HardState | undefined
  /** Existing entries from this index on are removed first. */
  readonly truncateFrom: number | undefined
  readonly entries: readonly LogEntry[]
}

/** State recovered from a data folder. */
export interface Recovered {
  readonly hardState: replay.HardState
  readonly snapshot: snapshotFiles.StoredSnapshot | undefined
  /** Entries that follow the snapshot without a gap. */
  readonly entries: readonly LogEntry[]
}

/**
 * Durable storage of one replica. Calls of `append` must not overlap, nor must calls of `saveSnapshot`. After a
 * `DiskError` nothing more may be acknowledged and the process must stop.
 */
export interface Storage {
  /** Identity of the data folder. */
  readonly id: string
  /** Writes all of `writes` with one sync; resolves when they are durable. */
  append(writes: readonly LogWrite[]): Promise<results.Result<undefined, errors.DiskError>>
  /** Makes a snapshot durable, then removes older snapshots and the segments that it covers. */
  saveSnapshot(
    meta: snapshotFiles.SnapshotMeta,
    data: Uint8Array,
  ): Promise<results.Result<undefined, errors.DiskError>>
  /** Reads a part of the newest snapshot; undefined if that snapshot does not end at `lastIndex`. */
  readSnapshot(
    lastIndex: number,
    offset: number,
    maxBytes: number,
  ): Promise<results.Result<SnapshotPart | undefined, errors.DiskError>>
  close(): Promise<void>
}

export interface SnapshotPart {
  readonly data: Buffer
  /** Whether this is the last part. */
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

const catchDiskErrors = async <Value>(
  action: () => Promise<Value>,
): Promise<results.Result<Value, errors.DiskError>> => {
  try {
    return results.Ok(await action())
  } catch (error) {
    return results.Err(errors.toDiskError(error))
  }
}

/** Opens a data folder; creates identity and log if it is empty. */
export const openStorage = async (
  options: StorageOptions,
): Promise<results.Result<OpenedStorage, errors.OpenError>> => {
  const opened = await catchDiskErrors(() => open(options))
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
  const joined = joinSnapshotAndLog(snapshot.value?.stored, log)
  if (joined.isErr()) return results.Err(joined.error)
  if (joined.value.staleFrom !== undefined) {
    await segments.append([
      { hardState: undefined, truncateFrom: joined.value.staleFrom, entries: [] },
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
    entries: joined.value.entries,
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

interface JoinedLog {
  readonly entries: readonly LogEntry[]
  /** First index of the log on disk if a received snapshot replaced its entries. */
  readonly staleFrom: number | undefined
}

/** Selects the entries after the snapshot; a gap between both means that synced bytes are missing. */
const joinSnapshotAndLog = (
  snapshot: snapshotFiles.StoredSnapshot | undefined,
  log: replay.ReplayedLog,
): results.Result<JoinedLog, errors.OpenError> => {
  const base = snapshot?.meta.lastIndex ?? 0
  const atBase = log.entries.find((entry) => entry.index === base)
  if (atBase !== undefined && atBase.term !== snapshot?.meta.lastTerm) {
    // The whole log is removed: a remaining entry at the snapshot's index would make later entries look stale.
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
  // Appends and compaction share the segment files, so only one of them runs at a time.
  let lastAction: Promise<unknown> = Promise.resolve()
  const runExclusively = <Value>(action: () => Promise<Value>): Promise<Value> => {
    const result = lastAction.then(action)
    lastAction = result.catch(() => undefined)
    return result
  }

  const removeOlderSnapshots = async (): Promise<void> => {
    const names = await fileSystem.list(folder)
    const outdated = names.filter(
      (name) => snapshotFiles.isSnapshot(name) && name !== location?.name,
    )
    for (const name of outdated) await fileSystem.remove(path.join(folder, name))
  }

  return {
    id,
    append: (writes) =>
      catchDiskErrors(async () => {
        await runExclusively(() => segments.append(writes.map(toDiskWrite)))
        return undefined
      }),
    saveSnapshot: (meta, data) =>
      catchDiskErrors(async () => {
        if (location !== undefined && location.lastIndex >= meta.lastIndex) return undefined
        location = await snapshotFiles.write(fileSystem, folder, meta, data)
        await removeOlderSnapshots()
        await runExclusively(() => segments.compact(meta.lastIndex))
        return undefined
      }),
    readSnapshot: (lastIndex, offset, maxBytes) =>
      catchDiskErrors(async () => {
        if (location?.lastIndex !== lastIndex) return undefined
        const { name, dataOffset, dataBytes } = location
        const length = Math.max(Math.min(maxBytes, dataBytes - offset), 0)
        const data = await fileSystem.read(path.join(folder, name), dataOffset + offset, length)
        return { data, done: offset + data.length >= dataBytes }
      }),
    close: async () => {
      await lastAction
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
