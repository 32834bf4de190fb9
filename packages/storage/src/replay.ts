import * as protocol from '@ebonyweir/protocol'
import * as results from 'ts-results-es'
import * as errors from './errors.js'
import * as fileHeader from './fileHeader.js'
import * as frames from './frame.js'

type LogEntry = protocol.replication.LogEntry
type DiskWrite = protocol.disk.DiskWrite

export interface HardState {
  readonly term: number
  readonly votedFor: string | undefined
}

/** Log that is rebuilt from the segments read so far. */
export interface ReplayedLog {
  hardState: HardState
  entries: LogEntry[]
  lastSequence: number | undefined
}

export const createReplayedLog = (): ReplayedLog => ({
  hardState: { term: 0, votedFor: undefined },
  entries: [],
  lastSequence: undefined,
})

const applyWrite = (log: ReplayedLog, write: DiskWrite): string | undefined => {
  if (write.hardState !== undefined) {
    const { term, votedFor } = write.hardState
    log.hardState = { term, votedFor: votedFor === '' ? undefined : votedFor }
  }
  const first = log.entries[0]
  if (write.truncateFrom > 0 && first !== undefined) {
    log.entries.length = Math.max(Math.min(write.truncateFrom - first.index, log.entries.length), 0)
  }
  for (const entry of write.entries) {
    const previous = log.entries.at(-1)
    if (previous !== undefined && entry.index <= previous.index) {
      return `entry ${entry.index} follows entry ${previous.index}`
    }
    // A gap is valid where a received snapshot replaced the log; the caller checks it against the snapshot.
    if (previous !== undefined && entry.index > previous.index + 1) log.entries = []
    log.entries.push(entry)
  }
  return undefined
}

/** Highest entry index in a record; 0 if it has no entries. */
export const highestIndex = (writes: readonly DiskWrite[]): number =>
  writes.reduce((highest, write) => Math.max(highest, write.entries.at(-1)?.index ?? 0), 0)

export interface SegmentReplay {
  /** Length of the intact part; shorter than the file if a torn tail must be truncated. */
  readonly intactBytes: number
  readonly highestIndex: number
}

const applyFrame = (log: ReplayedLog, frame: frames.Frame): results.Result<number, string> => {
  if (log.lastSequence !== undefined && frame.sequence !== log.lastSequence + 1) {
    return results.Err(`frame ${frame.sequence} follows frame ${log.lastSequence}`)
  }
  log.lastSequence = frame.sequence
  const { writes } = protocol.disk.DiskRecord.decode(frame.payload)
  for (const write of writes) {
    const problem = applyWrite(log, write)
    if (problem !== undefined) return results.Err(problem)
  }
  return results.Ok(highestIndex(writes))
}

/** Whether the first sync of a new segment never completed: no file header and no intact record. */
const isUninitialized = (bytes: Buffer): boolean => {
  if (bytes.length < fileHeader.headerBytes) return true
  const isZeroed = bytes.subarray(0, fileHeader.headerBytes).every((byte) => byte === 0)
  return isZeroed && !frames.hasLaterFrame(bytes, -1, -1)
}

/**
 * Replays one segment.
 *
 * An incomplete record is a torn tail only at the end of the last segment. Each record is written after the sync of the
 * previous one, so an intact record after a broken one proves damage.
 */
export const replaySegment = (
  log: ReplayedLog,
  name: string,
  bytes: Buffer,
  isLast: boolean,
): results.Result<SegmentReplay, errors.OpenError> => {
  if (isLast && isUninitialized(bytes)) return results.Ok({ intactBytes: 0, highestIndex: 0 })
  const checked = fileHeader.check(name, 'EWSG', bytes)
  if (checked.isErr()) return results.Err(checked.error)
  let offset = fileHeader.headerBytes
  let highest = 0
  while (offset < bytes.length) {
    const found = frames.decodeAt(bytes, offset)
    if (found === undefined) {
      const isTorn = isLast && !frames.hasLaterFrame(bytes, offset, log.lastSequence ?? 0)
      if (isTorn) break
      return results.Err(errors.damaged(name, `damaged record at byte ${offset}`))
    }
    const applied = applyFrame(log, found.frame)
    if (applied.isErr()) return results.Err(errors.damaged(name, applied.error))
    highest = Math.max(highest, applied.value)
    offset = found.end
  }
  return results.Ok({ intactBytes: offset, highestIndex: highest })
}
