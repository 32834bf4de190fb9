/**
 * Tells the announcements of a worker's incarnation from those that another writer sends under the same identity. The
 * worker's own ones form a series: the same description, with sequence numbers that rise by about one each time.
 */
import type * as announcements from './announcement.js'

/** Rise of the sequence number that is plausible at any time: calls that were lost or sent to other addresses. */
const MAX_SEQUENCE_STEP = 20

/** Shortest interval at which a worker announces itself, in milliseconds. */
const MIN_ANNOUNCEMENT_INTERVAL_MS = 100

/** Announcements that another series needs before it is followed, while the followed one is silent. */
const ANNOUNCEMENTS_TO_FOLLOW = 2

/** Time between announcements that count as two, in milliseconds: delayed ones arrive together. */
const MIN_COUNTED_GAP_MS = 500

/** Series that are kept beside the followed one. */
const MAX_OTHER_SERIES = 4

type Own = announcements.OwnAnnouncement

export interface AnnouncementSeries {
  /** Returns whether the announcement is the worker's newest one, as far as can be told. */
  readonly accepts: (announcement: Own, nowMs: number) => boolean
  /** Sets whether the followed description cannot be the worker's, so that the next other one is accepted at once. */
  readonly setDoubt: (isDoubted: boolean) => void
}

interface Series {
  announcement: Own
  /** Time of the last counted announcement. */
  heardMs: number
  count: number
}

/** Description without the fields that may change during an incarnation. */
const describe = ({ worker }: Own): string =>
  JSON.stringify([
    worker.service,
    worker.failureDomain,
    worker.rack,
    worker.labels,
    worker.capacity?.cpuMillis,
    worker.capacity?.memoryMb,
    worker.capacity?.accelerators,
  ])

const isContinuation = (series: Series, next: Own, nowMs: number): boolean => {
  const step = next.sequence - series.announcement.sequence
  const maxStep = MAX_SEQUENCE_STEP + (nowMs - series.heardMs) / MIN_ANNOUNCEMENT_INTERVAL_MS
  return step > 0 && step <= maxStep && describe(series.announcement) === describe(next)
}

/** @param first announcement that is followed until others contradict it; undefined follows the next one */
export const createAnnouncementSeries = (
  first: Own | undefined,
  sinceMs: number,
): AnnouncementSeries => {
  let followed: Series | undefined =
    first === undefined ? undefined : { announcement: first, heardMs: sinceMs, count: 1 }
  let isDoubted = false
  let others: Series[] = []

  const follow = (announcement: Own, nowMs: number): true => {
    followed = { announcement, heardMs: nowMs, count: 1 }
    others = []
    return true
  }

  /** Counts an announcement that does not continue the followed series; returns how often its own was heard. */
  const countOther = (announcement: Own, nowMs: number): number => {
    const known = others.find((series) => isContinuation(series, announcement, nowMs))
    if (known === undefined) {
      others = [...others, { announcement, heardMs: nowMs, count: 1 }].slice(-MAX_OTHER_SERIES)
      return 1
    }
    known.announcement = announcement
    if (nowMs - known.heardMs >= MIN_COUNTED_GAP_MS) {
      known.heardMs = nowMs
      known.count += 1
    }
    return known.count
  }

  return {
    accepts: (announcement, nowMs) => {
      if (followed === undefined) return follow(announcement, nowMs)
      if (isContinuation(followed, announcement, nowMs)) return follow(announcement, nowMs)
      const isOther = describe(followed.announcement) !== describe(announcement)
      if (isDoubted && isOther) {
        isDoubted = false
        return follow(announcement, nowMs)
      }
      const heardCount = countOther(announcement, nowMs)
      return heardCount >= ANNOUNCEMENTS_TO_FOLLOW && follow(announcement, nowMs)
    },
    setDoubt: (doubted) => {
      isDoubted = doubted
    },
  }
}
