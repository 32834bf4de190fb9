/** Soft state of the leader for each worker: lease, running tasks and usage. */
import * as protocol from '@ebonyweir/protocol'
import type * as scheduling from '@ebonyweir/scheduling'

/** Margin beyond lease and clock drift before a worker counts as lost. */
const LOST_MARGIN_MS = 2_300

/** Time after receipt of a worker's last sync by which it has certainly stopped all tasks. */
export const WORKER_LOST_AFTER_MS =
  protocol.limits.WORKER_LEASE_MS * (1 + protocol.limits.CLOCK_DRIFT) + LOST_MARGIN_MS

export interface WorkerReport extends scheduling.WorkerReport {
  /** Increases with each sync of an incarnation. */
  readonly sequence: number
}

export interface WorkerSession extends WorkerReport {
  readonly lastSyncAtMs: number
}

export interface WorkerSessions {
  /** Records a report. Returns false if a newer one of the worker has already arrived. */
  readonly record: (worker: string, report: WorkerReport, nowMs: number) => boolean
  readonly get: (worker: string) => WorkerSession | undefined
  readonly all: () => IterableIterator<WorkerSession>
  /** True once the worker's lease has certainly expired, also on a slow worker clock. */
  readonly isLost: (worker: string, nowMs: number) => boolean
}

/**
 * Creates the sessions of one leadership term.
 *
 * A worker that has not synced in this term is treated as if it had synced at `electedAtMs`, since the
 * previous leader may have renewed its lease until then.
 */
export const createWorkerSessions = (electedAtMs: number): WorkerSessions => {
  const sessions = new Map<string, WorkerSession>()

  const record = (worker: string, report: WorkerReport, nowMs: number): boolean => {
    const known = sessions.get(worker)
    const isOlder =
      known !== undefined &&
      (report.incarnation < known.incarnation ||
        (report.incarnation === known.incarnation && report.sequence <= known.sequence))
    if (isOlder) return false
    sessions.set(worker, { ...report, lastSyncAtMs: nowMs })
    return true
  }

  const isLost = (worker: string, nowMs: number): boolean =>
    nowMs - (sessions.get(worker)?.lastSyncAtMs ?? electedAtMs) > WORKER_LOST_AFTER_MS

  return {
    record,
    get: (worker) => sessions.get(worker),
    all: () => sessions.values(),
    isLost,
  }
}
