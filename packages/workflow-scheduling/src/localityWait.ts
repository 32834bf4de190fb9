/**
 * Decides whether a task waits for a worker near its data or its group. The policies are pure: time is an argument, and
 * the state that a policy needs is part of its input.
 */

/**
 * Longest wait of a step in total, in milliseconds. A job that has nothing running for 3 s although there is capacity counts
 * as forgotten, and a round may come 0.4 s after the end of a wait.
 */
export const MAX_LOCALITY_WAIT_MS = 2_000

/** Shortest wait, in milliseconds: the resolution of the timers, so that a wait never causes a round at once. */
const MIN_LOCALITY_WAIT_MS = 1

export interface LocalityInput {
  /** Expected time until a near worker is free for this task, after the tasks that wait before it; 0 if one is free. */
  readonly nearInMs: number
  /** Time that a run on a remote worker loses. */
  readonly lossMs: number
  /** Time left until the latest start at which the job still meets its objective; negative if it has passed. */
  readonly slackMs: number
  /** Time on the clock of `nowMs` at which the step first waited; undefined if it has not waited yet. */
  readonly waitingSinceMs: number | undefined
  /** Time since which the step has waited without a start near its data; used by delay scheduling. */
  readonly delayedSinceMs: number | undefined
  /** Planning rounds in which the step declined a remote worker since its last start near its data. */
  readonly skippedOffers: number
}

export type LocalityDecision =
  | { readonly kind: 'near' }
  | { readonly kind: 'remote' }
  /** `untilMs` is infinite if the wait ends by the number of skipped offers only. */
  | { readonly kind: 'wait'; readonly untilMs: number }

/** Decides for one task for which a worker is free. */
export interface LocalityPolicy {
  readonly decide: (input: LocalityInput, nowMs: number) => LocalityDecision
}

const NEAR: LocalityDecision = { kind: 'near' }
const REMOTE: LocalityDecision = { kind: 'remote' }

/**
 * Longest wait from `nowMs` on. It ends at the latest start also if a remote run would end in time only before: keeping the
 * time for a remote run made more jobs late, because that run then had no margin for a longer duration.
 */
export const waitBoundMs = (input: LocalityInput, nowMs: number): number => {
  const { lossMs, slackMs, waitingSinceMs = nowMs } = input
  const leftMs = Math.min(lossMs, MAX_LOCALITY_WAIT_MS) - (nowMs - waitingSinceMs)
  return Math.max(0, Math.min(leftMs, slackMs))
}

/**
 * Waits while a near worker is expected to be free before the time that a remote run loses, within `waitBoundMs`. The run
 * after the wait is then expected to end before the remote run, so a job that the remote run would end in time is not late
 * through the wait by these expectations.
 */
export const createExpectedTimePolicy = (): LocalityPolicy => ({
  decide: (input, nowMs) => {
    if (input.nearInMs <= 0) return NEAR
    const boundMs = waitBoundMs(input, nowMs)
    if (boundMs < MIN_LOCALITY_WAIT_MS || input.nearInMs >= boundMs) return REMOTE
    return { kind: 'wait', untilMs: nowMs + boundMs }
  },
})

/** Baseline: a task never waits. */
export const createNeverWaitPolicy = (): LocalityPolicy => ({
  decide: ({ nearInMs }) => (nearInMs <= 0 ? NEAR : REMOTE),
})

/**
 * Baseline: delay scheduling (Zaharia et al., EuroSys 2010) with a limit on skipped offers. An offer is a planning round in
 * which a remote worker is free.
 */
export const createSkippedOffersPolicy = (maxSkippedOffers: number): LocalityPolicy => ({
  decide: ({ nearInMs, skippedOffers }) => {
    if (nearInMs <= 0) return NEAR
    if (skippedOffers >= maxSkippedOffers) return REMOTE
    return { kind: 'wait', untilMs: Number.POSITIVE_INFINITY }
  },
})

/** Baseline: delay scheduling with a fixed wait, counted from the step's last start near its data. */
export const createFixedWaitPolicy = (waitMs: number): LocalityPolicy => ({
  decide: ({ nearInMs, delayedSinceMs }, nowMs) => {
    if (nearInMs <= 0) return NEAR
    const untilMs = (delayedSinceMs ?? nowMs) + waitMs
    return nowMs >= untilMs ? REMOTE : { kind: 'wait', untilMs }
  },
})
