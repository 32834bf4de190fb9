/** Renders the burn report as text for a terminal. */
import type * as burn from '@ebonyweir/telemetry/burn'

import type * as burnSources from './burnSources.js'
import * as failures from './failure.js'
import * as output from './output.js'

/** Maximum number of causes listed per dimension (failure domain, endpoint or rule). */
const MAX_CAUSES = 3

/** Renders the report; unreachable sources come first, since they qualify all figures. */
export function renderReport(report: burnSources.BurnReport): string {
  const sections = [
    renderSources(report),
    report.services.length === 0 ? 'no service has an objective\n' : renderServices(report),
    ...report.services.map(renderCauses),
  ]
  return sections.filter((section) => section !== '').join('\n')
}

function renderSources({ sources, unreached }: burnSources.BurnReport): string {
  const from = `made from: ${sources.join(', ') || 'nothing'}\n`
  const missing = unreached.map(({ address, detail }) => `NOT REACHED: ${address}: ${detail}\n`)
  return `${from}${missing.join('')}`
}

function renderServices({ services }: burnSources.BurnReport): string {
  return output.renderTable(
    [
      'service',
      'objective',
      'requests',
      'bad',
      'budget left',
      'fast 5m/1h',
      'slow 30m/6h',
      'state',
    ],
    services.map((service) => [
      service.service,
      output.formatPercent(service.objective),
      String(service.window.total),
      String(service.window.bad),
      service.window.total === 0 ? 'no requests' : output.formatPercent(service.budgetLeft),
      ...service.pairs.map(formatPair),
      describeState(service.pairs),
    ]),
  )
}

function formatPair(pair: burn.PairBurn): string {
  return `${pair.shortRate.toFixed(1)} / ${pair.longRate.toFixed(1)} (limit ${pair.threshold})`
}

function describeState(pairs: readonly burn.PairBurn[]): string {
  const burning = pairs.filter((pair) => pair.burning).map((pair) => pair.name)
  return burning.length === 0 ? 'ok' : `BURNING (${burning.join(', ')})`
}

function renderCauses(service: burnSources.ReportedService): string {
  if (service.window.bad === 0) return ''
  const dimensions = ['failureDomain', 'endpoint', 'rule'] as const
  const lines = dimensions.flatMap((dimension) =>
    service.causes
      .filter((cause) => cause.place === dimension)
      .slice(0, MAX_CAUSES)
      .map(
        ({ name, bad, share }) =>
          `  ${dimension} ${name}: ${bad} bad, ${output.formatPercent(share)}\n`,
      ),
  )
  const objective = `objective set by ${failures.describeRule(service.rule)}`
  return `${service.service}: where the bad requests of the last 6 h come from (${objective})\n${lines.join('')}`
}
