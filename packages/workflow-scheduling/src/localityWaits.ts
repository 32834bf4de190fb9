/** Waits of the steps of one leader's term for workers near their data. Soft state: a new leader starts without it. */
import type * as workflowState from '@ebonyweir/workflow-state'
import * as localityWait from './localityWait.js'

export interface LocalityWaitsOptions {
  /** @default `createExpectedTimePolicy` */
  readonly policy?: localityWait.LocalityPolicy
  /** How many times as long a task takes on a remote worker; above 1. */
  readonly remoteFactor: number
  /** Expected remaining time of a run that is assigned to a worker, in milliseconds. */
  readonly remainingMs: (active: workflowState.ActiveRun) => number
  /** Monotonic clock of the term. */
  readonly nowMs: () => number
  /** Called when a step begins to wait; at most once per step. */
  readonly onWait?: (wait: StartedWait) => void
}

export interface StartedWait {
  readonly step: workflowState.StepView
  readonly racks: readonly string[]
  readonly expectedWaitMs: number
  readonly lossMs: number
  readonly boundMs: number
}

export interface LocalityTotals {
  /** Steps that began to wait. */
  readonly waits: number
  /** Tasks that were placed near, placed remotely, and that waited. */
  readonly decisions: Readonly<Record<localityWait.LocalityDecision['kind'], number>>
  /** Time for which tasks waited, summed over the tasks. */
  readonly waitedMs: number
}

/** What a step asks at one decision, in addition to its state here. */
export type LocalityQuestion = Pick<
  localityWait.LocalityInput,
  'nearInMs' | 'lossMs' | 'slackMs'
> & {
  readonly racks: ReadonlySet<string>
}

export interface LocalityWaits {
  readonly remoteFactor: number
  readonly remainingMs: LocalityWaitsOptions['remainingMs']
  /** Decides for one task of a step; a decision to wait starts the wait of the step. */
  readonly decide: (
    step: workflowState.StepView,
    question: LocalityQuestion,
  ) => localityWait.LocalityDecision
  /** Records what a plan did with the tasks of a step. */
  readonly recordPlan: (
    step: workflowState.StepView,
    counts: Readonly<Record<localityWait.LocalityDecision['kind'], number>>,
  ) => void
  readonly totals: () => LocalityTotals
}

interface StepWait {
  readonly sinceMs: number
  delayedSinceMs: number
  skippedOffers: number
  /** Tasks that have waited, to count each of them once. */
  countedTasks: number
  waitingTasks: number
  updatedMs: number
}

export const createLocalityWaits = (options: LocalityWaitsOptions): LocalityWaits => {
  const { policy = localityWait.createExpectedTimePolicy(), nowMs } = options
  const waits = new WeakMap<workflowState.StepView, StepWait>()
  const decisions = { near: 0, remote: 0, wait: 0 }
  let waitCount = 0
  let waitedMs = 0

  const begin = (step: workflowState.StepView, now: number): void => {
    waits.set(step, {
      sinceMs: now,
      delayedSinceMs: now,
      skippedOffers: 0,
      countedTasks: 0,
      waitingTasks: 0,
      updatedMs: now,
    })
    waitCount += 1
  }

  return {
    remoteFactor: options.remoteFactor,
    remainingMs: options.remainingMs,
    decide: (step, { racks, ...question }) => {
      const now = nowMs()
      const wait = waits.get(step)
      const input: localityWait.LocalityInput = {
        ...question,
        waitingSinceMs: wait?.sinceMs,
        delayedSinceMs: wait?.delayedSinceMs,
        skippedOffers: wait?.skippedOffers ?? 0,
      }
      const decision = policy.decide(input, now)
      if (decision.kind !== 'wait' || wait !== undefined) return decision
      begin(step, now)
      options.onWait?.({
        step,
        racks: [...racks],
        expectedWaitMs: question.nearInMs,
        lossMs: question.lossMs,
        boundMs: decision.untilMs - now,
      })
      return decision
    },
    recordPlan: (step, counts) => {
      decisions.near += counts.near
      decisions.remote += counts.remote
      const wait = waits.get(step)
      if (wait === undefined) return
      const now = nowMs()
      waitedMs += (now - wait.updatedMs) * wait.waitingTasks
      wait.updatedMs = now
      wait.waitingTasks = counts.wait
      decisions.wait += Math.max(0, counts.wait - wait.countedTasks)
      wait.countedTasks = Math.max(wait.countedTasks, counts.wait)
      if (counts.wait > 0) wait.skippedOffers += 1
      if (counts.near === 0) return
      wait.delayedSinceMs = now
      wait.skippedOffers = 0
    },
    totals: () => ({ waits: waitCount, decisions: { ...decisions }, waitedMs }),
  }
}
