import type * as runModel from './runModel.js'

const NO_FAULTS: runModel.RunBudget = {
  crashes: 0,
  copies: 0,
  refusals: 0,
  lapses: 0,
  failures: 0,
  agentRestarts: 0,
  leaderChanges: 0,
}

/** Scenarios of runs; each one shows what its protection prevents. */
export const runScenarios: readonly runModel.RunScenario[] = [
  {
    name: 'an end is forgotten by its worker and the leader changes before it is recorded',
    protection: 'commitBeforeAcknowledge',
    budget: { ...NO_FAULTS, lapses: 1 },
  },
  {
    name: 'an order without an answer is carried out after a second one was refused',
    protection: 'barUncertainOrders',
    budget: { ...NO_FAULTS, copies: 1, refusals: 1 },
  },
  {
    name: 'an agent is killed between an order without an answer and a refusal of the repeated one',
    protection: 'markRepeatedOrders',
    budget: { ...NO_FAULTS, agentRestarts: 1, leaderChanges: 1, refusals: 1 },
  },
  {
    name: 'the leader changes between the refusal of an order and its commit',
    protection: 'skipEndingRuns',
    budget: { ...NO_FAULTS, leaderChanges: 1, refusals: 1 },
  },
  {
    name: 'an order to an earlier incarnation reaches the next one under its id',
    protection: 'barOldIncarnation',
    budget: { ...NO_FAULTS, crashes: 1 },
  },
  {
    name: 'a worker that nobody hears of goes on working',
    protection: 'waitForLease',
    budget: { ...NO_FAULTS, lapses: 1, failures: 1 },
  },
]
