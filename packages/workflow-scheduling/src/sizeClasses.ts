/** Size classes of the jobs of each queue, by the submitted estimates of their core time. */
import type * as protocol from '@ebonyweir/protocol'
import * as workflowState from '@ebonyweir/workflow-state'
import * as durationEstimates from './durationEstimates.js'

/** The largest tenth of a queue's recent jobs, the fifth below it, and the rest. */
export type SizeClass = 'large' | 'medium' | 'small'

const LARGE_QUANTILE = 0.9
const MEDIUM_QUANTILE = 0.7

/** Jobs of a queue whose sizes are known: more than arrive during a burst of some seconds, which must not move the limits. */
const MAX_SIZES = 512

/** Jobs of a queue from which its sizes are divided; the largest tenth of fewer would be a single job or none. */
const MIN_SIZES = 20

/** Jobs after which the limits between the classes are computed again; a sort of all sizes for each job costs more. */
const REFRESH_JOBS = 32

/** Limit on queues with known sizes; the one without a new job for the longest time is evicted. Sizes take 4 MB at most. */
const MAX_QUEUES = 1_024

/** Smallest part of a queue's core time for which a class counts, so that each class has a share. */
const MIN_PART = 0.01

const MILLIS_PER_CORE = 1_000

/** Core time of a job in milliseconds as estimated by its submitter. */
export const estimatedCoreMs = (steps: readonly protocol.workflow.Step[]): number => {
  let sum = 0
  for (const step of steps) {
    const cores = workflowState.claimOf(step).cpuMillis / MILLIS_PER_CORE
    const taskMs = step.estimatedMs > 0 ? step.estimatedMs : durationEstimates.DEFAULT_DURATION_MS
    sum += step.taskCount * cores * taskMs
  }
  return sum
}

interface QueueSizes {
  /** Ring of the newest sizes. */
  readonly sizes: number[]
  count: number
  limits: { readonly medium: number; readonly large: number } | undefined
  parts: Readonly<Record<SizeClass, number>>
}

export interface SizeClasses {
  /** Adds an accepted job to the sizes of its queue. */
  readonly observe: (queue: string, coreMs: number) => void
  readonly classOf: (queue: string, coreMs: number) => SizeClass
  /** Part of the core time of the queue's recent jobs that is in a class, from `MIN_PART` to 1. */
  readonly partOf: (queue: string, sizeClass: SizeClass) => number
}

const ALL_SMALL: QueueSizes['parts'] = { small: 1, medium: MIN_PART, large: MIN_PART }

const classWithin = (limits: QueueSizes['limits'], coreMs: number): SizeClass => {
  if (limits === undefined || coreMs <= limits.medium) return 'small'
  return coreMs > limits.large ? 'large' : 'medium'
}

const refresh = (queue: QueueSizes): void => {
  const sorted = [...queue.sizes].sort((a, b) => a - b)
  const at = (quantile: number): number => sorted[Math.ceil(quantile * sorted.length) - 1] ?? 0
  const limits = { medium: at(MEDIUM_QUANTILE), large: at(LARGE_QUANTILE) }
  const sums = { small: 0, medium: 0, large: 0 }
  for (const coreMs of sorted) sums[classWithin(limits, coreMs)] += coreMs
  const total = Math.max(1, sums.small + sums.medium + sums.large)
  const partOf = (sizeClass: SizeClass): number => Math.max(MIN_PART, sums[sizeClass] / total)
  queue.limits = limits
  queue.parts = { small: partOf('small'), medium: partOf('medium'), large: partOf('large') }
}

export const createSizeClasses = (): SizeClasses => {
  const queues = new Map<string, QueueSizes>()
  return {
    observe: (name, coreMs) => {
      const queue = queues.get(name) ?? {
        sizes: [],
        count: 0,
        limits: undefined,
        parts: ALL_SMALL,
      }
      queues.delete(name)
      queues.set(name, queue)
      queue.sizes[queue.count % MAX_SIZES] = coreMs
      queue.count += 1
      const isDue = queue.count === MIN_SIZES || queue.count % REFRESH_JOBS === 0
      if (queue.count >= MIN_SIZES && isDue) refresh(queue)
      const oldest = queues.keys().next()
      if (queues.size > MAX_QUEUES && oldest.done !== true) queues.delete(oldest.value)
    },
    classOf: (name, coreMs) => classWithin(queues.get(name)?.limits, coreMs),
    partOf: (name, sizeClass) => (queues.get(name)?.parts ?? ALL_SMALL)[sizeClass],
  }
}
