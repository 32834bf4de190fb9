import * as logs from './log.js'
import * as memberships from './membership.js'
import type * as types from './types.js'

/** Collects the new state and the outputs of one step. */
export interface Context {
  state: types.State
  readonly nowMs: number
  readonly outputs: types.Output[]
  /** Messages that must not be sent before the writes of this step are synced. */
  readonly held: types.Envelope[]
  hardStateChanged: boolean
  truncateFrom: number | undefined
  appended: readonly types.LogEntry[]
}

export const createContext = (state: types.State, nowMs: number): Context => ({
  state,
  nowMs,
  outputs: [],
  held: [],
  hardStateChanged: false,
  truncateFrom: undefined,
  appended: [],
})

export const update = (context: Context, change: Partial<types.State>): void => {
  context.state = { ...context.state, ...change }
}

export const setHardState = (context: Context, hardState: types.HardState): void => {
  update(context, { hardState })
  context.hardStateChanged = true
}

/** Appends entries to the log and to the writes of this step. */
export const appendEntries = (context: Context, entries: readonly types.LogEntry[]): void => {
  if (entries.length === 0) return
  const { state } = context
  update(context, {
    log: logs.append(state.log, entries),
    memberships: [...state.memberships, ...memberships.inEntries(entries)],
  })
  context.appended = [...context.appended, ...entries]
}

/** Removes entries from `index` on; pending syncs no longer cover them. */
export const truncate = (context: Context, index: number): void => {
  const { state } = context
  update(context, {
    log: logs.truncateFrom(state.log, index),
    memberships: state.memberships.filter((item) => item.index < index),
    syncedIndex: Math.min(state.syncedIndex, index - 1),
    pending: state.pending.map((write) => ({
      sequence: write.sequence,
      lastIndex: Math.min(write.lastIndex, index - 1),
    })),
  })
  context.truncateFrom = Math.min(context.truncateFrom ?? index, index)
}

const toEnvelope = (context: Context, to: string, body: types.Body, term: number) => ({
  cell: context.state.config.cell,
  from: context.state.config.id,
  to,
  term,
  body,
  fromAddress: '',
})

/** Sends a message that depends on no unsynced log write, only on the hard state through its term. */
export const send = (
  context: Context,
  to: string,
  body: types.Body,
  term = context.state.hardState.term,
): void => {
  const { state } = context
  const envelope = toEnvelope(context, to, body, term)
  const synced = !context.hardStateChanged && state.hardStateSequence <= state.syncedSequence
  if (synced || !state.config.guards.syncBeforeSend) {
    context.outputs.push({ kind: 'send', envelope })
    return
  }
  if (context.hardStateChanged) {
    context.held.push(envelope)
    return
  }
  update(context, { held: [...state.held, { sequence: state.hardStateSequence, envelope }] })
}

/** Sends a message after all writes issued so far, including those of this step, are synced. */
export const sendAfterSync = (context: Context, to: string, body: types.Body): void => {
  const envelope = toEnvelope(context, to, body, context.state.hardState.term)
  if (context.state.config.guards.syncBeforeSend) context.held.push(envelope)
  else context.outputs.push({ kind: 'send', envelope })
}

/** Combines the writes of the step into one persist output and holds the messages that depend on it. */
export const finish = (context: Context): void => {
  const { state } = context
  const { hardStateChanged, truncateFrom, appended } = context
  const hasWrites = hardStateChanged || truncateFrom !== undefined || appended.length > 0
  const sequence = hasWrites ? state.persistSequence + 1 : state.persistSequence
  if (hasWrites) {
    context.outputs.unshift({
      kind: 'persist',
      sequence,
      hardState: hardStateChanged ? state.hardState : undefined,
      truncateFrom,
      entries: appended,
    })
    update(context, {
      persistSequence: sequence,
      hardStateSequence: hardStateChanged ? sequence : state.hardStateSequence,
      pending: [...state.pending, { sequence, lastIndex: state.log.lastIndex }],
    })
  }
  if (context.held.length === 0) return
  if (sequence <= state.syncedSequence) {
    for (const envelope of context.held) context.outputs.push({ kind: 'send', envelope })
    return
  }
  const added = context.held.map((envelope) => ({ sequence, envelope }))
  update(context, { held: [...context.state.held, ...added] })
}
