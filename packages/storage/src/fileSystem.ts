/** Append-only file. Rejections are system errors with a `code`. */
export interface AppendFile {
  /** Current length in bytes. */
  readonly length: number
  append(parts: readonly Buffer[]): Promise<void>
  /** Makes everything appended so far durable. */
  sync(): Promise<void>
  close(): Promise<void>
}

/** File system operations that storage uses. Rejections are system errors with a `code`. */
export interface FileSystem {
  ensureFolder(folder: string): Promise<void>
  /** Names of the files in a folder, sorted. */
  list(folder: string): Promise<readonly string[]>
  /** Reads a whole file, or at most `length` bytes from `offset` on. */
  read(file: string, offset?: number, length?: number): Promise<Buffer>
  /** Opens a file for appending and creates it if it is missing. */
  open(file: string): Promise<AppendFile>
  /** Truncates a file and makes the new length durable. */
  truncate(file: string, length: number): Promise<void>
  rename(from: string, to: string): Promise<void>
  remove(file: string): Promise<void>
  /** Makes creations, renames and removals in a folder durable. */
  syncFolder(folder: string): Promise<void>
}
