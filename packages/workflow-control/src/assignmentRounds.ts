/** Assignment rounds of one term: plans and commits assignments and sends the start orders, one round at a time. */
import type * as protocol from '@ebonyweir/protocol'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as workflowState from '@ebonyweir/workflow-state'
import * as clocks from './clock.js'
import type * as context from './context.js'
import * as runLabels from './runLabels.js'

/** Maximum number of assignments in one command, so that a commit stays small. */
const MAX_ASSIGNMENTS_PER_ROUND = 200

/** Delay that batches concurrent changes into one round, in milliseconds. */
const DISPATCH_DELAY_MS = 6

/** Pause after a round as a multiple of its duration: each scope then takes at most about a fifth of the event loop. */
const PAUSE_FACTOR = 4

/** Longest pause, in milliseconds: the interval of the workers' run lists, on which best-effort placement depends. */
const MAX_PAUSE_MS = 400

/** Steps of a round; those that are not best-effort (`serving`) skip the pause that follows a round of all steps. */
type Scope = 'all' | 'serving'

export interface AssignmentRoundsOptions {
  readonly ctx: context.TermContext
  readonly term: number
  readonly expected: scheduling.Durations
  readonly disturbance: scheduling.InterferenceModel
  /** Workers that may get new runs now. */
  readonly eligibleWorkers: () => readonly scheduling.PlacementWorker[]
  readonly fillerRank: scheduling.PlacementInput['fillerRank']
  readonly mayDisturb: (step: workflowState.StepView) => boolean
  readonly avoids: scheduling.PlacementInput['avoids']
  /** @default no task waits for a near worker */
  readonly locality?: scheduling.LocalityWaits
  /** @default `planAssignments` of the scheduling package */
  readonly planAssignments?: typeof scheduling.planAssignments
  readonly shares?: scheduling.PlacementInput['shares']
  /** Sends the start orders of committed assignments to their workers. */
  readonly start: (accepted: readonly protocol.workflow.Assignment[]) => void
}

export interface AssignmentRounds {
  /** Schedules a round if steps are ready. */
  readonly dispatch: () => void
  /** Input of a round that would plan now. */
  readonly currentInput: () => scheduling.PlacementInput
  readonly stop: () => void
}

export const createAssignmentRounds = (options: AssignmentRoundsOptions): AssignmentRounds => {
  const { ctx, term, expected, disturbance, planAssignments = scheduling.planAssignments } = options
  const { view, nowMs } = ctx
  const readySinceMs = new WeakMap<workflowState.StepView, number>()
  const clock = ctx.clock ?? clocks.SYSTEM_CLOCK
  let cancelDispatch: (() => void) | undefined
  /** Cancels the round that is scheduled for the end of a pause. */
  let cancelPause: (() => void) | undefined
  /** Cancels the round that is scheduled for the end of a wait for a near worker. */
  let cancelWaitEnd: (() => void) | undefined
  let waitEndMs = Number.POSITIVE_INFINITY
  const pausedUntilMs: Record<Scope, number> = { all: 0, serving: 0 }
  let planning = false
  let planAgain = false
  let stopped = false

  const waitedMs = (step: workflowState.StepView): number => {
    const now = nowMs()
    const since = readySinceMs.get(step) ?? now
    readySinceMs.set(step, since)
    return now - since
  }

  const hasNonBestEffortSteps = (): boolean => {
    for (const { spec } of view.readySteps) if (!spec.filling) return true
    return false
  }

  /** Sets the pause of a scope from the planning time of its round; `beforeMs` is the total before that round. */
  const pauseAfter = (scope: Scope, beforeMs: number): void => {
    const spentMs = ctx.work.totals().spentMs.plan - beforeMs
    pausedUntilMs[scope] = nowMs() + Math.min(MAX_PAUSE_MS, PAUSE_FACTOR * spentMs)
  }

  const resumeIn = (waitMs: number): void => {
    cancelPause?.()
    cancelPause = clock.after(Math.ceil(waitMs), plan)
  }

  /**
   * Schedules a round for the end of the first wait; there is at most one such timer. A round that skips best-effort steps
   * keeps an earlier end, which may be of such a step.
   */
  const planAtWaitEnd = (scope: Scope, endMs = Number.POSITIVE_INFINITY): void => {
    const now = nowMs()
    const isKept = scope === 'serving' && waitEndMs > now
    waitEndMs = isKept ? Math.min(waitEndMs, endMs) : endMs
    cancelWaitEnd?.()
    cancelWaitEnd = undefined
    if (waitEndMs === Number.POSITIVE_INFINITY) return
    cancelWaitEnd = clock.after(Math.max(1, Math.ceil(waitEndMs - now)), dispatch)
  }

  const currentInput = (): scheduling.PlacementInput => ({
    view,
    workers: options.eligibleWorkers(),
    expected,
    nowMs: clock.timeOfDayMs(),
    maxAssignments: MAX_ASSIGNMENTS_PER_ROUND,
    disturbance,
    fillerRank: options.fillerRank,
    mayDisturb: options.mayDisturb,
    waitedMs,
    avoids: options.avoids,
    shares: options.shares,
    ...(options.locality && { locality: options.locality }),
  })

  const planRound = async (scope: Scope): Promise<void> => {
    if (ctx.leadingTerm() !== term) return
    const beforeMs = ctx.work.totals().spentMs.plan
    const plan = ctx.work.measure('plan', () =>
      planAssignments({ ...currentInput(), skipBestEffort: scope === 'serving' }),
    )
    if (options.locality !== undefined) planAtWaitEnd(scope, plan.firstWaitEndMs)
    // No pause after a full round: another one can place more tasks.
    if (plan.assignments.length < MAX_ASSIGNMENTS_PER_ROUND) pauseAfter(scope, beforeMs)
    ctx.work.count('rounds')
    ctx.work.count('tasksLookedAt', plan.tasksLookedAt)
    ctx.work.count('workersLookedAt', plan.workersLookedAt)
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
    if (stopped) return
    if (planning) {
      planAgain = true
      return
    }
    const now = nowMs()
    const waitMs = pausedUntilMs.all - now
    if (waitMs > 0 && !hasNonBestEffortSteps()) {
      resumeIn(waitMs)
      return
    }
    const nonBestEffortWaitMs = Math.min(waitMs, pausedUntilMs.serving - now)
    if (nonBestEffortWaitMs > 0) {
      resumeIn(nonBestEffortWaitMs)
      return
    }
    const scope = waitMs > 0 ? 'serving' : 'all'
    planning = true
    void planRound(scope).finally(() => {
      planning = false
      if (stopped) return
      if (scope === 'serving') resumeIn(pausedUntilMs.all - nowMs())
      if (!planAgain) return
      planAgain = false
      dispatch()
    })
  }

  const dispatch = (): void => {
    if (stopped || view.readySteps.size === 0) return
    cancelDispatch ??= clock.after(DISPATCH_DELAY_MS, () => {
      cancelDispatch = undefined
      plan()
    })
  }

  return {
    dispatch,
    currentInput,
    stop: () => {
      stopped = true
      cancelDispatch?.()
      cancelPause?.()
      cancelWaitEnd?.()
    },
  }
}
