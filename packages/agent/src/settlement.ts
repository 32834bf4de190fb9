/** Request ids that ended, and the results that are kept of them. */
import * as executionResult from './executionResult.js'
import type * as executionState from './executionState.js'

type State = executionState.ExecutionState
type Results = State['results']

const drop = (state: State, results: Results, requestId: string): void => {
  state.answerBytes -= results.get(requestId)?.bytes ?? 0
  results.delete(requestId)
}

// Oldest results go first, those without an idempotency key before those with one.
const boundResults = (state: State): void => {
  for (const results of [state.results, state.retainedResults]) {
    for (const requestId of results.keys()) {
      if (state.answerBytes <= state.limits.retainedBytes) return
      drop(state, results, requestId)
    }
  }
}

/**
 * Remembers a request that ran. An id without an idempotency key is sent once, so a second arrival
 * carries a stamp from before the end and is refused as stale once the record is evicted.
 */
export const finish = (
  state: State,
  requestId: string,
  result: executionState.ExecutionResult,
  retain: boolean,
  nowMs: number,
): void => {
  const { retainMs, rememberMs, unconfirmedMs } = state.limits
  const bytes = executionResult.bytesOf(result)
  const keepUntilMs = nowMs + (retain ? retainMs : rememberMs + 1)
  const resultUntilMs = nowMs + (retain ? retainMs : unconfirmedMs)
  const records = retain ? state.retained : state.settled
  const results = retain ? state.retainedResults : state.results
  records.set(requestId, { phase: 'finished', keepUntilMs })
  results.set(requestId, { result, bytes, keepUntilMs: resultUntilMs })
  state.answerBytes += bytes
  boundResults(state)
}

/** Places a tombstone: the request id will never run. */
export const fence = (state: State, requestId: string, nowMs: number): void => {
  const keepUntilMs = nowMs + state.limits.rememberMs + 1
  state.settled.set(requestId, { phase: 'fenced', keepUntilMs })
}

/** The entry has the result: it need not be kept for Resolve. */
export const confirm = (state: State, requestId: string): void => {
  drop(state, state.results, requestId)
}

export const settledOf = (
  state: State,
  requestId: string,
): executionState.SettledRecord | undefined =>
  state.settled.get(requestId) ?? state.retained.get(requestId)

/** The kept result of a finished request; undefined once it was dropped. */
export const resultOf = (
  state: State,
  requestId: string,
): executionState.ExecutionResult | undefined =>
  (state.results.get(requestId) ?? state.retainedResults.get(requestId))?.result

/** Forgets what is no longer needed. Each table is in the order in which its rows end. */
export const evict = (state: State, nowMs: number): void => {
  for (const results of [state.results, state.retainedResults]) {
    for (const [requestId, { keepUntilMs }] of results) {
      if (keepUntilMs > nowMs) break
      drop(state, results, requestId)
    }
  }
  for (const records of [state.settled, state.retained]) {
    for (const [requestId, { keepUntilMs }] of records) {
      if (keepUntilMs > nowMs) break
      records.delete(requestId)
    }
  }
}
