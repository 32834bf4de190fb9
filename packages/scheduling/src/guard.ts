/**
 * Guards of latency-critical services: batch tasks beside them are throttled to what the service's
 * target allows, the most harmful first, and evicted when throttling to the floor is not enough.
 */
import type * as controlState from '@ebonyweir/control-state'
import * as budgets from './budgets.js'
import type * as interference from './interference.js'
import type * as options from './options.js'
import * as softState from './softState.js'
import * as victims from './victims.js'

/** Time for which throttling to the floor has to be insufficient before a task is evicted. */
const EVICT_AFTER_MS = 5_000

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
    const { limit, caution, rule } = budgets.budgetOf(view.rules(), service)
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

  const review: Guard['review'] = (view, worker, memory, nowMs) => {
    const wanted: Wanted[] = []
    for (const [service, load] of memory.profile.loads) {
      const found = wantedFor(view, worker, memory, service, load)
      if (found !== undefined) wanted.push(found)
    }
    for (const task of worker.tasks.values()) {
      if (task.kind !== 'batch') continue
      const percents = wanted.map(({ percents: map }) => map.get(task) ?? FULL_PERCENT)
      setThrottle(task, Math.min(FULL_PERCENT, ...percents), nowMs)
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
