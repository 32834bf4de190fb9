/** Watches whether commits of the leader stand still while its followers are in touch. */
import type * as replica from '@ebonyweir/replica'
import type * as telemetry from '@ebonyweir/telemetry/logger'

/** Time without a commit that is logged, in milliseconds: several syncs of slow disks, and less than an operator waits. */
const LOGGED_STALL_MS = 1_000

/** Shortest time between two log lines, in milliseconds. */
const LOG_INTERVAL_MS = 1_000

export interface CommitWatchOptions {
  readonly logger: telemetry.Logger
  readonly nowMs: () => number
}

export interface CommitWatch {
  /** Looks at the state of the log; called several times a second. */
  readonly check: (isLeader: boolean, status: replica.MembersStatus) => void
  /** Time for which the oldest entry has waited for its commit, in milliseconds. */
  readonly stalledMs: () => number
}

export const createCommitWatch = ({ logger, nowMs }: CommitWatchOptions): CommitWatch => {
  let commitIndex = -1
  /** Since when the commit index has not moved although entries wait. */
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
      if (stalledMs() < LOGGED_STALL_MS || nowMs() - loggedMs < LOG_INTERVAL_MS) return
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
