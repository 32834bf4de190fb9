import * as prom from 'prom-client'

/** Metrics of an entry instance. */
export interface EntryMetrics {
  readonly recordRequest: (service: string, outcome: string, reason: string, tookMs: number) => void
  readonly resolves: prom.Counter
  readonly retries: prom.Counter
  readonly hedges: prom.Counter
  readonly replacedConnections: prom.Counter
  readonly syncFailures: prom.Counter
  readonly render: (gauges: EntryGauges) => Promise<string>
}

/** Gauge values, read on each scrape. */
export interface EntryGauges {
  readonly requests: number
  readonly queued: number
  readonly bufferedBytes: number
  readonly agents: number
  readonly revision: number
}

const SECONDS_BUCKETS = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10]

/** Creates the metrics registry of one entry instance. */
export const createEntryMetrics = (): EntryMetrics => {
  const registry = new prom.Registry()
  const registers = [registry]

  const counter = (name: string, help: string): prom.Counter =>
    new prom.Counter({ name, help, registers })

  const requests = new prom.Counter({
    name: 'ebonyweir_entry_requests_total',
    help: 'Requests by service, outcome and reason.',
    labelNames: ['service', 'outcome', 'reason'],
    registers,
  })
  const seconds = new prom.Histogram({
    name: 'ebonyweir_entry_request_seconds',
    help: 'Time from the last byte of a request to the result.',
    labelNames: ['service'],
    buckets: SECONDS_BUCKETS,
    registers,
  })
  const gauges: Readonly<Record<keyof EntryGauges, prom.Gauge>> = {
    requests: new prom.Gauge({
      name: 'ebonyweir_entry_requests',
      help: 'Requests in progress.',
      registers,
    }),
    queued: new prom.Gauge({
      name: 'ebonyweir_entry_queued_requests',
      help: 'Requests that wait for an endpoint.',
      registers,
    }),
    bufferedBytes: new prom.Gauge({
      name: 'ebonyweir_entry_buffered_bytes',
      help: 'Bytes of request bodies held.',
      registers,
    }),
    agents: new prom.Gauge({
      name: 'ebonyweir_entry_agents',
      help: 'Agents in the directory.',
      registers,
    }),
    revision: new prom.Gauge({
      name: 'ebonyweir_entry_revision',
      help: 'Revision in force.',
      registers,
    }),
  }

  return {
    recordRequest: (service, outcome, reason, tookMs) => {
      requests.inc({ service, outcome, reason })
      seconds.observe({ service }, tookMs / 1_000)
    },
    resolves: counter('ebonyweir_entry_resolves_total', 'Undecided requests that were resolved.'),
    retries: counter('ebonyweir_entry_retries_total', 'Further attempts after a failed one.'),
    hedges: counter('ebonyweir_entry_hedges_total', 'Second attempts of slow quick requests.'),
    replacedConnections: counter(
      'ebonyweir_entry_replaced_connections_total',
      'Agent connections that missed their probes.',
    ),
    syncFailures: counter('ebonyweir_entry_sync_failures_total', 'Failed syncs with control.'),
    render: async (values) => {
      gauges.requests.set(values.requests)
      gauges.queued.set(values.queued)
      gauges.bufferedBytes.set(values.bufferedBytes)
      gauges.agents.set(values.agents)
      gauges.revision.set(values.revision)
      return registry.metrics()
    },
  }
}
