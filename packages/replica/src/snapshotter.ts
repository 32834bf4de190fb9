import type * as consensus from '@ebonyweir/consensus'
import type * as protocol from '@ebonyweir/protocol'
import type * as storage from '@ebonyweir/storage'

/** Maximum size of a snapshot chunk. */
const chunkBytes = 512 * 1024

type Chunk = protocol.replication.SnapshotChunk

export interface SnapshotterOptions {
  readonly storage: storage.Storage
  /** Called when a snapshot of the local state machine is durable. */
  readonly onSaved: (lastIndex: number) => void
  /** Called when a received snapshot is durable. */
  readonly onStored: (meta: consensus.SnapshotMeta) => void
  readonly onError: (error: storage.DiskError) => void
}

/** Saves, sends and receives snapshots. */
export interface Snapshotter {
  readonly saving: boolean
  save(meta: consensus.SnapshotMeta, data: Uint8Array): void
  /** Buffers a received chunk and stores the snapshot after the last one. */
  receive(chunk: Chunk): void
  /** Returns the data of the received snapshot that was stored last, and releases it. */
  takeReceived(lastIndex: number): Uint8Array | undefined
  /** Reads the chunk at `offset`; undefined if a newer snapshot has replaced the requested one. */
  readChunk(meta: consensus.SnapshotMeta, offset: number): Promise<Chunk | undefined>
  idle(): Promise<void>
}

export const createSnapshotter = (options: SnapshotterOptions): Snapshotter => {
  let queue: Promise<void> = Promise.resolve()
  let saving = false
  let receivedChunks: Chunk[] = []
  let storingIndex: number | undefined
  let received: { readonly lastIndex: number; readonly data: Uint8Array } | undefined

  const enqueue = (meta: consensus.SnapshotMeta, data: Uint8Array, done: () => void): void => {
    queue = queue.then(async () => {
      const saved = await options.storage.saveSnapshot(meta, data)
      if (saved.isErr()) options.onError(saved.error)
      else done()
    })
  }

  const store = (chunk: Chunk): void => {
    const data = Buffer.concat(receivedChunks.map((part) => part.data))
    receivedChunks = []
    storingIndex = chunk.lastIndex
    const { lastIndex, lastTerm, membership } = chunk
    const meta = { lastIndex, lastTerm, membership: membership ?? { members: [] } }
    enqueue(meta, data, () => {
      received = { lastIndex, data }
      storingIndex = undefined
      options.onStored(meta)
    })
  }

  return {
    get saving() {
      return saving
    },
    save: (meta, data) => {
      saving = true
      enqueue(meta, data, () => {
        saving = false
        options.onSaved(meta.lastIndex)
      })
    },
    receive: (chunk) => {
      if (storingIndex !== undefined) return
      if (chunk.offset === 0) receivedChunks = []
      receivedChunks.push(chunk)
      if (chunk.done) store(chunk)
    },
    takeReceived: (lastIndex) => {
      const data = received?.lastIndex === lastIndex ? received.data : undefined
      received = undefined
      return data
    },
    readChunk: async (meta, offset) => {
      const part = await options.storage.readSnapshot(meta.lastIndex, offset, chunkBytes)
      if (part.isErr()) {
        options.onError(part.error)
        return undefined
      }
      return part.value && { ...meta, offset, ...part.value }
    },
    idle: () => queue,
  }
}
