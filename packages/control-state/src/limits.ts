/** Limits on retained state. They bound memory use for any log. */

/** Accepted rule revisions whose digest is kept, to recognise resends. */
export const MAX_RULE_HISTORY = 100_000

/** Removed rule keys that are kept to build deltas. */
export const MAX_REMOVED_RULES = 1_000

/** Ended jobs that keep their full record. */
export const MAX_ENDED_JOBS = 20_000

/** Ended jobs of which only digest and state are kept, so that a late resend does not run them again. */
export const MAX_RETIRED_JOBS = 400_000

/** Jobs that have not ended. */
export const MAX_ACTIVE_JOBS = 200_000

/** Tasks of one job. */
export const MAX_JOB_TASKS = 1_000_000

/** Never assigned tasks that one assignment may skip. */
export const MAX_TASK_SKIP = 10_000

/** Open and settled request claims together. */
export const MAX_CLAIMS = 1_000_000

/** Retention period of a settled claim, on the log clock. */
export const CLAIM_RETENTION_MS = 24 * 60 * 60 * 1000

/**
 * Largest step of the log clock per command. Without it, a leader whose wall clock jumped ahead
 * would expire all claims at once.
 */
export const MAX_CLOCK_STEP_MS = 10_000

/** Distinct failed jobs that are recorded per worker. */
export const MAX_FAILED_JOBS = 8

/** Failures after which a batch task is not retried, if the job sets no limit. */
export const DEFAULT_MAX_FAILURES = 3
