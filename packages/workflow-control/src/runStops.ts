/** Orders of the leader that stop runs; all of them go through here. */
import type * as protocol from '@ebonyweir/protocol'
import type * as telemetry from '@ebonyweir/telemetry/logger'
import type * as workflowState from '@ebonyweir/workflow-state'
import type * as disruptionBudgets from './disruptionBudget.js'
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

/** Reasons for which the leader chooses to stop a run that could go on; the other stops are not optional. */
const OPTIONAL_REASONS: ReadonlySet<StopReason> = new Set(['stalled', 'moved'])

export interface RunStops {
  /**
   * Orders runs to stop, except those that were ordered to stop a short time ago. An optional stop that exceeds the
   * disruption budget of its step is put off until it is asked for again.
   */
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
  readonly budget: Pick<disruptionBudgets.DisruptionBudget, 'admit'>
  /** The active run with this number, if it is still active. */
  readonly activeRun: (run: TaskRun) => workflowState.ActiveRun | undefined
}

export const createRunStops = ({ logger, budget, activeRun }: RunStopsOptions): RunStops => {
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

  const isAdmitted = (run: TaskRun): boolean => {
    const active = activeRun(run)
    return active !== undefined && budget.admit(active)
  }

  return {
    stop: (session, runs, reason) => {
      const admitted = OPTIONAL_REASONS.has(reason) ? runs.filter(isAdmitted) : runs
      log('runs ordered to stop', session, session.stop(admitted), reason)
    },
    withdrawStarts: (session, runs) => {
      log('start orders withdrawn', session, session.withdraw(runs))
    },
  }
}
