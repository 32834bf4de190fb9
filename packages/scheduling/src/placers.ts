/** Worker selection for one task: the scored policy and simple baselines. */
import * as controlState from '@ebonyweir/control-state'
import type * as budgets from './budgets.js'
import * as candidates from './candidates.js'
import type * as interference from './interference.js'
import type * as options from './options.js'
import type * as plans from './plan.js'
import type * as types from './types.js'
import type * as waiting from './waiting.js'

export interface Placer {
  /** The worker for the task; undefined if none of the inspected workers can take it. */
  readonly choose: (
    plan: plans.Plan,
    task: waiting.WaitingTask,
  ) => controlState.WorkerView | undefined
}

/** First worker in registration order. Inspects all workers. */
export class FirstFitPlacer implements Placer {
  choose(plan: plans.Plan, task: waiting.WaitingTask): controlState.WorkerView | undefined {
    for (const worker of plan.view.workers()) if (plan.canPlace(worker, task)) return worker
    return undefined
  }
}

/** Random worker from the sample. */
export class RandomPlacer implements Placer {
  constructor(private readonly random: types.Random) {}

  choose(plan: plans.Plan, task: waiting.WaitingTask): controlState.WorkerView | undefined {
    const sampled = candidates.sampleCandidates(plan, task, this.random)
    return sampled[Math.floor(this.random() * sampled.length)]
  }
}

/** Next worker in registration order after the last one used. Inspects all workers. */
export class RoundRobinPlacer implements Placer {
  private next = 0

  choose(plan: plans.Plan, task: waiting.WaitingTask): controlState.WorkerView | undefined {
    const workers = [...plan.view.workers()]
    for (let tried = 0; tried < workers.length; tried += 1) {
      const worker = workers[(this.next + tried) % workers.length]
      if (worker === undefined || !plan.canPlace(worker, task)) continue
      this.next = (this.next + tried + 1) % workers.length
      return worker
    }
    return undefined
  }
}

/** Cost of placing runners of one service on the same worker, rack or failure domain. */
const RUNNER_SPREAD_WEIGHTS = { worker: 6, rack: 2, failureDomain: 3 } as const

/** Cost of placing tasks of one job together where a placement rule requires spread. */
const JOB_SPREAD_WEIGHT = 1

/** Cost of free CPU: prefers fuller workers, which keeps capacity free for large tasks. */
const TIGHT_FIT_WEIGHT = 0.05

/** Weight of a slowdown beyond a guard's limit, since it leads to throttling or eviction. */
const OVER_BUDGET_WEIGHT = 4

/** Expected rise beyond a guard's limit above which placement of a task is deferred. */
const DEFERRAL_THRESHOLD = 0.05

/** Maximum time for which a job's placement is deferred. */
const MAX_DEFERRAL_MS = 20_000

/** Worker with the lowest cost for interference, spread and unused capacity in a bounded sample. */
export class ScoredPlacer implements Placer {
  constructor(
    private readonly random: types.Random,
    private readonly parts: options.PolicyParts,
    private readonly model: interference.InterferenceModel,
    private readonly budgets: budgets.Budgets,
  ) {}

  choose(plan: plans.Plan, task: waiting.WaitingTask): controlState.WorkerView | undefined {
    let best: controlState.WorkerView | undefined
    let bestCost = Number.POSITIVE_INFINITY
    const mayDefer = this.parts.deferral && this.mayDefer(plan, task)
    for (const worker of candidates.sampleCandidates(plan, task, this.random)) {
      if (mayDefer && this.budgetExcess(plan, task, worker) > DEFERRAL_THRESHOLD) continue
      const cost = this.costOf(plan, task, worker)
      if (cost >= bestCost) continue
      best = worker
      bestCost = cost
    }
    return best
  }

  private costOf(
    plan: plans.Plan,
    task: waiting.WaitingTask,
    worker: controlState.WorkerView,
  ): number {
    const free = plan.freeOf(worker).cpuMillis / Math.max(1, worker.capacity.cpuMillis)
    const spread = this.parts.spread ? this.spreadCost(plan, task, worker) : 0
    const harm = this.parts.interferencePlacement ? this.harmOf(plan, task, worker) : 0
    return TIGHT_FIT_WEIGHT * free + spread + harm
  }

  private spreadCost(
    plan: plans.Plan,
    task: waiting.WaitingTask,
    worker: controlState.WorkerView,
  ): number {
    const keys = controlState.topologyKeys(worker)
    const countAt = (key: string): number => plan.countAt(task, key)
    if (task.service !== undefined) {
      const perRunner = 1 / Math.max(1, task.service.rule?.runners ?? 1)
      const { failureDomain, rack } = RUNNER_SPREAD_WEIGHTS
      const topologyCost = countAt(keys.failureDomain) * failureDomain + countAt(keys.rack) * rack
      return (topologyCost + countAt(keys.worker) * RUNNER_SPREAD_WEIGHTS.worker) * perRunner
    }
    const rules = controlState.placement.placementRulesFor(plan.view.rules(), task.names)
    const perTask = JOB_SPREAD_WEIGHT / (1 + (task.job?.assignedTasks ?? 0))
    return rules.reduce((sum, { spread }) => {
      if (spread === 'none') return sum
      return sum + countAt(keys[spread]) * perTask
    }, 0)
  }

  /** Expected interference between the task and the tasks on the worker. */
  private harmOf(
    plan: plans.Plan,
    task: waiting.WaitingTask,
    worker: controlState.WorkerView,
  ): number {
    const profile = plan.soft.workers.get(worker.worker)?.profile
    if (profile === undefined) return 0
    const { weighting } = plan.view.rules()
    if (task.service !== undefined) {
      const { service } = task.service
      const { mean } = this.model.estimate(`service/${service}`, 0.5, profile.shares)
      return weighting.tail * mean
    }
    const kind = task.job?.kind ?? ''
    const share = task.resources.cpuMillis / Math.max(1, worker.capacity.cpuMillis)
    let harm = this.batchHarm(profile.shares, kind, share) * weighting.throughput
    harm += OVER_BUDGET_WEIGHT * this.budgetExcess(plan, task, worker)
    for (const [service, load] of profile.loads) {
      const added = this.model.coefficient(`service/${service}`, load, kind).mean * share
      harm += weighting.tail * added
    }
    return harm
  }

  /** Expected rise beyond the limits of the services on the worker. */
  private budgetExcess(
    plan: plans.Plan,
    task: waiting.WaitingTask,
    worker: controlState.WorkerView,
  ): number {
    const profile = plan.soft.workers.get(worker.worker)?.profile
    if (profile === undefined || task.job === undefined) return 0
    const { kind } = task.job
    const share = task.resources.cpuMillis / Math.max(1, worker.capacity.cpuMillis)
    const after = new Map(profile.shares).set(kind, (profile.shares.get(kind) ?? 0) + share)
    let excess = 0
    for (const [service, load] of profile.loads) {
      const budget = this.budgets.budgetOf(plan.view.rules(), service)
      const { mean, deviation } = this.model.estimate(`service/${service}`, load, after)
      const expected = mean + budget.safetyDeviations * deviation
      const before = this.model.estimate(`service/${service}`, load, profile.shares).mean
      // The guard handles tasks that already run; only the task's own contribution counts here.
      excess = Math.max(excess, Math.min(expected - budget.limit, expected - before))
    }
    return excess
  }

  /** Whether the task may wait, for a bounded time, for a worker where it interferes less. */
  private mayDefer(plan: plans.Plan, task: waiting.WaitingTask): boolean {
    if (task.job === undefined || task.job.urgent) return false
    const sinceMs = plan.waitingSinceMs(task.subject)
    return sinceMs === undefined || plan.nowMs - sinceMs < MAX_DEFERRAL_MS
  }

  private batchHarm(shares: interference.KindShares, kind: string, share: number): number {
    let harm = this.model.estimate(`batch/${kind}`, 0, shares).mean
    for (const [other, otherShare] of shares) {
      const { mean } = this.model.coefficient(`batch/${other}`, 0, kind)
      harm += mean * share * Math.min(1, otherShare / Math.max(share, 0.01))
    }
    return harm
  }
}

export const createPlacer = (
  resolved: options.ResolvedSchedulerOptions,
  model: interference.InterferenceModel,
  budget: budgets.Budgets,
): Placer => {
  switch (resolved.parts.placement) {
    case 'scored':
      return new ScoredPlacer(resolved.random, resolved.parts, model, budget)
    case 'firstFit':
      return new FirstFitPlacer()
    case 'random':
      return new RandomPlacer(resolved.random)
    case 'roundRobin':
      return new RoundRobinPlacer()
  }
}
