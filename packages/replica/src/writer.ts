import type * as consensus from '@ebonyweir/consensus'
import type * as storage from '@ebonyweir/storage'

/** Writes persist outputs to storage; writes that arrive during a sync are batched into the next one. */
export interface Writer {
  enqueue(write: consensus.Persist): void
  /** Resolves when no write is in progress. */
  idle(): Promise<void>
}

export interface WriterOptions {
  readonly storage: storage.Storage
  /** Called after every write up to `sequence` is durable. */
  readonly onSynced: (sequence: number) => void
  readonly onError: (error: storage.DiskError) => void
}

export const createWriter = (options: WriterOptions): Writer => {
  let queuedWrites: consensus.Persist[] = []
  let running: Promise<void> | undefined
  let failed = false

  const writeAll = async (): Promise<void> => {
    while (queuedWrites.length > 0 && !failed) {
      const batch = queuedWrites
      queuedWrites = []
      const written = await options.storage.append(batch)
      if (written.isErr()) {
        failed = true
        options.onError(written.error)
        return
      }
      options.onSynced(batch.at(-1)?.sequence ?? 0)
    }
  }

  return {
    enqueue: (write) => {
      queuedWrites.push(write)
      running ??= writeAll().finally(() => {
        running = undefined
      })
    },
    idle: async () => {
      await running
    },
  }
}
