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

/** Evictions for waiting work that are begun per decision. */
const MAX_PER_DECISION = 20

interface Room {
  readonly worker: controlState.WorkerView
  readonly victims: readonly controlState.TaskView[]
  readonly lost: number
}

export interface Preemption {
  /** Begins to make room for the task, unless room is being made for its subject already. */
  readonly makeRoom: (plan: plans.Plan, task: waiting.WaitingTask, count: number) => void
}

export const createPreemption = (resolved: options.ResolvedSchedulerOptions): Preemption => {
  const { random, parts } = resolved

  const mayEvict = (plan: plans.Plan, task: controlState.TaskView): boolean =>
    task.kind === 'batch' && plan.view.job(task.owner)?.urgent !== true

  const roomOn = (
    plan: plans.Plan,
    worker: controlState.WorkerView,
    task: waiting.WaitingTask,
  ): Room | undefined => {
    const evictable = [...worker.tasks.values()].filter((other) => mayEvict(plan, other))
    const chosen: controlState.TaskView[] = []
    let free = plan.freeOf(worker)
    let lost = 0
    for (const victim of victims.sortVictims(plan.view, evictable, parts.victim)) {
      if (controlState.fits(task.resources, free)) break
      chosen.push(victim)
      free = controlState.addResources(free, victim.resources)
      // Work that is ending anyway loses nothing more.
      if (!plan.soft.evictions.has(victim.task)) lost += victims.lostWork(plan.view, victim)
    }
    return controlState.fits(task.resources, free) ? { worker, victims: chosen, lost } : undefined
  }

  const begin = (plan: plans.Plan, task: waiting.WaitingTask, room: Room): void => {
    const { worker } = room.worker
    const untilMs = plan.nowMs + RESERVATION_MS
    plan.soft.reservations.set(worker, { subject: task.subject, untilMs })
    const reason: types.StopReason = 'moved'
    const rule = task.service?.rule
    for (const victim of room.victims) {
      const { task: id, attempt } = victim
      if (!plan.soft.evictions.has(id))
        plan.soft.evictions.set(id, { task: id, attempt, worker, reason, rule })
    }
  }

  const makeRoom: Preemption['makeRoom'] = (plan, task, count) => {
    const held = [...plan.soft.reservations.values()]
    const missing = count - held.filter(({ subject }) => subject === task.subject).length
    for (let index = 0; index < Math.min(missing, MAX_PER_DECISION); index += 1) {
      const rooms = candidates
        .sampleWorkers(plan, task, random)
        .filter(({ worker }) => !plan.soft.reservations.has(worker))
        .map((worker) => roomOn(plan, worker, task))
        .filter((room) => room !== undefined)
      const best = rooms.sort((a, b) => a.lost - b.lost)[0]
      if (best === undefined) return
      begin(plan, task, best)
    }
  }

  return { makeRoom }
}
