/** Runner tasks of services: how many serve, and which have to stop. */
import * as records from './records.js'

const isServing = (tables: records.Tables, task: records.TaskRecord): boolean => {
  const worker = tables.workers.get(task.worker)
  return worker !== undefined && !records.isOut(tables, worker.failureDomain)
}

/** Whether a runner counts towards the runners its rule asks for. */
export const isCounted = (tables: records.Tables, task: records.TaskRecord): boolean =>
  !tables.stopping.has(task) && isServing(tables, task)

/** Highest numbers first, so that the lowest numbers stay. */
const surplusOf = (serving: readonly records.TaskRecord[], runners: number) =>
  [...serving].sort((a, b) => b.number - a.number).slice(0, Math.max(0, serving.length - runners))

/** Keeps the set of services with too few runners. */
export const refreshLacking = (tables: records.Tables, service: records.ServiceRecord): void => {
  if (service.serving < (service.rule?.runners ?? 0)) tables.lacking.add(service)
  else tables.lacking.delete(service)
}

/** Recounts one service after its rule, one of its tasks or a failure domain changed. */
export const refreshService = (tables: records.Tables, service: records.ServiceRecord): void => {
  const assigned = [...service.tasks.values()].filter((task) => task.worker !== '')
  const serving = assigned.filter((task) => isServing(tables, task))
  for (const task of assigned) tables.stopping.delete(task)
  const runners = service.rule?.runners ?? 0
  const surplus = service.rule === undefined ? assigned : surplusOf(serving, runners)
  for (const task of surplus) tables.stopping.add(task)
  service.serving = serving.length - surplus.filter((task) => serving.includes(task)).length
  refreshLacking(tables, service)
}

/** Brings every service in line with the rules in force. */
export const refreshServices = (tables: records.Tables): void => {
  const { services } = tables.rules.set
  for (const name of services.keys()) records.serviceOf(tables, name)
  for (const service of tables.services.values()) {
    service.rule = services.get(service.service)
    refreshService(tables, service)
  }
}

/** Attaches rules and counts after a restore; which tasks stop is part of the snapshot. */
export const recountServices = (tables: records.Tables): void => {
  const { services } = tables.rules.set
  for (const name of services.keys()) records.serviceOf(tables, name)
  for (const service of tables.services.values()) {
    service.rule = services.get(service.service)
    service.serving = [...service.tasks.values()].filter((task) => isCounted(tables, task)).length
    refreshLacking(tables, service)
  }
}
