/** Metrics of a control replica. */
import * as telemetry from '@ebonyweir/telemetry'
import type * as context from './context.js'

export interface ControlMetrics {
  readonly contentType: string
  readonly render: () => Promise<string>
}

export const createControlMetrics = (ctx: context.ControlContext): ControlMetrics => {
  const { cell, name } = ctx.options
  const metrics = telemetry.createMetrics({ labels: { cell, name, role: 'control' } })
  const values: readonly (readonly [string, string, () => number])[] = [
    ['control_leader', '1 while this replica leads with a valid lease', () => (ctx.term() ? 1 : 0)],
    ['control_term', 'Current term', () => ctx.replica.leadership().term],
    ['control_applied_index', 'Index of the last applied entry', ctx.view.appliedIndex],
    ['control_revision', 'Revision of the rules in force', ctx.view.revision],
    ['control_workers', 'Registered workers', ctx.view.workerCount],
    [
      'control_waiting_subjects',
      'Jobs and services that wait for a place',
      () => ctx.term()?.decision?.unplaced.length ?? 0,
    ],
    ['control_agents', 'Agents in the directory', () => ctx.term()?.directory.agents().length ?? 0],
  ]
  const gauges = values.map(([metric, help, read]) => ({
    gauge: metrics.gauge({ name: metric, help }),
    read,
  }))
  const render = (): Promise<string> => {
    for (const { gauge, read } of gauges) gauge.set(read())
    return metrics.render()
  }
  return { contentType: metrics.contentType, render }
}
