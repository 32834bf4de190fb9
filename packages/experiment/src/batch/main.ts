/** `npm run experiment`: prints the measures of every policy and writes an HTML page with plots. */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as util from 'node:util'
import * as page from '../report/page.js'
import * as statistics from '../report/statistics.js'
import * as data from './data.js'
import * as matrix from './matrix.js'

const print = (line: string): void => void process.stdout.write(`${line}\n`)

const { values: args } = util.parseArgs({
  options: {
    seeds: { type: 'string', default: '5' },
    scenario: { type: 'string', default: '' },
    deployment: { type: 'string', default: '' },
    out: { type: 'string', default: '.run/experiment/batch.html' },
  },
})

const PLOTTED = ['ours', 'no batch', 'no guard', 'random', 'first fit', 'evict newest']

const tableOf = (result: matrix.ScenarioResult): readonly (readonly string[])[] => [
  ['policy', ...matrix.MEASURES.map(({ name }) => name)],
  ...result.results.map((policyResult) => [
    policyResult.policy.name,
    ...matrix.MEASURES.map((measure) =>
      statistics.formatSpread(
        statistics.spreadOf(matrix.valuesOf(result, policyResult, measure)),
        measure.digits,
      ),
    ),
  ]),
]

const plotsOf = ({ results }: matrix.ScenarioResult): readonly page.Plot[] => {
  const plotted = results.filter(({ policy }) => PLOTTED.includes(policy.name))
  const x = plotted[0]?.runs[0]?.points.map(({ atS }) => atS) ?? []
  const common = { xLabel: 'time in s, first seed', x }
  const tail = plotted.map(({ policy, runs }) => ({
    label: policy.name,
    values: runs[0]?.points.map(({ p99Ms }) => Math.min(p99Ms, 1_000)) ?? [],
  }))
  const cores = plotted.map(({ policy, runs }) => ({
    label: policy.name,
    values: runs[0]?.points.map(({ busyCores }) => busyCores) ?? [],
  }))
  return [
    { ...common, title: 'Tail of the slowest runner', yLabel: 'p99 in ms', lines: tail },
    { ...common, title: 'Cores used by batch tasks', yLabel: 'cores', lines: cores },
  ]
}

const printTable = (table: readonly (readonly string[])[]): void => {
  const widths = table[0]?.map((_, column) =>
    Math.max(...table.map((row) => row[column]?.length ?? 0)),
  )
  for (const row of table)
    print(row.map((cell, column) => cell.padEnd(widths?.[column] ?? 0)).join('  '))
}

const seeds = Array.from({ length: Number(args.seeds) }, (_, n) => n + 1)
const sections: page.Section[] = []
const betterBaselines: matrix.Comparison[] = []
const all: matrix.ScenarioResult[] = []

for (const deployment of data.readDeployments()) {
  if (!deployment.name.includes(args.deployment)) continue
  for (const scenario of data.readScenarios()) {
    if (!scenario.name.includes(args.scenario)) continue
    const result = matrix.runScenario(deployment, scenario, seeds)
    all.push(result)
    const title = `${deployment.name}, ${scenario.name}`
    const table = tableOf(result)
    print(`\n${title}: mean (least–most) of ${seeds.length} seeds`)
    printTable(table)
    sections.push({ title, table, plots: plotsOf(result) })
    betterBaselines.push(...matrix.findBetterBaselines(result))
  }
}

print(
  '\nBaselines better than the production policy (clear: beyond two standard errors over the seeds)',
)
for (const {
  isSignificant,
  deployment,
  scenario,
  measure,
  baseline,
  ours,
  theirs,
} of betterBaselines) {
  const significance = isSignificant ? 'clear' : 'within noise'
  print(
    `${significance}: ${deployment}, ${scenario}, ${measure}: ${baseline} ${theirs.toFixed(2)}, ours ${ours.toFixed(2)}`,
  )
}
print(
  `${betterBaselines.filter(({ isSignificant }) => isSignificant).length} clear, ${betterBaselines.length} in all`,
)
print(
  '\nProduction policy compared with each other policy: scenarios where it is clearly better, clearly worse',
)
for (const { part, measure, helps, hurts } of matrix.findPartEffects(all)) {
  if (helps.length + hurts.length === 0) continue
  print(
    `${part}, ${measure}: better in ${helps.length}, worse in ${hurts.length} (${hurts.join(', ')})`,
  )
}
fs.mkdirSync(path.dirname(args.out), { recursive: true })
fs.writeFileSync(args.out, page.renderPage('Placement and interference', sections))
print(`page: ${args.out}`)
