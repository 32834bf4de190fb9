/** Timing parameters of the control group, derived from the bounds of the deployment. */
import * as results from 'ts-results-es'

/** Largest assumed difference in rate between two clocks, as a fraction; a worker's clock may be 2 % slow. */
export const CLOCK_DRIFT = 0.02

/** Shortest supported lease of a worker, in milliseconds: an election and two reconnections have to fit into it. */
export const MIN_LEASE_MS = 2_500

/** Margin added to every wait for the end of a lease, for timer and scheduling delays, in milliseconds. */
const LEASE_MARGIN_MS = 300

/** Interval of the leader's heartbeats, in milliseconds: five fit into the shortest election timeout. */
const HEARTBEAT_MS = 120

/** Shortest election timeout, in milliseconds: a few heartbeats in a row may be late or lost without an election. */
const ELECTION_TIMEOUT_MIN_MS = 600

/** Longest election timeout, in milliseconds: a spread of many round trips avoids simultaneous candidates. */
const ELECTION_TIMEOUT_MAX_MS = 1_000

/** Shortest startup election timeout, in milliseconds: the heartbeat of a live leader arrives first. */
const STARTUP_TIMEOUT_MIN_MS = 150

/** Longest startup election timeout, in milliseconds: the spread exceeds several round trips and disk syncs. */
const STARTUP_TIMEOUT_MAX_MS = 450

/** Lease of the leader, in milliseconds: the shortest election timeout less twice the drift of two clocks. */
const LEADER_LEASE_MS = 550

/** Bounds set by the deployment. */
export interface TimingBounds {
  /** Longest lease that workers accept, in milliseconds. */
  readonly maxLeaseMs: number
}

/** Timing parameters of the control group, in milliseconds. */
export interface Timing {
  readonly heartbeatMs: number
  readonly electionTimeoutMinMs: number
  readonly electionTimeoutMaxMs: number
  /** Bounds of the election timeout of a replica that has had no contact with a leader since its start. */
  readonly startupTimeoutMinMs: number
  readonly startupTimeoutMaxMs: number
  /** Shorter than the shortest election timeout by more than the drift of two clocks. */
  readonly leaderLeaseMs: number
  /** Lease of a worker, counted on its own clock from the reading that it reported. */
  readonly workerLeaseMs: number
  /** Time without reports after which a worker has certainly stopped all runs. */
  readonly workerLostMs: number
}

/** Derives the timing parameters; rejects bounds for which no safe ones exist. */
export const resolveTiming = (bounds: TimingBounds): results.Result<Timing, string> => {
  if (bounds.maxLeaseMs < MIN_LEASE_MS) {
    return results.Err(
      `maxLeaseMs is ${bounds.maxLeaseMs}; leases below ${MIN_LEASE_MS} ms end during an ordinary change of leader`,
    )
  }
  // The worker's clock may run slow and the leader's fast, so the drift counts twice.
  const lostMs = bounds.maxLeaseMs * (1 + 2 * CLOCK_DRIFT) ** 2 + LEASE_MARGIN_MS
  return results.Ok({
    heartbeatMs: HEARTBEAT_MS,
    electionTimeoutMinMs: ELECTION_TIMEOUT_MIN_MS,
    electionTimeoutMaxMs: ELECTION_TIMEOUT_MAX_MS,
    startupTimeoutMinMs: STARTUP_TIMEOUT_MIN_MS,
    startupTimeoutMaxMs: STARTUP_TIMEOUT_MAX_MS,
    leaderLeaseMs: LEADER_LEASE_MS,
    workerLeaseMs: bounds.maxLeaseMs,
    workerLostMs: lostMs,
  })
}
