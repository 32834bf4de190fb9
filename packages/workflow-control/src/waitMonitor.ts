/** Logs why steps other than best-effort (`filling`) ones wait for a worker. */
import type * as telemetry from '@ebonyweir/telemetry/logger'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as workflowState from '@ebonyweir/workflow-state'

/** Wait after which a step is logged, in milliseconds: well above the pause between two assignment rounds. */
const LONG_WAIT_MS = 1_000

/** Time between two lines for one step, in milliseconds, so that a long wait does not flood the log. */
const LOG_INTERVAL_MS = 5_000

export interface WaitMonitorOptions {
  readonly logger: telemetry.Logger
  readonly view: workflowState.WorkflowView
  readonly nowMs: () => number
  /** Workers that may get new runs now. */
  readonly eligibleWorkers: () => readonly scheduling.PlacementWorker[]
}

export interface WaitMonitor {
  /** Logs steps that have been waiting for a long time. */
  readonly sweep: () => void
}

interface Wait {
  readonly sinceMs: number
  assignedCount: number
  loggedMs: number
}

export const createWaitMonitor = (options: WaitMonitorOptions): WaitMonitor => {
  const { logger, view, nowMs } = options
  let waits = new Map<workflowState.StepView, Wait>()

  const log = (step: workflowState.StepView, waitedMs: number): void => {
    const claim = workflowState.claimOf(step.spec)
    logger.info('step waits for room', {
      step: `${step.job.spec.id}.${step.occurrence}.${step.index}`,
      queue: step.job.queue.name,
      lasting: step.spec.lasting,
      tasks: step.waitingCount,
      waitedMs: Math.round(waitedMs),
      cpuMillis: claim.cpuMillis,
      memoryMb: claim.memoryMb,
      // Numbers of workers; a worker that lacks several resources is counted for each.
      ...scheduling.shortagesOf(step, view, options.eligibleWorkers()),
    })
  }

  return {
    sweep: () => {
      const now = nowMs()
      const before = waits
      waits = new Map()
      for (const step of view.readySteps) {
        if (step.spec.filling) continue
        const known = before.get(step)
        // The assignment of a task of the step restarts its wait.
        const isSame = known?.assignedCount === step.assignedCount
        const wait =
          known !== undefined && isSame
            ? known
            : { sinceMs: now, assignedCount: step.assignedCount, loggedMs: -Infinity }
        waits.set(step, wait)
        const waitedMs = now - wait.sinceMs
        if (waitedMs < LONG_WAIT_MS || now - wait.loggedMs < LOG_INTERVAL_MS) continue
        wait.loggedMs = now
        log(step, waitedMs)
      }
    },
  }
}
