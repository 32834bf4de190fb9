/** Batches commands that arrive within a few milliseconds into one append to the log. */
import * as clocks from './clock.js'
import type * as context from './context.js'

/** Delay that batches ends of several workers, in milliseconds; less than a disk sync. */
const PROPOSE_DELAY_MS = 4

interface WaitingCommand {
  readonly body: context.CommandBody
  readonly resolve: (proposed: Awaited<context.Proposed>) => void
}

/** Proposes a command together with others of the same batch. */
export type ProposeBatched = (body: context.CommandBody) => context.Proposed

export const createProposalBatch = (
  ctx: Pick<context.TermContext, 'propose' | 'clock'>,
): ProposeBatched => {
  const waiting: WaitingCommand[] = []
  const clock = ctx.clock ?? clocks.SYSTEM_CLOCK
  let cancelTimer: (() => void) | undefined

  const proposeAll = (): void => {
    cancelTimer = undefined
    for (const { body, resolve } of waiting.splice(0)) void ctx.propose(body).then(resolve)
  }

  return (body) =>
    new Promise((resolve) => {
      waiting.push({ body, resolve })
      cancelTimer ??= clock.after(PROPOSE_DELAY_MS, proposeAll)
    })
}
