import * as logs from './log.js'
import * as memberships from './membership.js'
import type * as types from './types.js'

/** State that a replica reads from its disk when it starts. */
export interface RecoveredState {
  readonly hardState: types.HardState
  readonly snapshot: types.SnapshotMeta | undefined
  /** Entries that follow the snapshot without a gap. */
  readonly entries: readonly types.LogEntry[]
}

export const emptyDisk: RecoveredState = {
  hardState: { term: 0, votedFor: undefined },
  snapshot: undefined,
  entries: [],
}

/**
 * Initial state of a replica.
 *
 * @param jitter number in [0, 1) that randomizes the first election timeout
 * @param processStartMs time before which an earlier process of this replica ended @default `nowMs`
 */
export const createState = (
  config: types.Config,
  recovered: RecoveredState,
  nowMs: number,
  jitter: number,
  processStartMs = nowMs,
): types.State => {
  const { snapshot, entries, hardState } = recovered
  const base = logs.createLog(snapshot?.lastIndex, snapshot?.lastTerm)
  const log = logs.append(base, entries)
  const initial =
    snapshot === undefined ? [] : [{ index: snapshot.lastIndex, membership: snapshot.membership }]
  return {
    config,
    role: 'follower',
    hardState,
    log,
    snapshot,
    memberships: [...initial, ...memberships.inEntries(entries)],
    commitIndex: base.lastIndex,
    syncedIndex: log.lastIndex,
    persistSequence: 0,
    syncedSequence: 0,
    hardStateSequence: 0,
    pending: [],
    held: [],
    leaderId: undefined,
    leaderContactMs: undefined,
    startedMs: nowMs,
    processStartMs,
    electionStartMs: nowMs,
    jitter,
    votes: [],
    incoming: undefined,
    progress: {},
    round: 0,
    heartbeatSentMs: nowMs,
    termStartIndex: 0,
    transfer: undefined,
  }
}
