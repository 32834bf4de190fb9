import * as commandModel from './commandModel.js'
import * as commandScenarios from './commandScenarios.js'
import * as consensusModel from './consensusModel.js'
import * as consensusScenarios from './consensusScenarios.js'
import * as engine from './engine.js'
import * as randomRuns from './randomRuns.js'
import * as runModel from './runModel.js'
import type * as transitions from './runTransitions.js'
import * as runScenarios from './runScenarios.js'

const nowMs = () => performance.now()
const print = (text: string): void => {
  process.stdout.write(`${text}\n`)
}

const showTraces = process.argv.includes('--traces')
const useLongBudget = !process.argv.includes('--short')
const nameFilter = process.argv
  .find((argument) => argument.startsWith('--only='))
  ?.slice('--only='.length)
const maxStates = useLongBudget ? 300_000 : 40_000
const randomSeconds = Number(
  process.argv.find((argument) => argument.startsWith('--random='))?.slice('--random='.length) ?? 0,
)

const summary = (result: engine.Exploration): string => {
  const seconds = (result.elapsedMs / 1_000).toFixed(1)
  const extent = result.complete ? 'complete' : 'stopped'
  return `${result.states} states, depth ${result.depth}, ${seconds} s, ${extent}`
}

const printResult = (label: string, result: engine.Exploration): void => {
  print(`  ${label}: ${summary(result)}`)
  const { violation } = result
  if (violation === undefined) return
  print(`    ${violation.invariant}: ${violation.detail} (${violation.trace.length} actions)`)
  if (showTraces) for (const line of violation.trace) print(`      ${line}`)
}

/** Explores a scenario with and without its protection; returns whether only the latter has a violation. */
const checkConsensusScenario = (scenario: consensusScenarios.Scenario): boolean => {
  print(`${scenario.name} [${scenario.protection}]`)
  const withProtection = engine.explore(
    consensusModel.createConsensusModel(scenario, { protected: true, useLongBudget }),
    { maxStates, nowMs },
  )
  printResult('on ', withProtection)
  if (Object.keys(scenario.weakened).length === 0) return withProtection.violation === undefined
  const withoutProtection = engine.explore(
    consensusModel.createConsensusModel(scenario, { protected: false, useLongBudget: false }),
    { maxStates, nowMs },
  )
  printResult('off', withoutProtection)
  return withProtection.violation === undefined && withoutProtection.violation !== undefined
}

/** Explores a scenario of the control state with and without its protection. */
const checkCommandScenario = (scenario: commandModel.CommandScenario): boolean => {
  print(`${scenario.name} [${scenario.protection}]`)
  const options = { maxStates, nowMs }
  const withProtection = engine.explore(commandModel.createCommandModel(scenario, true), options)
  printResult('on ', withProtection)
  const withoutProtection = engine.explore(
    commandModel.createCommandModel(scenario, false),
    options,
  )
  printResult('off', withoutProtection)
  return withProtection.violation === undefined && withoutProtection.violation !== undefined
}

/** Explores a scenario of the runs of graph jobs with and without its protection. */
const checkRunScenario = (scenario: transitions.RunScenario): boolean => {
  print(`${scenario.name} [${scenario.protection}]`)
  const options = { maxStates, nowMs }
  const withProtection = engine.explore(runModel.createRunModel(scenario, true), options)
  printResult('on ', withProtection)
  const withoutProtection = engine.explore(runModel.createRunModel(scenario, false), options)
  printResult('off', withoutProtection)
  return withProtection.violation === undefined && withoutProtection.violation !== undefined
}

/** Follows random traces with new seeds until the time limit; returns whether there was no violation. */
const checkRandomRuns = (seconds: number): boolean => {
  const options = { protected: true, useLongBudget: true }
  const model = consensusModel.createConsensusModel(consensusScenarios.randomScenario, options)
  const untilMs = nowMs() + seconds * 1_000
  let runs = 0
  while (nowMs() < untilMs) {
    const seed = Math.floor(Math.random() * 0x7fffffff)
    const violation = randomRuns.randomRuns(model, { seed, runs: 20, steps: 250 })
    runs += 20
    if (violation === undefined) continue
    print(`random runs, seed ${seed}: ${violation.invariant}: ${violation.detail}`)
    for (const line of violation.trace) print(`  ${line}`)
    return false
  }
  print(`random runs: ${runs} runs of 250 actions, no violation`)
  return true
}

if (randomSeconds > 0) {
  process.exit(checkRandomRuns(randomSeconds) ? 0 : 1)
}

const matchesFilter = (scenario: { readonly name: string }): boolean =>
  nameFilter === undefined || scenario.name.includes(nameFilter)

const unexpected = [
  ...commandScenarios.commandScenarios
    .filter(matchesFilter)
    .filter((s) => !checkCommandScenario(s)),
  ...runScenarios.runScenarios.filter(matchesFilter).filter((s) => !checkRunScenario(s)),
  ...consensusScenarios.scenarios.filter(matchesFilter).filter((s) => !checkConsensusScenario(s)),
]
for (const scenario of unexpected) print(`unexpected result: ${scenario.name}`)
process.exitCode = unexpected.length === 0 ? 0 : 1
