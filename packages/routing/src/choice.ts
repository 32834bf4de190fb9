import type * as endpoint from './endpoint.js'

type View = endpoint.EndpointView

export interface ChoiceContext {
  readonly nowMs: number
  readonly random: endpoint.Random
  /** Failure domain of the choosing process. */
  readonly failureDomain: string
}

/** Selects an endpoint for a request from the candidates. */
export interface EndpointChoice {
  readonly choose: (candidates: readonly View[], context: ChoiceContext) => View | undefined
}

const pickRandom = (candidates: readonly View[], random: endpoint.Random): View | undefined =>
  candidates[Math.floor(random() * candidates.length)]

/** Baseline: uniformly random endpoint. */
export class RandomChoice implements EndpointChoice {
  choose(candidates: readonly View[], context: ChoiceContext): View | undefined {
    return pickRandom(candidates, context.random)
  }
}

/** Baseline: endpoints in turn. */
export class RoundRobinChoice implements EndpointChoice {
  private next = 0

  choose(candidates: readonly View[]): View | undefined {
    const chosen = candidates[this.next % Math.max(1, candidates.length)]
    this.next++
    return chosen
  }
}

/** Baseline: the endpoint with the fewest outstanding requests from this process. */
export class LeastConnectionsChoice implements EndpointChoice {
  choose(candidates: readonly View[], context: ChoiceContext): View | undefined {
    const least = Math.min(...candidates.map((c) => c.outstanding))
    return pickRandom(
      candidates.filter((c) => c.outstanding === least),
      context.random,
    )
  }
}

/** Options of the load-aware choice; each part can be disabled. */
export interface LoadAwareOptions {
  /** Number of endpoints compared per request. @default 4 */
  readonly samples: number
  /** Time in which a report's weight against the mean decays by 63 %. @default 250 */
  readonly reportDecayMs: number
  /** Time until a new endpoint receives its full share; 0 disables slow start. @default 10000 */
  readonly slowStartMs: number
  /** Cost of an endpoint in another failure domain; 0 disables the preference. @default 3 */
  readonly remotePenaltyMs: number
  /** Use the load from other processes that endpoints report. @default true */
  readonly reports: boolean
  /** Use measured service times. @default true */
  readonly serviceTimes: boolean
}

export const DEFAULT_LOAD_AWARE: LoadAwareOptions = {
  samples: 4,
  reportDecayMs: 250,
  slowStartMs: 10_000,
  remotePenaltyMs: 3,
  reports: true,
  serviceTimes: true,
}

/** Share of the full load that a new endpoint starts with. */
const SLOW_START_MIN_SHARE = 0.1
/** Service time assumed when none has been measured. */
const ASSUMED_SERVICE_TIME_MS = 10
/** Ratio to the mean beyond which a service time counts as different rather than as variance. */
const SIGNIFICANT_TIME_RATIO = 1.5
/** Slowdown per unit of slot utilization: endpoints slow down before all slots are busy. */
const CONTENTION_FACTOR = 0.5

const mean = (values: readonly number[]): number =>
  values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length

// Averages over a few responses vary by chance, so small differences are ignored.
const significantTime = (timeMs: number, meanMs: number): number =>
  timeMs > meanMs * SIGNIFICANT_TIME_RATIO || timeMs < meanMs / SIGNIFICANT_TIME_RATIO
    ? timeMs
    : meanMs

const freshness = (view: View, nowMs: number, reportDecayMs: number): number =>
  Math.exp(-Math.max(0, nowMs - view.reportedAtMs) / reportDecayMs)

/** Mean reported load weighted by freshness; the unweighted mean if all reports are stale. */
export const meanReport = (
  views: readonly View[],
  nowMs: number,
  reportDecayMs: number,
): number => {
  let sum = 0
  let weights = 0
  for (const view of views) {
    if (view.othersReported === undefined) continue
    const weight = freshness(view, nowMs, reportDecayMs)
    sum += weight * view.othersReported
    weights += weight
  }
  if (weights > Number.EPSILON) return sum / weights
  return mean(views.flatMap((view) => view.othersReported ?? []))
}

/** Estimated requests from other processes; the report decays towards the mean with its age. */
export const agedLoad = (
  view: View,
  meanReported: number,
  nowMs: number,
  reportDecayMs: number,
): number => {
  if (view.othersReported === undefined) return meanReported
  const weight = freshness(view, nowMs, reportDecayMs)
  return meanReported + (view.othersReported - meanReported) * weight
}

/** Samples endpoints at random and chooses the one with the lowest expected response time. */
export class LoadAwareChoice implements EndpointChoice {
  private readonly options: LoadAwareOptions

  constructor(options: Partial<LoadAwareOptions> = {}) {
    this.options = { ...DEFAULT_LOAD_AWARE, ...options }
  }

  choose(candidates: readonly View[], context: ChoiceContext): View | undefined {
    const times = candidates.map((c) => c.serviceTimeMs).filter((ms) => ms > 0)
    const means = {
      reported: meanReport(candidates, context.nowMs, this.options.reportDecayMs),
      timeMs: mean(times) || ASSUMED_SERVICE_TIME_MS,
    }
    let best: View | undefined
    let bestMs = Infinity
    for (const candidate of this.sample(candidates, context.random)) {
      const ms = this.expectedMs(candidate, means, context)
      if (ms >= bestMs) continue
      best = candidate
      bestMs = ms
    }
    return best
  }

  private sample(candidates: readonly View[], random: endpoint.Random): readonly View[] {
    const remaining = [...candidates]
    const sampled: View[] = []
    while (sampled.length < this.options.samples && remaining.length > 0) {
      sampled.push(...remaining.splice(Math.floor(random() * remaining.length), 1))
    }
    return sampled
  }

  private expectedMs(
    view: View,
    means: { readonly reported: number; readonly timeMs: number },
    context: ChoiceContext,
  ): number {
    const { options } = this
    const others = options.reports
      ? agedLoad(view, means.reported, context.nowMs, options.reportDecayMs)
      : 0
    const load = others + view.outstanding
    const hasServiceTime = options.serviceTimes && view.serviceTimeMs > 0
    const timeMs = hasServiceTime ? significantTime(view.serviceTimeMs, means.timeMs) : means.timeMs
    const waiting = Math.max(0, load + 1 - view.slots) / view.slots
    const ms = timeMs * (1 + (CONTENTION_FACTOR * load) / view.slots + waiting)
    const remote = view.failureDomain === context.failureDomain ? 0 : options.remotePenaltyMs
    return (ms + remote) / this.slowStartShare(view, context.nowMs)
  }

  private slowStartShare(view: View, nowMs: number): number {
    if (this.options.slowStartMs <= 0) return 1
    const elapsedShare = (nowMs - view.sinceMs) / this.options.slowStartMs
    return Math.min(1, Math.max(SLOW_START_MIN_SHARE, elapsedShare))
  }
}
