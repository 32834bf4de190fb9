import * as consensus from '@ebonyweir/consensus'
import * as keys from './consensusStateKey.js'
import * as states from './consensusState.js'

type ModelState = states.ConsensusModelState
type BudgetKind = keyof states.Budget

/** Transition of the model. `crashAfter` crashes the replica before the writes of the step are synced. */
export type Action =
  | {
      readonly kind: 'deliver'
      readonly envelope: states.Envelope
      /** The message overtakes an older one on the same link. */
      readonly ahead: boolean
      /** The message stays in the network and may be delivered again. */
      readonly duplicate: boolean
      readonly crashAfter: boolean
    }
  | { readonly kind: 'lose'; readonly envelope: states.Envelope }
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

/** Options that restrict the transitions of a scenario. */
export interface TransitionOptions {
  /** True time that passes in one `advance`. */
  readonly tickIntervalMs: number
  /** Whether a sync is a separate action instead of part of the step that wrote. */
  readonly separateSyncs: boolean
  /** Whether a replica may crash between a step and its sync. */
  readonly crashInStep: boolean
  /** Membership changes that an operator may request. */
  readonly changes: readonly consensus.MembershipChange[]
  /** Replicas that may crash and lose or roll back their disk; all by default. */
  readonly crashable?: readonly string[]
  /** Replicas whose election timeout may expire; all by default. */
  readonly candidates?: readonly string[]
}

const consumeBudget = (system: ModelState, kind: BudgetKind): ModelState => ({
  ...system,
  budget: { ...system.budget, [kind]: system.budget[kind] - 1 },
})

/** Whether a reply can no longer have an effect because the receiver has synced a newer term. */
const isStale = (system: ModelState, { to, term, body }: states.Envelope): boolean => {
  const synced = system.nodes[to]?.disk.hardState.term ?? 0
  return term < synced && (body?.$case === 'voteReply' || body?.$case === 'appendReply')
}

const removeStaleMessages = (system: ModelState): ModelState => {
  const network = system.network.filter((envelope) => !isStale(system, envelope))
  return network.length === system.network.length ? system : { ...system, network }
}

const actionsOfMessage = (
  system: ModelState,
  envelope: states.Envelope,
  ahead: boolean,
  options: TransitionOptions,
): readonly Action[] => {
  const { budget } = system
  const plain = { kind: 'deliver' as const, envelope, ahead, duplicate: false, crashAfter: false }
  const actions: Action[] = [plain]
  if (budget.duplicates > 0) actions.push({ ...plain, duplicate: true })
  const mayCrash = options.crashInStep && (options.crashable?.includes(envelope.to) ?? true)
  if (mayCrash && budget.crashes > 0) actions.push({ ...plain, crashAfter: true })
  if (!ahead && budget.losses > 0) actions.push({ kind: 'lose', envelope })
  return actions
}

const deliveries = (system: ModelState, options: TransitionOptions): readonly Action[] => {
  const linksSeen = new Set<string>()
  return system.network.flatMap((envelope) => {
    const link = `${envelope.from}>${envelope.to}`
    const ahead = linksSeen.has(link)
    linksSeen.add(link)
    if (system.nodes[envelope.to]?.alive !== true) return []
    if (ahead && system.budget.reorders === 0) return []
    return actionsOfMessage(system, envelope, ahead, options)
  })
}

const leaderActions = (
  system: ModelState,
  node: states.Node,
  options: TransitionOptions,
): Action[] => {
  const { budget } = system
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

const actionsWhenAlive = (
  system: ModelState,
  node: states.Node,
  options: TransitionOptions,
): Action[] => {
  const { budget } = system
  const { id } = node
  const mayCrash = options.crashable?.includes(id) ?? true
  const actions = node.state.role === 'leader' ? leaderActions(system, node, options) : []
  if (
    budget.timeouts > 0 &&
    node.state.role !== 'leader' &&
    (options.candidates?.includes(id) ?? true)
  ) {
    actions.push({ kind: 'timeout', id, crashAfter: false })
    if (options.crashInStep && budget.crashes > 0) {
      actions.push({ kind: 'timeout', id, crashAfter: true })
    }
  }
  if (budget.crashes > 0 && mayCrash) actions.push({ kind: 'crash', id })
  const snapshotIndex = node.state.snapshot?.lastIndex ?? 0
  if (budget.snapshots > 0 && node.state.commitIndex > snapshotIndex)
    actions.push({ kind: 'snapshot', id })
  if (options.separateSyncs && node.unsynced.length > 0) actions.push({ kind: 'sync', id })
  return actions
}

const actionsWhenDown = (system: ModelState, node: states.Node): readonly Action[] => {
  const actions: Action[] = [{ kind: 'restart', id: node.id }]
  if (system.budget.lostDisks > 0) actions.push({ kind: 'loseDisk', id: node.id })
  if (system.budget.rollbacks > 0) actions.push({ kind: 'rollBack', id: node.id })
  return actions
}

/** All actions that are enabled in a state. */
export const actionsOf = (system: ModelState, options: TransitionOptions): readonly Action[] => {
  if (system.ghost.problem !== undefined) return []
  const nodes = Object.values(system.nodes)
  return [
    ...deliveries(system, options),
    ...nodes.flatMap((node) =>
      node.alive ? actionsWhenAlive(system, node, options) : actionsWhenDown(system, node),
    ),
    ...(system.budget.advances > 0 ? [{ kind: 'advance' as const }] : []),
  ]
}

const runInput = (
  system: ModelState,
  id: string,
  input: consensus.Input,
  options: TransitionOptions,
  crashAfter = false,
): ModelState => {
  if (crashAfter)
    return consumeBudget(states.crash(states.runStep(system, id, input), id), 'crashes')
  return options.separateSyncs
    ? states.runStep(system, id, input)
    : states.runSynced(system, id, input)
}

const removeMessage = (system: ModelState, envelope: states.Envelope): ModelState => ({
  ...system,
  network: system.network.filter((other) => other !== envelope),
})

const deliver = (
  system: ModelState,
  action: Extract<Action, { kind: 'deliver' }>,
  options: TransitionOptions,
): ModelState => {
  const { envelope, ahead, duplicate, crashAfter } = action
  const spent = ahead ? consumeBudget(system, 'reorders') : system
  const remaining = duplicate ? consumeBudget(spent, 'duplicates') : removeMessage(spent, envelope)
  return runInput(remaining, envelope.to, { kind: 'message', envelope }, options, crashAfter)
}

const advanceClock = (system: ModelState, id: string, ms: number): ModelState =>
  states.updateNode(system, id, { nowMs: (system.nodes[id]?.nowMs ?? 0) + ms })

const advance = (system: ModelState, options: TransitionOptions): ModelState => {
  let next = consumeBudget(system, 'advances')
  for (const node of Object.values(system.nodes)) {
    next = advanceClock(next, node.id, options.tickIntervalMs * node.rate)
    if (node.alive) next = runInput(next, node.id, { kind: 'tick', jitter: 0 }, options)
  }
  return next
}

const loseDisk = (system: ModelState, id: string): ModelState => {
  const node = system.nodes[id]
  if (node === undefined) return system
  const { config } = node.state
  const spent = consumeBudget(system, 'lostDisks')
  if (!config.guards.identity) return states.restart(spent, id, consensus.emptyDisk)
  const fresh = states.createNode({ ...config, id: states.replacementId(id) }, node.rate)
  return states.addNode(states.removeNode(spent, id), { ...fresh, nowMs: node.nowMs })
}

const rollBack = (system: ModelState, id: string): ModelState => {
  const disk = system.nodes[id]?.disk
  if (disk === undefined) return system
  return states.restart(consumeBudget(system, 'rollbacks'), id, {
    ...disk,
    entries: disk.entries.slice(0, -1),
  })
}

const snapshot = (system: ModelState, id: string, options: TransitionOptions): ModelState => {
  const lastIndex = system.nodes[id]?.state.commitIndex ?? 0
  const stepped = runInput(
    consumeBudget(system, 'snapshots'),
    id,
    { kind: 'snapshotSaved', lastIndex },
    options,
  )
  const node = stepped.nodes[id]
  const meta = node?.state.snapshot
  if (node === undefined || meta === undefined) return stepped
  const entries = node.disk.entries.filter((entry) => entry.index > meta.lastIndex)
  return states.updateNode(stepped, id, { disk: { ...node.disk, snapshot: meta, entries } })
}

/** State after an action; replies without effect are removed to reduce the state space. */
export const nextState = (
  system: ModelState,
  action: Action,
  options: TransitionOptions,
): ModelState => removeStaleMessages(applyAction(system, action, options))

const applyAction = (
  system: ModelState,
  action: Action,
  options: TransitionOptions,
): ModelState => {
  switch (action.kind) {
    case 'deliver':
      return deliver(system, action, options)
    case 'lose':
      return removeMessage(consumeBudget(system, 'losses'), action.envelope)
    case 'timeout': {
      const timeoutMs = system.nodes[action.id]?.state.config.electionTimeoutMaxMs ?? 0
      const later = advanceClock(consumeBudget(system, 'timeouts'), action.id, timeoutMs)
      return runInput(later, action.id, { kind: 'tick', jitter: 0 }, options, action.crashAfter)
    }
    case 'heartbeat': {
      const spent = consumeBudget(system, 'heartbeats')
      const later = Object.keys(spent.nodes).reduce(
        (next, id) => advanceClock(next, id, 100),
        spent,
      )
      return runInput(later, action.id, { kind: 'tick', jitter: 0 }, options)
    }
    case 'propose': {
      const payload = Buffer.from(`p${system.budget.proposals}`)
      const spent = consumeBudget(system, 'proposals')
      return runInput(
        spent,
        action.id,
        { kind: 'propose', payloads: [payload] },
        options,
        action.crashAfter,
      )
    }
    case 'crash':
      return consumeBudget(states.crash(system, action.id), 'crashes')
    case 'restart':
      return states.restart(system, action.id, system.nodes[action.id]?.disk ?? consensus.emptyDisk)
    case 'loseDisk':
      return loseDisk(system, action.id)
    case 'rollBack':
      return rollBack(system, action.id)
    case 'advance':
      return advance(system, options)
    case 'transfer': {
      const spent = consumeBudget(system, 'transfers')
      return runInput(spent, action.id, { kind: 'transfer', target: action.target }, options)
    }
    case 'change': {
      const spent = consumeBudget(system, 'memberChanges')
      return runInput(spent, action.id, { kind: 'changeMembers', change: action.change }, options)
    }
    case 'snapshot':
      return snapshot(system, action.id, options)
    case 'sync':
      return states.syncAll(system, action.id)
  }
}

/** Formats an action for a counterexample. */
export const describeAction = (action: Action): string => {
  switch (action.kind) {
    case 'deliver': {
      const verb = action.duplicate ? 'deliver and keep' : 'deliver'
      const suffix = action.crashAfter ? `, then ${action.envelope.to} crashes before the sync` : ''
      return `${verb} ${keys.envelopeKey(action.envelope)}${suffix}`
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
