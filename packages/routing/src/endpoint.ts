/** What a router knows of one endpoint when it chooses. Times are monotonic milliseconds. */
export interface EndpointView {
  /** Unique among the endpoints of the cell. */
  readonly id: string
  readonly failureDomain: string
  readonly slots: number
  /** Requests of this process that the endpoint has not answered. */
  readonly outstanding: number
  /** Requests of other processes, by the last report; undefined without a report. */
  readonly othersReported: number | undefined
  readonly reportedAtMs: number
  /** Average service time; 0 when nothing is known. */
  readonly serviceTimeMs: number
  /** When the endpoint appeared or came back. */
  readonly sinceMs: number
  /** Not chosen before this time, unless nothing else is left. */
  readonly ejectedUntilMs: number
}

/** An endpoint as the directory lists it. */
export interface EndpointListing {
  readonly id: string
  readonly failureDomain: string
  readonly slots: number
  /** Leaving, or in a failure domain that is out. */
  readonly closed: boolean
}

/** Load that an endpoint reported. */
export interface EndpointReport {
  readonly running: number
  readonly queued: number
  readonly slots: number
  readonly leaving: boolean
  readonly serviceTimeMs: number
}

/** Source of numbers in [0, 1). */
export type Random = () => number
