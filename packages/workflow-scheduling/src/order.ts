/** Order in which ready steps are placed. */
import type * as workflowState from '@ebonyweir/workflow-state'
import type * as durations from './durations.js'
import type * as fairShares from './fairShares.js'

/** The value of a job expires after this multiple of its objective. */
export const EXPIRY_FACTOR = 3

/** Critical path from each step to the end of its occurrence, in milliseconds; `ownMs` returns the time of a step. */
export const chainsToEnd = (
  steps: readonly workflowState.StepView[],
  ownMs: (step: workflowState.StepView) => number,
): readonly number[] => {
  const chains = steps.map(() => 0)
  for (let index = steps.length - 1; index >= 0; index -= 1) {
    const step = steps[index]
    if (step === undefined) continue
    const own = (chains[index] ?? 0) + ownMs(step)
    chains[index] = own
    for (const before of step.spec.after) chains[before] = Math.max(chains[before] ?? 0, own)
  }
  return chains
}

export type Outlook = 'in-time' | 'late' | 'expired'

/** Jobs that can be in time come before those that cannot; the reverse makes everything late under overload. */
const OUTLOOK_ORDER: Readonly<Record<Outlook, number>> = { 'in-time': 0, late: 1, expired: 2 }

export interface Urgency {
  readonly priority: number
  /** Whether the job can still meet its objective, is late, or is so late that its value has expired. */
  readonly outlook: Outlook
  /** Latest wall-clock time at which the step can start for its job to meet its objective. */
  readonly latestStartMs: number
  /** Standing of its key in the fair shares. @default within its share */
  readonly share?: fairShares.ShareStanding
}

/** Time from a job's submission, or an occurrence's due time, within which it should complete. */
export const objectiveMs = (
  steps: readonly workflowState.StepView[],
  queue: workflowState.JobView['queue'],
  expected: durations.Durations,
): number =>
  Math.max(0, ...chainsToEnd(steps, expected.longestMs)) * queue.slackFactor + queue.latencyTargetMs

/** Wall-clock time at which the objective of an occurrence starts to count. */
export const dueMs = (job: workflowState.JobView, occurrence: number): number =>
  job.spec.repetitions > 0
    ? job.spec.firstDueMs + occurrence * job.spec.intervalMs
    : job.submittedMs

/** Times of an occurrence that all of its steps share. */
interface OccurrenceTimes {
  readonly objectiveMs: number
  /** Remaining critical path from each step to the end. */
  readonly chainsMs: readonly number[]
}

/**
 * Urgencies of steps at `nowMs`, a wall-clock time on the clock of the jobs' submission. The critical paths of an occurrence
 * are computed once for all of its steps: for each step anew, the ready steps of a few large jobs took a second.
 */
export const createUrgencies = (
  expected: durations.Durations,
  nowMs: number,
): ((step: workflowState.StepView) => Urgency) => {
  const known = new Map<readonly workflowState.StepView[], OccurrenceTimes>()

  const timesOf = ({ job, occurrence }: workflowState.StepView): OccurrenceTimes => {
    const steps = job.occurrences.get(occurrence)?.steps ?? []
    const times = known.get(steps) ?? {
      objectiveMs: objectiveMs(steps, job.queue, expected),
      chainsMs: chainsToEnd(steps, expected.stepRemainingMs),
    }
    known.set(steps, times)
    return times
  }

  return (step) => {
    const { job } = step
    const { objectiveMs: objective, chainsMs } = timesOf(step)
    const startMs = dueMs(job, step.occurrence)
    const chain = chainsMs[step.index] ?? 0
    const latestStartMs = startMs + objective - chain
    const outlook = (): Outlook => {
      if (step.spec.lasting || nowMs <= latestStartMs) return 'in-time'
      return nowMs - startMs + chain > EXPIRY_FACTOR * objective ? 'expired' : 'late'
    }
    return { priority: job.queue.priority, outlook: outlook(), latestStartMs }
  }
}

/** Urgency of one step; see `createUrgencies`. */
export const urgencyOf = (
  step: workflowState.StepView,
  expected: durations.Durations,
  nowMs: number,
): Urgency => createUrgencies(expected, nowMs)(step)

const isStarving = ({ share }: Urgency): boolean => share?.shareClass === 'starving'

const isAbove = ({ share }: Urgency): boolean => share?.shareClass === 'above'

/**
 * Sort comparator: the step that is placed first comes first. Starving keys precede all others, the one that has starved
 * for longest first. Otherwise shares decide only between jobs of one outlook and priority: among jobs that are late
 * anyway, fairness gains nothing.
 */
export const compareUrgency = (a: Urgency, b: Urgency): number => {
  if (isStarving(a) !== isStarving(b)) return isStarving(a) ? -1 : 1
  if (isStarving(a) && a.share?.sinceMs !== b.share?.sinceMs) {
    return (a.share?.sinceMs ?? 0) - (b.share?.sinceMs ?? 0)
  }
  if (a.outlook !== b.outlook) return OUTLOOK_ORDER[a.outlook] - OUTLOOK_ORDER[b.outlook]
  if (a.priority !== b.priority) return a.priority - b.priority
  if (isAbove(a) !== isAbove(b)) return isAbove(a) ? 1 : -1
  return a.latestStartMs - b.latestStartMs
}
