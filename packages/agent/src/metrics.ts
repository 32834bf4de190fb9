import type * as executionState from './executionState.js'

/** Counters of an agent. */
export interface AgentCounters {
  answered: number
  notRun: number
  unknown: number
  resolved: number
  syncFailed: number
}

export const createCounters = (): AgentCounters => ({
  answered: 0,
  notRun: 0,
  unknown: 0,
  resolved: 0,
  syncFailed: 0,
})

/** Renders the metrics. prom-client is loaded on the first scrape, to reduce the memory use of agents. */
export const renderMetrics = async (
  counters: AgentCounters,
  state: executionState.ExecutionState,
): Promise<string> => {
  const prom = await import('prom-client')
  const registry = new prom.Registry()
  const requests = new prom.Counter({
    name: 'ebonyweir_agent_requests_total',
    help: 'Requests by outcome.',
    labelNames: ['outcome'],
    registers: [registry],
  })
  requests.inc({ outcome: 'answered' }, counters.answered)
  requests.inc({ outcome: 'not-run' }, counters.notRun)
  requests.inc({ outcome: 'unknown' }, counters.unknown)
  const add = (name: string, help: string, value: number): void => {
    new prom.Gauge({ name, help, registers: [registry] }).set(value)
  }
  add('ebonyweir_agent_resolves', 'Resolve calls since the start.', counters.resolved)
  add('ebonyweir_agent_sync_failures', 'Failed syncs since the start.', counters.syncFailed)
  add('ebonyweir_agent_active_requests', 'Requests that wait or run.', state.active.size)
  add(
    'ebonyweir_agent_remembered_requests',
    'Request ids kept after their end.',
    state.settled.size + state.retained.size,
  )
  add('ebonyweir_agent_answer_bytes', 'Bytes of kept answers.', state.answerBytes)
  return registry.metrics()
}
