/**
 * Fencing tokens of the calls to a worker. A worker does nothing for a lower token than it has seen, but a new
 * incarnation under the same id has seen none, and a call to the one before may still reach it. So the token does not
 * rise with the leader's term alone. It also rises with each stream to the leader, which covers a restart of the agent,
 * with each start order that got no answer, and whenever another incarnation may answer the next call. The first call
 * that reaches a new incarnation then voids all older ones.
 */
import * as protocol from '@ebonyweir/protocol'

const { MAX_TERM, STREAMS_PER_TERM, TOKENS_PER_STREAM } = protocol.fencing

/** Source of a token at the leader. */
export interface TokenBase {
  readonly term: number
  /** 0 from a leader that does not number its streams. */
  readonly streamNumber: number
}

export interface FenceSequence {
  /** Token of the next call; undefined before the first orders and while none is left on the current stream. */
  readonly current: () => number | undefined
  /** Applies the base of newly received orders; false if it is older than one seen before. */
  readonly follow: (base: TokenBase) => boolean
  /** Raises the token, since another incarnation of the worker may answer the next call. */
  readonly raise: () => void
}

/** @param onExhausted called when the tokens of a stream are used up; the agent then needs a new stream */
export const createFenceSequence = (onExhausted: () => void): FenceSequence => {
  let base: TokenBase | undefined
  let raiseCount = 0

  const isOlder = (next: TokenBase, than: TokenBase): boolean =>
    next.term < than.term || (next.term === than.term && next.streamNumber < than.streamNumber)

  return {
    current: () => {
      if (base === undefined || raiseCount >= TOKENS_PER_STREAM || base.term > MAX_TERM) {
        return undefined
      }
      return (base.term * STREAMS_PER_TERM + base.streamNumber) * TOKENS_PER_STREAM + raiseCount
    },
    follow: (next) => {
      if (base !== undefined && isOlder(next, base)) return false
      if (base === undefined || isOlder(base, next)) {
        base = next
        raiseCount = 0
      }
      return true
    },
    raise: () => {
      // A restarted agent gets no higher number from a leader that does not number its streams.
      if (base === undefined || base.streamNumber === 0) return
      raiseCount += 1
      if (raiseCount === TOKENS_PER_STREAM) onExhausted()
    },
  }
}
