import * as vitest from 'vitest'
import * as modelCheck from '@ebonyweir/model-check'

const { describe, expect, test } = vitest

const nowMs = () => performance.now()

const explore = (scenario: modelCheck.Scenario, isProtected: boolean, maxStates: number) =>
  modelCheck.explore(
    modelCheck.createConsensusModel(scenario, { protected: isProtected, useLongBudget: false }),
    { maxStates, nowMs },
  )

const rows = modelCheck.scenarios.map((scenario) => [scenario.name, scenario] as const)
const weakenedRows = rows.filter(([, scenario]) => Object.keys(scenario.weakened).length > 0)

describe('the replicated log', () => {
  // Guards against an interleaving of messages, crashes and timeouts within the budget that violates an invariant.
  test.each(rows)('keeps its invariants: %s', (_name, scenario) => {
    expect(explore(scenario, true, 12_000).violation).toBeUndefined()
  })

  // Guards against a scenario that does not detect the absence of its protection.
  test.each(weakenedRows)('has a counterexample without its protection: %s', (_name, scenario) => {
    expect(explore(scenario, false, 60_000).violation).toBeDefined()
  })

  // Guards against violations that need longer traces than the budget of the exhaustive exploration allows.
  test.each([[1], [20_261_204]])('keeps its invariants in random runs with seed %i', (seed) => {
    const options = { protected: true, useLongBudget: true }
    const model = modelCheck.createConsensusModel(modelCheck.randomScenario, options)
    expect(modelCheck.randomRuns(model, { seed, runs: 20, steps: 200 })).toBeUndefined()
  })
})
