/** Assignments of one decision, with their effect on free capacity, quotas and spread. */
import * as controlState from '@ebonyweir/control-state'
import type * as protocol from '@ebonyweir/protocol'
import * as quarantine from './quarantine.js'
import * as refill from './refill.js'
import type * as options from './options.js'
import * as softState from './softState.js'
import type * as waiting from './waiting.js'

export interface Plan {
  readonly view: controlState.ControlView
  readonly soft: softState.SoftState
  readonly parts: options.PolicyParts
  readonly nowMs: number
  readonly assignments: readonly protocol.command.Assignment[]
  readonly freeOf: (worker: controlState.WorkerView) => controlState.Resources
  /** Whether the worker currently accepts the task, regardless of free capacity. */
  readonly isOpen: (worker: controlState.WorkerView, task: waiting.WaitingTask) => boolean
  readonly canPlace: (worker: controlState.WorkerView, task: waiting.WaitingTask) => boolean
  /** Number of the owner's tasks at a topology key, including assignments of this decision. */
  readonly countAt: (task: waiting.WaitingTask, key: string) => number
  readonly teamUse: (team: string) => controlState.Resources
  /** Time since which the subject is reported as waiting; undefined if it is not. */
  readonly waitingSinceMs: (subject: string) => number | undefined
  readonly assign: (worker: controlState.WorkerView, task: waiting.WaitingTask) => void
}

export interface PlanOptions {
  readonly view: controlState.ControlView
  readonly soft: softState.SoftState
  readonly parts: options.PolicyParts
  readonly nowMs: number
  readonly waitingSinceMs: (subject: string) => number | undefined
}

const isAllowed = (
  view: controlState.ControlView,
  worker: controlState.WorkerView,
  task: waiting.WaitingTask,
): boolean => {
  if (view.isOut(worker.failureDomain)) return false
  const { names } = task
  return !controlState.placement.placementRefusal(view.rules(), names, worker.failureDomain)
}

export const createPlan = ({ view, soft, parts, nowMs, waitingSinceMs }: PlanOptions): Plan => {
  const assignments: protocol.command.Assignment[] = []
  const assignedByWorker = new Map<string, controlState.Resources>()
  const assignedByTeam = new Map<string, controlState.Resources>()
  const counts = new Map<string, number>()

  const freeOf: Plan['freeOf'] = (worker) => {
    const used = assignedByWorker.get(worker.worker)
    return used === undefined ? worker.free : controlState.subtractResources(worker.free, used)
  }

  const isOpen: Plan['isOpen'] = (worker, task) => {
    const state = soft.workers.get(worker.worker)
    if (state?.report.incarnation !== worker.incarnation) return false
    if (nowMs - state.lastSyncMs > softState.MAX_SYNC_AGE_MS) return false
    if (task.failedOn === worker.worker && view.workerCount() > 1) return false
    const reservation = soft.reservations.get(worker.worker)
    if (reservation !== undefined && reservation.subject !== task.subject) return false
    if (
      parts.quarantine &&
      !quarantine.mayAssign(worker, state, assignedByWorker.has(worker.worker), nowMs)
    )
      return false
    return isAllowed(view, worker, task)
  }

  const canPlace: Plan['canPlace'] = (worker, task) =>
    controlState.fits(task.resources, freeOf(worker)) &&
    isOpen(worker, task) &&
    (!parts.refill || refill.isWithinRamp(worker, freeOf(worker), task, soft, nowMs))

  const countAt: Plan['countAt'] = (task, key) => {
    const placedIn = (task.job ?? task.service)?.placedIn
    return (placedIn?.get(key) ?? 0) + (counts.get(`${task.subject} ${key}`) ?? 0)
  }

  const teamUse: Plan['teamUse'] = (team) => {
    const used = view.teams().get(team)?.used ?? controlState.NO_RESOURCES
    return controlState.addResources(used, assignedByTeam.get(team) ?? controlState.NO_RESOURCES)
  }

  const addTo = (
    map: Map<string, controlState.Resources>,
    key: string,
    resources: controlState.Resources,
  ): void => {
    map.set(key, controlState.addResources(map.get(key) ?? controlState.NO_RESOURCES, resources))
  }

  const assign: Plan['assign'] = (worker, task) => {
    assignments.push({
      task: task.task,
      attempt: task.attempt,
      worker: worker.worker,
      workerIncarnation: worker.incarnation,
    })
    addTo(assignedByWorker, worker.worker, task.resources)
    if (task.job !== undefined) addTo(assignedByTeam, task.job.team, task.resources)
    for (const key of Object.values(controlState.topologyKeys(worker)) as string[])
      counts.set(`${task.subject} ${key}`, (counts.get(`${task.subject} ${key}`) ?? 0) + 1)
    const profile = soft.workers.get(worker.worker)?.profile
    const share = task.resources.cpuMillis / Math.max(1, worker.capacity.cpuMillis)
    if (profile !== undefined && task.job !== undefined)
      softState.addToProfile(profile, task.job.kind, share)
    if (profile !== undefined && task.service !== undefined)
      profile.loads.set(
        task.service.service,
        profile.loads.get(task.service.service) ?? softState.UNKNOWN_LOAD,
      )
    soft.reservations.delete(worker.worker)
  }

  return {
    view,
    soft,
    parts,
    nowMs,
    assignments,
    freeOf,
    isOpen,
    canPlace,
    countAt,
    teamUse,
    waitingSinceMs,
    assign,
  }
}
