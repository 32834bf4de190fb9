/** Policies that the request experiment compares: the full policy, baselines, and the policy without single parts. */
import * as routing from '@ebonyweir/routing'

export interface SimRequest extends routing.fairQueue.QueuedRequest {
  readonly arrivedAtMs: number
}

export interface Variant {
  readonly name: string
  readonly parts: () => routing.serviceRouter.RouterParts<SimRequest>
  readonly options: Partial<routing.serviceRouter.RouterOptions>
  readonly hedges: boolean
  readonly probes: boolean
}

const QUEUE_LIMIT = 64
const TARGET_MS = 100

const fullParts = (
  change: Partial<routing.choice.LoadAwareOptions> = {},
): routing.serviceRouter.RouterParts<SimRequest> => ({
  choice: new routing.choice.LoadAwareChoice(change),
  queue: new routing.fairQueue.FairQueue<SimRequest>(() => QUEUE_LIMIT),
  budget: new routing.retryBudget.RatioRetryBudget(),
  outliers: new routing.outliers.OutlierEjector(),
})

const fullPolicy: Variant = {
  name: 'full',
  parts: () => fullParts(),
  options: {},
  hedges: true,
  probes: true,
}

// Baselines forward every request at once, as long as the endpoint's queue accepts it.
const baseline = (name: string, choice: () => routing.choice.EndpointChoice): Variant => ({
  name,
  parts: () => ({
    choice: choice(),
    queue: new routing.fairQueue.FifoQueue<SimRequest>(() => QUEUE_LIMIT),
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
): Variant => ({
  ...fullPolicy,
  name: `no ${name}`,
  parts: () => ({ ...fullParts(), ...change() }),
})

const withChoiceOptions = (
  name: string,
  change: Partial<routing.choice.LoadAwareOptions>,
): Variant => ({
  ...fullPolicy,
  name,
  parts: () => fullParts(change),
})

export const VARIANTS: readonly Variant[] = [
  fullPolicy,
  baseline('random', () => new routing.choice.RandomChoice()),
  baseline('roundRobin', () => new routing.choice.RoundRobinChoice()),
  baseline('leastConnections', () => new routing.choice.LeastConnectionsChoice()),
  withChoiceOptions('no reports', { reports: false }),
  withChoiceOptions('no report aging', { reportDecayMs: 1e12 }),
  withChoiceOptions('no service times', { serviceTimes: false }),
  withChoiceOptions('no slow start', { slowStartMs: 0 }),
  withChoiceOptions('no domain preference', { remotePenaltyMs: 0 }),
  withChoiceOptions('2 endpoints sampled', { samples: 2 }),
  withChoiceOptions('all endpoints sampled', { samples: 100 }),
  without('ejection', () => ({ outliers: new routing.outliers.NoEjection() })),
  without('fair queue', () => ({
    queue: new routing.fairQueue.FifoQueue<SimRequest>(() => QUEUE_LIMIT),
  })),
  without('retry budget', () => ({ budget: new routing.retryBudget.UnlimitedRetries() })),
  { ...fullPolicy, name: 'refusal above target', options: { targetMs: () => TARGET_MS } },
  { ...fullPolicy, name: 'no early refusal', options: { refuseEarly: false } },
  { ...fullPolicy, name: 'no entry queue', options: { overcommit: 1_000 } },
  { ...fullPolicy, name: 'no hedging', hedges: false },
  { ...fullPolicy, name: 'no probes', probes: false },
]
