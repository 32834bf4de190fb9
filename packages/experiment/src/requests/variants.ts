/** Policies that the request experiment compares: the whole, its baselines, and each part off. */
import * as routing from '@ebonyweir/routing'

export interface SimRequest extends routing.fairQueue.Waiting {
  readonly arrivedAtMs: number
}

export interface Variant {
  readonly name: string
  readonly parts: () => routing.serviceRouter.RouterParts<SimRequest>
  readonly options: Partial<routing.serviceRouter.RouterOptions>
  readonly hedges: boolean
  readonly probes: boolean
}

const QUEUE = 64
const TARGET_MS = 100

const fullParts = (
  change: Partial<routing.choice.LoadAwareOptions> = {},
): routing.serviceRouter.RouterParts<SimRequest> => ({
  choice: new routing.choice.LoadAwareChoice(change),
  queue: new routing.fairQueue.FairQueue<SimRequest>(() => QUEUE),
  budget: new routing.retryBudget.RatioRetryBudget(),
  outliers: new routing.outliers.OutlierEjector(),
})

const full: Variant = {
  name: 'full',
  parts: () => fullParts(),
  options: {},
  hedges: true,
  probes: true,
}

// Baselines send every request on at once, as far as their own queue at the endpoint allows.
const baseline = (name: string, choice: () => routing.choice.EndpointChoice): Variant => ({
  name,
  parts: () => ({
    choice: choice(),
    queue: new routing.fairQueue.FifoQueue<SimRequest>(() => QUEUE),
    budget: new routing.retryBudget.UnlimitedRetries(),
    outliers: new routing.outliers.NoEjection(),
  }),
  options: { refuseEarly: false, overcommit: 1_000 },
  hedges: false,
  probes: true,
})

const without = (
  name: string,
  change: () => Partial<routing.serviceRouter.RouterParts<SimRequest>>,
): Variant => ({ ...full, name: `no ${name}`, parts: () => ({ ...fullParts(), ...change() }) })

const choosing = (name: string, change: Partial<routing.choice.LoadAwareOptions>): Variant => ({
  ...full,
  name,
  parts: () => fullParts(change),
})

export const VARIANTS: readonly Variant[] = [
  full,
  baseline('random', () => new routing.choice.RandomChoice()),
  baseline('roundRobin', () => new routing.choice.RoundRobinChoice()),
  baseline('leastConnections', () => new routing.choice.LeastConnectionsChoice()),
  choosing('no reports', { reports: false }),
  choosing('no report aging', { reportDecayMs: 1e12 }),
  choosing('no service times', { serviceTimes: false }),
  choosing('no slow start', { slowStartMs: 0 }),
  choosing('no domain preference', { remotePenaltyMs: 0 }),
  choosing('2 endpoints sampled', { samples: 2 }),
  choosing('all endpoints sampled', { samples: 100 }),
  without('ejection', () => ({ outliers: new routing.outliers.NoEjection() })),
  without('fair queue', () => ({
    queue: new routing.fairQueue.FifoQueue<SimRequest>(() => QUEUE),
  })),
  without('retry budget', () => ({ budget: new routing.retryBudget.UnlimitedRetries() })),
  { ...full, name: 'refusal above target', options: { targetMs: () => TARGET_MS } },
  { ...full, name: 'no early refusal', options: { refuseEarly: false } },
  { ...full, name: 'no entry queue', options: { overcommit: 1_000 } },
  { ...full, name: 'no hedging', hedges: false },
  { ...full, name: 'no probes', probes: false },
]
