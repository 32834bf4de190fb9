import type * as types from './types.js'

const entriesPerChunk = 128

/**
 * Immutable log after a compacted base. Entries are stored in chunks, so that an append copies one chunk instead of the
 * whole log.
 */
export interface Log {
  readonly baseIndex: number
  readonly baseTerm: number
  readonly lastIndex: number
  /** Index of the first entry of the first chunk; may be at or before the base. */
  readonly firstStored: number
  readonly chunks: readonly (readonly types.LogEntry[])[]
}

/** Creates an empty log that continues after a snapshot. */
export const createLog = (baseIndex = 0, baseTerm = 0): Log => ({
  baseIndex,
  baseTerm,
  lastIndex: baseIndex,
  firstStored: baseIndex + 1,
  chunks: [],
})

/** Entry at `index`, or undefined outside the stored range. */
export const entryAt = (log: Log, index: number): types.LogEntry | undefined => {
  if (index <= log.baseIndex || index > log.lastIndex) return undefined
  const offset = index - log.firstStored
  return log.chunks[Math.floor(offset / entriesPerChunk)]?.[offset % entriesPerChunk]
}

/** Term at `index`, or undefined if it is compacted or beyond the end. */
export const termAt = (log: Log, index: number): number | undefined =>
  index === log.baseIndex ? log.baseTerm : entryAt(log, index)?.term

export const lastTerm = (log: Log): number => termAt(log, log.lastIndex) ?? log.baseTerm

/** Appends entries that continue the log without a gap. */
export const append = (log: Log, entries: readonly types.LogEntry[]): Log => {
  if (entries.length === 0) return log
  const chunks = [...log.chunks]
  let tail = chunks.pop() ?? []
  for (let copiedCount = 0; copiedCount < entries.length;) {
    const added = entries.slice(copiedCount, copiedCount + entriesPerChunk - tail.length)
    tail = [...tail, ...added]
    copiedCount += added.length
    if (tail.length === entriesPerChunk) {
      chunks.push(tail)
      tail = []
    }
  }
  if (tail.length > 0) chunks.push(tail)
  return { ...log, lastIndex: log.lastIndex + entries.length, chunks }
}

/** Removes the entries from `index` on. */
export const truncateFrom = (log: Log, index: number): Log => {
  if (index > log.lastIndex) return log
  const kept = Math.max(index - log.firstStored, 0)
  const full = Math.floor(kept / entriesPerChunk)
  const tail = (log.chunks[full] ?? []).slice(0, kept % entriesPerChunk)
  const chunks = log.chunks.slice(0, full)
  return { ...log, lastIndex: index - 1, chunks: tail.length > 0 ? [...chunks, tail] : chunks }
}

/** Compacts the log up to and including `index`, which must be in the log. */
export const compactTo = (log: Log, index: number): Log => {
  const term = termAt(log, index)
  if (term === undefined || index <= log.baseIndex) return log
  const dropped = Math.floor((index - log.firstStored + 1) / entriesPerChunk)
  return {
    baseIndex: index,
    baseTerm: term,
    lastIndex: log.lastIndex,
    firstStored: log.firstStored + dropped * entriesPerChunk,
    chunks: log.chunks.slice(dropped),
  }
}

/** Entries from `index` on with at most `maxBytes` of payload; a first entry that is larger is returned alone. */
export const slice = (
  log: Log,
  index: number,
  maxBytes: number,
  lastIndex = log.lastIndex,
): readonly types.LogEntry[] => {
  const entries: types.LogEntry[] = []
  let bytes = 0
  for (let at = index; at <= lastIndex; at += 1) {
    const entry = entryAt(log, at)
    if (entry === undefined) break
    bytes += entry.payload.length
    if (entries.length > 0 && bytes > maxBytes) break
    entries.push(entry)
  }
  return entries
}
