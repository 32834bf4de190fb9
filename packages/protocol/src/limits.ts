/** Limits on which both sides of an interface must agree. */

/** Largest gRPC message between processes; exceeds the largest answer body. */
export const MAX_MESSAGE_BYTES = 20 * 1024 * 1024

/** Default limit of the request body that an entry instance accepts. */
export const DEFAULT_MAX_REQUEST_BYTES = 1024 * 1024

/** Default limit of the answer body that an agent accepts from an endpoint. */
export const DEFAULT_MAX_ANSWER_BYTES = 16 * 1024 * 1024

/** Time for which a worker may run tasks, counted from the send of its last answered sync. */
export const WORKER_LEASE_MS = 10_000

/** Largest age of a reply from which a worker still starts a task, counted from the send of the sync. */
export const START_VALID_MS = 2_000

/** Time for which a process may act on its configuration, counted from the send of its last answered sync. */
export const CONFIG_LEASE_MS = 4_000

/** Largest assumed relative difference between the clock rates of two instances. */
export const CLOCK_DRIFT = 0.02
