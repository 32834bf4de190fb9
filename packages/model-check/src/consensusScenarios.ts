import * as consensus from '@ebonyweir/consensus'
import type * as engine from './engine.js'
import * as groupSetup from './groupSetup.js'
import * as states from './consensusState.js'
import type * as actions from './consensusActions.js'
import * as invariants from './consensusInvariants.js'

/** Bounded model of the replicated log that checks one protection. */
export interface Scenario {
  readonly name: string
  /** Protection without which the scenario has a counterexample. */
  readonly protection: string
  /** Overrides of `config` that disable the protection. */
  readonly weakened: Partial<consensus.Config>
  /** Configuration with the protection. */
  readonly config: Partial<consensus.Config>
  /** Clock rates by replica, relative to true time; 1 by default. */
  readonly rates?: Readonly<Record<string, number>>
  /** Brings a newly formed group of A, B and C to the initial state of the exploration. */
  readonly start: (group: states.ConsensusModelState) => states.ConsensusModelState
  readonly budget: Partial<states.Budget>
  /** Larger budget for exploration outside of the tests. */
  readonly longBudget?: Partial<states.Budget>
  readonly options?: Partial<actions.TransitionOptions>
  readonly invariants: readonly engine.Invariant<states.ConsensusModelState>[]
}

const safety = [invariants.noProblem, invariants.leaderComplete]
const timedSafety = [...safety, invariants.noStaleRead]

/** True time between two ticks in scenarios with clocks, in milliseconds. */
const TICK_INTERVAL_MS = 500

/** Disables the guards that depend on time; replicas may then vote and campaign at any time, which allows more behaviours. */
const untimedGuards: consensus.Guards = {
  ...consensus.allGuards,
  preVote: false,
  stickyLeader: false,
  restartGrace: false,
}

/** The leader's clock is slow and the others are fast, each by the assumed maximum drift of 2 %. */
const driftingClocks = { A: 0.98, B: 1.02, C: 1.02 }

const disableGuard = (guard: keyof consensus.Guards, guards = consensus.allGuards) => ({
  guards: { ...guards, [guard]: false },
})

const disconnect = (
  system: states.ConsensusModelState,
  ...pairs: readonly string[]
): states.ConsensusModelState => ({
  ...system,
  cutLinks: pairs.flatMap((pair) => [pair, pair.split('>').reverse().join('>')]),
})

const electA = (group: states.ConsensusModelState) =>
  groupSetup.renewLease(groupSetup.elect(group, 'A'), 'A')

/** A is the leader, with an acknowledged command and a renewed lease. */
const electAWithCommand = (group: states.ConsensusModelState) =>
  groupSetup.renewLease(groupSetup.commit(electA(group), 'A', 'x'), 'A')

/** Gives C a longer election timeout than B, to avoid a split vote. */
const delayElectionOfC = (system: states.ConsensusModelState): states.ConsensusModelState => {
  const state = system.nodes.C?.state
  if (state === undefined) return system
  return states.updateNode(system, 'C', { state: { ...state, jitter: 0.9 } })
}

/** A has an unreplicated entry of term 2, B led term 3, and A has just won term 4 with C's vote. */
const oldEntryAtNewLeader = (group: states.ConsensusModelState) => {
  const proposed = groupSetup.commit(electA(group), 'A', 'old', ['A>B', 'A>C'])
  const cleared = groupSetup.dropMessages(proposed)
  const secondLeader = groupSetup.deliverVotes(groupSetup.campaign(cleared, 'B'), ['B', 'C'])
  const restarted = groupSetup.crashAndRestart(
    groupSetup.crashAndRestart(groupSetup.dropMessages(secondLeader), 'A'),
    'B',
  )
  const third = groupSetup.dropMessages(groupSetup.campaign(restarted, 'A'))
  return groupSetup.deliverVotes(groupSetup.campaign(third, 'A'), ['A', 'C'])
}

/** C's disk is lost, the leader has noticed that C does not respond, and an empty replacement has started. */
const replaceDiskOfC = (group: states.ConsensusModelState) => {
  const committed = groupSetup.renewLease(groupSetup.commit(electA(group), 'A', 'x'), 'A')
  const node = committed.nodes.C
  if (node === undefined) return committed
  const id = states.replacementId('C')
  const fresh = states.createNode({ ...node.state.config, id }, 1)
  let withoutC = states.removeNode(committed, 'C')
  for (let heartbeat = 0; heartbeat < 12; heartbeat += 1)
    withoutC = groupSetup.renewLease(withoutC, 'A')
  return states.addNode(withoutC, { ...fresh, nowMs: withoutC.nodes.A?.nowMs ?? 0 })
}

const replacementMember = { ...states.memberOf(states.replacementId('C')) }

export const scenarios: readonly Scenario[] = [
  {
    name: 'two candidates and a voter that crashes before its sync',
    protection: 'sync before send',
    config: { guards: untimedGuards },
    weakened: disableGuard('syncBeforeSend', untimedGuards),
    start: (group) => group,
    budget: { timeouts: 2, crashes: 1 },
    longBudget: { timeouts: 2, crashes: 1, duplicates: 1, reorders: 1 },
    options: { crashInStep: true, candidates: ['A', 'B'] },
    invariants: safety,
  },
  {
    name: 'an old entry reaches a majority before one of the new term',
    protection: 'commit by counting only in the own term',
    config: { guards: untimedGuards, maxMessageBytes: 1, maxInFlightMessages: 1 },
    weakened: disableGuard('commitOwnTermOnly', untimedGuards),
    start: oldEntryAtNewLeader,
    budget: { timeouts: 2 },
    longBudget: { timeouts: 2, heartbeats: 1 },
    options: { candidates: ['B'] },
    invariants: safety,
  },
  {
    name: 'a replica returns with an empty disk after a commit',
    protection: 'identity dies with the disk',
    config: { guards: untimedGuards },
    weakened: disableGuard('identity', untimedGuards),
    start: electA,
    budget: { proposals: 1, crashes: 1, lostDisks: 1, timeouts: 1 },
    longBudget: { proposals: 1, crashes: 1, lostDisks: 1, timeouts: 2 },
    options: { candidates: ['C'], crashable: ['B'] },
    invariants: safety,
  },
  {
    name: 'competing proposals, elections and a crash',
    protection: 'one membership change at a time',
    config: { guards: untimedGuards },
    weakened: disableGuard('oneChangeAtATime', untimedGuards),
    start: electA,
    budget: { memberChanges: 2, timeouts: 1, proposals: 1 },
    longBudget: { memberChanges: 2, timeouts: 1, proposals: 1, duplicates: 1 },
    options: {
      candidates: ['B'],
      changes: [
        { kind: 'remove', id: 'B' },
        { kind: 'remove', id: 'C' },
      ],
    },
    invariants: safety,
  },
  {
    name: 'a follower that the leader does not reach campaigns',
    protection: 'sticky leader',
    config: {},
    weakened: disableGuard('stickyLeader'),
    rates: driftingClocks,
    start: (group) => disconnect(electAWithCommand(group), 'A>B'),
    budget: { advances: 3, proposals: 1 },
    longBudget: { advances: 4, proposals: 1 },
    invariants: timedSafety,
  },
  {
    name: 'a voter restarts within the leader lease',
    protection: 'no vote soon after a restart',
    config: {},
    weakened: disableGuard('restartGrace'),
    rates: driftingClocks,
    start: (group) => disconnect(electAWithCommand(group), 'A>B'),
    budget: { advances: 2, proposals: 1, crashes: 1 },
    longBudget: { advances: 3, proposals: 1, crashes: 1 },
    options: { crashable: ['C'] },
    invariants: timedSafety,
  },
  {
    name: 'a voter restarts within the leader lease and campaigns early',
    protection: 'no vote soon after a restart',
    config: { startupTimeoutMinMs: 100, startupTimeoutMaxMs: 200 },
    weakened: disableGuard('restartGrace'),
    rates: driftingClocks,
    start: (group) => disconnect(electAWithCommand(group), 'A>B'),
    budget: { advances: 2, proposals: 1, crashes: 1 },
    longBudget: { advances: 3, proposals: 1, crashes: 1 },
    options: { crashable: ['C'] },
    invariants: timedSafety,
  },
  {
    name: 'the leader is cut off and another one is elected',
    protection: 'leader lease',
    config: {},
    weakened: disableGuard('leaderLease'),
    rates: driftingClocks,
    start: (group) => delayElectionOfC(disconnect(electAWithCommand(group), 'A>B', 'A>C')),
    budget: { advances: 3, proposals: 1 },
    longBudget: { advances: 4, proposals: 2 },
    invariants: timedSafety,
  },
  {
    name: 'clocks drift by 2 % while the leader is cut off',
    protection: 'lease shorter than the election timeout by the drift',
    config: {},
    weakened: { leaderLeaseMs: 1_000 },
    rates: driftingClocks,
    start: (group) => delayElectionOfC(disconnect(electAWithCommand(group), 'A>B', 'A>C')),
    budget: { advances: 4, proposals: 1 },
    invariants: timedSafety,
  },
  {
    name: 'leadership is transferred',
    protection: 'no lease after a transfer was announced',
    config: {},
    weakened: disableGuard('leaseEndsAtTransfer'),
    rates: driftingClocks,
    start: electAWithCommand,
    budget: { transfers: 1, proposals: 1, advances: 1 },
    longBudget: { transfers: 1, proposals: 1, advances: 2 },
    invariants: timedSafety,
  },
  {
    name: 'the leader is cut off for long',
    protection: 'step-down without a quorum',
    config: {},
    weakened: disableGuard('quorumStepDown'),
    rates: driftingClocks,
    start: (group) => delayElectionOfC(disconnect(electAWithCommand(group), 'A>B', 'A>C')),
    budget: { advances: 4 },
    invariants: [...timedSafety, invariants.stepsDown(TICK_INTERVAL_MS)],
  },
  {
    name: 'a new leader holds a commit that it does not know of',
    protection: 'empty entry of the term first',
    config: {},
    weakened: disableGuard('emptyEntryFirst'),
    rates: driftingClocks,
    start: (group) =>
      delayElectionOfC(disconnect(groupSetup.commit(electA(group), 'A', 'x'), 'A>B', 'A>C')),
    budget: { advances: 4 },
    invariants: timedSafety,
  },
  {
    name: 'a follower is cut off from everyone',
    protection: 'pre-vote',
    config: {},
    weakened: disableGuard('preVote'),
    rates: driftingClocks,
    start: (group) => disconnect(electAWithCommand(group), 'C>A', 'C>B'),
    budget: { advances: 3 },
    longBudget: { advances: 4, proposals: 1 },
    invariants: [...timedSafety, invariants.keepsTerm('C', 2)],
  },
  {
    name: 'a replica is replaced, then a second one is lost',
    protection: 'repaired only after every voter acknowledged',
    config: {},
    weakened: disableGuard('repairedNeedsAcknowledgement'),
    start: replaceDiskOfC,
    budget: { memberChanges: 2, heartbeats: 2 },
    longBudget: { memberChanges: 2, heartbeats: 3 },
    options: {
      changes: [
        { kind: 'add', member: replacementMember },
        { kind: 'remove', id: 'C' },
      ],
    },
    invariants: [...safety, invariants.repairedIsTrue],
  },
  {
    name: 'a disk goes back in time',
    protection: 'a member that reports less is refused',
    config: {},
    weakened: disableGuard('refuseRolledBack'),
    start: electAWithCommand,
    budget: { crashes: 1, rollbacks: 1, heartbeats: 2 },
    longBudget: { crashes: 1, rollbacks: 1, heartbeats: 3 },
    options: { crashable: ['B'] },
    invariants: [...safety, invariants.repairedNoticesRollBack],
  },
  {
    name: 'a lagging replica receives a snapshot during an election',
    protection: 'none is switched off',
    config: { guards: untimedGuards, trailingEntries: 0 },
    weakened: {},
    start: (group) => groupSetup.dropMessages(groupSetup.commit(electA(group), 'A', 'x', ['A>C'])),
    budget: { snapshots: 1, heartbeats: 1, timeouts: 1 },
    longBudget: { snapshots: 1, heartbeats: 2, timeouts: 1, crashes: 1 },
    options: { candidates: ['B'] },
    invariants: safety,
  },
]

/** Combines all faults; the state space is too large to explore exhaustively, so it is sampled by random runs. */
export const randomScenario: Scenario = {
  name: 'everything at once',
  protection: 'none is switched off',
  config: {},
  weakened: {},
  rates: driftingClocks,
  start: electA,
  budget: {
    advances: 60,
    heartbeats: 20,
    proposals: 8,
    crashes: 5,
    lostDisks: 1,
    duplicates: 8,
    reorders: 30,
    losses: 60,
    transfers: 3,
    memberChanges: 4,
    snapshots: 4,
  },
  options: {
    tickIntervalMs: 250,
    separateSyncs: true,
    crashInStep: true,
    changes: [
      { kind: 'add', member: replacementMember },
      { kind: 'remove', id: 'B' },
      { kind: 'remove', id: 'C' },
    ],
  },
  invariants: timedSafety,
}
