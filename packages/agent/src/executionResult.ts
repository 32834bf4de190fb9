import * as protocol from '@ebonyweir/protocol'
import type * as executionState from './executionState.js'

type Result = executionState.ExecutionResult

const { Outcome } = protocol.agent

const refusal = (
  reason: protocol.agent.RefusalReason,
  outcome: protocol.agent.Outcome,
  detail: string,
): Result => ({ $case: 'refusal', value: { reason, outcome, detail } })

/** A refusal of work that did not run and will not run. */
export const notRun = (reason: protocol.agent.RefusalReason, detail: string): Result =>
  refusal(reason, Outcome.OUTCOME_NOT_RUN, detail)

/** A failure of work that may have run. */
export const unknown = (reason: protocol.agent.RefusalReason, detail: string): Result =>
  refusal(reason, Outcome.OUTCOME_UNKNOWN, detail)

/** Size of an answer's body. */
export const bytesOf = (result: Result | undefined): number =>
  result?.$case === 'answer' ? result.value.body.length : 0

/** True if the result proves that the request did not run. */
export const isNotRun = (result: Result): boolean =>
  result.$case === 'refusal' && result.value.outcome === Outcome.OUTCOME_NOT_RUN
