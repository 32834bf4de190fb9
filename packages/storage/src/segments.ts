import * as path from 'node:path'
import * as protocol from '@ebonyweir/protocol'
import * as results from 'ts-results-es'
import type * as errors from './errors.js'
import * as fileHeader from './fileHeader.js'
import type * as fileSystems from './fileSystem.js'
import * as frames from './frame.js'
import * as replay from './replay.js'

type DiskWrite = protocol.disk.DiskWrite

interface Segment {
  readonly name: string
  highestIndex: number
}

const fileName = (sequence: number): string => `log-${String(sequence).padStart(16, '0')}.seg`

export const isSegment = (name: string): boolean => /^log-\d{16}\.seg$/.test(name)

/** Files with the records of the log, oldest first; only the last one is written to. */
export interface Segments {
  /** Writes one record and syncs it. */
  append(writes: readonly DiskWrite[]): Promise<void>
  /** Starts a new segment and removes segments without entries after `index`. */
  compact(index: number): Promise<void>
  close(): Promise<void>
}

/** Replayed log and the segments that continue it. */
export interface OpenedSegments {
  readonly segments: Segments
  readonly log: replay.ReplayedLog
}

/** Replays all segments of a folder, truncates a torn tail and opens the last segment for writing. */
export const openSegments = async (
  fileSystem: fileSystems.FileSystem,
  folder: string,
  maxSegmentBytes: number,
): Promise<results.Result<OpenedSegments, errors.OpenError>> => {
  const names = (await fileSystem.list(folder)).filter(isSegment)
  const log = replay.createReplayedLog()
  const knownSegments: Segment[] = []
  for (const [position, name] of names.entries()) {
    const isLast = position === names.length - 1
    const bytes = await fileSystem.read(path.join(folder, name))
    const replayed = replay.replaySegment(log, name, bytes, isLast)
    if (replayed.isErr()) return results.Err(replayed.error)
    const { intactBytes, highestIndex } = replayed.value
    if (intactBytes < bytes.length) await fileSystem.truncate(path.join(folder, name), intactBytes)
    knownSegments.push({ name, highestIndex })
  }
  const segments = await resumeSegments(fileSystem, folder, knownSegments, log, maxSegmentBytes)
  return results.Ok({ segments, log })
}

const resumeSegments = async (
  fileSystem: fileSystems.FileSystem,
  folder: string,
  knownSegments: Segment[],
  log: replay.ReplayedLog,
  maxSegmentBytes: number,
): Promise<Segments> => {
  let sequence = log.lastSequence ?? 0
  let { hardState } = log
  let active = knownSegments.at(-1)
  let file: fileSystems.AppendFile | undefined

  const appendFrame = async (target: fileSystems.AppendFile, writes: readonly DiskWrite[]) => {
    sequence += 1
    const payload = Buffer.from(protocol.disk.DiskRecord.encode({ writes }).finish())
    await target.append(frames.encode({ sequence, payload }))
  }

  // Each segment starts with the hard state, so that older segments can be removed.
  const startSegment = async (): Promise<fileSystems.AppendFile> => {
    await file?.close()
    active = { name: fileName(sequence + 1), highestIndex: 0 }
    knownSegments.push(active)
    const created = await fileSystem.open(path.join(folder, active.name))
    await created.append([fileHeader.encode('EWSG')])
    await appendFrame(created, [
      {
        hardState: { ...hardState, votedFor: hardState.votedFor ?? '' },
        truncateFrom: 0,
        entries: [],
      },
    ])
    await created.sync()
    await fileSystem.syncFolder(folder)
    file = created
    return created
  }

  // Intact bytes may so far exist only in the page cache, so they are synced. A segment without its first record lacks
  // the hard state and is recreated.
  const reopen = async (segment: Segment): Promise<void> => {
    const opened = await fileSystem.open(path.join(folder, segment.name))
    if (opened.length <= fileHeader.headerBytes) {
      await opened.close()
      await fileSystem.remove(path.join(folder, segment.name))
      knownSegments.pop()
      await startSegment()
      return
    }
    await opened.sync()
    await fileSystem.syncFolder(folder)
    file = opened
  }

  if (active === undefined) await startSegment()
  else await reopen(active)

  return {
    append: async (writes) => {
      const full = file === undefined || file.length >= maxSegmentBytes
      const target = full || file === undefined ? await startSegment() : file
      await appendFrame(target, writes)
      await target.sync()
      for (const write of writes) {
        if (write.hardState !== undefined) hardState = write.hardState
      }
      if (active) active.highestIndex = Math.max(active.highestIndex, replay.highestIndex(writes))
    },
    compact: async (index) => {
      await startSegment()
      for (;;) {
        const oldest = knownSegments[0]
        if (oldest === undefined || oldest === active || oldest.highestIndex > index) return
        // Removed and synced one at a time, so that a crash never leaves a gap between segments.
        await fileSystem.remove(path.join(folder, oldest.name))
        await fileSystem.syncFolder(folder)
        knownSegments.shift()
      }
    },
    close: async () => {
      await file?.close()
    },
  }
}
