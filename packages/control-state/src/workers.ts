/** Registration of workers. A newer incarnation proves that attempts of older ones have stopped. */
import * as protocol from '@ebonyweir/protocol'
import type * as outcome from './outcome.js'
import * as topology from './topology.js'
import * as records from './records.js'
import * as serviceTasks from './serviceTasks.js'
import * as taskEnds from './taskEnds.js'
import type * as types from './types.js'

const usedBy = (worker: records.WorkerRecord): types.Resources =>
  records.subtractResources(worker.capacity, worker.free)

const moveFailureDomain = (
  tables: records.Tables,
  worker: records.WorkerRecord,
  failureDomain: string,
): void => {
  const old = tables.workersByFailureDomain.get(worker.failureDomain)
  old?.delete(worker.worker)
  if (old?.size === 0) tables.workersByFailureDomain.delete(worker.failureDomain)
  worker.failureDomain = failureDomain
  const names = tables.workersByFailureDomain.get(failureDomain) ?? new Set<string>()
  tables.workersByFailureDomain.set(failureDomain, names.add(worker.worker))
}

const createWorker = (
  tables: records.Tables,
  register: protocol.command.RegisterWorker,
  capacity: types.Resources,
): records.WorkerRecord => {
  const created: records.WorkerRecord = {
    worker: register.worker,
    incarnation: register.incarnation,
    rack: register.rack,
    failureDomain: register.failureDomain,
    capacity,
    free: capacity,
    tasks: new Map(),
    failedJobs: [],
    failureStreak: 0,
    lastFailureMs: 0,
  }
  tables.workers.set(created.worker, created)
  topology.addToCapacityClass(tables, created)
  return created
}

const endOldAttempts = (
  tables: records.Tables,
  worker: records.WorkerRecord,
): outcome.TaskRef[] => {
  // Sorted to be deterministic: after a restore from a snapshot the map order may differ.
  const tasks = [...worker.tasks.values()].sort((a, b) => (a.task < b.task ? -1 : 1))
  const lost = tasks.map(({ task, attempt }) => ({ task, attempt }))
  for (const task of tasks) taskEnds.endAttempt(tables, task, protocol.command.TaskOutcome.LOST, '')
  return lost
}

const updateWorker = (
  tables: records.Tables,
  worker: records.WorkerRecord,
  register: protocol.command.RegisterWorker,
  capacity: types.Resources,
): void => {
  const tasks = [...worker.tasks.values()]
  for (const task of tasks) topology.updateTaskCounts(tables, task, worker, -1)
  topology.removeFromCapacityClass(tables, worker)
  worker.free = records.subtractResources(capacity, usedBy(worker))
  worker.capacity = capacity
  worker.rack = register.rack
  worker.incarnation = register.incarnation
  const moved = worker.failureDomain !== register.failureDomain
  moveFailureDomain(tables, worker, register.failureDomain)
  topology.addToCapacityClass(tables, worker)
  for (const task of tasks) topology.updateTaskCounts(tables, task, worker, 1)
  tables.capacity.remove(worker.worker)
  tables.capacity.update(worker)
  if (moved) serviceTasks.refreshServices(tables)
}

const removeWorker = (tables: records.Tables, name: string): outcome.Outcome => {
  const worker = tables.workers.get(name)
  if (worker === undefined) return { kind: 'workerRemoved' }
  if (worker.tasks.size > 0) return { kind: 'refused', reason: `tasks are assigned to ${name}` }
  const names = tables.workersByFailureDomain.get(worker.failureDomain)
  names?.delete(name)
  if (names?.size === 0) tables.workersByFailureDomain.delete(worker.failureDomain)
  tables.capacity.remove(name)
  topology.removeFromCapacityClass(tables, worker)
  tables.workers.delete(name)
  return { kind: 'workerRemoved' }
}

/** Registers or updates a worker. Without a capacity, removes a worker that has no tasks. */
export const registerWorker = (
  tables: records.Tables,
  register: protocol.command.RegisterWorker,
): outcome.Outcome => {
  const { capacity } = register
  if (capacity === undefined) return removeWorker(tables, register.worker)
  if (Object.values(capacity).some((amount: number) => amount < 0))
    return { kind: 'refused', reason: `capacity of ${register.worker} is negative` }
  const known = tables.workers.get(register.worker)
  if (known !== undefined && register.incarnation < known.incarnation) {
    const reason = `incarnation ${register.incarnation} of ${register.worker} is older than ${known.incarnation}`
    return { kind: 'refused', reason }
  }
  const isNewer = known !== undefined && register.incarnation > known.incarnation
  const lost = isNewer ? endOldAttempts(tables, known) : []
  updateWorker(tables, known ?? createWorker(tables, register, capacity), register, capacity)
  return { kind: 'workerRegistered', lost }
}
