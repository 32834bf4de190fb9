/** Bounds on retained state, so that memory stays bounded for any log. */

/** Digests of accepted rule revisions that are kept for resends. */
export const MAX_RULE_HISTORY = 100_000

/** Removed rule keys that are kept for deltas. */
export const MAX_REMOVED_RULES = 1_000

/** Ended jobs with full record. */
export const MAX_ENDED_JOBS = 20_000

/** Ended jobs of which digest and state are kept, so that a late resend does not run them again. */
export const MAX_RETIRED_JOBS = 400_000

/** Jobs that have not ended. */
export const MAX_ACTIVE_JOBS = 200_000

/** Tasks of one job. */
export const MAX_JOB_TASKS = 1_000_000

/** Distance by which one assignment may skip tasks that were never assigned. */
export const MAX_TASK_SKIP = 10_000

/** Open and settled request claims together. */
export const MAX_CLAIMS = 1_000_000

/** Time for which a settled claim is kept, by the clock of the log. */
export const CLAIM_RETENTION_MS = 24 * 60 * 60 * 1000

/**
 * Largest step of the log clock per command. A leader whose wall clock jumped ahead would
 * otherwise drop every claim at once.
 */
export const MAX_CLOCK_STEP_MS = 10_000

/** Different failed jobs that are remembered per worker. */
export const MAX_FAILED_JOBS = 8

/** Failures of a batch task after which it is not tried again, if the job names no number. */
export const DEFAULT_MAX_FAILURES = 3
