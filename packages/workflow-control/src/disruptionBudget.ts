/**
 * Limits how many tasks of a long-running step are away at a time through stops that the leader chooses. The caller of the
 * job sets the limit (`maxAway`).
 */
import type * as protocol from '@ebonyweir/protocol'
import * as workflowState from '@ebonyweir/workflow-state'
import * as runLabels from './runLabels.js'
import type * as sessions from './workerSession.js'

/** Age from which a list does not show any more that a task is at work, in milliseconds: two lists were missed. */
const MAX_EVIDENCE_AGE_MS = 1_200

const FULL_PERCENT = 100

export interface DisruptionBudgetOptions {
  readonly nowMs: () => number
  /** Session of the worker incarnation with the key. */
  readonly sessionOf: (key: string) => sessions.WorkerSession | undefined
}

export interface DisruptionBudget {
  /** Whether the run may be stopped now; an admitted run counts as away from then on. */
  readonly admit: (active: workflowState.ActiveRun) => boolean
  /** Drops what is known of a run that has ended. */
  readonly forget: (run: protocol.workflow.TaskRun) => void
}

export const createDisruptionBudget = (options: DisruptionBudgetOptions): DisruptionBudget => {
  /** Keys of the runs that were admitted and have not ended. */
  const admitted = new Set<string>()

  /** Whether a recent list of its worker shows the task at work, and no stop is under way. */
  const isAtWork = (active: workflowState.ActiveRun): boolean => {
    const { phase, worker } = active.task
    if (phase !== 'assigned' || worker === undefined) return false
    const key = workflowState.runKey(runLabels.runOf(active))
    const session = options.sessionOf(workflowState.workerKey(worker))
    if (session?.listedMs === undefined || session.draining || admitted.has(key)) return false
    if (options.nowMs() - session.listedMs > MAX_EVIDENCE_AGE_MS) return false
    return session.running.get(key)?.progressPercent === FULL_PERCENT
  }

  return {
    admit: (active) => {
      const { step, task } = active
      const { maxAway } = step.spec
      if (maxAway === 0) return true
      const away = step.tasks.filter((other) => other !== task && !isAtWork({ step, task: other }))
      if (away.length >= maxAway) return false
      admitted.add(workflowState.runKey(runLabels.runOf(active)))
      return true
    },
    forget: (run) => {
      admitted.delete(workflowState.runKey(run))
    },
  }
}
