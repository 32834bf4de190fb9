/**
 * Guards of latency-critical services: batch tasks on the same worker are throttled to what the guard
 * rule allows, most harmful first, and evicted if throttling to the floor is not enough.
 */
import type * as controlState from '@ebonyweir/control-state'
import type * as budgets from './budgets.js'
import type * as interference from './interference.js'
import type * as options from './options.js'
import * as softState from './softState.js'
import * as victims from './victims.js'

/** Time for which throttling to the floor must be insufficient before a task is evicted. */
const EVICT_AFTER_MS = 12_000

/** Minimum time between two guard evictions on one worker. */
const MIN_EVICTION_INTERVAL_MS = 10_000

/** Minimum time before a throttle is relaxed; tightening is immediate. */
const MIN_RELAX_INTERVAL_MS = 4_000

/** Granularity of throttles; smaller changes are not sent. */
const THROTTLE_STEP_PERCENT = 5

/** A throttle is relaxed by at least this much, unless it is lifted. */
const MIN_RELAX_PERCENT = 10

/** Excess over the accepted rise of log latency below which no task is evicted. */
const TOLERATED_EXCESS_RISE = 0.03

const FULL_PERCENT = 100

/** CPU demand above which a worker is overloaded; reported usage has an error of some percent. */
const OVERLOADED_SHARE = 1.03

/** Demand relative to the declared size above which a task counts as larger than declared. */
const OVERUSE_FACTOR = 1.2

interface Aggressor {
  readonly task: controlState.TaskView
  readonly share: number
  /** Rise of the logarithm of the service's latency per share of the machine used. */
  readonly harm: number
}

interface ThrottlePlan {
  readonly percents: ReadonlyMap<controlState.TaskView, number>
  readonly excess: number
  readonly rule: controlState.GuardRule
  readonly aggressors: readonly Aggressor[]
}

export interface Guard {
  /** Updates throttles and evictions of one worker after its report. */
  readonly review: (
    view: controlState.ControlView,
    worker: controlState.WorkerView,
    state: softState.WorkerState,
    nowMs: number,
  ) => void
}

export const createGuard = (
  parts: options.PolicyParts,
  soft: softState.SoftState,
  model: interference.InterferenceModel,
  budget: budgets.Budgets,
): Guard => {
  const aggressorsOf = (
    view: controlState.ControlView,
    worker: controlState.WorkerView,
    state: softState.WorkerState,
    service: string,
    load: number,
  ): Aggressor[] => {
    const aggressors: Aggressor[] = []
    for (const task of worker.tasks.values()) {
      if (task.kind !== 'batch' || soft.evictions.has(task.task)) continue
      const kind = view.job(task.owner)?.kind ?? ''
      const share = softState.demandShareOf(worker, task, state.running.get(task.task))
      const { mean } = model.coefficient(`service/${service}`, load, kind)
      aggressors.push({ task, share, harm: mean })
    }
    return aggressors.sort((a, b) => b.harm - a.harm)
  }

  const planThrottles = (
    view: controlState.ControlView,
    worker: controlState.WorkerView,
    state: softState.WorkerState,
    service: string,
    load: number,
  ): ThrottlePlan | undefined => {
    const { limit, safetyDeviations, rule } = budget.budgetOf(view.rules(), service)
    if (rule === undefined) return undefined
    const aggressors = aggressorsOf(view, worker, state, service, load)
    const { deviation } = model.estimate(`service/${service}`, load, state.profile.shares)
    const residual = state.guards.get(service)?.residual ?? 0
    const expected = aggressors.reduce((sum, { share, harm }) => sum + share * harm, 0)
    let excess = expected + safetyDeviations * deviation + residual - limit
    const percents = new Map<controlState.TaskView, number>()
    const floor = rule.throttleFloorPercent / FULL_PERCENT
    for (const { task, share, harm } of aggressors) {
      if (excess <= 0) break
      const harmOfTask = share * harm
      if (harmOfTask <= 0) break
      const cut = Math.min(excess, harmOfTask * (1 - floor))
      percents.set(task, FULL_PERCENT * (1 - cut / harmOfTask))
      excess -= cut
    }
    return { percents, excess, rule, aggressors }
  }

  const setThrottle = (task: controlState.TaskView, targetPercent: number, nowMs: number): void => {
    const known = soft.throttles.get(task.task)
    const current = known?.attempt === task.attempt ? known.cpuPercent : FULL_PERCENT
    const rounded = Math.max(
      1,
      Math.floor(targetPercent / THROTTLE_STEP_PERCENT) * THROTTLE_STEP_PERCENT,
    )
    const isTighter = rounded < current
    const mayRelax =
      nowMs - (known?.changedAtMs ?? nowMs) >= MIN_RELAX_INTERVAL_MS &&
      (rounded >= current + MIN_RELAX_PERCENT || (rounded >= FULL_PERCENT && rounded > current))
    if (!isTighter && !mayRelax) return
    if (rounded >= FULL_PERCENT) {
      soft.throttles.delete(task.task)
      return
    }
    const { task: id, attempt, worker } = task
    soft.throttles.set(id, { task: id, attempt, worker, cpuPercent: rounded, changedAtMs: nowMs })
  }

  const evictOne = (
    view: controlState.ControlView,
    state: softState.WorkerState,
    { aggressors, rule }: ThrottlePlan,
    nowMs: number,
  ): void => {
    const worst = Math.max(...aggressors.map(({ share, harm }) => share * harm))
    const harmful = aggressors.filter(({ share, harm }) => share * harm >= worst / 2)
    const tasks = harmful.map(({ task }) => task)
    const victim = victims.sortVictims(view, tasks, parts.victim)[0]
    if (victim === undefined) return
    state.lastEvictionMs = nowMs
    state.throttleInsufficientSinceMs = undefined
    const { task, attempt, worker } = victim
    soft.evictions.set(task, { task, attempt, worker, reason: 'guard', rule })
  }

  /** On an overloaded worker, caps tasks that exceed their declared size to that size. */
  const capToDeclared = (
    worker: controlState.WorkerView,
    state: softState.WorkerState,
  ): Map<controlState.TaskView, number> => {
    const capacity = Math.max(1, worker.capacity.cpuMillis)
    const percents = new Map<controlState.TaskView, number>()
    const demands = [...worker.tasks.values()].map((task) => ({
      task,
      declared: task.resources.cpuMillis / capacity,
      demand: softState.demandShareOf(worker, task, state.running.get(task.task)),
    }))
    let excess = demands.reduce((sum, { demand }) => sum + demand, 0) - OVERLOADED_SHARE
    const largestFirst = demands
      .filter(
        ({ task, demand, declared }) => task.kind === 'batch' && demand > declared * OVERUSE_FACTOR,
      )
      .sort((a, b) => b.demand - b.declared - (a.demand - a.declared))
    for (const { task, demand, declared } of largestFirst) {
      if (excess <= 0) break
      const cut = Math.min(excess, demand - declared)
      percents.set(task, FULL_PERCENT * (1 - cut / demand))
      excess -= cut
    }
    return percents
  }

  const review: Guard['review'] = (view, worker, state, nowMs) => {
    const throttlePlans: ThrottlePlan[] = []
    for (const [service, load] of state.profile.loads) {
      const throttlePlan = planThrottles(view, worker, state, service, load)
      if (throttlePlan !== undefined) throttlePlans.push(throttlePlan)
    }
    const declaredCaps = capToDeclared(worker, state)
    for (const task of worker.tasks.values()) {
      if (task.kind !== 'batch') continue
      const percents = throttlePlans.map(({ percents: map }) => map.get(task) ?? FULL_PERCENT)
      setThrottle(task, Math.min(declaredCaps.get(task) ?? FULL_PERCENT, ...percents), nowMs)
    }
    const insufficientPlan = throttlePlans.find(({ excess }) => excess > TOLERATED_EXCESS_RISE)
    if (insufficientPlan === undefined || insufficientPlan.aggressors.length === 0) {
      state.throttleInsufficientSinceMs = undefined
      return
    }
    state.throttleInsufficientSinceMs ??= nowMs
    const isPersistent = nowMs - state.throttleInsufficientSinceMs >= EVICT_AFTER_MS
    if (isPersistent && nowMs - state.lastEvictionMs >= MIN_EVICTION_INTERVAL_MS)
      evictOne(view, state, insufficientPlan, nowMs)
  }

  return { review }
}
