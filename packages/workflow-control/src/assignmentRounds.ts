/** Rounds of assignments of one term: plans, commits and sends the starts, one round at a time. */
import type * as protocol from '@ebonyweir/protocol'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as workflowState from '@ebonyweir/workflow-state'
import type * as context from './context.js'
import * as runLabels from './runLabels.js'

/** Most assignments of one command, so that one commit stays small. */
const MAX_ASSIGNMENTS_PER_ROUND = 200

/** Pause that collects what happens together into one round of assignments, in milliseconds. */
const DISPATCH_DELAY_MS = 6

export interface AssignmentRoundsOptions {
  readonly ctx: context.ControlContext
  readonly term: number
  readonly expected: scheduling.Durations
  readonly disturbance: scheduling.Disturbance
  /** Workers that may get new runs now. */
  readonly eligibleWorkers: () => readonly scheduling.PlacementWorker[]
  readonly fillerRank: scheduling.PlacementInput['fillerRank']
  readonly avoids: scheduling.PlacementInput['avoids']
  /** Sends the starts of committed assignments to their workers. */
  readonly start: (accepted: readonly protocol.workflow.Assignment[]) => void
}

export interface AssignmentRounds {
  /** Plans a round soon, if steps are ready. */
  readonly dispatch: () => void
  readonly stop: () => void
}

export const createAssignmentRounds = (options: AssignmentRoundsOptions): AssignmentRounds => {
  const { ctx, term, expected, disturbance } = options
  const { view, nowMs } = ctx
  const readySinceMs = new WeakMap<workflowState.StepView, number>()
  let timer: NodeJS.Timeout | undefined
  let planning = false
  let planAgain = false
  let stopped = false

  const waitedMs = (step: workflowState.StepView): number => {
    const now = nowMs()
    const since = readySinceMs.get(step) ?? now
    readySinceMs.set(step, since)
    return now - since
  }

  const planRound = async (): Promise<void> => {
    if (ctx.leadingTerm() !== term) return
    const plan = ctx.work.measure('plan', () =>
      scheduling.planAssignments({
        view,
        workers: options.eligibleWorkers(),
        expected,
        nowMs: Date.now(),
        maxAssignments: MAX_ASSIGNMENTS_PER_ROUND,
        disturbance,
        fillerRank: options.fillerRank,
        waitedMs,
        avoids: options.avoids,
      }),
    )
    ctx.work.count('rounds')
    ctx.work.count('tasksLookedAt', plan.tasksLookedAt)
    if (plan.assignments.length === 0) return
    const result = await ctx.propose({ $case: 'assign', value: plan })
    if (result.isErr() || result.value.kind !== 'assigned') return
    const { accepted } = result.value
    ctx.options.logger.info('runs assigned', {
      planned: plan.assignments.length,
      accepted: accepted.length,
      runs: accepted.slice(0, runLabels.MAX_LOGGED_RUNS).map(({ task, worker }) => {
        return `${task ? workflowState.runKey(task) : ''} ${worker?.id ?? ''}`
      }),
    })
    options.start(accepted)
  }

  const plan = (): void => {
    timer = undefined
    if (stopped) return
    if (planning) {
      planAgain = true
      return
    }
    planning = true
    void planRound().finally(() => {
      planning = false
      if (!planAgain) return
      planAgain = false
      dispatch()
    })
  }

  const dispatch = (): void => {
    if (stopped || view.readySteps.size === 0) return
    timer ??= setTimeout(plan, DISPATCH_DELAY_MS)
  }

  return {
    dispatch,
    stop: () => {
      stopped = true
      clearTimeout(timer)
    },
  }
}
