/** Operator API: rules. */
import type * as controlState from '@ebonyweir/control-state'
import type * as protocol from '@ebonyweir/protocol'
import * as rules from '@ebonyweir/rules'
import type * as context from './context.js'
import type * as httpRouter from './httpRouter.js'
import * as replies from './replies.js'
import * as schemas from './schemas.js'

const getRules = (ctx: context.ControlContext): httpRouter.HttpReply => {
  if (!ctx.term()) return replies.redirect(ctx)
  const { text, operator, acceptedAtMs } = ctx.view.rulesText()
  const revision = ctx.view.revision()
  return replies.ok({
    revision,
    digest: revision === 0 ? '' : rules.digestRules(operator, text),
    operator,
    text,
    acceptedAtMs,
  } satisfies protocol.operatorApi.RulesAnswer)
}

const conflictOf = (
  ctx: context.ControlContext,
  expectedRevision: number,
  winner: string,
): protocol.operatorApi.RulesConflictAnswer => ({
  error: 'conflict',
  detail:
    winner === ''
      ? `revision ${expectedRevision} is not in force; the revision in force is ${ctx.view.revision()}`
      : `another change by ${winner} was accepted on top of revision ${expectedRevision}`,
  outcome: 'not-run',
  revision: ctx.view.revision(),
  winner,
})

const replyToOutcome = (
  ctx: context.ControlContext,
  request: protocol.operatorApi.ApplyRulesRequest,
  outcome: controlState.Outcome,
): httpRouter.HttpReply => {
  const { expectedRevision, operator, text } = request
  switch (outcome.kind) {
    case 'rulesAccepted':
      return replies.ok({
        revision: outcome.revision,
        digest: rules.digestRules(operator, text),
      } satisfies protocol.operatorApi.ApplyRulesAnswer)
    case 'rulesConflict':
      return replies.refusal(409, conflictOf(ctx, expectedRevision, outcome.operator))
    case 'rulesTooOld':
      return replies.refusal(410, {
        error: 'too-old',
        detail: `revision ${expectedRevision} is older than the history, which starts at ${outcome.oldestRevision}; whether this change was accepted cannot be told`,
        outcome: 'unknown',
      })
    case 'rulesRefused':
      return replies.refusal(422, {
        error: 'refused',
        detail: outcome.errors.map((error) => error.message).join('\n'),
        outcome: 'not-run',
        mistakes: outcome.errors.map(({ line, message }) => ({ line, field: '', message })),
      } as protocol.operatorApi.RulesRefusedAnswer)
    default:
      return replies.refusal(409, conflictOf(ctx, expectedRevision, ''))
  }
}

const postRules = async (
  ctx: context.ControlContext,
  body: unknown,
): Promise<httpRouter.HttpReply> => {
  if (!ctx.term()) return replies.redirect(ctx)
  const parsed = schemas.parseBody(schemas.applyRules, body)
  if (parsed.isErr()) return parsed.error
  const result = await ctx.propose({ $case: 'applyRules', value: parsed.value })
  if (result.isErr()) return replies.proposeFailure(ctx, result.error)
  return replyToOutcome(ctx, parsed.value, result.value)
}

export const rulesRoutes = (ctx: context.ControlContext): readonly httpRouter.Route[] => [
  { method: 'GET', path: '/v1/rules', handle: () => getRules(ctx) },
  { method: 'POST', path: '/v1/rules', handle: ({ body }) => postRules(ctx, body) },
]
