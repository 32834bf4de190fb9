/** Tables and values for people. */
import type * as protocol from '@ebonyweir/protocol'
import * as cliTable from 'cli-table3'

/** Renders columns without frame lines, so that the text can be searched and cut. */
export function renderTable(head: readonly string[], rows: readonly (readonly string[])[]): string {
  const none = ''
  const table = new cliTable.default({
    head: head.map((title) => title.toUpperCase()),
    style: { head: [], border: [], compact: true, 'padding-left': 0, 'padding-right': 2 },
    chars: {
      top: none,
      'top-mid': none,
      'top-left': none,
      'top-right': none,
      bottom: none,
      'bottom-mid': none,
      'bottom-left': none,
      'bottom-right': none,
      left: none,
      'left-mid': none,
      mid: none,
      'mid-mid': none,
      right: none,
      'right-mid': none,
      middle: none,
    },
  })
  table.push(...rows.map((row) => [...row]))
  const lines = table.toString().split('\n')
  return `${lines.map((line) => line.trimEnd()).join('\n')}\n`
}

/** "4.0 cores, 8192 MiB" and accelerators if there are any. */
export function formatResources(resources: protocol.workerApi.ResourcesJson): string {
  const parts = [`${(resources.cpuMillis / 1000).toFixed(1)} cores`, `${resources.memoryMb} MiB`]
  if (resources.accelerators > 0) parts.push(`${resources.accelerators} accelerators`)
  return parts.join(', ')
}

/** "12.3 %". */
export function formatPercent(fraction: number): string {
  return `${(fraction * 100).toFixed(1)} %`
}
