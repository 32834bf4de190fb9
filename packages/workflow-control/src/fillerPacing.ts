/** Paces the filling runs of a term's workers from their figures, and finds those that should move. */
import type * as protocol from '@ebonyweir/protocol'
import type * as scheduling from '@ebonyweir/workflow-scheduling'
import * as workflowState from '@ebonyweir/workflow-state'
import type * as sessions from './workerSession.js'

/** Pace up to which a filler hardly works, in percent. */
const SLOW_PACE_PERCENT = 20

/** Time for which a filler hardly works before it may move, in milliseconds: the load of its neighbours may fall. */
const SLOW_TO_MOVE_MS = 1_200

/** Time between two moves of fillers, in milliseconds, so that each one sees the one before in the figures. */
const MOVE_INTERVAL_MS = 150

/** Progress up to which a filler without checkpoints loses little when it moves, in percent. */
const LITTLE_PERCENT = 20

export interface FillerPacingOptions {
  readonly disturbance: scheduling.Disturbance
  readonly rankOf: (step: workflowState.StepView) => number
  /** Processors that the other tasks of a worker leave to fillers. */
  readonly leftCpuMillis: (session: sessions.WorkerSession) => number
  readonly activeRun: (run: protocol.workflow.TaskRun) => workflowState.ActiveRun | undefined
  readonly nowMs: () => number
  /** Progress of a run in percent. */
  readonly percentOf: (run: protocol.workflow.TaskRun) => number
}

export interface FillerPacing {
  /** Learns from a worker's newest list and orders paces. */
  readonly pace: (session: sessions.WorkerSession) => void
  /** Whether a filler that hardly works leaves for a better place that there is; at most one in an interval. */
  readonly shouldMove: (
    active: workflowState.ActiveRun,
    run: protocol.workflow.TaskRun,
    places: scheduling.FillingPlaces,
  ) => boolean
  /** Forgets a run that ended. */
  readonly forget: (key: string) => void
}

interface FillingRun extends scheduling.FillingTask {
  readonly run: protocol.workflow.TaskRun
}

interface Neighbours {
  readonly serving: readonly scheduling.ServingTask[]
  readonly filling: readonly FillingRun[]
  readonly leftCpuMillis: number
}

export const createFillerPacing = (options: FillerPacingOptions): FillerPacing => {
  const { disturbance, activeRun, nowMs, rankOf } = options
  /** Since when a filler has hardly worked, by run key. */
  const slowSinceMs = new Map<string, number>()
  let movedMs = 0

  /** Serving and filling runs of a worker with their figures. */
  const neighboursOf = (session: sessions.WorkerSession): Neighbours => {
    const serving: scheduling.ServingTask[] = []
    const filling: FillingRun[] = []
    for (const { run, figure, pacePercent } of session.running.values()) {
      const active = run && activeRun(run)
      if (run === undefined || active === undefined) continue
      const { image, tailTargetMs, filling: fills } = active.step.spec
      const key = workflowState.runKey(run)
      if (tailTargetMs > 0) serving.push({ key, image, tailMs: figure, targetMs: tailTargetMs })
      else if (fills) {
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
      // The list may show that less is left than was estimated.
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
    shouldMove: (active, run, places) => {
      const now = nowMs()
      const since = slowSinceMs.get(workflowState.runKey(run))
      if (since === undefined || now - since < SLOW_TO_MOVE_MS) return false
      if (now - movedMs < MOVE_INTERVAL_MS) return false
      const losesLittle = active.step.spec.checkpointing || options.percentOf(run) < LITTLE_PERCENT
      if (!losesLittle || !places.hasGoodPlace(active.step)) return false
      movedMs = now
      return true
    },
    forget: (key) => {
      slowSinceMs.delete(key)
    },
  }
}
