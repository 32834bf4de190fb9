import * as consensus from '@ebonyweir/consensus'
import * as protocol from '@ebonyweir/protocol'

export type Envelope = consensus.Envelope

/** What a replica has synced. */
export interface Disk {
  readonly hardState: consensus.HardState
  readonly snapshot: consensus.SnapshotMeta | undefined
  readonly entries: readonly consensus.LogEntry[]
}

export interface Node {
  readonly id: string
  readonly alive: boolean
  readonly state: consensus.State
  readonly disk: Disk
  /** Writes that are handed out and not synced. */
  readonly unsynced: readonly consensus.Persist[]
  /** The replica's own clock. */
  readonly nowMs: number
  /** Speed of its clock relative to true time. */
  readonly rate: number
  /** Highest index this disk ever acknowledged to a leader. */
  readonly acknowledged: number
}

/** How often each kind of action may still happen. */
export interface Budget {
  readonly timeouts: number
  readonly heartbeats: number
  readonly proposals: number
  readonly crashes: number
  readonly lostDisks: number
  readonly rollbacks: number
  readonly duplicates: number
  /** Deliveries ahead of an older message on the same link. */
  readonly reorders: number
  /** Messages lost while later ones on the same link arrive. The newest ones may always stay undelivered. */
  readonly losses: number
  /** Steps of true time, for models with clocks. */
  readonly advances: number
  readonly transfers: number
  readonly memberChanges: number
  readonly snapshots: number
}

/** Facts about the whole run that no replica knows. */
export interface Ghost {
  /** Committed entries by index, as text. */
  readonly committed: Readonly<Record<number, string>>
  /** Highest index of a command that some leader acknowledged to its caller. */
  readonly acknowledgedCommand: number
  readonly leaders: Readonly<Record<number, string>>
  /** First event that must never happen. */
  readonly problem: string | undefined
}

export interface World {
  readonly nodes: Readonly<Record<string, Node>>
  readonly network: readonly Envelope[]
  /** Links that lose every message, as "from>to". */
  readonly cutLinks: readonly string[]
  readonly budget: Budget
  readonly ghost: Ghost
}

export const noBudget: Budget = {
  timeouts: 0,
  heartbeats: 0,
  proposals: 0,
  crashes: 0,
  lostDisks: 0,
  rollbacks: 0,
  duplicates: 0,
  reorders: 0,
  losses: 0,
  advances: 0,
  transfers: 0,
  memberChanges: 0,
  snapshots: 0,
}

const payloadText = (entry: consensus.LogEntry): string => {
  if (entry.kind !== protocol.replication.EntryKind.MEMBERSHIP) return entry.payload.toString()
  const { members } = consensus.membership.decode(entry.payload)
  return `(${members.map((member) => `${member.id}${member.voter ? '' : '?'}`).join('')})`
}

const texts = new WeakMap<consensus.LogEntry, string>()

/** Short text of an entry: term, kind and payload. */
export const entryText = (entry: consensus.LogEntry): string => {
  const known = texts.get(entry)
  if (known !== undefined) return known
  const text = `${entry.term}${entry.kind.slice(0, 1)}${payloadText(entry)}`
  texts.set(entry, text)
  return text
}

export const memberOf = (id: string, voter = true): consensus.Member => ({
  id,
  address: '',
  httpAddress: '',
  voter,
  failureDomain: '',
})

/** Identity of the instance whose disk was lost once. */
export const replacementId = (id: string): string => `${id}'`

export const createNode = (
  config: consensus.Config,
  rate: number,
  disk: Disk = consensus.emptyDisk,
): Node => ({
  id: config.id,
  alive: true,
  state: consensus.createState(config, disk, 0, 0),
  disk,
  unsynced: [],
  nowMs: 0,
  rate,
  acknowledged: 0,
})

const writeToDisk = (disk: Disk, write: consensus.Persist): Disk => {
  const { truncateFrom } = write
  const kept =
    truncateFrom === undefined
      ? disk.entries
      : disk.entries.filter((entry) => entry.index < truncateFrom)
  return {
    hardState: write.hardState ?? disk.hardState,
    snapshot: disk.snapshot,
    entries: write.entries.length > 0 ? [...kept, ...write.entries] : kept,
  }
}

const storeSnapshot = (disk: Disk, meta: consensus.SnapshotMeta): Disk => {
  const same = disk.entries.some((e) => e.index === meta.lastIndex && e.term === meta.lastTerm)
  const entries = same ? disk.entries.filter((entry) => entry.index > meta.lastIndex) : []
  return { ...disk, snapshot: meta, entries }
}

const setNode = (world: World, node: Node): World => ({
  ...world,
  nodes: { ...world.nodes, [node.id]: node },
})

const problemIn = (ghost: Ghost, problem: string): Ghost => ({
  ...ghost,
  problem: ghost.problem ?? problem,
})

/** Notes entries that a replica regards as committed. */
const noteCommit = (world: World, node: Node, from: number, to: number): World => {
  let { ghost } = world
  for (let index = from + 1; index <= to; index += 1) {
    const entry = consensus.logs.entryAt(node.state.log, index)
    if (entry === undefined) continue
    const text = entryText(entry)
    const known = ghost.committed[index]
    if (known === undefined) {
      ghost = { ...ghost, committed: { ...ghost.committed, [index]: text } }
    } else if (known !== text) {
      ghost = problemIn(ghost, `entry ${index} was committed as ${known} and as ${text}`)
    }
    const isCommand = entry.kind === protocol.replication.EntryKind.COMMAND
    if (isCommand && node.state.role === 'leader') {
      const acknowledgedCommand = Math.max(ghost.acknowledgedCommand, index)
      ghost = { ...ghost, acknowledgedCommand }
    }
  }
  return { ...world, ghost }
}

const noteLeader = (world: World, node: Node): World => {
  if (node.state.role !== 'leader') return world
  const { term } = node.state.hardState
  const known = world.ghost.leaders[term]
  if (known === node.id) return world
  if (known !== undefined) {
    const problem = `${known} and ${node.id} both led term ${term}`
    return { ...world, ghost: problemIn(world.ghost, problem) }
  }
  const leaders = { ...world.ghost.leaders, [term]: node.id }
  return { ...world, ghost: { ...world.ghost, leaders } }
}

/** A vote by an instance whose disk was lost must not count before it is a member again. */
const noteVote = (world: World, node: Node, envelope: Envelope): World => {
  const { body } = envelope
  if (body?.$case !== 'voteReply' || !body.value.granted) return world
  const blank = node.disk.entries.length === 0 && node.disk.snapshot === undefined
  if (!blank) return world
  return { ...world, ghost: problemIn(world.ghost, `${node.id} voted with an empty disk`) }
}

const noteAcknowledgement = (world: World, node: Node, envelope: Envelope): World => {
  const { body } = envelope
  if (body?.$case !== 'appendReply' || !body.value.success) return world
  const acknowledged = Math.max(node.acknowledged, body.value.matchIndex)
  return setNode(world, { ...node, acknowledged })
}

const sendMessage = (world: World, id: string, envelope: Envelope): World => {
  const node = world.nodes[id]
  if (node === undefined) return world
  if (world.cutLinks.includes(`${envelope.from}>${envelope.to}`)) return world
  const noted = noteAcknowledgement(noteVote(world, node, envelope), node, envelope)
  return { ...noted, network: [...noted.network, envelope] }
}

const carryOut = (world: World, id: string, output: consensus.Output): World => {
  const node = world.nodes[id]
  if (node === undefined) return world
  switch (output.kind) {
    case 'persist':
      return setNode(world, { ...node, unsynced: [...node.unsynced, output] })
    case 'send':
      return sendMessage(world, id, output.envelope)
    case 'sendChunk': {
      const value = { ...output.meta, offset: output.offset, data: Buffer.alloc(0), done: true }
      const { cell } = node.state.config
      const body = { $case: 'snapshotChunk' as const, value }
      return sendMessage(world, id, {
        cell,
        from: id,
        to: output.to,
        term: output.term,
        body,
        fromAddress: '',
      })
    }
    case 'storeChunk': {
      const { lastIndex, lastTerm, membership } = output.chunk
      const meta = { lastIndex, lastTerm, membership: membership ?? { members: [] } }
      const stored = setNode(world, { ...node, disk: storeSnapshot(node.disk, meta) })
      return runStep(stored, id, { kind: 'snapshotStored', meta })
    }
    case 'fatal':
      return { ...world, ghost: problemIn(world.ghost, `${id}: ${output.detail}`) }
    case 'restore':
    case 'commit':
    case 'accepted':
    case 'refused':
      return world
  }
}

/** Runs one production step of one replica; its writes stay unsynced. */
export const runStep = (world: World, id: string, input: consensus.Input): World => {
  const node = world.nodes[id]
  if (node === undefined) return world
  const before = node.state.commitIndex
  const result = consensus.step(node.state, input, node.nowMs)
  const stepped = { ...node, state: result.state }
  let after = noteLeader(setNode(world, stepped), stepped)
  after = noteCommit(after, stepped, before, result.state.commitIndex)
  for (const output of result.outputs) after = carryOut(after, id, output)
  return after
}

/** Syncs everything a replica has handed out, repeatedly, since a sync may cause further writes. */
export const syncAll = (world: World, id: string): World => {
  let synced = world
  for (;;) {
    const node = synced.nodes[id]
    const last = node?.unsynced.at(-1)
    if (node === undefined || last === undefined) return synced
    const disk = node.unsynced.reduce(writeToDisk, node.disk)
    synced = setNode(synced, { ...node, disk, unsynced: [] })
    synced = runStep(synced, id, { kind: 'synced', sequence: last.sequence })
  }
}

/** Runs one step and syncs its writes at once. */
export const runSynced = (world: World, id: string, input: consensus.Input): World =>
  syncAll(runStep(world, id, input), id)

/** Ends a replica; what it had not synced is lost. */
export const crash = (world: World, id: string): World => {
  const node = world.nodes[id]
  return node === undefined ? world : setNode(world, { ...node, alive: false, unsynced: [] })
}

/** Starts a replica again from a disk. */
export const restart = (world: World, id: string, disk: Disk): World => {
  const node = world.nodes[id]
  if (node === undefined) return world
  const state = consensus.createState(node.state.config, disk, node.nowMs, 0)
  return setNode(world, { ...node, alive: true, state, disk, unsynced: [] })
}

/** Adds an instance that starts with an empty disk and a new identity. */
export const addNode = (world: World, node: Node): World => setNode(world, node)

export const removeNode = (world: World, id: string): World => ({
  ...world,
  nodes: Object.fromEntries(Object.entries(world.nodes).filter(([other]) => other !== id)),
})

export const updateNode = (world: World, id: string, change: Partial<Node>): World => {
  const node = world.nodes[id]
  return node === undefined ? world : setNode(world, { ...node, ...change })
}
