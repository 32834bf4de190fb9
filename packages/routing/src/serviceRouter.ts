import type * as choice from './choice.js'
import type * as endpoint from './endpoint.js'
import * as endpointTable from './endpointTable.js'
import type * as fairQueue from './fairQueue.js'
import * as latencyTracker from './latencyTracker.js'
import type * as outliers from './outliers.js'
import type * as retryBudget from './retryBudget.js'

/** Why a request was not accepted. */
export type RefusalReason = 'no-endpoint' | 'queue-full' | 'too-late'

export type Admission<Item extends fairQueue.QueuedRequest> =
  | { readonly kind: 'queued' }
  /** Accepted; `item` was displaced from the queue and is refused as queue-full. */
  | { readonly kind: 'displaced'; readonly item: Item }
  | { readonly kind: 'refused'; readonly reason: RefusalReason; readonly expectedWaitMs: number }

export interface Dispatch<Item extends fairQueue.QueuedRequest> {
  readonly item: Item
  readonly endpointId: string
}

/** Exchangeable parts of the routing policy. */
export interface RouterParts<Item extends fairQueue.QueuedRequest> {
  readonly choice: choice.EndpointChoice
  readonly queue: fairQueue.RequestQueue<Item>
  readonly budget: retryBudget.RetryBudget
  readonly outliers: outliers.OutlierPolicy
}

export interface RouterOptions {
  readonly failureDomain: string
  /** Requests dispatched to an endpoint beyond its slots; the rest wait in the queue. @default 1 */
  readonly overcommit?: number
  /**
   * Refuse above this expected response time (or twice the service time, if longer) even if the
   * deadline is later: lower tail latency under overload for more refusals. @default the deadline
   */
  readonly targetMs?: () => number
  /** Refuse requests that are expected to be answered too late. @default true */
  readonly refuseEarly?: boolean
  /** Quantile of recent response times after which a quick request is hedged. @default 0.95 */
  readonly hedgeQuantile?: number
}

/** Routes the requests of one service within one process. */
export interface ServiceRouter<Item extends fairQueue.QueuedRequest> {
  readonly table: endpointTable.EndpointTable
  /** Replaces the listing of the service's endpoints. */
  readonly list: (listings: readonly endpoint.EndpointListing[], nowMs: number) => void
  /** Queues or refuses a request. */
  readonly offer: (item: Item, nowMs: number) => Admission<Item>
  /** Dequeues the next request if an endpoint has free capacity, and counts it as dispatched. */
  readonly next: (nowMs: number, random: endpoint.Random) => Dispatch<Item> | undefined
  /** Chooses an endpoint for a retry or a hedge, and counts it as dispatched. */
  readonly dispatchAgain: (
    excluded: ReadonlySet<string>,
    needsFreeSlot: boolean,
    nowMs: number,
    random: endpoint.Random,
  ) => string | undefined
  readonly ended: (endpointId: string, ended: outliers.EndedRequest, nowMs: number) => void
  /** Takes one retry or hedge from the budget. */
  readonly mayRetry: (nowMs: number) => boolean
  /** Time after which a quick request is hedged; undefined with too few samples. */
  readonly hedgeAfterMs: () => number | undefined
  readonly remove: (requestId: string) => Item | undefined
  readonly expire: (nowMs: number) => readonly Item[]
  /** Removes all requests if no endpoint accepts requests and none is reconnecting. */
  readonly takeUnservable: (nowMs: number) => readonly Item[]
  readonly queued: () => number
}

const NONE: ReadonlySet<string> = new Set()
const MIN_HEDGE_MS = 2
const REPORT_DECAY_MS = 500
/** Lower bound of the target response time, in service times. */
const MIN_LIMIT_SERVICE_TIMES = 2
/** Weight of the latest request in the moving averages of queue wait and requests ahead. */
const QUEUE_EWMA_WEIGHT = 0.05

/** Creates the router of one service from the given policy parts. */
export const createServiceRouter = <Item extends fairQueue.QueuedRequest>(
  parts: RouterParts<Item>,
  options: RouterOptions,
): ServiceRouter<Item> => {
  const { overcommit = 1, refuseEarly = true, hedgeQuantile = 0.95 } = options
  const table = endpointTable.createEndpointTable()
  const latency = latencyTracker.createLatencyTracker()

  // Reported load decays so that a stale report does not block dispatch; agents refuse any excess.
  const loadOf = (view: endpoint.EndpointView, nowMs: number): number => {
    if (view.othersReported === undefined) return view.outstanding
    const freshness = Math.exp(-Math.max(0, nowMs - view.reportedAtMs) / REPORT_DECAY_MS)
    return view.outstanding + view.othersReported * freshness
  }

  const hasCapacity = (view: endpoint.EndpointView, nowMs: number): boolean =>
    loadOf(view, nowMs) < view.slots + overcommit

  // After endpoints have left, the ejected ones must still be less than half of the rest.
  const usable = (
    excluded: ReadonlySet<string>,
    nowMs: number,
  ): readonly endpoint.EndpointView[] => {
    const open = table.open(excluded)
    const ejected = open
      .filter((view) => view.ejectedUntilMs > nowMs)
      .sort((a, b) => b.ejectedUntilMs - a.ejectedUntilMs)
      .slice(0, Math.max(0, Math.ceil(open.length / 2) - 1))
    return ejected.length === 0 ? open : open.filter((view) => !ejected.includes(view))
  }

  const choose = (
    candidates: readonly endpoint.EndpointView[],
    nowMs: number,
    random: endpoint.Random,
  ): string | undefined => {
    const { failureDomain } = options
    const chosen = parts.choice.choose(candidates, { nowMs, random, failureDomain })
    if (chosen === undefined) return undefined
    table.dispatched(chosen.id)
    return chosen.id
  }

  const queuedOffers = new Map<string, { readonly atMs: number; readonly ahead: number }>()
  let averageWaitMs = 0
  let averageAhead = 0

  const measureWait = (requestId: string, nowMs: number): void => {
    const offer = queuedOffers.get(requestId)
    queuedOffers.delete(requestId)
    if (offer === undefined || offer.ahead < 1) return
    averageWaitMs += QUEUE_EWMA_WEIGHT * (nowMs - offer.atMs - averageWaitMs)
    averageAhead += QUEUE_EWMA_WEIGHT * (offer.ahead - averageAhead)
  }

  /** Expected response time of a new request and the longest that is accepted. */
  const estimateResponse = (
    item: Item,
    open: readonly endpoint.EndpointView[],
    nowMs: number,
  ): { readonly responseMs: number; readonly limitMs: number } => {
    const slots = open.reduce((sum, view) => sum + view.slots, 0)
    const busy = open.reduce((sum, view) => sum + loadOf(view, nowMs), 0)
    const timeMs = open.reduce((sum, view) => sum + view.serviceTimeMs, 0) / open.length
    const ahead = parts.queue.countAhead(item.caller, item.weight)
    const atEndpointsMs = (timeMs * Math.max(0, busy + 1 - slots)) / slots
    const waitPerRequestMs = averageAhead > 0 ? averageWaitMs / averageAhead : 0
    // Other processes use slots too, so measured waits are more accurate than the slot count.
    const responseMs = timeMs + atEndpointsMs + ahead * Math.max(waitPerRequestMs, timeMs / slots)
    const targetLimitMs = Math.max(
      options.targetMs?.() ?? Infinity,
      MIN_LIMIT_SERVICE_TIMES * timeMs,
    )
    return { responseMs, limitMs: Math.min(item.deadlineMs - nowMs, targetLimitMs) }
  }

  const list = (listings: readonly endpoint.EndpointListing[], nowMs: number): void => {
    const gone = new Set(table.views().map((view) => view.id))
    for (const { id } of listings) {
      gone.delete(id)
      parts.outliers.track(id)
    }
    for (const id of gone) parts.outliers.forget(id)
    table.list(listings, nowMs)
  }

  return {
    table,
    list,
    offer: (item, nowMs) => {
      const open = usable(NONE, nowMs)
      if (open.length === 0 && !table.isReconnecting(nowMs)) {
        return { kind: 'refused', reason: 'no-endpoint', expectedWaitMs: 0 }
      }
      const { responseMs, limitMs } =
        open.length > 0 ? estimateResponse(item, open, nowMs) : { responseMs: 0, limitMs: Infinity }
      if (refuseEarly && responseMs > limitMs) {
        return { kind: 'refused', reason: 'too-late', expectedWaitMs: responseMs }
      }
      const ahead = parts.queue.countAhead(item.caller, item.weight)
      const offer = parts.queue.push(item)
      if (offer.kind === 'full') {
        return { kind: 'refused', reason: 'queue-full', expectedWaitMs: responseMs }
      }
      parts.budget.deposit(nowMs)
      queuedOffers.set(item.requestId, { atMs: nowMs, ahead })
      if (offer.kind === 'displaced') queuedOffers.delete(offer.item.requestId)
      return offer
    },
    next: (nowMs, random) => {
      if (parts.queue.size() === 0) return undefined
      const candidates = usable(NONE, nowMs).filter((view) => hasCapacity(view, nowMs))
      if (candidates.length === 0) return undefined
      const item = parts.queue.pop()
      if (item === undefined) return undefined
      measureWait(item.requestId, nowMs)
      const endpointId = choose(candidates, nowMs, random)
      return endpointId === undefined ? undefined : { item, endpointId }
    },
    dispatchAgain: (excluded, needsFreeSlot, nowMs, random) => {
      const open = usable(excluded, nowMs)
      const free = open.filter((view) => loadOf(view, nowMs) < view.slots)
      return choose(needsFreeSlot || free.length > 0 ? free : open, nowMs, random)
    },
    ended: (endpointId, ended, nowMs) => {
      table.ended(endpointId, ended.failed ? undefined : ended.tookMs)
      if (ended.refused === true) return
      if (!ended.failed) latency.record(ended.tookMs)
      const untilMs = parts.outliers.onEnd(endpointId, ended, nowMs)
      if (untilMs > 0) table.eject(endpointId, untilMs)
    },
    mayRetry: (nowMs) => parts.budget.tryWithdraw(nowMs),
    hedgeAfterMs: () => {
      const ms = latency.quantile(hedgeQuantile)
      return ms === undefined ? undefined : Math.max(MIN_HEDGE_MS, ms)
    },
    remove: (requestId) => {
      queuedOffers.delete(requestId)
      return parts.queue.remove(requestId)
    },
    expire: (nowMs) => {
      const expired = parts.queue.expire(nowMs)
      for (const { requestId } of expired) queuedOffers.delete(requestId)
      return expired
    },
    takeUnservable: (nowMs) => {
      if (parts.queue.size() === 0 || usable(NONE, nowMs).length > 0) return []
      if (table.isReconnecting(nowMs)) return []
      const unservable: Item[] = []
      for (let item = parts.queue.pop(); item !== undefined; item = parts.queue.pop()) {
        queuedOffers.delete(item.requestId)
        unservable.push(item)
      }
      return unservable
    },
    queued: () => parts.queue.size(),
  }
}
