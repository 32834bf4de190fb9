import type * as endpoint from './endpoint.js'

/** What one process knows of the endpoints of one service. */
export interface EndpointTable {
  /** Replaces the listing; what is known of endpoints that stay is kept. */
  readonly list: (listings: readonly endpoint.EndpointListing[], nowMs: number) => void
  readonly report: (id: string, report: endpoint.EndpointReport, nowMs: number) => void
  readonly dispatched: (id: string) => void
  readonly ended: (id: string, tookMs: number | undefined) => void
  readonly eject: (id: string, untilMs: number) => void
  /** Marks endpoints that cannot be reached now; they count as closed. */
  readonly setReachable: (id: string, reachable: boolean) => void
  /** Endpoints that take requests, without those in `excluded`. */
  readonly open: (excluded: ReadonlySet<string>) => readonly endpoint.EndpointView[]
  readonly views: () => readonly endpoint.EndpointView[]
}

interface Row {
  listing: endpoint.EndpointListing
  view: endpoint.EndpointView
  leaving: boolean
  reachable: boolean
}

/** Weight of the newest answer in the average service time. */
const GAIN = 0.1

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

  const relist = (row: Row, listing: endpoint.EndpointListing, nowMs: number): void => {
    const { slots, failureDomain } = listing
    const cameBack = row.listing.closed && !listing.closed
    row.listing = listing
    row.view = { ...row.view, slots: Math.max(1, slots), failureDomain }
    if (cameBack) row.view = { ...row.view, sinceMs: nowMs }
  }

  return {
    list: (listings, nowMs) => {
      const listed = new Set(listings.map((listing) => listing.id))
      for (const id of rows.keys()) if (!listed.has(id)) rows.delete(id)
      for (const listing of listings) {
        const row = rows.get(listing.id)
        if (row !== undefined) {
          relist(row, listing, nowMs)
          continue
        }
        // Endpoints of the first listing are not new; only this process is.
        const view = newView(listing, listedBefore ? nowMs : -Infinity)
        rows.set(listing.id, { listing, view, leaving: false, reachable: true })
      }
      listedBefore = listedBefore || listings.length > 0
    },
    report: (id, report, nowMs) => {
      const row = rows.get(id)
      if (row === undefined) return
      row.leaving = report.leaving
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
      update(id, { serviceTimeMs: before + GAIN * (tookMs - before) })
    },
    eject: (id, ejectedUntilMs) => {
      // After the ejection the endpoint starts slowly again.
      update(id, { ejectedUntilMs, sinceMs: ejectedUntilMs })
    },
    setReachable: (id, reachable) => {
      const row = rows.get(id)
      if (row !== undefined) row.reachable = reachable
    },
    open: (excluded) => {
      const open: endpoint.EndpointView[] = []
      for (const [id, row] of rows) {
        if (row.listing.closed || row.leaving || !row.reachable || excluded.has(id)) continue
        open.push(row.view)
      }
      return open
    },
    views: () => [...rows.values()].map((row) => row.view),
  }
}
