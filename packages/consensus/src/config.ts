import type * as types from './types.js'

export const allGuards: types.Guards = {
  syncBeforeSend: true,
  preVote: true,
  stickyLeader: true,
  restartGrace: true,
  identity: true,
  leaderLease: true,
  leaseEndsAtTransfer: true,
  quorumStepDown: true,
  emptyEntryFirst: true,
  commitOwnTermOnly: true,
  oneChangeAtATime: true,
  repairedNeedsAcknowledgement: true,
  refuseRolledBack: true,
}

const DEFAULT_ELECTION_TIMEOUT_MIN_MS = 1_000
const DEFAULT_ELECTION_TIMEOUT_MAX_MS = 2_000

/** Options of one replica; everything but `cell` and `id` has a default. */
export type ConfigOptions = Pick<types.Config, 'cell' | 'id'> & Partial<types.Config>

/**
 * Fills in the defaults. The leader lease is shorter than the minimum election timeout by more than the drift between
 * two clocks that are off by 2 % each.
 */
export const resolveConfig = (options: ConfigOptions): types.Config => ({
  startupTimeoutMinMs: options.electionTimeoutMinMs ?? DEFAULT_ELECTION_TIMEOUT_MIN_MS,
  startupTimeoutMaxMs: options.electionTimeoutMaxMs ?? DEFAULT_ELECTION_TIMEOUT_MAX_MS,
  heartbeatMs: 100,
  electionTimeoutMinMs: DEFAULT_ELECTION_TIMEOUT_MIN_MS,
  electionTimeoutMaxMs: DEFAULT_ELECTION_TIMEOUT_MAX_MS,
  leaderLeaseMs: 900,
  maxMessageBytes: 256 * 1024,
  maxInFlightBytes: 1024 * 1024,
  maxInFlightMessages: 4,
  resendMs: 600,
  maxUncommittedBytes: 32 * 1024 * 1024,
  trailingEntries: 2_000,
  guards: allGuards,
  ...options,
})
