/** Context shared by the modules of the control role. */
import type * as protocol from '@ebonyweir/protocol'
import type * as replica from '@ebonyweir/replica'
import type * as workflowState from '@ebonyweir/workflow-state'
import type * as results from 'ts-results-es'
import type * as clocks from './clock.js'
import type * as options from './options.js'
import type * as workStatistics from './workStatistics.js'

export type CommandBody = NonNullable<protocol.workflow.WorkflowCommand['body']>

export type Proposed = Promise<results.Result<workflowState.Outcome, replica.ProposeError>>

export interface ControlContext {
  readonly options: options.WorkflowControlOptions
  readonly replica: replica.Replica<workflowState.Outcome>
  readonly view: workflowState.WorkflowView
  /** Monotonic clock in milliseconds. */
  readonly nowMs: () => number
  /** Term of this replica while it leads with a valid lease, so that its state is not stale; undefined otherwise. */
  readonly leadingTerm: () => number | undefined
  /** Commits a command; one without a body only proves that all earlier commands are applied. */
  readonly propose: (body: CommandBody | undefined) => Proposed
  readonly work: workStatistics.WorkStatistics
  readonly hint: () => protocol.workflow.LeaderHint
}

/** Part of the context that a leader's term uses; it needs neither the replica nor the network. */
export interface TermContext extends Pick<
  ControlContext,
  'view' | 'nowMs' | 'leadingTerm' | 'propose' | 'work'
> {
  readonly options: Pick<options.WorkflowControlOptions, 'logger' | 'timing' | 'scheduling'>
  /** @default clock and timers of the process */
  readonly clock?: clocks.Clock
}
