/** Detects that the commit index of the leader does not advance although entries are waiting. */
import type * as replica from '@ebonyweir/replica'
import type * as telemetry from '@ebonyweir/telemetry/logger'

/** Minimum stall that is logged, in milliseconds: longer than several slow disk syncs, less than an operator waits. */
const MIN_LOGGED_STALL_MS = 1_000

/** Minimum time between two log lines, in milliseconds. */
const LOG_INTERVAL_MS = 1_000

export interface CommitStallMonitorOptions {
  readonly logger: telemetry.Logger
  readonly nowMs: () => number
}

export interface CommitStallMonitor {
  /** Checks the state of the log; called several times a second. */
  readonly check: (isLeader: boolean, status: replica.MembersStatus) => void
  /** Time for which the oldest uncommitted entry has been waiting, in milliseconds. */
  readonly stalledMs: () => number
}

export const createCommitStallMonitor = ({
  logger,
  nowMs,
}: CommitStallMonitorOptions): CommitStallMonitor => {
  let commitIndex = -1
  /** Time since which the commit index has not advanced although entries are waiting. */
  let sinceMs: number | undefined
  let loggedMs = Number.NEGATIVE_INFINITY

  const stalledMs = (): number => (sinceMs === undefined ? 0 : nowMs() - sinceMs)

  return {
    check: (isLeader, { members, commitIndex: committed }) => {
      const synced = Math.max(0, ...members.map(({ acknowledgedIndex = 0 }) => acknowledgedIndex))
      if (!isLeader || committed !== commitIndex || synced <= committed) {
        commitIndex = committed
        sinceMs = isLeader && synced > committed ? nowMs() : undefined
        return
      }
      sinceMs ??= nowMs()
      if (stalledMs() < MIN_LOGGED_STALL_MS || nowMs() - loggedMs < LOG_INTERVAL_MS) return
      loggedMs = nowMs()
      logger.warn('commits stand still', {
        stalledMs: Math.round(stalledMs()),
        commitIndex: committed,
        members: members.map(
          ({ address, acknowledgedIndex, lastContactMs, inFlightBytes, resets }) => ({
            address,
            acknowledgedIndex,
            lastContactMs: lastContactMs === undefined ? undefined : Math.round(lastContactMs),
            inFlightBytes,
            resets,
          }),
        ),
      })
    },
    stalledMs,
  }
}
