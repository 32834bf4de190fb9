/** Makes room for runners and urgent tasks by evicting the batch work that loses least. */
import * as controlState from '@ebonyweir/control-state'
import * as candidates from './candidates.js'
import type * as options from './options.js'
import type * as plans from './plan.js'
import type * as types from './types.js'
import * as victims from './victims.js'
import type * as waiting from './waiting.js'

/** Time for which freed capacity is kept for the task it was freed for, in milliseconds. */
const RESERVATION_MS = 10_000

/** Reservations for one subject that are begun per decision. */
const MAX_PER_DECISION = 20

interface Room {
  readonly worker: controlState.WorkerView
  readonly victims: readonly controlState.TaskView[]
  readonly lost: number
}

export interface Preemption {
  /**
   * Keeps capacity that becomes free for `count` tasks of the subject; with `mayEvict` also
   * evicts. Room that is being made for the subject already counts.
   */
  readonly makeRoom: (
    plan: plans.Plan,
    task: waiting.WaitingTask,
    count: number,
    mayEvict: boolean,
  ) => void
  /** Gives up reservations of subjects for which no room was asked in this decision. */
  readonly release: (plan: plans.Plan) => void
}

export const createPreemption = (resolved: options.ResolvedSchedulerOptions): Preemption => {
  const { random, parts } = resolved

  const asked = new Set<string>()

  const isEvictable = (plan: plans.Plan, task: controlState.TaskView): boolean =>
    task.kind === 'batch' && plan.view.job(task.owner)?.urgent !== true

  /** Leaves out victims that are not needed after all, those that lose most first. */
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

  const roomOn = (
    plan: plans.Plan,
    worker: controlState.WorkerView,
    task: waiting.WaitingTask,
  ): Room | undefined => {
    const evictable = [...worker.tasks.values()].filter((other) => isEvictable(plan, other))
    const chosen: controlState.TaskView[] = []
    let free = plan.freeOf(worker)
    // What is being evicted already comes free without further loss.
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
    const lost = needed.reduce((sum, victim) => sum + victims.lostWork(plan.view, victim), 0)
    return { worker, victims: needed, lost }
  }

  const evictFor = (plan: plans.Plan, task: waiting.WaitingTask, room: Room): void => {
    const reason: types.StopReason = 'moved'
    const rule = task.service?.rule
    for (const victim of room.victims) {
      const { task: id, attempt, worker } = victim
      plan.soft.evictions.set(id, { task: id, attempt, worker, reason, rule })
    }
  }

  const findRoom = (plan: plans.Plan, task: waiting.WaitingTask): Room | undefined =>
    candidates
      .sampleWorkers(plan, task, random)
      .filter(({ worker }) => !plan.soft.reservations.has(worker))
      .map((worker) => roomOn(plan, worker, task))
      .filter((room) => room !== undefined)
      .sort((a, b) => a.lost - b.lost)[0]

  /** Evicts on reserved workers where nothing was evicted yet. */
  const evictReserved = (plan: plans.Plan, task: waiting.WaitingTask): void => {
    for (const [name, { subject }] of plan.soft.reservations) {
      const worker = plan.view.worker(name)
      if (subject !== task.subject || worker === undefined) continue
      const room = roomOn(plan, worker, task)
      if (room !== undefined) evictFor(plan, task, room)
    }
  }

  const makeRoom: Preemption['makeRoom'] = (plan, task, count, mayEvict) => {
    asked.add(task.subject)
    const untilMs = plan.nowMs + RESERVATION_MS
    let missing = count
    for (const [worker, { subject }] of plan.soft.reservations) {
      if (subject !== task.subject) continue
      const known = plan.view.worker(worker)
      // A worker that closed meanwhile, or where evictions no longer make room, is given up.
      const isUsable = known !== undefined && plan.isOpen(known, task)
      if (!isUsable || roomOn(plan, known, task) === undefined) {
        plan.soft.reservations.delete(worker)
        continue
      }
      missing -= 1
      plan.soft.reservations.set(worker, { subject, untilMs })
    }
    for (let index = 0; index < Math.min(missing, MAX_PER_DECISION); index += 1) {
      const room = findRoom(plan, task)
      if (room === undefined) break
      plan.soft.reservations.set(room.worker.worker, { subject: task.subject, untilMs })
    }
    if (mayEvict) evictReserved(plan, task)
  }

  const release: Preemption['release'] = ({ soft }) => {
    for (const [worker, { subject }] of soft.reservations)
      if (!asked.has(subject)) soft.reservations.delete(worker)
    asked.clear()
  }

  return { makeRoom, release }
}
