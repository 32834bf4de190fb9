import type * as endpoint from './endpoint.js'

/** One process's view of the endpoints of one service. */
export interface EndpointTable {
  /** Replaces the listing; the state of endpoints that remain listed is kept. */
  readonly list: (listings: readonly endpoint.EndpointListing[], nowMs: number) => void
  readonly report: (id: string, report: endpoint.EndpointReport, nowMs: number) => void
  readonly dispatched: (id: string) => void
  readonly ended: (id: string, tookMs: number | undefined) => void
  readonly eject: (id: string, untilMs: number) => void
  /** Sets whether the endpoint can be reached; an unreachable one counts as closed. */
  readonly setReachable: (id: string, reachable: boolean, nowMs: number) => void
  /** Closes an endpoint that its agent rejected as gone or leaving, until the next report. */
  readonly markGone: (id: string) => void
  /** Whether an open endpoint lost its connection less than `RECONNECT_WAIT_MS` ago. */
  readonly isReconnecting: (nowMs: number) => boolean
  /** Reachable endpoints that accept requests, except those in `excluded`. */
  readonly open: (excluded: ReadonlySet<string>) => readonly endpoint.EndpointView[]
  readonly views: () => readonly endpoint.EndpointView[]
}

interface Row {
  listing: endpoint.EndpointListing
  view: endpoint.EndpointView
  leaving: boolean
  isMarkedGone: boolean
  /** Undefined while the endpoint is reachable. */
  unreachableSinceMs: number | undefined
}

/** Time in which a lost connection is re-established unless its agent is gone: 1 or 2 probe intervals. */
export const RECONNECT_WAIT_MS = 1_000

const isClosed = (row: Row): boolean => row.listing.closed || row.leaving || row.isMarkedGone

/** Weight of the latest response in the moving average of the service time. */
const SERVICE_TIME_EWMA_WEIGHT = 0.1

const newView = (listing: endpoint.EndpointListing, nowMs: number): endpoint.EndpointView => ({
  id: listing.id,
  failureDomain: listing.failureDomain,
  slots: Math.max(1, listing.slots),
  outstanding: 0,
  othersReported: undefined,
  reportedAtMs: -Infinity,
  serviceTimeMs: 0,
  sinceMs: nowMs,
  ejectedUntilMs: 0,
})

/** Creates an empty table. */
export const createEndpointTable = (): EndpointTable => {
  const rows = new Map<string, Row>()
  let listedBefore = false

  const update = (id: string, change: Partial<endpoint.EndpointView>): void => {
    const row = rows.get(id)
    if (row !== undefined) row.view = { ...row.view, ...change }
  }

  const updateListing = (row: Row, listing: endpoint.EndpointListing, nowMs: number): void => {
    const { slots, failureDomain } = listing
    const reopened = row.listing.closed && !listing.closed
    row.listing = listing
    row.view = { ...row.view, slots: Math.max(1, slots), failureDomain }
    if (reopened) row.view = { ...row.view, sinceMs: nowMs }
  }

  return {
    list: (listings, nowMs) => {
      const listed = new Set(listings.map((listing) => listing.id))
      for (const id of rows.keys()) if (!listed.has(id)) rows.delete(id)
      for (const listing of listings) {
        const row = rows.get(listing.id)
        if (row !== undefined) {
          updateListing(row, listing, nowMs)
          continue
        }
        // No slow start for the first listing: this process is new, not the endpoints.
        const view = newView(listing, listedBefore ? nowMs : -Infinity)
        rows.set(listing.id, {
          listing,
          view,
          leaving: false,
          isMarkedGone: false,
          unreachableSinceMs: undefined,
        })
      }
      listedBefore = listedBefore || listings.length > 0
    },
    report: (id, report, nowMs) => {
      const row = rows.get(id)
      if (row === undefined) return
      row.leaving = report.leaving
      row.isMarkedGone = false
      const othersReported = Math.max(0, report.running + report.queued - row.view.outstanding)
      const slots = Math.max(1, report.slots)
      update(id, { othersReported, reportedAtMs: nowMs, slots })
      if (report.serviceTimeMs > 0) update(id, { serviceTimeMs: report.serviceTimeMs })
    },
    dispatched: (id) => {
      const view = rows.get(id)?.view
      if (view !== undefined) update(id, { outstanding: view.outstanding + 1 })
    },
    ended: (id, tookMs) => {
      const view = rows.get(id)?.view
      if (view === undefined) return
      update(id, { outstanding: Math.max(0, view.outstanding - 1) })
      if (tookMs === undefined || view.reportedAtMs > -Infinity) return
      const before = view.serviceTimeMs === 0 ? tookMs : view.serviceTimeMs
      update(id, { serviceTimeMs: before + SERVICE_TIME_EWMA_WEIGHT * (tookMs - before) })
    },
    eject: (id, ejectedUntilMs) => {
      // Slow start applies again after the ejection.
      update(id, { ejectedUntilMs, sinceMs: ejectedUntilMs })
    },
    setReachable: (id, reachable, nowMs) => {
      const row = rows.get(id)
      if (row === undefined) return
      if (reachable) row.unreachableSinceMs = undefined
      else row.unreachableSinceMs ??= nowMs
    },
    markGone: (id) => {
      const row = rows.get(id)
      if (row !== undefined) row.isMarkedGone = true
    },
    isReconnecting: (nowMs) =>
      [...rows.values()].some(
        (row) =>
          !isClosed(row) &&
          row.unreachableSinceMs !== undefined &&
          nowMs - row.unreachableSinceMs < RECONNECT_WAIT_MS,
      ),
    open: (excluded) => {
      const open: endpoint.EndpointView[] = []
      for (const [id, row] of rows) {
        if (isClosed(row) || row.unreachableSinceMs !== undefined || excluded.has(id)) continue
        open.push(row.view)
      }
      return open
    },
    views: () => [...rows.values()].map((row) => row.view),
  }
}
