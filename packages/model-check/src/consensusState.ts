import * as consensus from '@ebonyweir/consensus'
import * as protocol from '@ebonyweir/protocol'

export type Envelope = consensus.Envelope

/** Synced, durable state of a replica. */
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
  /** Writes that are not synced yet. */
  readonly unsynced: readonly consensus.Persist[]
  /** Time on the replica's own clock. */
  readonly nowMs: number
  /** Rate of its clock relative to true time. */
  readonly rate: number
  /** Highest index that was acknowledged to a leader from this disk. */
  readonly acknowledged: number
}

/** Remaining number of actions of each kind, which bounds the state space. */
export interface Budget {
  readonly timeouts: number
  readonly heartbeats: number
  readonly proposals: number
  readonly crashes: number
  readonly lostDisks: number
  readonly rollbacks: number
  readonly duplicates: number
  /** Deliveries that overtake an older message on the same link. */
  readonly reorders: number
  /** Messages lost while later ones on the same link arrive. The newest messages may stay undelivered without using this budget. */
  readonly losses: number
  /** Advances of true time, for models with clocks. */
  readonly advances: number
  readonly transfers: number
  readonly memberChanges: number
  readonly snapshots: number
}

/** Ghost variables: history of the trace that the invariants need and no replica knows. */
export interface Ghost {
  /** Text of each committed entry by index. */
  readonly committed: Readonly<Record<number, string>>
  /** Highest index of a command that some leader acknowledged to its caller. */
  readonly acknowledgedCommand: number
  /** Leader of each term. */
  readonly leaders: Readonly<Record<number, string>>
  /** First safety violation that a transition has detected. */
  readonly problem: string | undefined
}

export interface ConsensusModelState {
  readonly nodes: Readonly<Record<string, Node>>
  readonly network: readonly Envelope[]
  /** Partitioned links, which lose every message, as "from>to". */
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

const entryTextCache = new WeakMap<consensus.LogEntry, string>()

/** Short text of an entry: term, kind and payload. */
export const entryText = (entry: consensus.LogEntry): string => {
  const cached = entryTextCache.get(entry)
  if (cached !== undefined) return cached
  const text = `${entry.term}${entry.kind.slice(0, 1)}${payloadText(entry)}`
  entryTextCache.set(entry, text)
  return text
}

export const memberOf = (id: string, voter = true): consensus.Member => ({
  id,
  address: '',
  httpAddress: '',
  voter,
  failureDomain: '',
})

/** Identity of the instance that replaces one whose disk was lost. */
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
  const hasLastEntry = disk.entries.some(
    (e) => e.index === meta.lastIndex && e.term === meta.lastTerm,
  )
  const entries = hasLastEntry ? disk.entries.filter((entry) => entry.index > meta.lastIndex) : []
  return { ...disk, snapshot: meta, entries }
}

const setNode = (system: ConsensusModelState, node: Node): ConsensusModelState => ({
  ...system,
  nodes: { ...system.nodes, [node.id]: node },
})

const recordProblem = (ghost: Ghost, problem: string): Ghost => ({
  ...ghost,
  problem: ghost.problem ?? problem,
})

/** Records the entries that a replica regards as committed. */
const recordCommit = (
  system: ConsensusModelState,
  node: Node,
  from: number,
  to: number,
): ConsensusModelState => {
  let { ghost } = system
  for (let index = from + 1; index <= to; index += 1) {
    const entry = consensus.logs.entryAt(node.state.log, index)
    if (entry === undefined) continue
    const text = entryText(entry)
    const known = ghost.committed[index]
    if (known === undefined) {
      ghost = { ...ghost, committed: { ...ghost.committed, [index]: text } }
    } else if (known !== text) {
      ghost = recordProblem(ghost, `entry ${index} was committed as ${known} and as ${text}`)
    }
    const isCommand = entry.kind === protocol.replication.EntryKind.COMMAND
    if (isCommand && node.state.role === 'leader') {
      const acknowledgedCommand = Math.max(ghost.acknowledgedCommand, index)
      ghost = { ...ghost, acknowledgedCommand }
    }
  }
  return { ...system, ghost }
}

const recordLeader = (system: ConsensusModelState, node: Node): ConsensusModelState => {
  if (node.state.role !== 'leader') return system
  const { term } = node.state.hardState
  const known = system.ghost.leaders[term]
  if (known === node.id) return system
  if (known !== undefined) {
    const problem = `${known} and ${node.id} both led term ${term}`
    return { ...system, ghost: recordProblem(system.ghost, problem) }
  }
  const leaders = { ...system.ghost.leaders, [term]: node.id }
  return { ...system, ghost: { ...system.ghost, leaders } }
}

/** Detects a vote with an empty disk: an instance whose disk was lost must not vote before it is a member again. */
const checkVote = (
  system: ConsensusModelState,
  node: Node,
  envelope: Envelope,
): ConsensusModelState => {
  const { body } = envelope
  if (body?.$case !== 'voteReply' || !body.value.granted) return system
  const blank = node.disk.entries.length === 0 && node.disk.snapshot === undefined
  if (!blank) return system
  return { ...system, ghost: recordProblem(system.ghost, `${node.id} voted with an empty disk`) }
}

const recordAcknowledgement = (
  system: ConsensusModelState,
  node: Node,
  envelope: Envelope,
): ConsensusModelState => {
  const { body } = envelope
  if (body?.$case !== 'appendReply' || !body.value.success) return system
  const acknowledged = Math.max(node.acknowledged, body.value.matchIndex)
  return setNode(system, { ...node, acknowledged })
}

const sendMessage = (
  system: ConsensusModelState,
  id: string,
  envelope: Envelope,
): ConsensusModelState => {
  const node = system.nodes[id]
  if (node === undefined) return system
  if (system.cutLinks.includes(`${envelope.from}>${envelope.to}`)) return system
  const recorded = recordAcknowledgement(checkVote(system, node, envelope), node, envelope)
  return { ...recorded, network: [...recorded.network, envelope] }
}

const applyOutput = (
  system: ConsensusModelState,
  id: string,
  output: consensus.Output,
): ConsensusModelState => {
  const node = system.nodes[id]
  if (node === undefined) return system
  switch (output.kind) {
    case 'persist':
      return setNode(system, { ...node, unsynced: [...node.unsynced, output] })
    case 'send':
      return sendMessage(system, id, output.envelope)
    case 'sendChunk': {
      const value = { ...output.meta, offset: output.offset, data: Buffer.alloc(0), done: true }
      const { cell } = node.state.config
      const body = { $case: 'snapshotChunk' as const, value }
      return sendMessage(system, id, {
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
      const stored = setNode(system, { ...node, disk: storeSnapshot(node.disk, meta) })
      return runStep(stored, id, { kind: 'snapshotStored', meta })
    }
    case 'fatal':
      return { ...system, ghost: recordProblem(system.ghost, `${id}: ${output.detail}`) }
    case 'restore':
    case 'commit':
    case 'accepted':
    case 'refused':
      return system
  }
}

/** Runs one production step of a replica; its writes stay unsynced. */
export const runStep = (
  system: ConsensusModelState,
  id: string,
  input: consensus.Input,
): ConsensusModelState => {
  const node = system.nodes[id]
  if (node === undefined) return system
  const before = node.state.commitIndex
  const result = consensus.step(node.state, input, node.nowMs)
  const stepped = { ...node, state: result.state }
  let after = recordLeader(setNode(system, stepped), stepped)
  after = recordCommit(after, stepped, before, result.state.commitIndex)
  for (const output of result.outputs) after = applyOutput(after, id, output)
  return after
}

/** Syncs all outstanding writes of a replica, repeatedly, since a sync may cause further writes. */
export const syncAll = (system: ConsensusModelState, id: string): ConsensusModelState => {
  let synced = system
  for (;;) {
    const node = synced.nodes[id]
    const last = node?.unsynced.at(-1)
    if (node === undefined || last === undefined) return synced
    const disk = node.unsynced.reduce(writeToDisk, node.disk)
    synced = setNode(synced, { ...node, disk, unsynced: [] })
    synced = runStep(synced, id, { kind: 'synced', sequence: last.sequence })
  }
}

/** Runs one step and syncs its writes immediately. */
export const runSynced = (
  system: ConsensusModelState,
  id: string,
  input: consensus.Input,
): ConsensusModelState => syncAll(runStep(system, id, input), id)

/** Crashes a replica; its unsynced writes are lost. */
export const crash = (system: ConsensusModelState, id: string): ConsensusModelState => {
  const node = system.nodes[id]
  return node === undefined ? system : setNode(system, { ...node, alive: false, unsynced: [] })
}

/** Restarts a replica from a disk. */
export const restart = (
  system: ConsensusModelState,
  id: string,
  disk: Disk,
): ConsensusModelState => {
  const node = system.nodes[id]
  if (node === undefined) return system
  const state = consensus.createState(node.state.config, disk, node.nowMs, 0)
  return setNode(system, { ...node, alive: true, state, disk, unsynced: [] })
}

/** Adds an instance, or replaces the one with the same id. */
export const addNode = (system: ConsensusModelState, node: Node): ConsensusModelState =>
  setNode(system, node)

export const removeNode = (system: ConsensusModelState, id: string): ConsensusModelState => ({
  ...system,
  nodes: Object.fromEntries(Object.entries(system.nodes).filter(([other]) => other !== id)),
})

export const updateNode = (
  system: ConsensusModelState,
  id: string,
  change: Partial<Node>,
): ConsensusModelState => {
  const node = system.nodes[id]
  return node === undefined ? system : setNode(system, { ...node, ...change })
}
