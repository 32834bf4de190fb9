import * as path from 'node:path'
import type * as fileSystems from './fileSystem.js'

/** Error with the code that the operating system would report. */
const systemError = (code: string, operation: string, file: string): Error =>
  Object.assign(new Error(`${code}: injected fault, ${operation} '${file}'`), { code })

interface StoredFile {
  content: Buffer
  syncedLength: number
}

/** Faults to inject into the next operations. */
export interface Faults {
  /** Free space of the disk. */
  freeBytes: number
  /** Number of file syncs that succeed before every later one fails. */
  syncsUntilFailure: number
  /** Called before each file sync completes, for example to delay it. */
  beforeSync: (() => Promise<void>) | undefined
}

/** What remains of appended but unsynced bytes after a crash. */
export type UnsyncedBytes =
  | { readonly kind: 'lost' }
  | { readonly kind: 'kept' }
  /** The first `bytes` of the unsynced part remain. */
  | { readonly kind: 'prefix'; readonly bytes: number }
  /** The file has its full length, but the first `bytes` of the unsynced part read as zeros. */
  | { readonly kind: 'zeroed'; readonly bytes: number }

class FaultAppendFile implements fileSystems.AppendFile {
  constructor(
    private readonly fileSystem: FaultFileSystem,
    private readonly name: string,
    private readonly file: StoredFile,
  ) {}

  get length(): number {
    return this.file.content.length
  }

  append(parts: readonly Buffer[]): Promise<void> {
    const bytes = Buffer.concat(parts)
    const { faults } = this.fileSystem
    const fitting = bytes.subarray(0, Math.max(faults.freeBytes, 0))
    faults.freeBytes -= fitting.length
    this.file.content = Buffer.concat([this.file.content, fitting])
    if (fitting.length === bytes.length) return Promise.resolve()
    return Promise.reject(systemError('ENOSPC', 'write', this.name))
  }

  async sync(): Promise<void> {
    const length = this.file.content.length
    await this.fileSystem.faults.beforeSync?.()
    if (this.fileSystem.faults.syncsUntilFailure <= 0)
      throw systemError('EIO', 'fdatasync', this.name)
    this.fileSystem.faults.syncsUntilFailure -= 1
    this.fileSystem.syncCount += 1
    this.file.syncedLength = Math.max(this.file.syncedLength, length)
  }

  close(): Promise<void> {
    return Promise.resolve()
  }
}

/** In-memory file system that injects faults and loses unsynced data in a crash. */
export class FaultFileSystem implements fileSystems.FileSystem {
  readonly faults: Faults = {
    freeBytes: Number.POSITIVE_INFINITY,
    syncsUntilFailure: Number.POSITIVE_INFINITY,
    beforeSync: undefined,
  }

  /** Number of successful file syncs. */
  syncCount = 0

  private names = new Map<string, StoredFile>()
  private durableNames = new Map<string, StoredFile>()

  /** Discards unsynced data, as a power failure does. */
  crash(unsynced: UnsyncedBytes = { kind: 'lost' }): void {
    this.names = new Map(this.durableNames)
    for (const file of this.names.values()) {
      const { content, syncedLength } = file
      file.content = contentAfterCrash(content, syncedLength, unsynced)
      file.syncedLength = file.content.length
    }
  }

  /** Flips one bit of a stored file. */
  damage(file: string, offset: number): void {
    const { content } = this.getOrThrow(file, 'damage')
    content.writeUInt8(content.readUInt8(offset) ^ 1, offset)
  }

  /** Copies the whole disk, for example to roll back to later. */
  clone(): FaultFileSystem {
    const copy = new FaultFileSystem()
    const copied = new Map<StoredFile, StoredFile>()
    for (const file of [...this.names.values(), ...this.durableNames.values()]) {
      copied.set(file, { content: Buffer.from(file.content), syncedLength: file.syncedLength })
    }
    const copyNames = (names: ReadonlyMap<string, StoredFile>) =>
      new Map([...names].flatMap(([name, file]) => [[name, copied.get(file) ?? file] as const]))
    copy.names = copyNames(this.names)
    copy.durableNames = copyNames(this.durableNames)
    return copy
  }

  ensureFolder(): Promise<void> {
    return Promise.resolve()
  }

  list(folder: string): Promise<readonly string[]> {
    const names = [...this.names.keys()].filter((name) => path.dirname(name) === folder)
    return Promise.resolve(names.map((name) => path.basename(name)).sort())
  }

  read(file: string, offset = 0, length = Number.MAX_SAFE_INTEGER): Promise<Buffer> {
    const stored = this.names.get(file)
    if (stored === undefined) return Promise.reject(systemError('ENOENT', 'open', file))
    return Promise.resolve(Buffer.from(stored.content.subarray(offset, offset + length)))
  }

  open(file: string): Promise<fileSystems.AppendFile> {
    const stored = this.names.get(file) ?? { content: Buffer.alloc(0), syncedLength: 0 }
    this.names.set(file, stored)
    return Promise.resolve(new FaultAppendFile(this, file, stored))
  }

  truncate(file: string, length: number): Promise<void> {
    const stored = this.getOrThrow(file, 'truncate')
    stored.content = stored.content.subarray(0, length)
    stored.syncedLength = length
    return Promise.resolve()
  }

  rename(from: string, to: string): Promise<void> {
    this.names.set(to, this.getOrThrow(from, 'rename'))
    this.names.delete(from)
    return Promise.resolve()
  }

  remove(file: string): Promise<void> {
    this.names.delete(file)
    return Promise.resolve()
  }

  syncFolder(folder: string): Promise<void> {
    for (const name of this.durableNames.keys()) {
      if (path.dirname(name) === folder) this.durableNames.delete(name)
    }
    for (const [name, file] of this.names) {
      if (path.dirname(name) === folder) this.durableNames.set(name, file)
    }
    return Promise.resolve()
  }

  private getOrThrow(file: string, operation: string): StoredFile {
    const stored = this.names.get(file)
    if (stored === undefined) throw systemError('ENOENT', operation, file)
    return stored
  }
}

const contentAfterCrash = (
  content: Buffer,
  syncedLength: number,
  unsynced: UnsyncedBytes,
): Buffer => {
  switch (unsynced.kind) {
    case 'lost':
      return content.subarray(0, syncedLength)
    case 'kept':
      return content
    case 'prefix':
      return content.subarray(0, syncedLength + unsynced.bytes)
    case 'zeroed':
      return Buffer.from(content).fill(
        0,
        syncedLength,
        Math.min(syncedLength + unsynced.bytes, content.length),
      )
  }
}
