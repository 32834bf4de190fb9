import type * as protocol from '@ebonyweir/protocol'
import * as contexts from './context.js'
import * as election from './election.js'
import * as logs from './log.js'
import type * as types from './types.js'

type AppendRequest = protocol.replication.AppendRequest

/** Highest index that may match when the previous entry is missing or differs; skips the conflicting term. */
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

/** Appends new entries and replaces a conflicting uncommitted tail. */
const storeEntries = (context: contexts.Context, entries: readonly types.LogEntry[]): boolean => {
  const { log, commitIndex } = context.state
  const firstNewOffset = entries.findIndex(
    (entry) => entry.index > log.baseIndex && logs.termAt(log, entry.index) !== entry.term,
  )
  const firstNew = entries[firstNewOffset]
  if (firstNew === undefined) return true
  if (firstNew.index <= commitIndex) {
    const detail = `leader tried to replace committed entry ${firstNew.index}`
    context.outputs.push({ kind: 'fatal', detail })
    return false
  }
  if (firstNew.index <= log.lastIndex) contexts.truncate(context, firstNew.index)
  contexts.appendEntries(context, entries.slice(firstNewOffset))
  return true
}

const commitTo = (context: contexts.Context, index: number): void => {
  if (index <= context.state.commitIndex) return
  contexts.update(context, { commitIndex: index })
  context.outputs.push({ kind: 'commit', index })
}

/** Acknowledges synced entries immediately and entries still being written after their sync. */
const acknowledge = (
  context: contexts.Context,
  from: string,
  request: AppendRequest,
  matchIndex: number,
): void => {
  const { state } = context
  const value = { success: true, matchIndex, round: request.round, lastIndex: state.log.lastIndex }
  const awaitsSync = request.entries.length > 0 && matchIndex > state.syncedIndex
  if (awaitsSync) {
    contexts.sendAfterSync(context, from, { $case: 'appendReply', value })
    return
  }
  const synced = Math.min(matchIndex, state.syncedIndex)
  contexts.send(context, from, { $case: 'appendReply', value: { ...value, matchIndex: synced } })
}

/** Follows the leader of the current term and records the contact. */
export const followLeader = (context: contexts.Context, from: string, term: number): void => {
  election.becomeFollower(context, term, from)
  contexts.update(context, { leaderContactMs: context.nowMs })
}

/** Stores a leader's entries and acknowledges them; the caller has checked the term. */
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
  if (!storeEntries(context, request.entries)) return
  const matchIndex = Math.max(
    request.previousIndex + request.entries.length,
    context.state.log.baseIndex,
  )
  commitTo(context, Math.min(request.commitIndex, matchIndex))
  acknowledge(context, from, request, matchIndex)
}
