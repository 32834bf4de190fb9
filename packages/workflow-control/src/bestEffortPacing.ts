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
const MIN_SLOW_TIME_BEFORE_MOVE_MS = 600

/** Moves per second and worker, so that the figures reflect earlier moves; a fleet of 11 workers then moves 6.6 a second. */
const MOVES_PER_WORKER_S = 0.6

/** Time over which unused moves add up, in milliseconds: the interval of the workers' run lists. */
const MOVE_BURST_MS = 400

const SECOND_MS = 1_000

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
  /** Whether a run has been slow for long and loses little work by a move. */
  readonly mayMove: (active: workflowState.ActiveRun, run: protocol.workflow.TaskRun) => boolean
  /**
   * Chooses the runs that move now, because better workers are available: those of the first-ranked jobs, within the moves
   * that a fleet of `workerCount` workers may make.
   */
  readonly chooseMoves: <Candidate extends MoveCandidate>(
    movable: readonly Candidate[],
    workerCount: number,
    workerSearch: scheduling.BestEffortWorkerSearch,
  ) => readonly Candidate[]
  /** Forgets a run that ended. */
  readonly forget: (key: string) => void
}

/** Run that may move to another worker. */
export interface MoveCandidate {
  readonly active: workflowState.ActiveRun
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
  let availableMoves = 0
  let chosenMs = nowMs()

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
    mayMove: (active, run) => {
      const since = slowSinceMs.get(workflowState.runKey(run))
      if (since === undefined || nowMs() - since < MIN_SLOW_TIME_BEFORE_MOVE_MS) return false
      return active.step.spec.checkpointing || options.percentOf(run) < MAX_LOST_PROGRESS_PERCENT
    },
    chooseMoves: (movable, workerCount, workerSearch) => {
      const now = nowMs()
      const movesPerMs = (MOVES_PER_WORKER_S * workerCount) / SECOND_MS
      const maxMoves = Math.max(1, movesPerMs * MOVE_BURST_MS)
      availableMoves = Math.min(maxMoves, availableMoves + movesPerMs * (now - chosenMs))
      chosenMs = now
      const chosen: (typeof movable)[number][] = []
      const byRank = [...movable].sort((a, b) => rankOf(a.active.step) - rankOf(b.active.step))
      for (const candidate of byRank) {
        if (availableMoves < 1) break
        if (!workerSearch.reserveAcceptableWorker(candidate.active.step)) continue
        availableMoves -= 1
        chosen.push(candidate)
      }
      return chosen
    },
    forget: (key) => {
      slowSinceMs.delete(key)
    },
  }
}
