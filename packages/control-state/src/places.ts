/** Counts of tasks by place, and classes of equal workers; both are derived and not in snapshots. */
import type * as records from './records.js'
import type * as types from './types.js'

export interface PlaceKeys {
  readonly worker: string
  readonly rack: string
  readonly failureDomain: string
}

/** Keys of `placedIn` for a worker. Racks are named within their failure domain. */
export const placeKeys = (worker: types.WorkerView): PlaceKeys => ({
  worker: `worker/${worker.worker}`,
  rack: `rack/${worker.failureDomain}/${worker.rack}`,
  failureDomain: `failureDomain/${worker.failureDomain}`,
})

/** Adds `change` to the counts of the task's owner for the worker's places. */
export const countPlace = (
  tables: records.Tables,
  task: records.TaskRecord,
  worker: records.WorkerRecord,
  change: 1 | -1,
): void => {
  const owners = task.kind === 'batch' ? tables.jobs : tables.services
  const placedIn = owners.get(task.owner)?.placedIn
  if (placedIn === undefined) return
  for (const key of Object.values(placeKeys(worker)) as string[]) {
    const count = (placedIn.get(key) ?? 0) + change
    if (count > 0) placedIn.set(key, count)
    else placedIn.delete(key)
  }
}

const classKey = ({ capacity, failureDomain }: types.WorkerView): string =>
  `${capacity.cpuMillis}/${capacity.memoryMb}/${capacity.accelerators}/${failureDomain}`

export const addToClass = (tables: records.Tables, worker: records.WorkerRecord): void => {
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

export const removeFromClass = (tables: records.Tables, worker: records.WorkerRecord): void => {
  const key = classKey(worker)
  const known = tables.capacityClasses.get(key)
  if (known === undefined) return
  known.workers -= 1
  if (known.workers > 0) return
  tables.capacityClasses.delete(key)
  tables.classesVersion += 1
}
