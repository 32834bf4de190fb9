import type * as scenarios from './consensusScenarios.js'
import type * as engine from './engine.js'
import * as warmUp from './warmUp.js'
import * as worlds from './world.js'
import * as actions from './worldActions.js'
import * as keys from './worldKey.js'

export type ConsensusModel = engine.Model<worlds.World, actions.Action>

export interface BuildOptions {
  /** Whether the scenario's protection is in place. */
  readonly protected: boolean
  /** Whether the bound of the long run is used. */
  readonly long: boolean
}

const resolveOptions = (scenario: scenarios.Scenario): actions.WorldOptions => ({
  quantumMs: 500,
  separateSyncs: false,
  crashInStep: false,
  changes: [],
  ...scenario.options,
})

/** Model of one scenario over the production step function. */
export const createConsensusModel = (
  scenario: scenarios.Scenario,
  build: BuildOptions,
): ConsensusModel => {
  const options = resolveOptions(scenario)
  const config = { ...scenario.config, ...(build.protected ? {} : scenario.weakened) }
  const group = warmUp.formGroup({ ids: ['A', 'B', 'C'], config, rates: scenario.rates })
  const bound = build.long ? (scenario.longBudget ?? scenario.budget) : scenario.budget
  const budget = { ...worlds.noBudget, ...bound }
  return {
    name: scenario.name,
    initial: [{ ...scenario.start(group), budget }],
    actions: (world) => actions.actionsOf(world, options),
    next: (world, action) => actions.nextWorld(world, action, options),
    key: keys.worldKey,
    describe: actions.describeAction,
    invariants: scenario.invariants,
  }
}
