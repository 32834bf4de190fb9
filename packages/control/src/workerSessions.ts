/** Soft state of the control leader about each worker: leases, running tasks and usage. */
import * as protocol from '@ebonyweir/protocol'
import type * as scheduling from '@ebonyweir/scheduling'

/** Added to the lease before a worker counts as lost, on top of the clock drift, in milliseconds. */
const LOST_MARGIN_MS = 2_300

/** Time from the receipt of a worker's last sync until it has stopped every task, in milliseconds. */
export const WORKER_LOST_AFTER_MS =
  protocol.limits.WORKER_LEASE_MS * (1 + protocol.limits.CLOCK_DRIFT) + LOST_MARGIN_MS

export interface WorkerReport extends scheduling.WorkerReport {
  /** Grows with each sync of one incarnation. */
  readonly sequence: number
}

export interface WorkerSession extends WorkerReport {
  readonly lastSyncAtMs: number
}

export interface WorkerSessions {
  /** Takes a report; false if an older sync of the worker arrives after a newer one. */
  readonly note: (worker: string, report: WorkerReport, nowMs: number) => boolean
  readonly get: (worker: string) => WorkerSession | undefined
  readonly all: () => IterableIterator<WorkerSession>
  /** True once the worker's lease has ended on its own clock, whatever its clock's rate. */
  readonly isLost: (worker: string, nowMs: number) => boolean
}

/**
 * Creates the sessions of one leadership term.
 *
 * A worker that has not synced in this term counts as if it had synced at `electedAtMs`: an earlier
 * leader may have renewed its lease until then.
 */
export const createWorkerSessions = (electedAtMs: number): WorkerSessions => {
  const sessions = new Map<string, WorkerSession>()

  const note = (worker: string, report: WorkerReport, nowMs: number): boolean => {
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
    note,
    get: (worker) => sessions.get(worker),
    all: () => sessions.values(),
    isLost,
  }
}
