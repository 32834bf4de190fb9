/** Orders of the leader that stop runs; all of them go through here. */
import type * as protocol from '@ebonyweir/protocol'
import type * as telemetry from '@ebonyweir/telemetry/logger'
import * as runLabels from './runLabels.js'
import type * as sessions from './workerSession.js'

type TaskRun = protocol.workflow.TaskRun

/** Why a run has to stop. */
export type StopReason =
  /** The job was cancelled, or failed. */
  | 'job ended'
  /** The run is assigned to no worker or to another one. */
  | 'not assigned'
  /** The run is assigned to an earlier incarnation of the worker. */
  | 'earlier incarnation'
  /** The worker is leaving. */
  | 'worker drains'
  /** The worker sent no list for longer than its lease. */
  | 'worker lost'
  /** The run makes no progress. */
  | 'stalled'
  /** The run may work better elsewhere. */
  | 'moved'

export interface RunStops {
  /** Orders runs to stop, except those that were ordered to stop a short time ago. */
  readonly stop: (
    session: sessions.WorkerSession,
    runs: readonly TaskRun[],
    reason: StopReason,
  ) => void
  /**
   * Withdraws the start orders of runs where nothing may start any more. The leader's list may be older than the start, or
   * missing, so the worker's own next list decides: a run that it shows goes on.
   */
  readonly withdrawStarts: (session: sessions.WorkerSession, runs: readonly TaskRun[]) => void
}

export interface RunStopsOptions {
  readonly logger: telemetry.Logger
}

export const createRunStops = ({ logger }: RunStopsOptions): RunStops => {
  const log = (
    message: string,
    session: sessions.WorkerSession,
    runs: readonly TaskRun[],
    reason?: StopReason,
  ): void => {
    if (runs.length === 0) return
    const worker = session.identity?.id
    logger.info(message, {
      worker,
      reason,
      count: runs.length,
      runs: runLabels.describeRuns(runs),
    })
  }

  return {
    stop: (session, runs, reason) => {
      log('runs ordered to stop', session, session.stop(runs), reason)
    },
    withdrawStarts: (session, runs) => {
      log('start orders withdrawn', session, session.withdraw(runs))
    },
  }
}
