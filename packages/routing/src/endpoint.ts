/** Routing state of one endpoint. Times are monotonic milliseconds. */
export interface EndpointView {
  /** Unique among the endpoints of the cell. */
  readonly id: string
  readonly failureDomain: string
  readonly slots: number
  /** Unanswered requests from this process. */
  readonly outstanding: number
  /** Requests from other processes according to the last report; undefined without a report. */
  readonly othersReported: number | undefined
  readonly reportedAtMs: number
  /** Average service time; 0 if unknown. */
  readonly serviceTimeMs: number
  /** Start of the endpoint's slow start: when it was listed, reopened or readmitted. */
  readonly sinceMs: number
  /** Not chosen before this time, unless half or more of the endpoints would be ejected. */
  readonly ejectedUntilMs: number
}

/** Directory entry of an endpoint. */
export interface EndpointListing {
  readonly id: string
  readonly failureDomain: string
  readonly slots: number
  /** Leaving, or in a failure domain that is out of service. */
  readonly closed: boolean
}

/** Load reported by an endpoint. */
export interface EndpointReport {
  readonly running: number
  readonly queued: number
  readonly slots: number
  readonly leaving: boolean
  readonly serviceTimeMs: number
}

/** Source of random numbers in [0, 1). */
export type Random = () => number
