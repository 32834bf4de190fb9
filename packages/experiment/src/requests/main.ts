/** `npm run experiment:requests`: runs every scenario with every policy and several seeds. */
import * as util from 'node:util'
import * as scenarios from './scenarios.js'
import * as simulation from './simulation.js'
import * as variants from './variants.js'

const { values } = util.parseArgs({
  options: {
    seeds: { type: 'string', default: '3' },
    scenario: { type: 'string', default: '' },
  },
})

const quantile = (sorted: readonly number[], share: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? NaN

const median = (numbers: readonly number[]): number =>
  quantile(
    [...numbers].sort((a, b) => a - b),
    0.5,
  )

interface Row {
  readonly p50Ms: number
  readonly p99Ms: number
  readonly goodPercent: number
  readonly refusedPercent: number
  readonly failedPercent: number
  readonly executionsPerRequest: number
}

const rowOf = (outcome: simulation.Outcome): Row => {
  const sorted = [...outcome.tookMs].sort((a, b) => a - b)
  const all = outcome.answered + outcome.refused + outcome.failed
  return {
    p50Ms: quantile(sorted, 0.5),
    p99Ms: quantile(sorted, 0.99),
    goodPercent: (100 * outcome.answered) / all,
    refusedPercent: (100 * outcome.refused) / all,
    failedPercent: (100 * outcome.failed) / all,
    executionsPerRequest: outcome.executions / all,
  }
}

const cell = (rows: readonly Row[], field: keyof Row, digits: number): string => {
  const numbers = rows.map((row) => row[field])
  const low = Math.min(...numbers).toFixed(digits)
  const high = Math.max(...numbers).toFixed(digits)
  return `${median(numbers).toFixed(digits)} (${low}–${high})`
}

const seeds = Array.from({ length: Number(values.seeds) }, (_, i) => i + 1)
const selectedScenarios = scenarios.SCENARIOS.filter(
  (s) => values.scenario === '' || s.name === values.scenario,
)
for (const scenario of selectedScenarios) {
  process.stdout.write(`\n### ${scenario.name}\n\n`)
  process.stdout.write(
    '| policy | p50 ms | p99 ms | answered % | refused % | failed % | executions |\n',
  )
  process.stdout.write('| --- | --- | --- | --- | --- | --- | --- |\n')
  for (const variant of variants.VARIANTS) {
    const rows = seeds.map((seed) => rowOf(simulation.simulate(scenario, variant, seed)))
    const columns = [
      cell(rows, 'p50Ms', 1),
      cell(rows, 'p99Ms', 0),
      cell(rows, 'goodPercent', 2),
      cell(rows, 'refusedPercent', 2),
      cell(rows, 'failedPercent', 2),
      cell(rows, 'executionsPerRequest', 2),
    ]
    process.stdout.write(`| ${variant.name} | ${columns.join(' | ')} |\n`)
  }
}
