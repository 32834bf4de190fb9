/**
 * Guards of latency-critical services: batch tasks beside them are throttled to what the service's
 * target allows, the most harmful first, and evicted when throttling to the floor is not enough.
 */
import type * as controlState from '@ebonyweir/control-state'
import type * as budgets from './budgets.js'
import type * as interference from './interference.js'
import type * as options from './options.js'
import * as softState from './softState.js'
import * as victims from './victims.js'

/** Time for which throttling to the floor has to be insufficient before a task is evicted. */
const EVICT_AFTER_MS = 12_000

/** Least time between two evictions for a guard on one worker. */
const EVICTION_DWELL_MS = 10_000

/** Least time before a throttle is relaxed; it is tightened at once. */
const RELAX_DWELL_MS = 4_000

/** Steps of a throttle; smaller changes are not sent. */
const STEP_PERCENT = 5

/** A throttle is relaxed only if at least this much more is allowed. */
const RELAX_PERCENT = 10

/** Rise of the logarithm beyond the accepted one that is left to the throttles. */
const TOLERATED_EXCESS = 0.03

const FULL_PERCENT = 100

/** Used share above which a worker is overloaded; reported usage is off by some percent. */
const OVERLOADED_SHARE = 1.03

/** Use relative to the declared size from which a task counts as larger than declared. */
const OVERUSE = 1.2

interface Aggressor {
  readonly task: controlState.TaskView
  readonly share: number
  /** Rise of the logarithm of the latency per share of the machine. */
  readonly harm: number
}

interface Wanted {
  readonly percents: ReadonlyMap<controlState.TaskView, number>
  readonly excess: number
  readonly rule: controlState.GuardRule
  readonly aggressors: readonly Aggressor[]
}

export interface Guard {
  /** Reviews one worker after its report. */
  readonly review: (
    view: controlState.ControlView,
    worker: controlState.WorkerView,
    memory: softState.WorkerMemory,
    nowMs: number,
  ) => void
}

export const createGuard = (
  parts: options.PolicyParts,
  soft: softState.SoftState,
  model: interference.Interference,
  budget: budgets.Budgets,
): Guard => {
  const aggressorsOf = (
    view: controlState.ControlView,
    worker: controlState.WorkerView,
    memory: softState.WorkerMemory,
    service: string,
    load: number,
  ): Aggressor[] => {
    const found: Aggressor[] = []
    for (const task of worker.tasks.values()) {
      if (task.kind !== 'batch' || soft.evictions.has(task.task)) continue
      const kind = view.job(task.owner)?.kind ?? ''
      const share = softState.demandShareOf(worker, task, memory.running.get(task.task))
      const { mean } = model.coefficient(`service/${service}`, load, kind)
      found.push({ task, share, harm: mean })
    }
    return found.sort((a, b) => b.harm - a.harm)
  }

  const wantedFor = (
    view: controlState.ControlView,
    worker: controlState.WorkerView,
    memory: softState.WorkerMemory,
    service: string,
    load: number,
  ): Wanted | undefined => {
    const { limit, caution, rule } = budget.budgetOf(view.rules(), service)
    if (rule === undefined) return undefined
    const aggressors = aggressorsOf(view, worker, memory, service, load)
    const { deviation } = model.estimate(`service/${service}`, load, memory.profile.shares)
    const residual = memory.guards.get(service)?.residual ?? 0
    const expected = aggressors.reduce((sum, { share, harm }) => sum + share * harm, 0)
    let excess = expected + caution * deviation + residual - limit
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

  const setThrottle = (task: controlState.TaskView, wanted: number, nowMs: number): void => {
    const known = soft.throttles.get(task.task)
    const current = known?.attempt === task.attempt ? known.cpuPercent : FULL_PERCENT
    const rounded = Math.max(1, Math.floor(wanted / STEP_PERCENT) * STEP_PERCENT)
    const isTighter = rounded < current
    const mayRelax =
      nowMs - (known?.changedAtMs ?? nowMs) >= RELAX_DWELL_MS &&
      (rounded >= current + RELAX_PERCENT || (rounded >= FULL_PERCENT && rounded > current))
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
    memory: softState.WorkerMemory,
    { aggressors, rule }: Wanted,
    nowMs: number,
  ): void => {
    const worst = Math.max(...aggressors.map(({ share, harm }) => share * harm))
    const harmful = aggressors.filter(({ share, harm }) => share * harm >= worst / 2)
    const tasks = harmful.map(({ task }) => task)
    const victim = victims.sortVictims(view, tasks, parts.victim)[0]
    if (victim === undefined) return
    memory.lastEvictionMs = nowMs
    memory.overSinceMs = undefined
    const { task, attempt, worker } = victim
    soft.evictions.set(task, { task, attempt, worker, reason: 'guard', rule })
  }

  /** Holds tasks that use more than they declared to their declared size on an overloaded worker. */
  const holdToDeclared = (
    worker: controlState.WorkerView,
    memory: softState.WorkerMemory,
  ): Map<controlState.TaskView, number> => {
    const capacity = Math.max(1, worker.capacity.cpuMillis)
    const percents = new Map<controlState.TaskView, number>()
    const demands = [...worker.tasks.values()].map((task) => ({
      task,
      declared: task.resources.cpuMillis / capacity,
      demand: softState.demandShareOf(worker, task, memory.running.get(task.task)),
    }))
    let excess = demands.reduce((sum, { demand }) => sum + demand, 0) - OVERLOADED_SHARE
    const largestFirst = demands
      .filter(({ task, demand, declared }) => task.kind === 'batch' && demand > declared * OVERUSE)
      .sort((a, b) => b.demand - b.declared - (a.demand - a.declared))
    for (const { task, demand, declared } of largestFirst) {
      if (excess <= 0) break
      const cut = Math.min(excess, demand - declared)
      percents.set(task, FULL_PERCENT * (1 - cut / demand))
      excess -= cut
    }
    return percents
  }

  const review: Guard['review'] = (view, worker, memory, nowMs) => {
    const wanted: Wanted[] = []
    for (const [service, load] of memory.profile.loads) {
      const found = wantedFor(view, worker, memory, service, load)
      if (found !== undefined) wanted.push(found)
    }
    const held = holdToDeclared(worker, memory)
    for (const task of worker.tasks.values()) {
      if (task.kind !== 'batch') continue
      const percents = wanted.map(({ percents: map }) => map.get(task) ?? FULL_PERCENT)
      setThrottle(task, Math.min(held.get(task) ?? FULL_PERCENT, ...percents), nowMs)
    }
    const over = wanted.find(({ excess }) => excess > TOLERATED_EXCESS)
    if (over === undefined || over.aggressors.length === 0) {
      memory.overSinceMs = undefined
      return
    }
    memory.overSinceMs ??= nowMs
    const isLong = nowMs - memory.overSinceMs >= EVICT_AFTER_MS
    if (isLong && nowMs - memory.lastEvictionMs >= EVICTION_DWELL_MS)
      evictOne(view, memory, over, nowMs)
  }

  return { review }
}
