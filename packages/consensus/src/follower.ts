import type * as protocol from '@ebonyweir/protocol'
import * as contexts from './context.js'
import * as election from './election.js'
import * as logs from './log.js'
import type * as types from './types.js'

type AppendRequest = protocol.replication.AppendRequest

/** Index to continue from when the previous entry is missing or differs. */
const rejectionHint = (state: types.State, previousIndex: number): number => {
  const { log } = state
  if (previousIndex > log.lastIndex) return log.lastIndex
  const term = logs.termAt(log, previousIndex)
  let index = previousIndex - 1
  while (index > state.commitIndex && logs.termAt(log, index) === term) index -= 1
  return index
}

const reject = (context: contexts.Context, from: string, request: AppendRequest): void => {
  const value = {
    success: false,
    matchIndex: rejectionHint(context.state, request.previousIndex),
    round: request.round,
    lastIndex: context.state.log.lastIndex,
  }
  contexts.send(context, from, { $case: 'appendReply', value })
}

const matchesPrevious = (log: logs.Log, request: AppendRequest): boolean =>
  request.previousIndex < log.baseIndex ||
  logs.termAt(log, request.previousIndex) === request.previousTerm

/** Appends the entries that are new, replacing an unconfirmed tail that differs. */
const store = (context: contexts.Context, entries: readonly types.LogEntry[]): boolean => {
  const { log, commitIndex } = context.state
  const fresh = entries.findIndex(
    (entry) => entry.index > log.baseIndex && logs.termAt(log, entry.index) !== entry.term,
  )
  const first = entries[fresh]
  if (first === undefined) return true
  if (first.index <= commitIndex) {
    const detail = `leader replaces committed entry ${first.index}`
    context.outputs.push({ kind: 'fatal', detail })
    return false
  }
  if (first.index <= log.lastIndex) contexts.truncate(context, first.index)
  contexts.appendEntries(context, entries.slice(fresh))
  return true
}

const commitTo = (context: contexts.Context, index: number): void => {
  if (index <= context.state.commitIndex) return
  contexts.update(context, { commitIndex: index })
  context.outputs.push({ kind: 'commit', index })
}

/** Confirms what is synced at once; what is still being written is confirmed after its sync. */
const confirm = (
  context: contexts.Context,
  from: string,
  request: AppendRequest,
  matchIndex: number,
): void => {
  const { state } = context
  const value = { success: true, matchIndex, round: request.round, lastIndex: state.log.lastIndex }
  const waits = request.entries.length > 0 && matchIndex > state.syncedIndex
  if (waits) {
    contexts.sendAfterSync(context, from, { $case: 'appendReply', value })
    return
  }
  const synced = Math.min(matchIndex, state.syncedIndex)
  contexts.send(context, from, { $case: 'appendReply', value: { ...value, matchIndex: synced } })
}

/** Notes that the leader of the current term was heard. */
export const followLeader = (context: contexts.Context, from: string, term: number): void => {
  election.becomeFollower(context, term, from)
  contexts.update(context, { leaderContactMs: context.nowMs })
}

/** Stores a leader's entries and acknowledges them; the term was checked by the caller. */
export const handleAppend = (
  context: contexts.Context,
  from: string,
  term: number,
  request: AppendRequest,
): void => {
  followLeader(context, from, term)
  if (!matchesPrevious(context.state.log, request)) {
    reject(context, from, request)
    return
  }
  if (!store(context, request.entries)) return
  const matchIndex = Math.max(
    request.previousIndex + request.entries.length,
    context.state.log.baseIndex,
  )
  commitTo(context, Math.min(request.commitIndex, matchIndex))
  confirm(context, from, request, matchIndex)
}
