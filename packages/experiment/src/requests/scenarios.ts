/** Scenarios of the request experiment. */

export interface Scenario {
  readonly name: string
  /** Load at a time, as a share of the capacity of all slots. */
  readonly load: (atMs: number) => number
  /** Factor on the service time of an endpoint at a time. */
  readonly slowdown: (endpoint: number, atMs: number) => number
  /** Interval of probes; responses carry a load report as well unless `piggyback` is false. */
  readonly reportMs: number
  readonly piggyback: boolean
  /** Time at which some connections become unresponsive; Infinity for never. */
  readonly unresponsiveAtMs: number
  /** Load of one flooding caller, as a share of the capacity; 0 for none. */
  readonly flood: number
  /** Interval in which the last failure domain is out. */
  readonly domainOut: readonly [fromMs: number, untilMs: number]
}

const never: readonly [number, number] = [Infinity, Infinity]

const steady: Scenario = {
  name: 'steady',
  load: () => 0.6,
  slowdown: () => 1,
  reportMs: 500,
  piggyback: true,
  unresponsiveAtMs: Infinity,
  flood: 0,
  domainOut: never,
}

const within = (atMs: number, fromMs: number, untilMs: number): boolean =>
  atMs >= fromMs && atMs < untilMs

export const SCENARIOS: readonly Scenario[] = [
  steady,
  { ...steady, name: 'peak', load: (atMs) => (within(atMs, 3_000, 6_000) ? 1.3 : 0.6) },
  { ...steady, name: 'staleReports', load: () => 0.75, reportMs: 4_000, piggyback: false },
  { ...steady, name: 'slowEndpoint', slowdown: (e, atMs) => (e === 0 && atMs > 2_000 ? 8 : 1) },
  { ...steady, name: 'silentConnections', unresponsiveAtMs: 3_000 },
  { ...steady, name: 'flood', load: () => 0.3, flood: 2 },
  {
    ...steady,
    name: 'domainOutAndBack',
    domainOut: [3_000, 6_000],
    // Endpoints are slow at first after their return (cold start).
    slowdown: (e, atMs) => (e >= 7 && within(atMs, 6_000, 8_000) ? 4 : 1),
  },
]
