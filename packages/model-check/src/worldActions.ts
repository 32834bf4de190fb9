import * as consensus from '@ebonyweir/consensus'
import * as keys from './worldKey.js'
import * as worlds from './world.js'

type World = worlds.World
type BudgetKind = keyof worlds.Budget

/** Step of a world. `crashAfter` ends the replica before the writes of the step are synced. */
export type Action =
  | {
      readonly kind: 'deliver'
      readonly envelope: worlds.Envelope
      /** An older message on the same link is still under way. */
      readonly ahead: boolean
      /** The message may arrive again later. */
      readonly duplicate: boolean
      readonly crashAfter: boolean
    }
  | { readonly kind: 'lose'; readonly envelope: worlds.Envelope }
  | { readonly kind: 'timeout'; readonly id: string; readonly crashAfter: boolean }
  | { readonly kind: 'heartbeat'; readonly id: string }
  | { readonly kind: 'propose'; readonly id: string; readonly crashAfter: boolean }
  | { readonly kind: 'crash'; readonly id: string }
  | { readonly kind: 'restart'; readonly id: string }
  | { readonly kind: 'loseDisk'; readonly id: string }
  | { readonly kind: 'rollBack'; readonly id: string }
  | { readonly kind: 'advance' }
  | { readonly kind: 'transfer'; readonly id: string; readonly target: string }
  | { readonly kind: 'change'; readonly id: string; readonly change: consensus.MembershipChange }
  | { readonly kind: 'snapshot'; readonly id: string }
  | { readonly kind: 'sync'; readonly id: string }

/** Fixed parts of a scenario. */
export interface WorldOptions {
  /** Length of one step of true time. */
  readonly quantumMs: number
  /** Every sync is an action of its own instead of part of the step that wrote. */
  readonly separateSyncs: boolean
  /** Whether a step may crash before its sync. */
  readonly crashInStep: boolean
  /** Membership changes that an operator may ask for. */
  readonly changes: readonly consensus.MembershipChange[]
  /** Replicas that may crash, lose their disk or time out; all by default. */
  readonly faulty?: readonly string[]
  readonly electing?: readonly string[]
}

const spend = (world: World, kind: BudgetKind): World => ({
  ...world,
  budget: { ...world.budget, [kind]: world.budget[kind] - 1 },
})

/** Whether a message can never have an effect again, since the receiver's synced term has passed it. */
const isStale = (world: World, { to, term, body }: worlds.Envelope): boolean => {
  const synced = world.nodes[to]?.disk.hardState.term ?? 0
  return term < synced && (body?.$case === 'voteReply' || body?.$case === 'appendReply')
}

const withoutStale = (world: World): World => {
  const network = world.network.filter((envelope) => !isStale(world, envelope))
  return network.length === world.network.length ? world : { ...world, network }
}

const deliveriesOf = (
  world: World,
  envelope: worlds.Envelope,
  ahead: boolean,
  options: WorldOptions,
): readonly Action[] => {
  const { budget } = world
  const plain = { kind: 'deliver' as const, envelope, ahead, duplicate: false, crashAfter: false }
  const actions: Action[] = [plain]
  if (budget.duplicates > 0) actions.push({ ...plain, duplicate: true })
  const crashes = options.crashInStep && (options.faulty?.includes(envelope.to) ?? true)
  if (crashes && budget.crashes > 0) actions.push({ ...plain, crashAfter: true })
  if (!ahead && budget.losses > 0) actions.push({ kind: 'lose', envelope })
  return actions
}

const deliveries = (world: World, options: WorldOptions): readonly Action[] => {
  const started = new Set<string>()
  return world.network.flatMap((envelope) => {
    const link = `${envelope.from}>${envelope.to}`
    const ahead = started.has(link)
    started.add(link)
    if (world.nodes[envelope.to]?.alive !== true) return []
    if (ahead && world.budget.reorders === 0) return []
    return deliveriesOf(world, envelope, ahead, options)
  })
}

const leaderActions = (world: World, node: worlds.Node, options: WorldOptions): Action[] => {
  const { budget } = world
  const { id } = node
  const actions: Action[] = []
  if (budget.heartbeats > 0) actions.push({ kind: 'heartbeat', id })
  if (budget.proposals > 0) {
    actions.push({ kind: 'propose', id, crashAfter: false })
    if (options.crashInStep && budget.crashes > 0) {
      actions.push({ kind: 'propose', id, crashAfter: true })
    }
  }
  if (budget.transfers > 0) {
    for (const target of Object.keys(node.state.progress)) {
      actions.push({ kind: 'transfer', id, target })
    }
  }
  if (budget.memberChanges > 0) {
    for (const change of options.changes) actions.push({ kind: 'change', id, change })
  }
  return actions
}

const aliveActions = (world: World, node: worlds.Node, options: WorldOptions): Action[] => {
  const { budget } = world
  const { id } = node
  const faulty = options.faulty?.includes(id) ?? true
  const actions = node.state.role === 'leader' ? leaderActions(world, node, options) : []
  if (
    budget.timeouts > 0 &&
    node.state.role !== 'leader' &&
    (options.electing?.includes(id) ?? true)
  ) {
    actions.push({ kind: 'timeout', id, crashAfter: false })
    if (options.crashInStep && budget.crashes > 0) {
      actions.push({ kind: 'timeout', id, crashAfter: true })
    }
  }
  if (budget.crashes > 0 && faulty) actions.push({ kind: 'crash', id })
  const meta = node.state.snapshot?.lastIndex ?? 0
  if (budget.snapshots > 0 && node.state.commitIndex > meta) actions.push({ kind: 'snapshot', id })
  if (options.separateSyncs && node.unsynced.length > 0) actions.push({ kind: 'sync', id })
  return actions
}

const downActions = (world: World, node: worlds.Node): readonly Action[] => {
  const actions: Action[] = [{ kind: 'restart', id: node.id }]
  if (world.budget.lostDisks > 0) actions.push({ kind: 'loseDisk', id: node.id })
  if (world.budget.rollbacks > 0) actions.push({ kind: 'rollBack', id: node.id })
  return actions
}

/** All actions that are possible in a world. */
export const actionsOf = (world: World, options: WorldOptions): readonly Action[] => {
  if (world.ghost.problem !== undefined) return []
  const nodes = Object.values(world.nodes)
  return [
    ...deliveries(world, options),
    ...nodes.flatMap((node) =>
      node.alive ? aliveActions(world, node, options) : downActions(world, node),
    ),
    ...(world.budget.advances > 0 ? [{ kind: 'advance' as const }] : []),
  ]
}

const run = (
  world: World,
  id: string,
  input: consensus.Input,
  options: WorldOptions,
  crashAfter = false,
): World => {
  if (crashAfter) return spend(worlds.crash(worlds.runStep(world, id, input), id), 'crashes')
  return options.separateSyncs
    ? worlds.runStep(world, id, input)
    : worlds.runSynced(world, id, input)
}

const removeMessage = (world: World, envelope: worlds.Envelope): World => ({
  ...world,
  network: world.network.filter((other) => other !== envelope),
})

const deliver = (
  world: World,
  action: Extract<Action, { kind: 'deliver' }>,
  options: WorldOptions,
): World => {
  const { envelope, ahead, duplicate, crashAfter } = action
  const spent = ahead ? spend(world, 'reorders') : world
  const left = duplicate ? spend(spent, 'duplicates') : removeMessage(spent, envelope)
  return run(left, envelope.to, { kind: 'message', envelope }, options, crashAfter)
}

const elapse = (world: World, id: string, ms: number): World =>
  worlds.updateNode(world, id, { nowMs: (world.nodes[id]?.nowMs ?? 0) + ms })

const advance = (world: World, options: WorldOptions): World => {
  let next = spend(world, 'advances')
  for (const node of Object.values(world.nodes)) {
    next = elapse(next, node.id, options.quantumMs * node.rate)
    if (node.alive) next = run(next, node.id, { kind: 'tick', jitter: 0 }, options)
  }
  return next
}

const loseDisk = (world: World, id: string): World => {
  const node = world.nodes[id]
  if (node === undefined) return world
  const { config } = node.state
  const spent = spend(world, 'lostDisks')
  if (!config.guards.identity) return worlds.restart(spent, id, consensus.emptyDisk)
  const fresh = worlds.createNode({ ...config, id: worlds.replacementId(id) }, node.rate)
  return worlds.addNode(worlds.removeNode(spent, id), { ...fresh, nowMs: node.nowMs })
}

const rollBack = (world: World, id: string): World => {
  const disk = world.nodes[id]?.disk
  if (disk === undefined) return world
  return worlds.restart(spend(world, 'rollbacks'), id, {
    ...disk,
    entries: disk.entries.slice(0, -1),
  })
}

const snapshot = (world: World, id: string, options: WorldOptions): World => {
  const lastIndex = world.nodes[id]?.state.commitIndex ?? 0
  const stepped = run(spend(world, 'snapshots'), id, { kind: 'snapshotSaved', lastIndex }, options)
  const node = stepped.nodes[id]
  const meta = node?.state.snapshot
  if (node === undefined || meta === undefined) return stepped
  const entries = node.disk.entries.filter((entry) => entry.index > meta.lastIndex)
  return worlds.updateNode(stepped, id, { disk: { ...node.disk, snapshot: meta, entries } })
}

/** World after an action. */
export const nextWorld = (world: World, action: Action, options: WorldOptions): World =>
  withoutStale(act(world, action, options))

const act = (world: World, action: Action, options: WorldOptions): World => {
  switch (action.kind) {
    case 'deliver':
      return deliver(world, action, options)
    case 'lose':
      return removeMessage(spend(world, 'losses'), action.envelope)
    case 'timeout': {
      const timeoutMs = world.nodes[action.id]?.state.config.electionTimeoutMaxMs ?? 0
      const later = elapse(spend(world, 'timeouts'), action.id, timeoutMs)
      return run(later, action.id, { kind: 'tick', jitter: 0 }, options, action.crashAfter)
    }
    case 'heartbeat': {
      const spent = spend(world, 'heartbeats')
      const later = Object.keys(spent.nodes).reduce((next, id) => elapse(next, id, 100), spent)
      return run(later, action.id, { kind: 'tick', jitter: 0 }, options)
    }
    case 'propose': {
      const payload = Buffer.from(`p${world.budget.proposals}`)
      const spent = spend(world, 'proposals')
      return run(
        spent,
        action.id,
        { kind: 'propose', payloads: [payload] },
        options,
        action.crashAfter,
      )
    }
    case 'crash':
      return spend(worlds.crash(world, action.id), 'crashes')
    case 'restart':
      return worlds.restart(world, action.id, world.nodes[action.id]?.disk ?? consensus.emptyDisk)
    case 'loseDisk':
      return loseDisk(world, action.id)
    case 'rollBack':
      return rollBack(world, action.id)
    case 'advance':
      return advance(world, options)
    case 'transfer': {
      const spent = spend(world, 'transfers')
      return run(spent, action.id, { kind: 'transfer', target: action.target }, options)
    }
    case 'change': {
      const spent = spend(world, 'memberChanges')
      return run(spent, action.id, { kind: 'changeMembers', change: action.change }, options)
    }
    case 'snapshot':
      return snapshot(world, action.id, options)
    case 'sync':
      return worlds.syncAll(world, action.id)
  }
}

/** Text of an action for a counterexample. */
export const describeAction = (action: Action): string => {
  switch (action.kind) {
    case 'deliver': {
      const how = action.duplicate ? 'deliver and keep' : 'deliver'
      const end = action.crashAfter ? `, then ${action.envelope.to} crashes before the sync` : ''
      return `${how} ${keys.envelopeKey(action.envelope)}${end}`
    }
    case 'lose':
      return `lose ${keys.envelopeKey(action.envelope)}`
    case 'advance':
      return 'time passes'
    case 'transfer':
      return `transfer ${action.id} to ${action.target}`
    case 'change': {
      const { change } = action
      return `${action.id}: ${change.kind} ${change.kind === 'add' ? change.member.id : change.id}`
    }
    case 'timeout':
    case 'propose':
      return `${action.kind} ${action.id}${action.crashAfter ? ', then it crashes before the sync' : ''}`
    default:
      return `${action.kind} ${action.id}`
  }
}
