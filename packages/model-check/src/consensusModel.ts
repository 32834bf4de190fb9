import type * as scenarios from './consensusScenarios.js'
import type * as engine from './engine.js'
import * as groupSetup from './groupSetup.js'
import * as states from './consensusState.js'
import * as actions from './consensusActions.js'
import * as keys from './consensusStateKey.js'

export type ConsensusModel = engine.Model<states.ConsensusModelState, actions.Action>

export interface ModelOptions {
  /** Whether the scenario's protection is enabled. */
  readonly protected: boolean
  /** Whether `longBudget` applies where the scenario has one. */
  readonly useLongBudget: boolean
}

const resolveOptions = (scenario: scenarios.Scenario): actions.TransitionOptions => ({
  tickIntervalMs: 500,
  separateSyncs: false,
  crashInStep: false,
  changes: [],
  ...scenario.options,
})

/** Creates the model of a scenario from the production step function. */
export const createConsensusModel = (
  scenario: scenarios.Scenario,
  build: ModelOptions,
): ConsensusModel => {
  const options = resolveOptions(scenario)
  const config = { ...scenario.config, ...(build.protected ? {} : scenario.weakened) }
  const group = groupSetup.formGroup({ ids: ['A', 'B', 'C'], config, rates: scenario.rates })
  const override = build.useLongBudget ? (scenario.longBudget ?? scenario.budget) : scenario.budget
  const budget = { ...states.noBudget, ...override }
  return {
    name: scenario.name,
    initial: [{ ...scenario.start(group), budget }],
    actions: (system) => actions.actionsOf(system, options),
    next: (system, action) => actions.nextState(system, action, options),
    key: keys.systemKey,
    describe: actions.describeAction,
    invariants: scenario.invariants,
  }
}
