/**
 * Sets the pace of best-effort (`filling`) runs, the share of full speed that they may use, from the figures that workers
 * report, and finds runs that should move to another worker.
 */
import type * as protocol from '@ebonyweir/protocol'
import type * as scheduling from '@ebonyweir/workflow-scheduling'
import * as workflowState from '@ebonyweir/workflow-state'
import type * as sessions from './workerSession.js'

/** Pace up to which a best-effort run counts as slow, in percent. */
const SLOW_PACE_PERCENT = 20

/** Time for which a run must have been slow before it may move, in milliseconds: the load of its neighbours may fall. */
const MIN_SLOW_TIME_BEFORE_MOVE_MS = 1_200

/** Minimum time between two moves, in milliseconds, so that the figures reflect the previous move. */
const MOVE_INTERVAL_MS = 150

/** Progress below which a run without checkpoints may move, in percent: it loses little work. */
const MAX_LOST_PROGRESS_PERCENT = 20

export interface BestEffortPacingOptions {
  readonly disturbance: scheduling.InterferenceModel
  readonly rankOf: (step: workflowState.StepView) => number
  /** CPU that the other tasks of a worker leave to best-effort tasks. */
  readonly leftCpuMillis: (session: sessions.WorkerSession) => number
  readonly activeRun: (run: protocol.workflow.TaskRun) => workflowState.ActiveRun | undefined
  readonly nowMs: () => number
  /** Progress of a run in percent. */
  readonly percentOf: (run: protocol.workflow.TaskRun) => number
}

export interface BestEffortPacing {
  /** Updates the interference model from a worker's newest run list and orders new paces. */
  readonly pace: (session: sessions.WorkerSession) => void
  /** Whether a slow run should move because a better worker is available; at most one move per interval. */
  readonly shouldMove: (
    active: workflowState.ActiveRun,
    run: protocol.workflow.TaskRun,
    workerSearch: scheduling.BestEffortWorkerSearch,
  ) => boolean
  /** Forgets a run that ended. */
  readonly forget: (key: string) => void
}

interface BestEffortRun extends scheduling.BestEffortTask {
  readonly run: protocol.workflow.TaskRun
}

interface Neighbours {
  readonly serving: readonly scheduling.LatencyCriticalTask[]
  readonly filling: readonly BestEffortRun[]
  readonly leftCpuMillis: number
}

export const createBestEffortPacing = (options: BestEffortPacingOptions): BestEffortPacing => {
  const { disturbance, activeRun, nowMs, rankOf } = options
  /** Time since which a run has been slow, by run key. */
  const slowSinceMs = new Map<string, number>()
  let movedMs = 0

  /** Latency-critical and best-effort runs of a worker with their figures. */
  const neighboursOf = (session: sessions.WorkerSession): Neighbours => {
    const serving: scheduling.LatencyCriticalTask[] = []
    const filling: BestEffortRun[] = []
    for (const { run, figure, pacePercent } of session.running.values()) {
      const active = run && activeRun(run)
      if (run === undefined || active === undefined) continue
      const { image, tailTargetMs, filling: isBestEffort } = active.step.spec
      const key = workflowState.runKey(run)
      if (tailTargetMs > 0) serving.push({ key, image, tailMs: figure, targetMs: tailTargetMs })
      else if (isBestEffort) {
        const { cpuMillis } = workflowState.claimOf(active.step.spec)
        const rank = rankOf(active.step)
        filling.push({ run, key, image, pacePercent, rank, cpuMillis, usedCpuMillis: figure })
      }
    }
    return { serving, filling, leftCpuMillis: options.leftCpuMillis(session) }
  }

  return {
    pace: (session) => {
      const neighbours = neighboursOf(session)
      const now = nowMs()
      disturbance.observe(session.key, neighbours, now)
      // The observation may have lowered the estimate of the CPU that is left.
      const corrected = { ...neighbours, leftCpuMillis: options.leftCpuMillis(session) }
      const wanted = disturbance.paces(session.key, corrected, now)
      const orders: protocol.workflow.PaceOrder[] = []
      for (const [index, { run, key, pacePercent }] of neighbours.filling.entries()) {
        const percent = wanted[index] ?? pacePercent
        if (percent !== pacePercent) orders.push({ run, percent })
        if (percent > SLOW_PACE_PERCENT) slowSinceMs.delete(key)
        else if (!slowSinceMs.has(key)) slowSinceMs.set(key, now)
      }
      session.pace(orders)
    },
    shouldMove: (active, run, workerSearch) => {
      const now = nowMs()
      const since = slowSinceMs.get(workflowState.runKey(run))
      if (since === undefined || now - since < MIN_SLOW_TIME_BEFORE_MOVE_MS) return false
      if (now - movedMs < MOVE_INTERVAL_MS) return false
      const losesLittle =
        active.step.spec.checkpointing || options.percentOf(run) < MAX_LOST_PROGRESS_PERCENT
      if (!losesLittle || !workerSearch.hasAcceptableWorker(active.step)) return false
      movedMs = now
      return true
    },
    forget: (key) => {
      slowSinceMs.delete(key)
    },
  }
}
