/** Operator API: explains the state of a subject, with the rules and requesters responsible for it. */
import type * as controlState from '@ebonyweir/control-state'
import type * as protocol from '@ebonyweir/protocol'
import type * as context from './context.js'
import type * as httpRouter from './httpRouter.js'
import * as jobRoutes from './jobRoutes.js'
import type * as leaderTerm from './leaderTerm.js'
import * as replies from './replies.js'

type ExplainAnswer = protocol.operatorApi.ExplainAnswer
type Explanation = protocol.operatorApi.Explanation

const currentExplanation = (text: string, rule?: controlState.RuleSource): Explanation => ({
  atMs: 0,
  text,
  rule: rule && { key: rule.key, line: rule.line, requestedBy: rule.requestedBy },
})

const placementRulesFor = (
  view: controlState.ControlView,
  ...names: readonly string[]
): readonly Explanation[] =>
  view
    .rules()
    .placements.filter((rule) => names.some((name) => globMatches(rule.match, name)))
    .map((rule) => {
      const domains = rule.failureDomains.join(', ') || 'any failure domain'
      return currentExplanation(`placement: ${domains}; spread over ${rule.spread}`, rule)
    })

const globMatches = (glob: string, name: string): boolean => {
  const pattern = glob
    .split('*')
    .map((part) => part.replace(/[.*+?^${}()|[\]\\]/gu, '\\$&'))
    .join('.*')
  return new RegExp(`^${pattern}$`, 'u').test(name)
}

const explainJob = (
  ctx: context.ControlContext,
  job: controlState.JobView,
): Omit<ExplainAnswer, 'subject'> => {
  const summary = jobRoutes.summarizeJob(ctx, job)
  const team = ctx.view.rules().teams.get(job.team)
  return {
    subjectKind: 'job',
    state: summary.state,
    explanations: [
      currentExplanation(
        `${job.completedTasks} of ${job.tasks} tasks completed, ${job.assignedTasks} assigned, ${job.failedTasks} failed, ${job.evictions} evictions`,
      ),
      currentExplanation(team ? `team ${job.team}` : `team ${job.team} has no rule`, team),
      ...placementRulesFor(ctx.view, job.job, job.kind),
    ],
  }
}

const explainTask = (task: controlState.TaskView): Omit<ExplainAnswer, 'subject'> => ({
  subjectKind: 'task',
  state: task.worker === '' ? 'waiting' : 'assigned',
  explanations: [
    currentExplanation(
      task.worker === ''
        ? `attempt ${task.attempt} waits for a worker`
        : `attempt ${task.attempt} is assigned to ${task.worker}`,
    ),
    currentExplanation(
      `${task.failures} failures; checkpoint ${task.checkpoint === '' ? 'none' : task.checkpoint}`,
    ),
  ],
})

const explainService = (
  ctx: context.ControlContext,
  service: controlState.ServiceView,
): Omit<ExplainAnswer, 'subject'> => {
  const guard = ctx.view.rules().guards.get(service.service)
  return {
    subjectKind: 'service',
    state: service.rule ? 'active' : 'removed',
    explanations: [
      currentExplanation(
        `${service.activeRunners} of ${service.rule?.runners ?? 0} runners assigned where the failure domain is in`,
        service.rule,
      ),
      ...(guard
        ? [currentExplanation(`guarded: slowdown at most ${guard.maxSlowdown}`, guard)]
        : []),
      ...placementRulesFor(ctx.view, service.service),
    ],
  }
}

const explainFailureDomain = (
  ctx: context.ControlContext,
  failureDomain: string,
): Omit<ExplainAnswer, 'subject'> => {
  const rule = ctx.view.rules().failureDomains.get(failureDomain)
  return {
    subjectKind: 'failure domain',
    state: rule?.state ?? 'in',
    explanations: [
      currentExplanation(rule ? `taken ${rule.state}` : 'no rule takes it out', rule),
      currentExplanation(`${ctx.view.workersIn(failureDomain).size} workers`),
    ],
  }
}

const explainWorker = (
  ctx: context.ControlContext,
  worker: controlState.WorkerView,
): Omit<ExplainAnswer, 'subject'> => {
  const rule = ctx.view.rules().failureDomains.get(worker.failureDomain)
  return {
    subjectKind: 'worker',
    state: `${worker.tasks.size} tasks`,
    explanations: [
      currentExplanation(`failure domain ${worker.failureDomain} is ${rule?.state ?? 'in'}`, rule),
      currentExplanation(`${worker.failureStreak} failures since the last completed task`),
      currentExplanation(
        `free: ${worker.free.cpuMillis} cpuMillis, ${worker.free.memoryMb} memoryMb, ${worker.free.accelerators} accelerators`,
      ),
    ],
  }
}

const explainTeam = (
  ctx: context.ControlContext,
  team: controlState.TeamRule,
  name: string,
): Omit<ExplainAnswer, 'subject'> => {
  const used = ctx.view.teams().get(name)?.used
  return {
    subjectKind: 'team',
    state: 'active',
    explanations: [
      currentExplanation(
        `uses ${used?.cpuMillis ?? 0} of ${team.quota.cpuMillis} cpuMillis, ${used?.memoryMb ?? 0} of ${team.quota.memoryMb} memoryMb, ${used?.accelerators ?? 0} of ${team.quota.accelerators} accelerators`,
        team,
      ),
    ],
  }
}

const findSubject = (
  ctx: context.ControlContext,
  subject: string,
): Omit<ExplainAnswer, 'subject'> | undefined => {
  const { view } = ctx
  const job = view.job(subject)
  if (job) return explainJob(ctx, job)
  const task = view.task(subject)
  if (task) return explainTask(task)
  const service = view.service(subject)
  if (service) return explainService(ctx, service)
  const worker = view.worker(subject)
  if (worker) return explainWorker(ctx, worker)
  const team = view.rules().teams.get(subject)
  if (team) return explainTeam(ctx, team, subject)
  const isDomain = view.rules().failureDomains.has(subject) || view.workersIn(subject).size > 0
  return isDomain ? explainFailureDomain(ctx, subject) : undefined
}

const decisionsAbout = (term: leaderTerm.LeaderTerm, subject: string): readonly Explanation[] => [
  ...term.decisions.of(subject),
  ...term.decisions.of(`service/${subject}`),
]

const explain = (ctx: context.ControlContext, subject: string): httpRouter.HttpReply => {
  const term = ctx.term()
  if (!term) return replies.redirect(ctx)
  const found = findSubject(ctx, subject)
  if (!found)
    return replies.refusal(404, {
      error: 'unknown-subject',
      detail: `${subject} is no job, task, service, worker, team or failure domain`,
    })
  return replies.ok({
    subject,
    ...found,
    explanations: [...found.explanations, ...decisionsAbout(term, subject)],
  } satisfies ExplainAnswer)
}

export const explainRoutes = (ctx: context.ControlContext): readonly httpRouter.Route[] => [
  {
    method: 'GET',
    path: '/v1/explain',
    handle: ({ query }) => explain(ctx, query.get('subject') ?? ''),
  },
]
