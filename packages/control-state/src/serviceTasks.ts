/** Runner tasks of services: how many are active, and which have to stop. */
import * as records from './records.js'

const isInActiveDomain = (tables: records.Tables, task: records.TaskRecord): boolean => {
  const worker = tables.workers.get(task.worker)
  return worker !== undefined && !records.isOut(tables, worker.failureDomain)
}

/** Whether a runner counts towards the number that its rule requires. */
export const isCounted = (tables: records.Tables, task: records.TaskRecord): boolean =>
  !tables.stopping.has(task) && isInActiveDomain(tables, task)

/** Runners beyond the required number, highest numbers first, so that the lowest are kept. */
const surplusOf = (active: readonly records.TaskRecord[], runners: number) =>
  [...active].sort((a, b) => b.number - a.number).slice(0, Math.max(0, active.length - runners))

/** Adds the service to the underprovisioned set or removes it. */
export const updateUnderprovisioned = (
  tables: records.Tables,
  service: records.ServiceRecord,
): void => {
  if (service.activeRunners < (service.rule?.runners ?? 0)) tables.underprovisioned.add(service)
  else tables.underprovisioned.delete(service)
}

/** Recounts one service after its rule, one of its tasks or a failure domain changed. */
export const refreshService = (tables: records.Tables, service: records.ServiceRecord): void => {
  const assigned = [...service.tasks.values()].filter((task) => task.worker !== '')
  const active = assigned.filter((task) => isInActiveDomain(tables, task))
  for (const task of assigned) tables.stopping.delete(task)
  const runners = service.rule?.runners ?? 0
  const surplus = service.rule === undefined ? assigned : surplusOf(active, runners)
  for (const task of surplus) tables.stopping.add(task)
  service.activeRunners = active.length - surplus.filter((task) => active.includes(task)).length
  updateUnderprovisioned(tables, service)
}

/** Applies the rules in force to all services. */
export const refreshServices = (tables: records.Tables): void => {
  const { services } = tables.rules.set
  for (const name of services.keys()) records.getOrCreateService(tables, name)
  for (const service of tables.services.values()) {
    service.rule = services.get(service.service)
    refreshService(tables, service)
  }
}

/** Sets rules and runner counts after a restore. The stopping tasks come from the snapshot. */
export const recountServices = (tables: records.Tables): void => {
  const { services } = tables.rules.set
  for (const name of services.keys()) records.getOrCreateService(tables, name)
  for (const service of tables.services.values()) {
    service.rule = services.get(service.service)
    service.activeRunners = [...service.tasks.values()].filter((task) =>
      isCounted(tables, task),
    ).length
    updateUnderprovisioned(tables, service)
  }
}
