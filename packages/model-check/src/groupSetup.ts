import * as consensus from '@ebonyweir/consensus'
import * as protocol from '@ebonyweir/protocol'
import * as states from './consensusState.js'

/** Initial setup of a replica group. */
export interface GroupOptions {
  readonly ids: readonly string[]
  readonly config?: Partial<consensus.Config>
  /** Clock rates by replica, relative to true time; 1 by default. */
  readonly rates?: Readonly<Record<string, number>>
}

const createBootstrapDisk = (ids: readonly string[]): states.Disk => ({
  hardState: { term: 1, votedFor: undefined },
  snapshot: undefined,
  entries: [
    {
      term: 1,
      index: 1,
      kind: protocol.replication.EntryKind.MEMBERSHIP,
      payload: consensus.membership.encode({ members: ids.map((id) => states.memberOf(id)) }),
    },
  ],
})

/** Forms a group whose replicas hold the same first entry and whose election timeouts have expired. */
export const formGroup = (options: GroupOptions): states.ConsensusModelState => {
  const disk = createBootstrapDisk(options.ids)
  const nodes = options.ids.map((id) => {
    // The model decides which messages are lost, so a rejection may cause a resend at any time.
    const config = consensus.resolveConfig({ resendMs: 0, ...options.config, cell: 'm', id })
    const node = states.createNode(config, options.rates?.[id] ?? 1, disk)
    return [id, { ...node, nowMs: config.electionTimeoutMaxMs }] as const
  })
  return {
    nodes: Object.fromEntries(nodes),
    network: [],
    cutLinks: [],
    budget: states.noBudget,
    ghost: { committed: {}, acknowledgedCommand: 0, leaders: {}, problem: undefined },
  }
}

const deliverMatching = (
  system: states.ConsensusModelState,
  matches: (envelope: states.Envelope) => boolean,
): states.ConsensusModelState => {
  let current = system
  for (;;) {
    const next = current.network.find(matches)
    if (next === undefined) return current
    const network = current.network.filter((envelope) => envelope !== next)
    current = states.runSynced({ ...current, network }, next.to, {
      kind: 'message',
      envelope: next,
    })
  }
}

/** Delivers messages in order until none is left, except on the links given as "from>to". */
export const deliverAll = (
  system: states.ConsensusModelState,
  except: readonly string[] = [],
): states.ConsensusModelState =>
  deliverMatching(system, (envelope) => !except.includes(`${envelope.from}>${envelope.to}`))

/** Delivers only the vote requests and vote replies between two replicas. */
export const deliverVotes = (
  system: states.ConsensusModelState,
  pair: readonly string[],
): states.ConsensusModelState =>
  deliverMatching(
    system,
    ({ from, to, body }) =>
      pair.includes(from) &&
      pair.includes(to) &&
      (body?.$case === 'voteRequest' || body?.$case === 'voteReply'),
  )

/** Advances every clock beyond the election timeout. */
export const elapseElectionTimeouts = (
  system: states.ConsensusModelState,
): states.ConsensusModelState => {
  let next = system
  for (const node of Object.values(system.nodes)) {
    next = states.updateNode(next, node.id, { nowMs: node.nowMs + 2_000 })
  }
  return next
}

/** Crashes a replica and restarts it from its synced disk. */
export const crashAndRestart = (
  system: states.ConsensusModelState,
  id: string,
): states.ConsensusModelState => {
  const disk = system.nodes[id]?.disk
  return disk === undefined ? system : states.restart(states.crash(system, id), id, disk)
}

/** Lets the election timeouts expire and one replica campaign; its messages stay in the network. */
export const campaign = (
  system: states.ConsensusModelState,
  id: string,
): states.ConsensusModelState =>
  states.runSynced(elapseElectionTimeouts(system), id, { kind: 'tick', jitter: 0 })

/** Lets one replica win an election and commit the first entry of its term. */
export const elect = (system: states.ConsensusModelState, id: string): states.ConsensusModelState =>
  deliverAll(states.runSynced(system, id, { kind: 'tick', jitter: 0 }))

/** Delivers the leader's next heartbeat, which renews its lease. */
export const renewLease = (
  system: states.ConsensusModelState,
  id: string,
): states.ConsensusModelState => {
  let later = system
  for (const node of Object.values(system.nodes)) {
    later = states.updateNode(later, node.id, { nowMs: node.nowMs + 100 })
  }
  return deliverAll(states.runSynced(later, id, { kind: 'tick', jitter: 0 }))
}

/** Proposes a command at the leader; its messages are not delivered on the excepted links. */
export const commit = (
  system: states.ConsensusModelState,
  id: string,
  text: string,
  except: readonly string[] = [],
): states.ConsensusModelState => {
  const payloads = [Buffer.from(text)]
  return deliverAll(states.runSynced(system, id, { kind: 'propose', payloads }), except)
}

/** Drops all messages in transit. */
export const dropMessages = (system: states.ConsensusModelState): states.ConsensusModelState => ({
  ...system,
  network: [],
})
