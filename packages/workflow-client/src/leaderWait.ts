/**
 * Time that a submission waits for a leader. After a recent loss of the leader it waits for the election, which is over
 * by the time a refused caller would retry. The same holds for an entry that has just started, since after a loss of power
 * the replicas start at the same time. When there has been no leader for longer, the caller is refused early, so that it
 * can retry at another entry before its own deadline.
 */

/** Longest wait when a leader answered recently: an election and a commit. */
const ELECTION_WAIT_MS = 1_400

/** Time without a leader that exceeds an election. */
const LEADER_ABSENT_AFTER_MS = 2_000

/** Wait when the leader has been absent for longer: one connection attempt to a replica. */
const ABSENT_LEADER_WAIT_MS = 350

export interface LeaderWait {
  /** Time until the caller's deadline. */
  readonly leftMs: number
  /** Time since a leader last answered, or since the start of the entry if none ever did. */
  readonly sinceLeaderMs: number
}

/** Longest wait of a submission for a leader; at least 1 ms. */
export const leaderWaitMs = ({ leftMs, sinceLeaderMs }: LeaderWait): number => {
  const limitMs = sinceLeaderMs > LEADER_ABSENT_AFTER_MS ? ABSENT_LEADER_WAIT_MS : ELECTION_WAIT_MS
  return Math.max(1, Math.min(limitMs, leftMs))
}
