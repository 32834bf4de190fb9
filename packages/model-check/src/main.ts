import * as commandModel from './commandModel.js'
import * as commandScenarios from './commandScenarios.js'
import * as consensusModel from './consensusModel.js'
import * as scenarios from './consensusScenarios.js'
import * as engine from './engine.js'
import * as random from './randomRuns.js'
import * as runModel from './runModel.js'
import type * as runSteps from './runSteps.js'
import * as runScenarios from './runScenarios.js'

const nowMs = () => performance.now()
const print = (text: string): void => {
  process.stdout.write(`${text}\n`)
}

const showTraces = process.argv.includes('--traces')
const long = !process.argv.includes('--short')
const wanted = process.argv
  .find((argument) => argument.startsWith('--only='))
  ?.slice('--only='.length)
const maxStates = long ? 300_000 : 40_000
const randomSeconds = Number(
  process.argv.find((argument) => argument.startsWith('--random='))?.slice('--random='.length) ?? 0,
)

const summary = (result: engine.Exploration): string => {
  const seconds = (result.elapsedMs / 1_000).toFixed(1)
  const extent = result.complete ? 'complete' : 'stopped'
  return `${result.states} states, depth ${result.depth}, ${seconds} s, ${extent}`
}

const report = (label: string, result: engine.Exploration): void => {
  print(`  ${label}: ${summary(result)}`)
  const { violation } = result
  if (violation === undefined) return
  print(`    ${violation.invariant}: ${violation.detail} (${violation.trace.length} actions)`)
  if (showTraces) for (const line of violation.trace) print(`      ${line}`)
}

/** Explores one scenario with and without its protection; tells whether both came out as expected. */
const runScenario = (scenario: scenarios.Scenario): boolean => {
  print(`${scenario.name} [${scenario.protection}]`)
  const on = engine.explore(
    consensusModel.createConsensusModel(scenario, { protected: true, long }),
    { maxStates, nowMs },
  )
  report('on ', on)
  if (Object.keys(scenario.weakened).length === 0) return on.violation === undefined
  const off = engine.explore(
    consensusModel.createConsensusModel(scenario, { protected: false, long: false }),
    { maxStates, nowMs },
  )
  report('off', off)
  return on.violation === undefined && off.violation !== undefined
}

/** Explores one scenario of the control state with and without its protection. */
const runCommands = (scenario: commandModel.CommandScenario): boolean => {
  print(`${scenario.name} [${scenario.protection}]`)
  const options = { maxStates, nowMs }
  const on = engine.explore(commandModel.createCommandModel(scenario, true), options)
  report('on ', on)
  const off = engine.explore(commandModel.createCommandModel(scenario, false), options)
  report('off', off)
  return on.violation === undefined && off.violation !== undefined
}

/** Explores one scenario of the runs of graph jobs with and without its protection. */
const runRuns = (scenario: runSteps.RunScenario): boolean => {
  print(`${scenario.name} [${scenario.protection}]`)
  const options = { maxStates, nowMs }
  const on = engine.explore(runModel.createRunModel(scenario, true), options)
  report('on ', on)
  const off = engine.explore(runModel.createRunModel(scenario, false), options)
  report('off', off)
  return on.violation === undefined && off.violation !== undefined
}

/** Random runs with fresh seeds until the time is used up. */
const runRandom = (seconds: number): boolean => {
  const options = { protected: true, long: true }
  const model = consensusModel.createConsensusModel(scenarios.randomScenario, options)
  const untilMs = nowMs() + seconds * 1_000
  let runs = 0
  while (nowMs() < untilMs) {
    const seed = Math.floor(Math.random() * 0x7fffffff)
    const violation = random.randomRuns(model, { seed, runs: 20, steps: 250 })
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
  process.exit(runRandom(randomSeconds) ? 0 : 1)
}

const isChosen = (scenario: { readonly name: string }): boolean =>
  wanted === undefined || scenario.name.includes(wanted)

const failed = [
  ...commandScenarios.commandScenarios.filter(isChosen).filter((s) => !runCommands(s)),
  ...runScenarios.runScenarios.filter(isChosen).filter((s) => !runRuns(s)),
  ...scenarios.scenarios.filter(isChosen).filter((s) => !runScenario(s)),
]
for (const scenario of failed) print(`not as expected: ${scenario.name}`)
process.exitCode = failed.length === 0 ? 0 : 1
