/** Operator API: batch jobs. */
import type * as controlState from '@ebonyweir/control-state'
import type * as protocol from '@ebonyweir/protocol'
import type * as context from './context.js'
import type * as httpRouter from './httpRouter.js'
import * as replies from './replies.js'
import * as schemas from './schemas.js'

const MAX_TASK_STATES = 1_000

export const stateOf = (job: controlState.JobView): protocol.operatorApi.JobState => {
  if (job.state !== 'active') return job.state
  return job.assignedTasks > 0 ? 'running' : 'waiting'
}

/** Summary of a job, with the reason why it waits or failed, if any. */
export const summarizeJob = (
  ctx: context.ControlContext,
  job: controlState.JobView,
): protocol.operatorApi.JobSummary => {
  const unplaced = ctx.term()?.decision?.unplaced.find(({ subject }) => subject === job.job)
  const isActive = job.state === 'active'
  const failure = `${job.failedTasks} of ${job.tasks} tasks failed`
  const reason = unplaced?.never ? `can never run: ${unplaced.reason}` : (unplaced?.reason ?? '')
  return {
    job: job.job,
    team: job.team,
    kind: job.kind,
    state: stateOf(job),
    tasks: job.tasks,
    completedTasks: job.completedTasks,
    runningTasks: job.assignedTasks,
    submittedBy: job.submittedBy,
    reason: isActive ? reason : job.state === 'failed' ? failure : '',
    rule: isActive ? unplaced?.rule : undefined,
  }
}

const taskStatus = (
  ctx: context.ControlContext,
  job: controlState.JobView,
  number: number,
): protocol.operatorApi.TaskStatus => {
  const name = `${job.job}/${number}`
  const task = ctx.view.task(name)
  if (!task) {
    const isFresh = number >= job.nextFresh
    const ended = job.state === 'active' || job.state === 'completed' ? 'completed' : job.state
    const state = isFresh && job.state === 'active' ? 'waiting' : ended
    return { task: name, attempt: 0, state, worker: '', checkpoint: '', evictions: 0, failures: 0 }
  }
  const session = ctx.term()?.sessions.get(task.worker)
  const isRunning = session?.running.some(
    (running) => running.task === name && running.attempt === task.attempt,
  )
  const assigned = isRunning ? 'running' : 'assigned'
  return {
    task: name,
    attempt: task.attempt,
    state: task.worker === '' ? 'waiting' : assigned,
    worker: task.worker,
    checkpoint: task.checkpoint,
    evictions: 0,
    failures: task.failures,
  }
}

const getJob = (ctx: context.ControlContext, name: string): httpRouter.HttpReply => {
  if (!ctx.term()) return replies.redirect(ctx)
  const job = ctx.view.job(name)
  if (!job) return replies.refusal(404, { error: 'unknown-job', detail: `no job ${name}` })
  const numbers = Array.from({ length: Math.min(job.tasks, MAX_TASK_STATES) }, (_, n) => n)
  return replies.ok({
    ...summarizeJob(ctx, job),
    taskStates: numbers.map((number) => taskStatus(ctx, job, number)),
  } satisfies protocol.operatorApi.JobAnswer)
}

const listJobs = (ctx: context.ControlContext): httpRouter.HttpReply => {
  if (!ctx.term()) return replies.redirect(ctx)
  const jobs = [...ctx.view.jobs()].map((job) => summarizeJob(ctx, job))
  return replies.ok({ jobs } satisfies protocol.operatorApi.JobsAnswer)
}

const submitJob = async (
  ctx: context.ControlContext,
  body: unknown,
): Promise<httpRouter.HttpReply> => {
  if (!ctx.term()) return replies.redirect(ctx)
  const parsed = schemas.parseBody(schemas.submitJob, body)
  if (parsed.isErr()) return parsed.error
  const result = await ctx.propose({ $case: 'submitJob', value: parsed.value })
  if (result.isErr()) return replies.proposeFailure(ctx, result.error)
  const outcome = result.value
  if (outcome.kind === 'jobConflict')
    return replies.refusal(409, {
      error: 'conflict',
      detail: `job ${outcome.job} exists with other content`,
      outcome: 'not-run',
    })
  if (outcome.kind !== 'jobAccepted') {
    const detail = outcome.kind === 'refused' ? outcome.reason : 'the job was refused'
    return replies.refusal(422, { error: 'refused', detail, outcome: 'not-run' })
  }
  const job = ctx.view.job(outcome.job)
  if (job) return replies.ok(summarizeJob(ctx, job))
  return replies.refusal(410, {
    error: 'ended',
    detail: `job ${outcome.job} was accepted and has ended; its record is no longer kept`,
  })
}

const CANCEL_RESULTS = {
  cancelled: 'cancelled',
  'already ended': 'already-ended',
  'unknown job': 'unknown-job',
} as const

const cancelJobs = async (
  ctx: context.ControlContext,
  body: unknown,
): Promise<httpRouter.HttpReply> => {
  if (!ctx.term()) return replies.redirect(ctx)
  const parsed = schemas.parseBody(schemas.cancelJobs, body)
  if (parsed.isErr()) return parsed.error
  const result = await ctx.propose({ $case: 'cancelJobs', value: parsed.value })
  if (result.isErr()) return replies.proposeFailure(ctx, result.error)
  const outcome = result.value
  if (outcome.kind !== 'jobsCancelled')
    return replies.refusal(422, { error: 'refused', detail: outcome.kind, outcome: 'not-run' })
  return replies.ok({
    results: outcome.results.map(({ job, result: name }) => ({
      job,
      result: CANCEL_RESULTS[name],
    })),
  } satisfies protocol.operatorApi.CancelJobsAnswer)
}

export const jobRoutes = (ctx: context.ControlContext): readonly httpRouter.Route[] => [
  { method: 'GET', path: '/v1/jobs', handle: () => listJobs(ctx) },
  { method: 'POST', path: '/v1/jobs', handle: ({ body }) => submitJob(ctx, body) },
  { method: 'POST', path: '/v1/jobs/cancel', handle: ({ body }) => cancelJobs(ctx, body) },
  {
    method: 'GET',
    path: '/v1/jobs/{job}',
    handle: ({ params }) => getJob(ctx, params.job ?? ''),
  },
]
