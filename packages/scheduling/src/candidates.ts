/** Bounded selection of candidate workers for a task from the index by free capacity. */
import * as controlState from '@ebonyweir/control-state'
import type * as plans from './plan.js'
import type * as types from './types.js'
import type * as waiting from './waiting.js'

const { cpuLevelOf, memoryLevelOf, acceleratorLevelOf } = controlState.capacityIndex

/** Workers compared per task; comparing more does not improve placement. */
const MAX_CANDIDATES = 16

/** Workers inspected per task, including those that turn out not to fit. */
const MAX_INSPECTED_WORKERS = 64

type Bucket = controlState.capacityIndex.CapacityBucket

const usableBuckets = (plan: plans.Plan, task: waiting.WaitingTask): Bucket[] => {
  const { cpuMillis, memoryMb, accelerators } = task.resources
  const cpu = cpuLevelOf(cpuMillis)
  const memory = memoryLevelOf(memoryMb)
  const accelerator = acceleratorLevelOf(accelerators)
  const buckets: Bucket[] = []
  for (const bucket of plan.view.capacityBuckets()) {
    const isTooSmall =
      bucket.cpuLevel < cpu || bucket.memoryLevel < memory || bucket.acceleratorLevel < accelerator
    if (!isTooSmall && !plan.view.isOut(bucket.failureDomain)) buckets.push(bucket)
  }
  return buckets
}

const workerAt = (
  buckets: readonly Bucket[],
  offset: number,
): controlState.WorkerView | undefined => {
  let remainingOffset = offset
  for (const { workers } of buckets) {
    if (remainingOffset < workers.length) return workers[remainingOffset]
    remainingOffset -= workers.length
  }
  return undefined
}

/** Workers that fit the task: all if the buckets hold few workers, otherwise a uniform sample. */
export const sampleCandidates = (
  plan: plans.Plan,
  task: waiting.WaitingTask,
  random: types.Random,
): readonly controlState.WorkerView[] => {
  const buckets = usableBuckets(plan, task)
  const total = buckets.reduce((sum, bucket) => sum + bucket.workers.length, 0)
  const candidates = new Set<controlState.WorkerView>()
  const inspectsAll = total <= MAX_INSPECTED_WORKERS
  const tries = Math.min(total, MAX_INSPECTED_WORKERS)
  for (let index = 0; index < tries && candidates.size < MAX_CANDIDATES; index += 1) {
    const offset = inspectsAll ? index : Math.floor(random() * total)
    const worker = workerAt(buckets, offset)
    if (worker !== undefined && plan.canPlace(worker, task)) candidates.add(worker)
  }
  return [...candidates]
}

/** Sample of workers that accept the task regardless of their free capacity, for evictions. */
export const sampleWorkers = (
  plan: plans.Plan,
  task: waiting.WaitingTask,
  random: types.Random,
): readonly controlState.WorkerView[] => {
  const buckets = [...plan.view.capacityBuckets()]
  const total = buckets.reduce((sum, bucket) => sum + bucket.workers.length, 0)
  const candidates = new Set<controlState.WorkerView>()
  const inspectsAll = total <= MAX_INSPECTED_WORKERS
  for (let index = 0; index < Math.min(total, MAX_INSPECTED_WORKERS); index += 1) {
    const worker = workerAt(buckets, inspectsAll ? index : Math.floor(random() * total))
    if (worker === undefined || !controlState.fits(task.resources, worker.capacity)) continue
    if (plan.isOpen(worker, task)) candidates.add(worker)
  }
  return [...candidates]
}
