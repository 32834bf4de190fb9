/** Outcomes of commands. A refused command or item has no effect on the state. */
import type * as protocol from '@ebonyweir/protocol'
import type * as types from './types.js'

export type AssignRefusal =
  | 'unknown task'
  | 'task is not waiting'
  | 'stale attempt'
  | 'unknown worker'
  | 'stale worker incarnation'
  | 'capacity'
  | 'failure domain is out'
  | 'placement rule'
  | 'team quota'
  | 'team has no rule'
  | 'enough runners'

export interface AssignResult {
  readonly task: string
  readonly attempt: number
  /** Undefined: the task is assigned. */
  readonly refusal: AssignRefusal | undefined
  /** The rule that caused the refusal, if one did. */
  readonly rule: types.RuleSource | undefined
}

export interface EndResult {
  readonly task: string
  readonly attempt: number
  /**
   * `stale`: the attempt is not current; the report may be acknowledged and discarded.
   * `refused`: the report has no outcome.
   */
  readonly result: 'ended' | 'stale' | 'refused'
}

export interface CancelResult {
  readonly job: string
  readonly result: 'cancelled' | 'already ended' | 'unknown job'
}

export interface TaskRef {
  readonly task: string
  readonly attempt: number
}

export type Outcome =
  | { readonly kind: 'rulesAccepted'; readonly revision: number; readonly resent: boolean }
  /** Another text, submitted by `operator`, was accepted under this revision. */
  | { readonly kind: 'rulesConflict'; readonly revision: number; readonly operator: string }
  /** The revision is older than the retained digests: unknown whether the text was accepted. */
  | { readonly kind: 'rulesTooOld'; readonly oldestRevision: number }
  | { readonly kind: 'rulesRefused'; readonly errors: readonly types.RulesError[] }
  | { readonly kind: 'jobAccepted'; readonly job: string; readonly resent: boolean }
  | { readonly kind: 'jobConflict'; readonly job: string }
  | { readonly kind: 'jobsCancelled'; readonly results: readonly CancelResult[] }
  /** `lost`: attempts of an older incarnation, which have stopped. */
  | { readonly kind: 'workerRegistered'; readonly lost: readonly TaskRef[] }
  | { readonly kind: 'workerRemoved' }
  | { readonly kind: 'tasksAssigned'; readonly results: readonly AssignResult[] }
  | { readonly kind: 'tasksEnded'; readonly results: readonly EndResult[] }
  | {
      readonly kind: 'claim'
      readonly state: protocol.control.ClaimState
      readonly claim: types.ClaimView
    }
  | {
      readonly kind: 'claimSettled'
      /** `other request`: the claim does not exist or belongs to another request id. */
      readonly result: 'settled' | 'freed' | 'already settled' | 'other request'
    }
  | { readonly kind: 'refused'; readonly reason: string }
