import * as protocol from '@ebonyweir/protocol'
import type * as executionState from './executionState.js'

type Result = executionState.ExecutionResult

const { Outcome } = protocol.agent

const refusal = (
  reason: protocol.agent.RefusalReason,
  outcome: protocol.agent.Outcome,
  detail: string,
): Result => ({ $case: 'refusal', value: { reason, outcome, detail } })

/** Creates a refusal of a request that did not run and will not run. */
export const notRun = (reason: protocol.agent.RefusalReason, detail: string): Result =>
  refusal(reason, Outcome.OUTCOME_NOT_RUN, detail)

/** Creates a failure of a request that may have run. */
export const unknown = (reason: protocol.agent.RefusalReason, detail: string): Result =>
  refusal(reason, Outcome.OUTCOME_UNKNOWN, detail)

/** Size of the answer's body, or 0 for a refusal. */
export const bytesOf = (result: Result | undefined): number =>
  result?.$case === 'answer' ? result.value.body.length : 0

/** True if the result proves that the request did not run. */
export const isNotRun = (result: Result): boolean =>
  result.$case === 'refusal' && result.value.outcome === Outcome.OUTCOME_NOT_RUN
