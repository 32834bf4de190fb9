/**
 * Task counts by worker, rack and failure domain, and classes of workers with equal capacity.
 * Both are derived and not part of snapshots.
 */
import type * as records from './records.js'
import type * as types from './types.js'

export interface TopologyKeys {
  readonly worker: string
  readonly rack: string
  readonly failureDomain: string
}

/** Keys of `placedIn` for a worker. Rack names are unique only within their failure domain. */
export const topologyKeys = (worker: types.WorkerView): TopologyKeys => ({
  worker: `worker/${worker.worker}`,
  rack: `rack/${worker.failureDomain}/${worker.rack}`,
  failureDomain: `failureDomain/${worker.failureDomain}`,
})

/** Adds `change` to the owner's task counts for the worker, its rack and its failure domain. */
export const updateTaskCounts = (
  tables: records.Tables,
  task: records.TaskRecord,
  worker: records.WorkerRecord,
  change: 1 | -1,
): void => {
  const owners = task.kind === 'batch' ? tables.jobs : tables.services
  const placedIn = owners.get(task.owner)?.placedIn
  if (placedIn === undefined) return
  for (const key of Object.values(topologyKeys(worker)) as string[]) {
    const count = (placedIn.get(key) ?? 0) + change
    if (count > 0) placedIn.set(key, count)
    else placedIn.delete(key)
  }
}

const classKey = ({ capacity, failureDomain }: types.WorkerView): string =>
  `${capacity.cpuMillis}/${capacity.memoryMb}/${capacity.accelerators}/${failureDomain}`

export const addToCapacityClass = (tables: records.Tables, worker: records.WorkerRecord): void => {
  const key = classKey(worker)
  const known = tables.capacityClasses.get(key)
  if (known !== undefined) {
    known.workers += 1
    return
  }
  const { failureDomain, capacity } = worker
  tables.capacityClasses.set(key, { failureDomain, capacity, workers: 1 })
  tables.classesVersion += 1
}

export const removeFromCapacityClass = (
  tables: records.Tables,
  worker: records.WorkerRecord,
): void => {
  const key = classKey(worker)
  const known = tables.capacityClasses.get(key)
  if (known === undefined) return
  known.workers -= 1
  if (known.workers > 0) return
  tables.capacityClasses.delete(key)
  tables.classesVersion += 1
}
