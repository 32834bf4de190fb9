import type * as consensus from '@ebonyweir/consensus'
import type * as storage from '@ebonyweir/storage'

/** Writes persist outputs to storage; everything that arrives during a sync is covered by the next one. */
export interface Writer {
  enqueue(write: consensus.Persist): void
  /** Resolves when nothing is being written. */
  idle(): Promise<void>
}

export interface WriterOptions {
  readonly storage: storage.Storage
  /** Called after every write up to `sequence` is durable. */
  readonly onSynced: (sequence: number) => void
  readonly onError: (error: storage.DiskError) => void
}

export const createWriter = (options: WriterOptions): Writer => {
  let waiting: consensus.Persist[] = []
  let running: Promise<void> | undefined
  let failed = false

  const writeAll = async (): Promise<void> => {
    while (waiting.length > 0 && !failed) {
      const batch = waiting
      waiting = []
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
      waiting.push(write)
      running ??= writeAll().finally(() => {
        running = undefined
      })
    },
    idle: async () => {
      await running
    },
  }
}
