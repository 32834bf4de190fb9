/** Logs why steps other than best-effort (`filling`) ones wait for a worker. */
import type * as telemetry from '@ebonyweir/telemetry/logger'
import type * as scheduling from '@ebonyweir/workflow-scheduling'
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

/** Numbers of workers by what they lack for one more task of a step. */
interface Shortages {
  workers: number
  /** Evacuated, without the required label, or at the limit of tasks of the step per worker. */
  excluded: number
  cpu: number
  memory: number
  /** Workers that lack only memory, and would have enough without their best-effort tasks. */
  memoryOfFillers: number
}

const bestEffortMemoryMb = (load: workflowState.WorkerLoad | undefined): number => {
  let sum = 0
  for (const { step } of load?.runs.values() ?? []) {
    if (step.spec.filling) sum += workflowState.claimOf(step.spec).memoryMb
  }
  return sum
}

export const createWaitMonitor = (options: WaitMonitorOptions): WaitMonitor => {
  const { logger, view, nowMs } = options
  let waits = new Map<workflowState.StepView, Wait>()

  const shortagesOf = (step: workflowState.StepView): Shortages => {
    const found: Shortages = { workers: 0, excluded: 0, cpu: 0, memory: 0, memoryOfFillers: 0 }
    const { requiredLabel, maxPerWorker } = step.spec
    const claim = workflowState.claimOf(step.spec)
    for (const { description } of options.eligibleWorkers()) {
      const { identity, capacity, service, labels, failureDomain } = description
      if (identity === undefined || capacity === undefined) continue
      if (service !== step.job.queue.service) continue
      found.workers += 1
      const load = view.loads.get(workflowState.workerKey(identity))
      const isFull = maxPerWorker > 0 && (load?.runsOfStep.get(step) ?? 0) >= maxPerWorker
      const isUnlabelled = requiredLabel !== '' && !labels.includes(requiredLabel)
      if (isFull || isUnlabelled || view.evacuated.has(failureDomain)) {
        found.excluded += 1
        continue
      }
      const lacksCpu = (load?.cpuMillis ?? 0) + claim.cpuMillis > capacity.cpuMillis
      const missingMemoryMb = (load?.memoryMb ?? 0) + claim.memoryMb - capacity.memoryMb
      if (lacksCpu) found.cpu += 1
      if (missingMemoryMb > 0) found.memory += 1
      if (!lacksCpu && missingMemoryMb > 0 && bestEffortMemoryMb(load) >= missingMemoryMb) {
        found.memoryOfFillers += 1
      }
    }
    return found
  }

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
      ...shortagesOf(step),
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
