/** Formats tables and values for terminal output. */
import type * as protocol from '@ebonyweir/protocol'
import * as cliTable from 'cli-table3'

/** Renders a table without borders, so that tools such as grep and cut can process it. */
export function renderTable(head: readonly string[], rows: readonly (readonly string[])[]): string {
  const empty = ''
  const table = new cliTable.default({
    head: head.map((title) => title.toUpperCase()),
    style: { head: [], border: [], compact: true, 'padding-left': 0, 'padding-right': 2 },
    chars: {
      top: empty,
      'top-mid': empty,
      'top-left': empty,
      'top-right': empty,
      bottom: empty,
      'bottom-mid': empty,
      'bottom-left': empty,
      'bottom-right': empty,
      left: empty,
      'left-mid': empty,
      mid: empty,
      'mid-mid': empty,
      right: empty,
      'right-mid': empty,
      middle: empty,
    },
  })
  table.push(...rows.map((row) => [...row]))
  const lines = table.toString().split('\n')
  return `${lines.map((line) => line.trimEnd()).join('\n')}\n`
}

/** Formats resources as "4.0 cores, 8192 MiB", followed by accelerators if there are any. */
export function formatResources(resources: protocol.workerApi.ResourcesJson): string {
  const parts = [`${(resources.cpuMillis / 1000).toFixed(1)} cores`, `${resources.memoryMb} MiB`]
  if (resources.accelerators > 0) parts.push(`${resources.accelerators} accelerators`)
  return parts.join(', ')
}

/** Formats a fraction as "12.3 %". */
export function formatPercent(fraction: number): string {
  return `${(fraction * 100).toFixed(1)} %`
}
