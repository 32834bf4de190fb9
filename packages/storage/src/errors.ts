/** I/O error of the data folder. The replica must stop. */
export interface DiskError {
  readonly kind: 'disk'
  /** The disk is full, which may be temporary. */
  readonly isFull: boolean
  readonly detail: string
}

/** Why a data folder could not be opened. */
export type OpenError =
  | DiskError
  /** Synced bytes were changed or are missing. */
  | { readonly kind: 'damaged'; readonly detail: string }
  /** A file was written by a newer release. */
  | { readonly kind: 'newer-version'; readonly detail: string }

/** Converts the rejection of a file system call. */
export const toDiskError = (error: unknown): DiskError => ({
  kind: 'disk',
  isFull: (error as NodeJS.ErrnoException).code === 'ENOSPC',
  detail: error instanceof Error ? error.message : String(error),
})

export const damaged = (file: string, problem: string): OpenError => ({
  kind: 'damaged',
  detail: `${file}: ${problem}`,
})
