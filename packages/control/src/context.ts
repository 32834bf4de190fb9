/** Dependencies that the handlers of the control role share. */
import type * as controlState from '@ebonyweir/control-state'
import type * as protocol from '@ebonyweir/protocol'
import type * as replica from '@ebonyweir/replica'
import type * as results from 'ts-results-es'
import type * as leaderTerm from './leaderTerm.js'
import type * as options from './options.js'

export type CommandBody = NonNullable<protocol.command.Command['body']>

export interface ControlContext {
  readonly options: options.ResolvedControlOptions
  readonly replica: replica.Replica<controlState.Outcome>
  readonly view: controlState.ControlView
  /** Monotonic clock in milliseconds. */
  readonly nowMs: () => number
  /** Soft state of the term while this replica leads with a valid lease; undefined otherwise. */
  readonly term: () => leaderTerm.LeaderTerm | undefined
  /** Commits a command and resolves with its outcome. */
  readonly propose: (
    body: CommandBody,
  ) => Promise<results.Result<controlState.Outcome, replica.ProposeError>>
}
