/** Fair shares of one term: the leader's clock, counters and log lines around `ShareOrder`. */
import * as scheduling from '@ebonyweir/workflow-scheduling'
import type * as workflowState from '@ebonyweir/workflow-state'
import type * as context from './context.js'

/** Time between two lines for one key, in milliseconds: the half-life of usage. */
const LOG_INTERVAL_MS = 5_000

/** Limit on the keys that are logged within one interval; a burst of many callers would flood the log. */
const MAX_LOGGED_KEYS = 32

/** Relative excess of usage over the share that is not due to rounding. */
const MIN_EXCESS = 1e-6

const MS_PER_SECOND = 1_000

export interface TermShares extends scheduling.TermShares {
  readonly order: scheduling.ShareOrder
  readonly standingsOfSteps: NonNullable<scheduling.PlacementInput['shares']>
  /** Standings of the competing best-effort jobs of a service. */
  readonly standingsOfJobs: (
    service: string,
    jobs: readonly scheduling.CompetingJob[],
    supply: scheduling.PoolSupply,
  ) => readonly scheduling.ShareStanding[]
  readonly recordStart: (active: workflowState.ActiveRun) => void
  /** Decayed usage in core seconds of the `limit` keys with the largest usage. */
  readonly usageCoreS: (limit: number) => ReadonlyMap<string, number>
}

export interface TermSharesOptions {
  readonly ctx: Pick<context.TermContext, 'view' | 'nowMs' | 'work' | 'options'>
  readonly expected: scheduling.Durations
  readonly timeOfDayMs: () => number
}

/** Whether shares place the items of a list after a later one, for each item. */
const findDeferred = <T>(
  items: readonly T[],
  standingOf: (item: T) => scheduling.ShareStanding | undefined,
  /** Items of one group are ordered by their shares. */
  groupOf: (item: T) => string,
): readonly T[] => {
  const preceded = new Set<string>()
  const deferred: T[] = []
  for (const item of [...items].reverse()) {
    const group = groupOf(item)
    if (standingOf(item)?.shareClass !== 'above') preceded.add(group)
    else if (preceded.has(group)) deferred.push(item)
  }
  return deferred
}

/** Creates the shares of a term with the usage that the replicated state shows; undefined if they are off. */
export const createTermShares = ({
  ctx,
  expected,
  timeOfDayMs,
}: TermSharesOptions): TermShares | undefined => {
  const { view, nowMs, work } = ctx
  const { logger, scheduling: settings } = ctx.options
  if (settings?.fairShares !== true) return undefined
  const order = scheduling.createShareOrder({ expected, weights: settings.shareWeights })
  const sinceMs = nowMs()
  order.rebuild(view, sinceMs, timeOfDayMs())
  /** Steps and jobs whose deferral was counted. */
  const counted = new WeakSet<object>()
  const loggedMs = new Map<string, number>()

  const countDeferral = (item: object): void => {
    if (counted.has(item)) return
    counted.add(item)
    work.count('shareDeferrals')
  }

  const log = (pool: string, position: scheduling.KeyPosition, now: number): void => {
    const { key, usageCoreMs, waitingCoreMs, shareCoreMs } = position
    loggedMs.set(key.text, now)
    logger.info('share exceeded', {
      key: key.text,
      pool,
      weight: settings.shareWeights.get(key.queue) ?? 1,
      usageCoreS: Math.round(usageCoreMs / MS_PER_SECOND),
      waitingCoreS: Math.round(waitingCoreMs / MS_PER_SECOND),
      shareCoreS: Math.round(shareCoreMs / MS_PER_SECOND),
      ageMs: 0,
    })
  }

  /** Logs the keys above their share if work of other keys waits. */
  const logExceeded = (pool: string): void => {
    const positions = order.positions(pool)
    if (positions === undefined) return
    const now = positions.atMs
    for (const [text, atMs] of loggedMs) {
      if (now - atMs >= LOG_INTERVAL_MS) loggedMs.delete(text)
    }
    const all = [...positions.keys.values()]
    const waitingCount = all.filter(({ waitingCoreMs }) => waitingCoreMs > 0).length
    for (const position of all) {
      const { usageCoreMs, waitingCoreMs, shareCoreMs, key } = position
      const isExceeded = usageCoreMs > shareCoreMs * (1 + MIN_EXCESS)
      const othersWait = waitingCount > (waitingCoreMs > 0 ? 1 : 0)
      if (!isExceeded || !othersWait || loggedMs.has(key.text)) continue
      if (loggedMs.size < MAX_LOGGED_KEYS) log(pool, position, now)
    }
  }

  const standingsOfSteps: TermShares['standingsOfSteps'] = (steps, freeCores) => {
    const standings = order.standingsOfSteps(steps, view, freeCores, nowMs())
    const groupOf = ({ step, urgency }: scheduling.UrgentStep): string =>
      `${step.job.queue.service}/${urgency.outlook}/${urgency.priority}`
    for (const { step } of findDeferred(steps, ({ step }) => standings.get(step), groupOf)) {
      countDeferral(step)
    }
    const services = new Set(steps.map(({ step }) => step.job.queue.service))
    for (const service of services) logExceeded(scheduling.poolName(service, false))
    return standings
  }

  const standingsOfJobs: TermShares['standingsOfJobs'] = (service, jobs, supply) => {
    const standings = order.standingsOfJobs(service, jobs, supply, nowMs())
    const items = jobs.map(({ job }, index) => ({ job, standing: standings[index] }))
    const deferred = findDeferred(
      items,
      ({ standing }) => standing,
      () => service,
    )
    for (const { job } of deferred) countDeferral(job)
    logExceeded(scheduling.poolName(service, true))
    return standings
  }

  return {
    order,
    sinceMs,
    standingsOfSteps,
    standingsOfJobs,
    recordStart: (active) => {
      order.recordStart(active, nowMs())
    },
    usageCoreS: (limit) =>
      new Map(
        [...order.usage(nowMs(), limit)].map(([key, coreMs]) => [key, coreMs / MS_PER_SECOND]),
      ),
  }
}
