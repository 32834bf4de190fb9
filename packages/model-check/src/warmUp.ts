import * as consensus from '@ebonyweir/consensus'
import * as protocol from '@ebonyweir/protocol'
import * as worlds from './world.js'

/** How a scenario's group is set up. */
export interface GroupOptions {
  readonly ids: readonly string[]
  readonly config?: Partial<consensus.Config>
  /** Clock speeds; 1 where missing. */
  readonly rates?: Readonly<Record<string, number>>
}

const bootstrapped = (ids: readonly string[]): worlds.Disk => ({
  hardState: { term: 1, votedFor: undefined },
  snapshot: undefined,
  entries: [
    {
      term: 1,
      index: 1,
      kind: protocol.replication.EntryKind.MEMBERSHIP,
      payload: consensus.membership.encode({ members: ids.map((id) => worlds.memberOf(id)) }),
    },
  ],
})

/** Group whose replicas hold the same first entry and have heard of no leader for a long time. */
export const formGroup = (options: GroupOptions): worlds.World => {
  const disk = bootstrapped(options.ids)
  const nodes = options.ids.map((id) => {
    // The network of the model decides what is lost, so a rejection may send entries again at any time.
    const config = consensus.resolveConfig({ resendMs: 0, ...options.config, cell: 'm', id })
    const node = worlds.createNode(config, options.rates?.[id] ?? 1, disk)
    return [id, { ...node, nowMs: config.electionTimeoutMaxMs }] as const
  })
  return {
    nodes: Object.fromEntries(nodes),
    network: [],
    cutLinks: [],
    budget: worlds.noBudget,
    ghost: { committed: {}, acknowledgedCommand: 0, leaders: {}, problem: undefined },
  }
}

const deliverMatching = (
  world: worlds.World,
  matches: (envelope: worlds.Envelope) => boolean,
): worlds.World => {
  let current = world
  for (;;) {
    const next = current.network.find(matches)
    if (next === undefined) return current
    const network = current.network.filter((envelope) => envelope !== next)
    current = worlds.runSynced({ ...current, network }, next.to, {
      kind: 'message',
      envelope: next,
    })
  }
}

/** Delivers messages in order until none is left, except those on links given as "from>to". */
export const deliverAll = (world: worlds.World, except: readonly string[] = []): worlds.World =>
  deliverMatching(world, (envelope) => !except.includes(`${envelope.from}>${envelope.to}`))

/** Delivers only vote requests and votes between two replicas. */
export const deliverVotes = (world: worlds.World, pair: readonly string[]): worlds.World =>
  deliverMatching(
    world,
    ({ from, to, body }) =>
      pair.includes(from) &&
      pair.includes(to) &&
      (body?.$case === 'voteRequest' || body?.$case === 'voteReply'),
  )

/** Lets every replica's election timeout pass. */
export const passTimeouts = (world: worlds.World): worlds.World => {
  let next = world
  for (const node of Object.values(world.nodes)) {
    next = worlds.updateNode(next, node.id, { nowMs: node.nowMs + 2_000 })
  }
  return next
}

/** Crashes a replica and starts it again from what it had synced. */
export const reboot = (world: worlds.World, id: string): worlds.World => {
  const disk = world.nodes[id]?.disk
  return disk === undefined ? world : worlds.restart(worlds.crash(world, id), id, disk)
}

/** Lets an election timeout pass and one replica campaign; its messages stay in the network. */
export const campaign = (world: worlds.World, id: string): worlds.World =>
  worlds.runSynced(passTimeouts(world), id, { kind: 'tick', jitter: 0 })

/** Lets one replica win an election and commit the first entry of its term. */
export const elect = (world: worlds.World, id: string): worlds.World =>
  deliverAll(worlds.runSynced(world, id, { kind: 'tick', jitter: 0 }))

/** Lets the leader's next heartbeat through, so that its lease is fresh. */
export const renewLease = (world: worlds.World, id: string): worlds.World => {
  let later = world
  for (const node of Object.values(world.nodes)) {
    later = worlds.updateNode(later, node.id, { nowMs: node.nowMs + 100 })
  }
  return deliverAll(worlds.runSynced(later, id, { kind: 'tick', jitter: 0 }))
}

/** Leader appends a command, which reaches all but the links given. */
export const commit = (
  world: worlds.World,
  id: string,
  text: string,
  except: readonly string[] = [],
): worlds.World => {
  const payloads = [Buffer.from(text)]
  return deliverAll(worlds.runSynced(world, id, { kind: 'propose', payloads }), except)
}

/** Removes all messages, as if they were lost. */
export const dropAll = (world: worlds.World): worlds.World => ({ ...world, network: [] })
