import * as vitest from 'vitest'
import * as modelCheck from '@ebonyweir/model-check'

const { describe, expect, test } = vitest

const options = { maxStates: 20_000, nowMs: () => performance.now() }
const rows = modelCheck.commandScenarios.map((scenario) => [scenario.name, scenario] as const)

describe('the control state', () => {
  // Guards against an interleaving of delayed and duplicated commands that violates an invariant.
  test.each(rows)('keeps its invariants: %s', (_name, scenario) => {
    const result = modelCheck.explore(modelCheck.createCommandModel(scenario, true), options)
    expect(result.violation).toBeUndefined()
    expect(result.complete).toBe(true)
  })

  // Guards against a scenario that does not detect the absence of its protection.
  test.each(rows)('has a counterexample without its protection: %s', (_name, scenario) => {
    const result = modelCheck.explore(modelCheck.createCommandModel(scenario, false), options)
    expect(result.violation).toBeDefined()
  })
})
