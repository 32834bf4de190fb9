/** Commands of one moment, proposed together so that one append to the log carries them. */
import * as clocks from './clock.js'
import type * as context from './context.js'

/** Pause that collects ends of several workers into one append, in milliseconds; less than a sync of the disk. */
const PROPOSE_DELAY_MS = 4

interface WaitingCommand {
  readonly body: context.CommandBody
  readonly resolve: (proposed: Awaited<context.Proposed>) => void
}

/** Proposes a command together with those of the same moment. */
export type ProposeSoon = (body: context.CommandBody) => context.Proposed

export const createProposalBatch = (
  ctx: Pick<context.TermContext, 'propose' | 'clock'>,
): ProposeSoon => {
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
