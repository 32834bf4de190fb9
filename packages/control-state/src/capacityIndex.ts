/** Index of workers by free capacity. The cost of updates and lookups does not grow with the workers. */
import type * as types from './types.js'

/** Each level doubles the amount. Level 0 is below a quarter core, or below 256 MiB. */
const CPU_UNIT_MILLIS = 250
const MEMORY_UNIT_MB = 256

/** Workers of one failure domain whose free capacity is on the same levels. */
export interface CapacityBucket {
  readonly failureDomain: string
  readonly cpuLevel: number
  readonly memoryLevel: number
  readonly acceleratorLevel: number
  readonly workers: readonly types.WorkerView[]
}

interface MutableBucket extends CapacityBucket {
  readonly workers: types.WorkerView[]
}

interface Position {
  readonly bucket: MutableBucket
  readonly offset: number
}

const levelOf = (amount: number, unit: number): number =>
  amount < unit ? (amount <= 0 ? -1 : 0) : Math.floor(Math.log2(amount / unit)) + 1

export const cpuLevelOf = (cpuMillis: number): number => levelOf(cpuMillis, CPU_UNIT_MILLIS)
export const memoryLevelOf = (memoryMb: number): number => levelOf(memoryMb, MEMORY_UNIT_MB)
export const acceleratorLevelOf = (accelerators: number): number => levelOf(accelerators, 1)

export interface CapacityIndex {
  /** All buckets with at least one worker. */
  readonly buckets: () => Iterable<CapacityBucket>
  readonly update: (worker: types.WorkerView) => void
  readonly remove: (worker: string) => void
  readonly clear: () => void
}

const keyOf = (worker: types.WorkerView): string => {
  const { cpuMillis, memoryMb, accelerators } = worker.free
  const levels = `${cpuLevelOf(cpuMillis)}/${memoryLevelOf(memoryMb)}/${acceleratorLevelOf(accelerators)}`
  return `${levels}/${worker.failureDomain}`
}

const createBucket = (worker: types.WorkerView): MutableBucket => ({
  failureDomain: worker.failureDomain,
  cpuLevel: cpuLevelOf(worker.free.cpuMillis),
  memoryLevel: memoryLevelOf(worker.free.memoryMb),
  acceleratorLevel: acceleratorLevelOf(worker.free.accelerators),
  workers: [],
})

export const createCapacityIndex = (): CapacityIndex => {
  const buckets = new Map<string, MutableBucket>()
  const positions = new Map<string, Position & { readonly key: string }>()

  const remove = (name: string): void => {
    const position = positions.get(name)
    if (position === undefined) return
    positions.delete(name)
    const { workers } = position.bucket
    const last = workers.pop()
    if (last !== undefined && last.worker !== name) {
      workers[position.offset] = last
      positions.set(last.worker, position)
    }
    if (workers.length === 0) buckets.delete(position.key)
  }

  const update = (worker: types.WorkerView): void => {
    const key = keyOf(worker)
    const position = positions.get(worker.worker)
    if (position?.key === key) return
    remove(worker.worker)
    const bucket = buckets.get(key) ?? createBucket(worker)
    buckets.set(key, bucket)
    positions.set(worker.worker, { bucket, key, offset: bucket.workers.length })
    bucket.workers.push(worker)
  }

  const clear = (): void => {
    buckets.clear()
    positions.clear()
  }

  return { buckets: () => buckets.values(), update, remove, clear }
}
