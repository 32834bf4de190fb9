/** Choice of a worker for one task: the scored policy and its simple baselines. */
import * as controlState from '@ebonyweir/control-state'
import type * as budgets from './budgets.js'
import * as candidates from './candidates.js'
import type * as interference from './interference.js'
import type * as options from './options.js'
import type * as plans from './plan.js'
import type * as types from './types.js'
import type * as waiting from './waiting.js'

export interface Placer {
  /** The worker for the task; undefined if none that was looked at can take it. */
  readonly choose: (
    plan: plans.Plan,
    task: waiting.WaitingTask,
  ) => controlState.WorkerView | undefined
}

/** First worker in the order of registration. Looks at every worker. */
export class FirstFitPlacer implements Placer {
  choose(plan: plans.Plan, task: waiting.WaitingTask): controlState.WorkerView | undefined {
    for (const worker of plan.view.workers()) if (plan.canPlace(worker, task)) return worker
    return undefined
  }
}

/** Any of the sampled workers. */
export class RandomPlacer implements Placer {
  constructor(private readonly random: types.Random) {}

  choose(plan: plans.Plan, task: waiting.WaitingTask): controlState.WorkerView | undefined {
    const found = candidates.sampleCandidates(plan, task, this.random)
    return found[Math.floor(this.random() * found.length)]
  }
}

/** Next worker in the order of registration after the last one used. Looks at every worker. */
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

/** Weight of runners of one service on the same worker, rack and failure domain. */
const RUNNER_SPREAD = { worker: 6, rack: 2, failureDomain: 3 } as const

/** Weight of tasks of one job in the same place, where a placement rule asks for spread. */
const JOB_SPREAD = 1

/** Prefers workers that are fuller, so that large tasks keep finding room. */
const TIGHT_FIT = 0.05

/** Weight of a slowdown beyond what a guard allows: it is answered by a throttle or an eviction. */
const OVER_BUDGET = 4

/** Expected rise beyond a guard's limit above which a task waits for a quieter worker. */
const DEFER_ABOVE = 0.05

/** Longest time for which a job waits for a quieter worker, in milliseconds. */
const MAX_DEFER_MS = 20_000

/** Lowest expected harm, spread and waste among a bounded sample of workers. */
export class ScoredPlacer implements Placer {
  constructor(
    private readonly random: types.Random,
    private readonly parts: options.PolicyParts,
    private readonly model: interference.Interference,
    private readonly budgets: budgets.Budgets,
  ) {}

  choose(plan: plans.Plan, task: waiting.WaitingTask): controlState.WorkerView | undefined {
    let best: controlState.WorkerView | undefined
    let bestCost = Number.POSITIVE_INFINITY
    const mayDefer = this.parts.deferral && this.mayDefer(plan, task)
    for (const worker of candidates.sampleCandidates(plan, task, this.random)) {
      if (mayDefer && this.overBudget(plan, task, worker) > DEFER_ABOVE) continue
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
    return TIGHT_FIT * free + spread + harm
  }

  private spreadCost(
    plan: plans.Plan,
    task: waiting.WaitingTask,
    worker: controlState.WorkerView,
  ): number {
    const keys = controlState.placeKeys(worker)
    const countAt = (key: string): number => plan.countAt(task, key)
    if (task.service !== undefined) {
      const perRunner = 1 / Math.max(1, task.service.rule?.runners ?? 1)
      const { failureDomain, rack } = RUNNER_SPREAD
      const places = countAt(keys.failureDomain) * failureDomain + countAt(keys.rack) * rack
      return (places + countAt(keys.worker) * RUNNER_SPREAD.worker) * perRunner
    }
    const rules = controlState.placement.placementRulesFor(plan.view.rules(), task.names)
    const perTask = JOB_SPREAD / (1 + (task.job?.assignedTasks ?? 0))
    return rules.reduce((sum, { spread }) => {
      if (spread === 'none') return sum
      return sum + countAt(keys[spread]) * perTask
    }, 0)
  }

  /** Expected harm to and by what runs on the worker. */
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
    harm += OVER_BUDGET * this.overBudget(plan, task, worker)
    for (const [service, load] of profile.loads) {
      const added = this.model.coefficient(`service/${service}`, load, kind).mean * share
      harm += weighting.tail * added
    }
    return harm
  }

  /** Expected rise beyond what the guards of the worker's services accept. */
  private overBudget(
    plan: plans.Plan,
    task: waiting.WaitingTask,
    worker: controlState.WorkerView,
  ): number {
    const profile = plan.soft.workers.get(worker.worker)?.profile
    if (profile === undefined || task.job === undefined) return 0
    const { kind } = task.job
    const share = task.resources.cpuMillis / Math.max(1, worker.capacity.cpuMillis)
    const after = new Map(profile.shares).set(kind, (profile.shares.get(kind) ?? 0) + share)
    let over = 0
    for (const [service, load] of profile.loads) {
      const budget = this.budgets.budgetOf(plan.view.rules(), service)
      const { mean, deviation } = this.model.estimate(`service/${service}`, load, after)
      const expected = mean + budget.caution * deviation
      const before = this.model.estimate(`service/${service}`, load, profile.shares).mean
      // What runs there already is the guard's matter; the task is held for its own part only.
      over = Math.max(over, Math.min(expected - budget.limit, expected - before))
    }
    return over
  }

  /** Harmful work may wait for a quieter worker while other work takes the room, but not for long. */
  private mayDefer(plan: plans.Plan, task: waiting.WaitingTask): boolean {
    if (task.job === undefined || task.job.urgent) return false
    const sinceMs = plan.waitingSinceMs(task.subject)
    return sinceMs === undefined || plan.nowMs - sinceMs < MAX_DEFER_MS
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
  model: interference.Interference,
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
