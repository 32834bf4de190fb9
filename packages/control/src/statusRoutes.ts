/** Operator API: status and service-level objectives of the cell. */
import type * as controlState from '@ebonyweir/control-state'
import type * as protocol from '@ebonyweir/protocol'
import * as rules from '@ebonyweir/rules'
import * as scheduling from '@ebonyweir/scheduling'
import type * as context from './context.js'
import type * as httpRouter from './httpRouter.js'
import * as jobRoutes from './jobRoutes.js'
import type * as leaderTerm from './leaderTerm.js'
import * as replies from './replies.js'

/** Time without a sync after which a worker has the state `silent`. */
const SILENT_AFTER_MS = 3_000

const referenceOf = (rule: controlState.RuleSource): protocol.operatorApi.RuleReference => ({
  key: rule.key,
  line: rule.line,
  requestedBy: rule.requestedBy,
})

const endpointCounts = (
  term: leaderTerm.LeaderTerm,
  matches: (
    agent: protocol.control.AgentRecord,
    endpoint: protocol.control.EndpointRecord,
  ) => boolean,
): { readonly all: number; readonly leaving: number } => {
  const endpoints = term.directory
    .agents()
    .flatMap((agent) => agent.endpoints.filter((endpoint) => matches(agent, endpoint)))
  return { all: endpoints.length, leaving: endpoints.filter((e) => e.leaving).length }
}

const failureDomainStatus = (
  ctx: context.ControlContext,
  term: leaderTerm.LeaderTerm,
  failureDomain: string,
): protocol.operatorApi.FailureDomainStatus => {
  const rule = ctx.view.rules().failureDomains.get(failureDomain)
  const workers = [...ctx.view.workersIn(failureDomain)]
  const tasks = workers.map((worker) => ctx.view.worker(worker)?.tasks.size ?? 0)
  return {
    failureDomain,
    state: rule?.state ?? 'in',
    rule: rule && referenceOf(rule),
    workers: workers.length,
    runningTasks: tasks.reduce((sum, size) => sum + size, 0),
    endpoints: endpointCounts(term, (agent) => agent.failureDomain === failureDomain).all,
  }
}

const runningRunners = (term: leaderTerm.LeaderTerm, service: controlState.ServiceView): number =>
  [...service.tasks.values()].filter((task) =>
    term.sessions
      .get(task.worker)
      ?.running.some((r) => r.task === task.task && r.attempt === task.attempt),
  ).length

const serviceStatus = (
  term: leaderTerm.LeaderTerm,
  service: controlState.ServiceView,
): readonly protocol.operatorApi.ServiceStatus[] => {
  const { rule } = service
  if (!rule) return []
  const endpoints = endpointCounts(term, (_agent, e) => e.service === service.service)
  return [
    {
      service: service.service,
      wantedRunners: rule.runners,
      runningRunners: runningRunners(term, service),
      endpoints: endpoints.all,
      leavingEndpoints: endpoints.leaving,
      rule: referenceOf(rule),
    },
  ]
}

const workerState = (
  ctx: context.ControlContext,
  term: leaderTerm.LeaderTerm,
  worker: controlState.WorkerView,
): protocol.operatorApi.WorkerStatus['state'] => {
  const nowMs = ctx.nowMs()
  if (term.sessions.isLost(worker.worker, nowMs)) return 'lost'
  const lastSyncAtMs = term.sessions.get(worker.worker)?.lastSyncAtMs ?? term.electedAtMs
  if (nowMs - lastSyncAtMs > SILENT_AFTER_MS) return 'silent'
  return scheduling.isQuarantined(worker) ? 'quarantined' : 'ready'
}

const workerStatus = (
  ctx: context.ControlContext,
  term: leaderTerm.LeaderTerm,
  worker: controlState.WorkerView,
): protocol.operatorApi.WorkerStatus => ({
  worker: worker.worker,
  failureDomain: worker.failureDomain,
  rack: worker.rack,
  incarnation: worker.incarnation,
  state: workerState(ctx, term, worker),
  capacity: worker.capacity,
  committed: {
    cpuMillis: worker.capacity.cpuMillis - worker.free.cpuMillis,
    memoryMb: worker.capacity.memoryMb - worker.free.memoryMb,
    accelerators: worker.capacity.accelerators - worker.free.accelerators,
  },
  runningTasks: worker.tasks.size,
})

const jobCounts = (ctx: context.ControlContext): protocol.operatorApi.StatusAnswer['jobs'] => {
  const counts = { waiting: 0, running: 0, completed: 0, failed: 0, cancelled: 0 }
  for (const job of ctx.view.jobs()) counts[jobRoutes.stateOf(job)] += 1
  return counts
}

const NO_RESOURCES = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }

const status = (ctx: context.ControlContext): httpRouter.HttpReply => {
  const term = ctx.term()
  if (!term) return replies.redirect(ctx)
  const set = ctx.view.rules()
  const domains = new Set([...ctx.view.failureDomains(), ...set.failureDomains.keys()])
  const answer: protocol.operatorApi.StatusAnswer = {
    cell: ctx.options.cell,
    leader: ctx.replica.id,
    term: term.term,
    revision: ctx.view.revision(),
    failureDomains: [...domains].sort().map((name) => failureDomainStatus(ctx, term, name)),
    services: [...ctx.view.services()].flatMap((service) => serviceStatus(term, service)),
    teams: [...set.teams].map(([team, rule]) => ({
      team,
      used: ctx.view.teams().get(team)?.used ?? NO_RESOURCES,
      quota: rule.quota,
      rule: referenceOf(rule),
    })),
    workers: [...ctx.view.workers()].map((worker) => workerStatus(ctx, term, worker)),
    processes: [...term.processes.values()].map(
      ({ role, name, failureDomain, revision, httpAddress }) => ({
        role,
        name,
        failureDomain,
        revision,
        httpAddress,
      }),
    ),
    jobs: jobCounts(ctx),
    waiting: (term.decision?.unplaced ?? []).map(({ subject, reason, never, rule }) => ({
      subject,
      reason: never ? `can never run: ${reason}` : reason,
      rule: rule && referenceOf(rule),
    })),
  }
  return replies.ok(answer)
}

const objectivesOf = (
  ctx: context.ControlContext,
): readonly protocol.operatorApi.ServiceObjective[] => {
  const parsed = rules.parseRules(ctx.view.rulesText().text, 'rules')
  if (parsed.isErr()) return []
  return [...parsed.value.services].map(([service, rule]) => ({
    service,
    objective: rule.objective,
    targetMs: rule.targetMs,
    rule: referenceOf(rule),
  }))
}

const burn = (ctx: context.ControlContext): httpRouter.HttpReply => {
  const term = ctx.term()
  if (!term) return replies.redirect(ctx)
  return replies.ok({
    cell: ctx.options.cell,
    role: 'control',
    name: ctx.options.name,
    nowMs: Date.now(),
    objectives: objectivesOf(ctx),
    buckets: term.burn.all(),
  } satisfies protocol.operatorApi.BurnAnswer)
}

export const statusRoutes = (ctx: context.ControlContext): readonly httpRouter.Route[] => [
  { method: 'GET', path: '/v1/status', handle: () => status(ctx) },
  { method: 'GET', path: '/v1/burn', handle: () => burn(ctx) },
]
