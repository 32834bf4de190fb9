/** Answers operators who ask where a job would be placed now, and why. */
import * as protocol from '@ebonyweir/protocol'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as workflowState from '@ebonyweir/workflow-state'
import type * as context from './context.js'

const { CallOutcome } = protocol.workflow

/** Shortest time between two explanations, in milliseconds: each costs the leader a plan of all ready steps. */
const MIN_INTERVAL_MS = 250

type CallReply = protocol.workflow.CallReply
type ExplainReply = protocol.workflow.ExplainReply

export interface JobExplanationOptions {
  readonly ctx: context.ControlContext
  readonly queueFor: (host: string, path: string) => protocol.workflow.Queue | undefined
  /** Lines about the waiting tasks of a job; undefined without a term. */
  readonly explain: (job: workflowState.JobView) => readonly string[] | undefined
}

/** Creates the handler. It proposes no command, so the job that it explains is neither accepted nor refused. */
export const createJobExplanation = ({
  ctx,
  queueFor,
  explain,
}: JobExplanationOptions): ((request: protocol.workflow.SubmitRequest) => ExplainReply) => {
  let explainedMs = Number.NEGATIVE_INFINITY

  const reply = (
    outcome: protocol.workflow.CallOutcome,
    { lines = [], ...fields }: Partial<CallReply> & { readonly lines?: readonly string[] } = {},
  ): ExplainReply => ({
    reply: { outcome, hint: ctx.hint(), retryAfterMs: 0, detail: '', ...fields },
    lines: [...lines],
  })

  const viewOf = (
    spec: protocol.workflow.JobSpec,
    queue: protocol.workflow.Queue,
  ): workflowState.JobView | undefined =>
    ctx.view.jobs.get(spec.id) ?? scheduling.viewSubmission(spec, queue, Date.now())

  return ({ host, path, spec }) => {
    if (ctx.leadingTerm() === undefined) return reply(CallOutcome.NOT_LEADING)
    if (ctx.view.configuration === undefined) return reply(CallOutcome.UNCONFIGURED)
    if (spec === undefined) return reply(CallOutcome.INVALID, { detail: 'the job is missing' })
    const queue = queueFor(host, path)
    if (queue === undefined) return reply(CallOutcome.NO_QUEUE)
    const checked = workflowState.checkJobSpec(spec)
    if (checked.isErr()) return reply(CallOutcome.INVALID, { detail: checked.error })
    const now = ctx.nowMs()
    const retryAfterMs = explainedMs + MIN_INTERVAL_MS - now
    if (retryAfterMs > 0) return reply(CallOutcome.OVERLOADED, { retryAfterMs })
    const job = viewOf(spec, queue)
    const lines = job && explain(job)
    if (lines === undefined) return reply(CallOutcome.NOT_LEADING)
    explainedMs = ctx.nowMs()
    const known = ctx.view.jobs.has(spec.id)
    const first = `job ${spec.id} ${known ? 'is accepted' : 'is not submitted'}, queue ${queue.name}`
    return reply(CallOutcome.OK, { lines: [first, ...lines] })
  }
}
