import type * as transitions from './runTransitions.js'
import type * as runState from './runModelState.js'

const NO_FAULTS: runState.FaultCounts = {
  crashes: 0,
  copies: 0,
  refusals: 0,
  lapses: 0,
  failures: 0,
  agentRestarts: 0,
  leaderChanges: 0,
  cancels: 0,
}

/** Scenarios of the run model; each has a counterexample if its protection is disabled. */
export const runScenarios: readonly transitions.RunScenario[] = [
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
  {
    name: 'the leader changes while an agent holds an order for a silent worker',
    protection: 'dropOpenOrders',
    budget: { ...NO_FAULTS, leaderChanges: 1, lapses: 1 },
    hasStreams: true,
  },
  {
    name: 'a silent worker counts as lost while an order for it is under way',
    protection: 'stopLostRuns',
    budget: { ...NO_FAULTS, lapses: 1 },
    hasStreams: true,
  },
  {
    name: 'an order is refused while a new leader repeats it',
    protection: 'skipRejectedRuns',
    budget: { ...NO_FAULTS, leaderChanges: 1, refusals: 1 },
    hasStreams: true,
  },
  {
    name: 'a job is cancelled while an order is under way and the leader changes',
    protection: 'barCancelledRuns',
    budget: { ...NO_FAULTS, leaderChanges: 1, cancels: 1 },
    hasStreams: true,
  },
  {
    name: 'the leader changes after a cancellation',
    protection: 'skipCancelledJobs',
    budget: { ...NO_FAULTS, leaderChanges: 1, cancels: 1 },
    hasStreams: true,
  },
  {
    name: 'a repeated order is refused while the end of its run waits behind others',
    protection: 'awaitAllEnds',
    budget: { ...NO_FAULTS, agentRestarts: 1, refusals: 1 },
  },
  {
    name: 'a copy of an order reaches the next incarnation after its agent called it',
    protection: 'raiseToken',
    budget: { ...NO_FAULTS, copies: 1, crashes: 1 },
    sparesUncalled: true,
  },
]
