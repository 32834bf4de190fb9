import * as consensus from '@ebonyweir/consensus'
import * as protocol from '@ebonyweir/protocol'
import type * as storages from '@ebonyweir/storage'
import * as snapshotters from './snapshotter.js'
import type * as types from './types.js'
import * as waiterTables from './waiters.js'
import * as writers from './writer.js'

const { EntryKind } = protocol.replication

type OutputHandler = (outputs: readonly consensus.Output[]) => void

export interface EngineOptions<Outcome> {
  readonly replica: types.ReplicaOptions<Outcome>
  readonly clock: types.Clock
  readonly storage: storages.Storage
  readonly initial: consensus.State
  readonly onChange: () => void
}

/** Runs consensus steps one at a time and performs their outputs. */
export interface Engine<Outcome> {
  readonly state: consensus.State
  readonly appliedIndex: number
  readonly halted: boolean
  readonly commands: waiterTables.Waiters<Outcome>
  readonly memberChanges: waiterTables.Waiters<undefined>
  /** Processes one input; `onOutputs` receives the outputs of this input before they are performed. */
  run(input: consensus.Input, onOutputs?: OutputHandler): void
  /** Ignores further inputs and settles all waiting callers. */
  halt(): void
  /** Resolves when no write is in progress. */
  idle(): Promise<void>
}

interface QueuedInput {
  readonly input: consensus.Input
  readonly onOutputs: OutputHandler | undefined
}

export const createEngine = <Outcome>(options: EngineOptions<Outcome>): Engine<Outcome> => {
  const { stateMachine, transport, onFatal } = options.replica
  const snapshotEveryEntries = options.replica.snapshotEveryEntries ?? 10_000
  const snapshotEveryBytes = options.replica.snapshotEveryBytes ?? 16 * 1024 * 1024
  const commands = waiterTables.createWaiters<Outcome>()
  const memberChanges = waiterTables.createWaiters<undefined>()
  const queue: QueuedInput[] = []
  // A replica that is being added replies to the leader before its own log contains the leader's address.
  const learnedAddresses = new Map<string, string>()
  let state = options.initial
  let appliedIndex = state.commitIndex
  let snapshotIndex = appliedIndex
  let bytesSinceSnapshot = 0
  let running = false
  let halted = false

  const settleAll = (error: types.ProposeError): void => {
    commands.settleAll(error)
    memberChanges.settleAll(error)
  }

  const halt = (): void => {
    if (halted) return
    halted = true
    queue.length = 0
    settleAll({ kind: 'stopped' })
    options.onChange()
  }

  const fail = (error: types.FatalError): void => {
    if (halted) return
    halt()
    onFatal(error)
  }

  const writer = writers.createWriter({
    storage: options.storage,
    onSynced: (sequence) => {
      run({ kind: 'synced', sequence })
    },
    onError: fail,
  })

  const snapshotter = snapshotters.createSnapshotter({
    storage: options.storage,
    onSaved: (lastIndex) => {
      run({ kind: 'snapshotSaved', lastIndex })
    },
    onStored: (meta) => {
      run({ kind: 'snapshotStored', meta })
    },
    onError: fail,
  })

  const addressOf = (id: string): string | undefined =>
    consensus.membership.current(state).members.find((member) => member.id === id)?.address

  const sendEnvelope = (envelope: types.Envelope): void => {
    const address = addressOf(envelope.to) ?? learnedAddresses.get(envelope.to)
    if (address === undefined) return
    transport.send({ ...envelope, fromAddress: addressOf(state.config.id) ?? '' }, address)
  }

  const sendChunk = async (output: Extract<consensus.Output, { kind: 'sendChunk' }>) => {
    const value = await snapshotter.readChunk(output.meta, output.offset)
    if (value === undefined || halted) return
    const { cell, id } = state.config
    const body = { $case: 'snapshotChunk' as const, value }
    sendEnvelope({ cell, from: id, to: output.to, term: output.term, body, fromAddress: '' })
  }

  const applyEntry = (entry: consensus.LogEntry): void => {
    const { index, term, payload } = entry
    appliedIndex = index
    bytesSinceSnapshot += payload.length
    if (entry.kind === EntryKind.COMMAND) {
      commands.applied(index, term, stateMachine.apply({ index, term, payload }))
      return
    }
    memberChanges.applied(index, term, undefined)
  }

  const applyTo = (index: number): void => {
    for (let at = appliedIndex + 1; at <= index; at += 1) {
      const entry = consensus.logs.entryAt(state.log, at)
      if (entry === undefined) throw new Error(`committed entry ${at} is missing from the log`)
      applyEntry(entry)
    }
    takeSnapshotIfDue()
  }

  const takeSnapshotIfDue = (): void => {
    const entries = appliedIndex - snapshotIndex
    const isSnapshotDue =
      entries >= snapshotEveryEntries || bytesSinceSnapshot >= snapshotEveryBytes
    if (!isSnapshotDue || snapshotter.saving) return
    const lastTerm = consensus.logs.termAt(state.log, appliedIndex)
    const membership = state.memberships.findLast((item) => item.index <= appliedIndex)?.membership
    if (lastTerm === undefined || membership === undefined) return
    snapshotIndex = appliedIndex
    bytesSinceSnapshot = 0
    snapshotter.save({ lastIndex: appliedIndex, lastTerm, membership }, stateMachine.snapshot())
  }

  const restore = (meta: consensus.SnapshotMeta): void => {
    const data = snapshotter.takeReceived(meta.lastIndex)
    if (data === undefined)
      throw new Error(`data of received snapshot ${meta.lastIndex} is missing`)
    stateMachine.restore(data)
    appliedIndex = meta.lastIndex
    snapshotIndex = meta.lastIndex
    bytesSinceSnapshot = 0
  }

  const performOutput = (output: consensus.Output): void => {
    switch (output.kind) {
      case 'persist':
        writer.enqueue(output)
        return
      case 'send':
        sendEnvelope(output.envelope)
        return
      case 'sendChunk':
        void sendChunk(output)
        return
      case 'storeChunk':
        snapshotter.receive(output.chunk)
        return
      case 'restore':
        restore(output.meta)
        return
      case 'commit':
        applyTo(output.index)
        return
      case 'fatal':
        fail({ kind: 'invariant', detail: output.detail })
        return
      case 'accepted':
      case 'refused':
    }
  }

  const learnAddress = (envelope: types.Envelope): void => {
    if (envelope.fromAddress !== '') learnedAddresses.set(envelope.from, envelope.fromAddress)
  }

  const runOne = ({ input, onOutputs }: QueuedInput): void => {
    const before = state
    if (input.kind === 'message') learnAddress(input.envelope)
    const result = consensus.step(state, input, options.clock.nowMs())
    state = result.state
    onOutputs?.(result.outputs)
    for (const output of result.outputs) if (!halted) performOutput(output)
    if (before.role === 'leader' && state.role !== 'leader') {
      settleAll({ kind: 'unknown', leader: undefined })
    }
    options.onChange()
  }

  const run = (input: consensus.Input, onOutputs?: OutputHandler): void => {
    if (halted) return
    queue.push({ input, onOutputs })
    if (running) return
    running = true
    try {
      for (let next = queue.shift(); next !== undefined; next = queue.shift()) runOne(next)
    } catch (error) {
      // After a step or an apply has thrown, its state is undefined.
      const detail = error instanceof Error ? (error.stack ?? error.message) : String(error)
      fail({ kind: 'invariant', detail })
    } finally {
      running = false
    }
  }

  return {
    get state() {
      return state
    },
    get appliedIndex() {
      return appliedIndex
    },
    get halted() {
      return halted
    },
    commands,
    memberChanges,
    run,
    halt,
    idle: async () => {
      await writer.idle()
      await snapshotter.idle()
    },
  }
}
