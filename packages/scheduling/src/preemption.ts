/** Frees capacity for runners and urgent tasks by evicting the batch tasks that lose least work. */
import * as controlState from '@ebonyweir/control-state'
import * as candidates from './candidates.js'
import type * as options from './options.js'
import type * as plans from './plan.js'
import type * as types from './types.js'
import * as victims from './victims.js'
import type * as waiting from './waiting.js'

/** Time for which freed capacity stays reserved for the subject it was freed for. */
const RESERVATION_MS = 10_000

/** Maximum number of new reservations for one subject per decision. */
const MAX_RESERVATIONS_PER_DECISION = 20

interface EvictionPlan {
  readonly worker: controlState.WorkerView
  readonly victims: readonly controlState.TaskView[]
  readonly lostWork: number
}

export interface Preemptor {
  /**
   * Reserves workers for `count` tasks of the subject, and evicts tasks there if `mayEvict` is set.
   * Existing reservations of the subject count towards `count`.
   */
  readonly reserveCapacity: (
    plan: plans.Plan,
    task: waiting.WaitingTask,
    count: number,
    mayEvict: boolean,
  ) => void
  /** Releases reservations of subjects that did not request capacity in this decision. */
  readonly releaseUnrequested: (plan: plans.Plan) => void
}

export const createPreemptor = (resolved: options.ResolvedSchedulerOptions): Preemptor => {
  const { random, parts } = resolved

  const requestedSubjects = new Set<string>()

  const isEvictable = (plan: plans.Plan, task: controlState.TaskView): boolean =>
    task.kind === 'batch' && plan.view.job(task.owner)?.urgent !== true

  /** Removes victims that turn out not to be needed, starting with those that lose most work. */
  const prune = (
    chosen: readonly controlState.TaskView[],
    spare: controlState.Resources,
  ): readonly controlState.TaskView[] => {
    let rest = spare
    const needed: controlState.TaskView[] = []
    for (const victim of [...chosen].reverse()) {
      if (controlState.fits(victim.resources, rest))
        rest = controlState.subtractResources(rest, victim.resources)
      else needed.push(victim)
    }
    return needed
  }

  const planEvictions = (
    plan: plans.Plan,
    worker: controlState.WorkerView,
    task: waiting.WaitingTask,
  ): EvictionPlan | undefined => {
    const evictable = [...worker.tasks.values()].filter((other) => isEvictable(plan, other))
    const chosen: controlState.TaskView[] = []
    let free = plan.freeOf(worker)
    // Capacity of tasks that are already being evicted becomes free without further loss.
    for (const other of evictable)
      if (plan.soft.evictions.has(other.task))
        free = controlState.addResources(free, other.resources)
    const rest = evictable.filter((other) => !plan.soft.evictions.has(other.task))
    for (const victim of victims.sortVictims(plan.view, rest, parts.victim)) {
      if (controlState.fits(task.resources, free)) break
      chosen.push(victim)
      free = controlState.addResources(free, victim.resources)
    }
    if (!controlState.fits(task.resources, free)) return undefined
    const needed = prune(chosen, controlState.subtractResources(free, task.resources))
    const lostWork = needed.reduce((sum, victim) => sum + victims.lostWork(plan.view, victim), 0)
    return { worker, victims: needed, lostWork }
  }

  const evictFor = (
    plan: plans.Plan,
    task: waiting.WaitingTask,
    evictionPlan: EvictionPlan,
  ): void => {
    const reason: types.StopReason = 'moved'
    const rule = task.service?.rule
    for (const victim of evictionPlan.victims) {
      const { task: id, attempt, worker } = victim
      plan.soft.evictions.set(id, { task: id, attempt, worker, reason, rule })
    }
  }

  const findEvictionPlan = (
    plan: plans.Plan,
    task: waiting.WaitingTask,
  ): EvictionPlan | undefined =>
    candidates
      .sampleWorkers(plan, task, random)
      .filter(({ worker }) => !plan.soft.reservations.has(worker))
      .map((worker) => planEvictions(plan, worker, task))
      .filter((evictionPlan) => evictionPlan !== undefined)
      .sort((a, b) => a.lostWork - b.lostWork)[0]

  /** Evicts tasks on the subject's reserved workers where capacity is still missing. */
  const evictReserved = (plan: plans.Plan, task: waiting.WaitingTask): void => {
    for (const [name, { subject }] of plan.soft.reservations) {
      const worker = plan.view.worker(name)
      if (subject !== task.subject || worker === undefined) continue
      const evictionPlan = planEvictions(plan, worker, task)
      if (evictionPlan !== undefined) evictFor(plan, task, evictionPlan)
    }
  }

  const reserveCapacity: Preemptor['reserveCapacity'] = (plan, task, count, mayEvict) => {
    requestedSubjects.add(task.subject)
    const untilMs = plan.nowMs + RESERVATION_MS
    let missing = count
    for (const [worker, { subject }] of plan.soft.reservations) {
      if (subject !== task.subject) continue
      const known = plan.view.worker(worker)
      // Drops workers that closed since or where evictions can no longer free enough capacity.
      const isUsable = known !== undefined && plan.isOpen(known, task)
      if (!isUsable || planEvictions(plan, known, task) === undefined) {
        plan.soft.reservations.delete(worker)
        continue
      }
      missing -= 1
      plan.soft.reservations.set(worker, { subject, untilMs })
    }
    for (let index = 0; index < Math.min(missing, MAX_RESERVATIONS_PER_DECISION); index += 1) {
      const evictionPlan = findEvictionPlan(plan, task)
      if (evictionPlan === undefined) break
      plan.soft.reservations.set(evictionPlan.worker.worker, { subject: task.subject, untilMs })
    }
    if (mayEvict) evictReserved(plan, task)
  }

  const releaseUnrequested: Preemptor['releaseUnrequested'] = ({ soft }) => {
    for (const [worker, { subject }] of soft.reservations)
      if (!requestedSubjects.has(subject)) soft.reservations.delete(worker)
    requestedSubjects.clear()
  }

  return { reserveCapacity, releaseUnrequested }
}
