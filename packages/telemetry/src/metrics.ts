/** Metrics registry of one process, in the Prometheus text format. */
import * as promClient from 'prom-client'

/** Options of `createMetrics`. */
export interface MetricsOptions {
  /** Labels on every metric, for example role and cell. */
  readonly labels?: Readonly<Record<string, string>>
  /** Whether to collect process and event loop metrics. @default true */
  readonly processMetrics?: boolean
}

/** A metric's name, help text and label names. */
export interface MetricOptions {
  /** Without the prefix `ebonyweir_`; the unit is the suffix. */
  readonly name: string
  readonly help: string
  readonly labels?: readonly string[]
}

/** Options of a histogram; `buckets` are upper bounds in the unit of the metric. */
export interface HistogramOptions extends MetricOptions {
  readonly buckets?: readonly number[]
}

/** Creates metrics and renders them. */
export interface Metrics {
  readonly registry: promClient.Registry
  readonly contentType: string
  counter(options: MetricOptions): promClient.Counter
  gauge(options: MetricOptions): promClient.Gauge
  histogram(options: HistogramOptions): promClient.Histogram
  /** Text of all metrics, for `GET /metrics`. */
  render(): Promise<string>
}

const NAME_PREFIX = 'ebonyweir_'

/** Upper bounds of latency histograms, in seconds. */
export const LATENCY_BUCKETS_SECONDS: readonly number[] = [
  0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10,
]

/** Creates a registry separate from prom-client's global one, so that one process can hold several. */
export function createMetrics(options: MetricsOptions = {}): Metrics {
  const registry = new promClient.Registry()
  registry.setDefaultLabels({ ...options.labels })
  if (options.processMetrics ?? true) promClient.collectDefaultMetrics({ register: registry })
  const configure = (metric: MetricOptions) => ({
    name: `${NAME_PREFIX}${metric.name}`,
    help: metric.help,
    labelNames: [...(metric.labels ?? [])],
    registers: [registry],
  })
  return {
    registry,
    contentType: registry.contentType,
    counter: (metric) => new promClient.Counter(configure(metric)),
    gauge: (metric) => new promClient.Gauge(configure(metric)),
    histogram: (metric) =>
      new promClient.Histogram({
        ...configure(metric),
        buckets: [...(metric.buckets ?? LATENCY_BUCKETS_SECONDS)],
      }),
    render: () => registry.metrics(),
  }
}
