/** Limits that both sides of an interface have to agree on. */

/** Largest gRPC message between processes, in bytes; above the largest answer body. */
export const MAX_MESSAGE_BYTES = 20 * 1024 * 1024

/** Default largest request body an entry instance accepts, in bytes. */
export const DEFAULT_MAX_REQUEST_BYTES = 1024 * 1024

/** Default largest answer body an agent accepts from an endpoint, in bytes. */
export const DEFAULT_MAX_ANSWER_BYTES = 16 * 1024 * 1024

/** Time for which a worker may run tasks after it sent its last answered sync, in milliseconds. */
export const WORKER_LEASE_MS = 10_000

/** Oldest reply from which a worker still starts a task, counted from its sync's send, in milliseconds. */
export const START_VALID_MS = 2_000

/** Time for which a process may act on its configuration after the send of its last answered sync, in milliseconds. */
export const CONFIG_LEASE_MS = 4_000

/** Largest assumed difference in clock rate between two instances, as a fraction. */
export const CLOCK_DRIFT = 0.02
