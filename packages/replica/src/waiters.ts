import * as results from 'ts-results-es'
import type * as types from './types.js'

/** Result of a proposed entry. */
export type Settled<Outcome> = results.Result<types.Committed<Outcome>, types.ProposeError>

interface Waiter<Outcome> {
  readonly term: number
  readonly settle: (result: Settled<Outcome>) => void
}

/** Callers waiting for their entries to be applied locally. */
export interface Waiters<Outcome> {
  add(index: number, term: number, settle: (result: Settled<Outcome>) => void): void
  /** Settles the caller of the entry applied at `index`. */
  applied(index: number, term: number, outcome: Outcome): void
  /** Settles all waiting callers. */
  settleAll(error: types.ProposeError): void
}

export const createWaiters = <Outcome>(): Waiters<Outcome> => {
  const waiting = new Map<number, Waiter<Outcome>>()
  return {
    add: (index, term, settle) => {
      waiting.set(index, { term, settle })
    },
    applied: (index, term, outcome) => {
      const waiter = waiting.get(index)
      if (waiter === undefined) return
      waiting.delete(index)
      // An entry of another term was committed at this index, so the caller's entry can no longer be committed.
      if (waiter.term === term) waiter.settle(results.Ok({ index, term, outcome }))
      else waiter.settle(results.Err({ kind: 'not-leader', leader: undefined }))
    },
    settleAll: (error) => {
      const all = [...waiting.values()]
      waiting.clear()
      for (const waiter of all) waiter.settle(results.Err(error))
    },
  }
}
