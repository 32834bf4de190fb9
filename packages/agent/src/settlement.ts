/** Records of finished request ids and their stored results. */
import * as executionResult from './executionResult.js'
import type * as executionState from './executionState.js'

type State = executionState.ExecutionState
type Results = State['results']

const dropResult = (state: State, results: Results, requestId: string): void => {
  state.answerBytes -= results.get(requestId)?.bytes ?? 0
  results.delete(requestId)
}

// Evicts the oldest results first, and those without an idempotency key before those with one.
const enforceAnswerLimit = (state: State): void => {
  for (const results of [state.results, state.retainedResults]) {
    for (const requestId of results.keys()) {
      if (state.answerBytes <= state.limits.retainedBytes) return
      dropResult(state, results, requestId)
    }
  }
}

/**
 * Records a request that ran. An id without an idempotency key is sent only once, so a duplicate
 * carries a timestamp from before the end and is refused as stale after the record is evicted.
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
  enforceAnswerLimit(state)
}

/** Adds a tombstone that prevents the request id from running. */
export const fence = (state: State, requestId: string, nowMs: number): void => {
  const keepUntilMs = nowMs + state.limits.rememberMs + 1
  state.settled.set(requestId, { phase: 'fenced', keepUntilMs })
}

/** Drops a result that the entry has received, so that it need not be kept for Resolve. */
export const confirm = (state: State, requestId: string): void => {
  dropResult(state, state.results, requestId)
}

export const settledOf = (
  state: State,
  requestId: string,
): executionState.SettledRecord | undefined =>
  state.settled.get(requestId) ?? state.retained.get(requestId)

/** The stored result of a finished request, or undefined if it was dropped. */
export const resultOf = (
  state: State,
  requestId: string,
): executionState.ExecutionResult | undefined =>
  (state.results.get(requestId) ?? state.retainedResults.get(requestId))?.result

/** Evicts expired results and records. Each table is ordered by expiry. */
export const evict = (state: State, nowMs: number): void => {
  for (const results of [state.results, state.retainedResults]) {
    for (const [requestId, { keepUntilMs }] of results) {
      if (keepUntilMs > nowMs) break
      dropResult(state, results, requestId)
    }
  }
  for (const records of [state.settled, state.retained]) {
    for (const [requestId, { keepUntilMs }] of records) {
      if (keepUntilMs > nowMs) break
      records.delete(requestId)
    }
  }
}
