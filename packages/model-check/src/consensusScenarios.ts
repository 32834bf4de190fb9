import * as consensus from '@ebonyweir/consensus'
import type * as engine from './engine.js'
import * as warmUp from './warmUp.js'
import * as worlds from './world.js'
import type * as actions from './worldActions.js'
import * as invariants from './worldInvariants.js'

/** Bounded model of the replicated log and the protection that it is about. */
export interface Scenario {
  readonly name: string
  /** Protection whose absence the scenario exposes. */
  readonly protection: string
  /** Configuration without the protection. */
  readonly weakened: Partial<consensus.Config>
  /** Configuration with the protection. */
  readonly config: Partial<consensus.Config>
  /** Clock speeds; 1 where missing. */
  readonly rates?: Readonly<Record<string, number>>
  /** Brings a newly formed group of A, B and C to where the exploration starts. */
  readonly start: (group: worlds.World) => worlds.World
  readonly budget: Partial<worlds.Budget>
  /** Bound of the long run, where it is larger. */
  readonly longBudget?: Partial<worlds.Budget>
  readonly options?: Partial<actions.WorldOptions>
  readonly invariants: readonly engine.Invariant<worlds.World>[]
}

const safety = [invariants.noProblem, invariants.leaderComplete]
const timed = [...safety, invariants.noStaleRead]

/** True time between two ticks in scenarios with clocks. */
const quantumMs = 500

/** Without these a replica votes and campaigns at any time, which allows more behaviours. */
const untimed: consensus.Guards = {
  ...consensus.allGuards,
  preVote: false,
  stickyLeader: false,
  restartGrace: false,
}

/** The leader's clock is slow and the others' are fast, both by the assumed 2 %. */
const drifting = { A: 0.98, B: 1.02, C: 1.02 }

const without = (guard: keyof consensus.Guards, guards = consensus.allGuards) => ({
  guards: { ...guards, [guard]: false },
})

const cut = (world: worlds.World, ...pairs: readonly string[]): worlds.World => ({
  ...world,
  cutLinks: pairs.flatMap((pair) => [pair, pair.split('>').reverse().join('>')]),
})

const lead = (group: worlds.World) => warmUp.renewLease(warmUp.elect(group, 'A'), 'A')

/** A leads with an acknowledged command and a fresh lease. */
const leadWithCommand = (group: worlds.World) =>
  warmUp.renewLease(warmUp.commit(lead(group), 'A', 'x'), 'A')

/** C waits longer than B before it campaigns, so that both do not split the votes. */
const patientC = (world: worlds.World): worlds.World => {
  const state = world.nodes.C?.state
  if (state === undefined) return world
  return worlds.updateNode(world, 'C', { state: { ...state, jitter: 0.9 } })
}

/** A got an entry of term 2 to nobody, B led term 3, and A has just won term 4 with C's vote. */
const oldEntryAtNewLeader = (group: worlds.World) => {
  const proposed = warmUp.commit(lead(group), 'A', 'old', ['A>B', 'A>C'])
  const cleared = warmUp.dropAll(proposed)
  const secondLeader = warmUp.deliverVotes(warmUp.campaign(cleared, 'B'), ['B', 'C'])
  const rebooted = warmUp.reboot(warmUp.reboot(warmUp.dropAll(secondLeader), 'A'), 'B')
  const third = warmUp.dropAll(warmUp.campaign(rebooted, 'A'))
  return warmUp.deliverVotes(warmUp.campaign(third, 'A'), ['A', 'C'])
}

/** C's disk is lost, the leader has noticed its silence, and an empty replacement has started. */
const replacedDisk = (group: worlds.World) => {
  const started = warmUp.renewLease(warmUp.commit(lead(group), 'A', 'x'), 'A')
  const node = started.nodes.C
  if (node === undefined) return started
  const id = worlds.replacementId('C')
  const fresh = worlds.createNode({ ...node.state.config, id }, 1)
  let silent = worlds.removeNode(started, 'C')
  for (let heartbeat = 0; heartbeat < 12; heartbeat += 1) silent = warmUp.renewLease(silent, 'A')
  return worlds.addNode(silent, { ...fresh, nowMs: silent.nodes.A?.nowMs ?? 0 })
}

const replacement = { ...worlds.memberOf(worlds.replacementId('C')) }

export const scenarios: readonly Scenario[] = [
  {
    name: 'two candidates and a voter that crashes before its sync',
    protection: 'sync before send',
    config: { guards: untimed },
    weakened: without('syncBeforeSend', untimed),
    start: (group) => group,
    budget: { timeouts: 2, crashes: 1 },
    longBudget: { timeouts: 2, crashes: 1, duplicates: 1, reorders: 1 },
    options: { crashInStep: true, electing: ['A', 'B'] },
    invariants: safety,
  },
  {
    name: 'an old entry reaches a majority before one of the new term',
    protection: 'commit by counting only in the own term',
    config: { guards: untimed, maxMessageBytes: 1, maxInFlightMessages: 1 },
    weakened: without('commitOwnTermOnly', untimed),
    start: oldEntryAtNewLeader,
    budget: { timeouts: 2 },
    longBudget: { timeouts: 2, heartbeats: 1 },
    options: { electing: ['B'] },
    invariants: safety,
  },
  {
    name: 'a replica returns with an empty disk after a commit',
    protection: 'identity dies with the disk',
    config: { guards: untimed },
    weakened: without('identity', untimed),
    start: lead,
    budget: { proposals: 1, crashes: 1, lostDisks: 1, timeouts: 1 },
    longBudget: { proposals: 1, crashes: 1, lostDisks: 1, timeouts: 2 },
    options: { electing: ['C'], faulty: ['B'] },
    invariants: safety,
  },
  {
    name: 'competing proposals, elections and a crash',
    protection: 'one membership change at a time',
    config: { guards: untimed },
    weakened: without('oneChangeAtATime', untimed),
    start: lead,
    budget: { memberChanges: 2, timeouts: 1, proposals: 1 },
    longBudget: { memberChanges: 2, timeouts: 1, proposals: 1, duplicates: 1 },
    options: {
      electing: ['B'],
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
    weakened: without('stickyLeader'),
    rates: drifting,
    start: (group) => cut(leadWithCommand(group), 'A>B'),
    budget: { advances: 3, proposals: 1 },
    longBudget: { advances: 4, proposals: 1 },
    invariants: timed,
  },
  {
    name: 'a voter restarts within the leader lease',
    protection: 'no vote soon after a restart',
    config: {},
    weakened: without('restartGrace'),
    rates: drifting,
    start: (group) => cut(leadWithCommand(group), 'A>B'),
    budget: { advances: 2, proposals: 1, crashes: 1 },
    longBudget: { advances: 3, proposals: 1, crashes: 1 },
    options: { faulty: ['C'] },
    invariants: timed,
  },
  {
    name: 'the leader is cut off and another one is elected',
    protection: 'leader lease',
    config: {},
    weakened: without('leaderLease'),
    rates: drifting,
    start: (group) => patientC(cut(leadWithCommand(group), 'A>B', 'A>C')),
    budget: { advances: 3, proposals: 1 },
    longBudget: { advances: 4, proposals: 2 },
    invariants: timed,
  },
  {
    name: 'clocks drift by 2 % while the leader is cut off',
    protection: 'lease shorter than the election timeout by the drift',
    config: {},
    weakened: { leaderLeaseMs: 1_000 },
    rates: drifting,
    start: (group) => patientC(cut(leadWithCommand(group), 'A>B', 'A>C')),
    budget: { advances: 4, proposals: 1 },
    invariants: timed,
  },
  {
    name: 'leadership is transferred',
    protection: 'no lease after a transfer was announced',
    config: {},
    weakened: without('leaseEndsAtTransfer'),
    rates: drifting,
    start: leadWithCommand,
    budget: { transfers: 1, proposals: 1, advances: 1 },
    longBudget: { transfers: 1, proposals: 1, advances: 2 },
    invariants: timed,
  },
  {
    name: 'the leader is cut off for long',
    protection: 'step-down without a quorum',
    config: {},
    weakened: without('quorumStepDown'),
    rates: drifting,
    start: (group) => patientC(cut(leadWithCommand(group), 'A>B', 'A>C')),
    budget: { advances: 4 },
    invariants: [...timed, invariants.stepsDown(quantumMs)],
  },
  {
    name: 'a new leader holds a commit that it does not know of',
    protection: 'empty entry of the term first',
    config: {},
    weakened: without('emptyEntryFirst'),
    rates: drifting,
    start: (group) => patientC(cut(warmUp.commit(lead(group), 'A', 'x'), 'A>B', 'A>C')),
    budget: { advances: 4 },
    invariants: timed,
  },
  {
    name: 'a follower is cut off from everyone',
    protection: 'pre-vote',
    config: {},
    weakened: without('preVote'),
    rates: drifting,
    start: (group) => cut(leadWithCommand(group), 'C>A', 'C>B'),
    budget: { advances: 3 },
    longBudget: { advances: 4, proposals: 1 },
    invariants: [...timed, invariants.keepsTerm('C', 2)],
  },
  {
    name: 'a replica is replaced, then a second one is lost',
    protection: 'repaired only after every voter acknowledged',
    config: {},
    weakened: without('repairedNeedsAcknowledgement'),
    start: replacedDisk,
    budget: { memberChanges: 2, heartbeats: 2 },
    longBudget: { memberChanges: 2, heartbeats: 3 },
    options: {
      changes: [
        { kind: 'add', member: replacement },
        { kind: 'remove', id: 'C' },
      ],
    },
    invariants: [...safety, invariants.repairedIsTrue],
  },
  {
    name: 'a disk goes back in time',
    protection: 'a member that reports less is refused',
    config: {},
    weakened: without('refuseRolledBack'),
    start: leadWithCommand,
    budget: { crashes: 1, rollbacks: 1, heartbeats: 2 },
    longBudget: { crashes: 1, rollbacks: 1, heartbeats: 3 },
    options: { faulty: ['B'] },
    invariants: [...safety, invariants.repairedNoticesRollBack],
  },
  {
    name: 'a lagging replica receives a snapshot during an election',
    protection: 'none is switched off',
    config: { guards: untimed, trailingEntries: 0 },
    weakened: {},
    start: (group) => warmUp.dropAll(warmUp.commit(lead(group), 'A', 'x', ['A>C'])),
    budget: { snapshots: 1, heartbeats: 1, timeouts: 1 },
    longBudget: { snapshots: 1, heartbeats: 2, timeouts: 1, crashes: 1 },
    options: { electing: ['B'] },
    invariants: safety,
  },
]

/** Everything at once, far too large to explore; followed by random runs. */
export const randomScenario: Scenario = {
  name: 'everything at once',
  protection: 'none is switched off',
  config: {},
  weakened: {},
  rates: drifting,
  start: lead,
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
    quantumMs: 250,
    separateSyncs: true,
    crashInStep: true,
    changes: [
      { kind: 'add', member: replacement },
      { kind: 'remove', id: 'B' },
      { kind: 'remove', id: 'C' },
    ],
  },
  invariants: timed,
}
