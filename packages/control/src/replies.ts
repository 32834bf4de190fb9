/** Replies shared by the HTTP handlers. */
import type * as protocol from '@ebonyweir/protocol'
import type * as replica from '@ebonyweir/replica'
import type * as context from './context.js'
import type * as httpRouter from './httpRouter.js'

export const ok = (body: unknown): httpRouter.HttpReply => ({ status: 200, body })

export const refusal = (
  status: number,
  answer: protocol.operatorApi.ErrorAnswer,
): httpRouter.HttpReply => ({ status, body: answer })

/** Returns the address of the leader, if known, to which the caller should resend the request. */
export const redirect = (ctx: context.ControlContext): httpRouter.HttpReply => {
  const { leader, role } = ctx.replica.leadership()
  // A leader without a valid lease may already have been replaced.
  const address = role === 'leader' ? '' : (leader?.httpAddress ?? '')
  return { status: 421, body: { leader: address } satisfies protocol.operatorApi.RedirectAnswer }
}

/** Reports whether an unconfirmed command may have taken effect. */
export const proposeFailure = (
  ctx: context.ControlContext,
  error: replica.ProposeError,
): httpRouter.HttpReply => {
  switch (error.kind) {
    case 'not-leader':
      return redirect(ctx)
    case 'overloaded':
      return refusal(503, {
        error: 'overloaded',
        detail: `${error.detail}; try again later`,
        outcome: 'not-run',
      })
    case 'too-large':
      return refusal(413, {
        error: 'too-large',
        detail: `the command exceeds ${error.limitBytes} bytes`,
        outcome: 'not-run',
      })
    case 'unknown':
    case 'stopped':
      return refusal(503, {
        error: 'unknown',
        detail: 'leadership was lost before the change was confirmed; send the same request again',
        outcome: 'unknown',
      })
  }
}
