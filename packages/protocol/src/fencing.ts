/** Parts of the fencing token in an agent's calls to its worker, which has to be a whole number that JSON carries. */

/** Numbers that an agent may use up on one stream to the leader. */
export const TOKENS_PER_STREAM = 2 ** 10

/** Streams of one agent within a term, the number 0 included. */
export const STREAMS_PER_TERM = 2 ** 19

/** Highest number that a leader may give to a stream. */
export const MAX_STREAM_NUMBER = STREAMS_PER_TERM - 1

/** Highest term that fits into a token. */
export const MAX_TERM = Math.floor(Number.MAX_SAFE_INTEGER / (STREAMS_PER_TERM * TOKENS_PER_STREAM))
