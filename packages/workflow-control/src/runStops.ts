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
  /** The run was ordered to start where nothing may start any more. */
  | 'start withdrawn'

export interface RunStops {
  /** Orders runs to stop, except those that were ordered to stop a short time ago. */
  readonly stop: (
    session: sessions.WorkerSession,
    runs: readonly TaskRun[],
    reason: StopReason,
  ) => void
}

export interface RunStopsOptions {
  readonly logger: telemetry.Logger
}

export const createRunStops = ({ logger }: RunStopsOptions): RunStops => ({
  stop: (session, runs, reason) => {
    const sent = session.stop(runs)
    if (sent.length === 0) return
    logger.info('runs ordered to stop', {
      worker: session.identity?.id,
      reason,
      count: sent.length,
      runs: runLabels.describeRuns(sent),
    })
  },
})
