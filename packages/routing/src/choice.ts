import type * as endpoint from './endpoint.js'

type View = endpoint.EndpointView

export interface ChoiceContext {
  readonly nowMs: number
  readonly random: endpoint.Random
  /** Failure domain of the process that chooses. */
  readonly failureDomain: string
}

/** Chooses one of several endpoints that may take a request. */
export interface EndpointChoice {
  readonly choose: (candidates: readonly View[], context: ChoiceContext) => View | undefined
}

const pick = (candidates: readonly View[], random: endpoint.Random): View | undefined =>
  candidates[Math.floor(random() * candidates.length)]

/** Baseline: any endpoint with equal probability. */
export class RandomChoice implements EndpointChoice {
  choose(candidates: readonly View[], context: ChoiceContext): View | undefined {
    return pick(candidates, context.random)
  }
}

/** Baseline: one endpoint after the other. */
export class RoundRobinChoice implements EndpointChoice {
  private next = 0

  choose(candidates: readonly View[]): View | undefined {
    const chosen = candidates[this.next % Math.max(1, candidates.length)]
    this.next++
    return chosen
  }
}

/** Baseline: the endpoint with the fewest outstanding requests of this process. */
export class LeastConnectionsChoice implements EndpointChoice {
  choose(candidates: readonly View[], context: ChoiceContext): View | undefined {
    const least = Math.min(...candidates.map((c) => c.outstanding))
    return pick(
      candidates.filter((c) => c.outstanding === least),
      context.random,
    )
  }
}

/** Parts of the load-aware choice; each can be switched off. */
export interface LoadAwareOptions {
  /** Endpoints that are compared for one request. @default 4 */
  readonly samples: number
  /** Time in which a report loses 63 % of its weight against the mean. @default 250 */
  readonly reportDecayMs: number
  /** Time in which a new endpoint gets its full share; 0 switches slow start off. @default 10000 */
  readonly slowStartMs: number
  /** Cost of leaving the failure domain; 0 switches the preference off. @default 3 */
  readonly remotePenaltyMs: number
  /** Use what endpoints report of other processes. @default true */
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

/** Share of its load that a new endpoint starts with. */
const SLOW_START_FLOOR = 0.1
/** Service time that is assumed where none was measured. */
const ASSUMED_SERVICE_TIME_MS = 10
/** Ratio from which a service time differs from the mean by more than chance. */
const DISTINCT = 1.5
/** Weight of load below the slots: endpoints slow down before all slots are busy. */
const CONTENTION = 0.5

const mean = (values: readonly number[]): number =>
  values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length

// Averages of a few answers differ by chance; only a clear difference counts.
const distinctTime = (timeMs: number, meanMs: number): number =>
  timeMs > meanMs * DISTINCT || timeMs < meanMs / DISTINCT ? timeMs : meanMs

const freshness = (view: View, nowMs: number, reportDecayMs: number): number =>
  Math.exp(-Math.max(0, nowMs - view.reportedAtMs) / reportDecayMs)

/** Mean load in the reports, weighted by their freshness; the plain mean if all are stale. */
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

/** Requests of other processes now: the report fades towards the mean of all reports with its age. */
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

/** Samples some endpoints at random and takes the one with the lowest expected answer time. */
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
    const left = [...candidates]
    const sampled: View[] = []
    while (sampled.length < this.options.samples && left.length > 0) {
      sampled.push(...left.splice(Math.floor(random() * left.length), 1))
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
    const known = options.serviceTimes && view.serviceTimeMs > 0
    const timeMs = known ? distinctTime(view.serviceTimeMs, means.timeMs) : means.timeMs
    const waiting = Math.max(0, load + 1 - view.slots) / view.slots
    const ms = timeMs * (1 + (CONTENTION * load) / view.slots + waiting)
    const remote = view.failureDomain === context.failureDomain ? 0 : options.remotePenaltyMs
    return (ms + remote) / this.share(view, context.nowMs)
  }

  private share(view: View, nowMs: number): number {
    if (this.options.slowStartMs <= 0) return 1
    const grown = (nowMs - view.sinceMs) / this.options.slowStartMs
    return Math.min(1, Math.max(SLOW_START_FLOOR, grown))
  }
}
