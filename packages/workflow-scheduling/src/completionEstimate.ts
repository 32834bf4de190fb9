/** Estimate of the completion time of a job that is not open yet, from the load of its service. */
import type * as protocol from '@ebonyweir/protocol'
import * as workflowState from '@ebonyweir/workflow-state'
import type * as admissionLoad from './admissionLoad.js'
import * as bestEffortRanking from './bestEffortRanking.js'
import type * as capacityTrend from './capacityTrend.js'
import * as draftJob from './draftJob.js'
import type * as durations from './durations.js'
import * as order from './order.js'

/** Quantiles of the duration of the job's own tasks for the bounds; one job in ten is outside on either side. */
const LOW_QUANTILE = 0.1
const HIGH_QUANTILE = 0.9

/**
 * Error of the estimated work ahead, as a factor. Errors of single jobs, a factor of 1.5 and more, mostly cancel each other
 * in the sum; the rest is the error that the jobs of a queue have in common.
 */
const WORK_ERROR_FACTOR = 1.25

/**
 * Limit on the parts of open work that a lower bound considers; bounds the time of a decision. Three times the capacity of
 * the largest known workload has about 600 open until their value expires, and leaving work out only lowers the bound.
 */
const MAX_PARTS = 2_000

/** Times in milliseconds from the submission. */
export interface CompletionEstimate {
  /** Lower bound, expected time and upper bound of the completion; the upper bound is computed when it is read. */
  readonly lowMs: number
  readonly expectedMs: number
  readonly highMs: number
  /** Time that the expected capacity needs for the work that precedes the job. */
  readonly aheadMs: number
  /** Time that the expected capacity needs for the job itself. */
  readonly ownMs: number
  readonly objectiveMs: number
  /** Time after which the job has certainly no value. */
  readonly expiryMs: number
  readonly capacity: number
}

/** Key of the only occurrence of a job in the best-effort ranking. */
const occurrenceKeyOf = ({ id }: protocol.workflow.JobSpec): string => `${id}/0`

interface DraftTimes {
  readonly chainMs: Readonly<Record<'low' | 'expected' | 'high', number>>
  readonly objectiveMs: number
  readonly expiryMs: number
}

type Steps = readonly workflowState.StepView[]

const meanOf = ({ low, high }: capacityTrend.Bounds): number => (low + high) / 2

const criticalPathMs = (steps: Steps, ownMs: (step: workflowState.StepView) => number): number =>
  Math.max(0, ...order.chainsToEnd(steps, ownMs))

const draftTimesOf = (
  steps: Steps,
  queue: protocol.workflow.Queue,
  expected: durations.Durations,
): DraftTimes => {
  const high = criticalPathMs(steps, (step) => expected.quantileMs(step, HIGH_QUANTILE))
  const mean = criticalPathMs(steps, expected.expect)
  const objectiveOf = (chainMs: number): number =>
    chainMs * queue.slackFactor + queue.latencyTargetMs
  return {
    chainMs: {
      low: criticalPathMs(steps, (step) => expected.quantileMs(step, LOW_QUANTILE)),
      expected: mean,
      high,
    },
    objectiveMs: objectiveOf(mean),
    // The objective grows with the duration, which is uncertain.
    expiryMs: order.EXPIRY_FACTOR * objectiveOf(Math.max(mean, high)),
  }
}

/**
 * Whether work precedes a new job in the order of placement. Late work does not: counting it refused more jobs, but left the
 * capacity to late ones, and goodput at three times the capacity fell from 1.42 to 1.11 jobs per second.
 */
const precedes = (work: order.Urgency, own: order.Urgency): boolean =>
  order.compareUrgency(work, own) <= 0

interface ReservedJob {
  readonly steps: Steps
  readonly times: DraftTimes
  readonly urgency: order.Urgency
  readonly requiredLabel: string
}

/** Time for which capacity of this size is busy with the work that precedes a job; an upper bound if `isUpper`. */
const reservedAheadMs = (
  job: ReservedJob,
  load: admissionLoad.ServiceLoad,
  cpuMillis: number,
  memoryMb: number,
  workFactor: number,
  isUpper: boolean,
): number => {
  let cpuMs = 0
  let memoryMs = 0
  let lastReleaseMs = 0
  let parts = 0
  let skippedReleaseMs = Number.NaN
  for (const work of load.reserved.open) {
    // Work with the same release time is in the order of placement.
    if (work.releaseMs === skippedReleaseMs) continue
    const { urgency } = work
    parts += 1
    if (!isUpper && parts > MAX_PARTS) break
    if (urgency !== undefined && !precedes(urgency, job.urgency)) {
      skippedReleaseMs = work.releaseMs
      continue
    }
    const atMs = Math.max(cpuMs, memoryMs)
    if (!isUpper) {
      // Work without the job's label may run elsewhere. In a gap before the next work, the job may start.
      if (work.requiredLabel !== job.requiredLabel) continue
      if (work.releaseMs > atMs) break
      // The leader places work last once the value of its job has expired.
      if (atMs > work.dropMs) continue
    }
    lastReleaseMs = work.releaseMs
    cpuMs += (workFactor * work.cpuMillisMs) / Math.max(1, cpuMillis)
    memoryMs += (workFactor * work.memoryMbMs) / Math.max(1, memoryMb)
  }
  return Math.max(cpuMs, memoryMs) + (isUpper ? lastReleaseMs : 0)
}

const workOf = (
  steps: Steps,
  taskMs: (step: workflowState.StepView) => number,
): admissionLoad.ReservedWork => {
  let cpuMillisMs = 0
  let memoryMbMs = 0
  for (const step of steps) {
    const claim = workflowState.claimOf(step.spec)
    const durationMs = taskMs(step) * step.spec.taskCount
    cpuMillisMs += claim.cpuMillis * durationMs
    memoryMbMs += claim.memoryMb * durationMs
  }
  return { cpuMillisMs, memoryMbMs }
}

const estimateReserved = (
  steps: Steps,
  times: DraftTimes,
  load: admissionLoad.ServiceLoad,
): CompletionEstimate | undefined => {
  const first = steps[0]
  const labels = new Set(steps.map(({ spec }) => spec.requiredLabel))
  // Work that is spread over workers with different labels has no common capacity.
  if (first === undefined || labels.size > 1) return undefined
  const { requiredLabel } = first.spec
  const capacity =
    requiredLabel === '' ? load.reserved.capacity : load.reserved.capacityOfLabel.get(requiredLabel)
  if (capacity === undefined) return undefined
  const { cpuMillis, memoryMb } = capacity
  // Workers may become eligible again at any time.
  if (cpuMillis.high <= 0 || memoryMb.high <= 0) return undefined
  const { expected } = load
  const urgency = {
    priority: first.job.queue.priority,
    outlook: 'in-time' as const,
    latestStartMs: load.timeOfDayMs + times.objectiveMs - times.chainMs.expected,
  }
  const job = { steps, times, urgency, requiredLabel }
  const ownMs = (bound: (bounds: capacityTrend.Bounds) => number, quantile?: number): number => {
    const work = workOf(steps, (step) =>
      quantile === undefined ? expected.expect(step) : expected.quantileMs(step, quantile),
    )
    return Math.max(
      work.cpuMillisMs / Math.max(1, bound(cpuMillis)),
      work.memoryMbMs / Math.max(1, bound(memoryMb)),
    )
  }
  const lowAheadMs = reservedAheadMs(
    job,
    load,
    cpuMillis.high,
    memoryMb.high,
    1 / WORK_ERROR_FACTOR,
    false,
  )
  const aheadMs = reservedAheadMs(job, load, meanOf(cpuMillis), meanOf(memoryMb), 1, false)
  const highAheadMs = (): number =>
    reservedAheadMs(job, load, cpuMillis.low, memoryMb.low, WORK_ERROR_FACTOR, true)
  const ownLowMs = ownMs(({ high }) => high, LOW_QUANTILE)
  const ownExpectedMs = ownMs(meanOf)
  return {
    lowMs: lowAheadMs + Math.max(times.chainMs.low, ownLowMs),
    expectedMs: aheadMs + Math.max(times.chainMs.expected, ownExpectedMs),
    get highMs() {
      return highAheadMs() + times.chainMs.high + ownMs(({ low }) => low, HIGH_QUANTILE)
    },
    aheadMs,
    ownMs: ownExpectedMs,
    objectiveMs: times.objectiveMs,
    expiryMs: times.expiryMs,
    capacity: meanOf(cpuMillis) / 1_000,
  }
}

const taskMsOf = (steps: Steps, taskMs: (step: workflowState.StepView) => number): number =>
  steps.reduce((sum, step) => sum + taskMs(step) * step.spec.taskCount, 0)

/** Jobs that precede `own` in the ranking, first ones first. */
const bestEffortAhead = (
  own: bestEffortRanking.BestEffortJob,
  { jobs, selected }: admissionLoad.BestEffortLoad,
  supply: number,
): readonly bestEffortRanking.BestEffortJob[] => {
  const { ranks, chosen } = bestEffortRanking.rankBestEffortJobs([...jobs, own], supply, selected)
  if (chosen.has(own.key)) return []
  const rankOf = ({ key }: bestEffortRanking.BestEffortJob): number =>
    ranks.get(key) ?? Number.MAX_SAFE_INTEGER
  const ownRank = rankOf(own)
  return jobs.filter((job) => rankOf(job) < ownRank).sort((a, b) => rankOf(a) - rankOf(b))
}

/** Time for which the supply is busy with jobs that are served one after the other until their value expires. */
const bestEffortAheadMs = (
  ahead: readonly bestEffortRanking.BestEffortJob[],
  supply: number,
  workFactor: number,
): number => {
  let atMs = 0
  for (const { remainingMs, chainMs, untilExpiryMs } of ahead) {
    if (atMs > untilExpiryMs - chainMs) continue
    atMs += (workFactor * remainingMs) / Math.max(Number.EPSILON, supply)
  }
  return atMs
}

const draftBestEffortJob = (
  key: string,
  steps: Steps,
  times: DraftTimes,
  expected: durations.Durations,
): bestEffortRanking.BestEffortJob => {
  const totalMs = taskMsOf(steps, expected.expect)
  return {
    key,
    totalMs,
    remainingMs: totalMs,
    chainMs: times.chainMs.expected,
    untilDueMs: times.objectiveMs,
    untilExpiryMs: order.EXPIRY_FACTOR * times.objectiveMs,
  }
}

const estimateBestEffort = (
  key: string,
  steps: Steps,
  times: DraftTimes,
  load: admissionLoad.ServiceLoad,
): CompletionEstimate | undefined => {
  const { expected, bestEffort } = load
  if (bestEffort === undefined || bestEffort.supply.high <= 0) return undefined
  const { supply } = bestEffort
  const own = draftBestEffortJob(key, steps, times, expected)
  const plannedSupply = supply.low * bestEffortRanking.PLANNED_SUPPLY_SHARE
  const ahead = bestEffortAhead(own, bestEffort, supply.high)
  const lowAheadMs = bestEffortAheadMs(ahead, supply.high, 1 / WORK_ERROR_FACTOR)
  const aheadMs = bestEffortAheadMs(ahead, meanOf(supply), 1)
  // The order of the jobs depends on the supply, so for the upper bound all of them precede the new one.
  const highAheadTaskMs = bestEffort.jobs.reduce((sum, { remainingMs }) => sum + remainingMs, 0)
  const ownMs = (supplied: number, quantile: number): number =>
    taskMsOf(steps, (step) => expected.quantileMs(step, quantile)) /
    Math.max(Number.EPSILON, supplied)
  const ownExpectedMs = own.totalMs / Math.max(Number.EPSILON, meanOf(supply))
  return {
    lowMs: lowAheadMs + Math.max(times.chainMs.low, ownMs(supply.high, LOW_QUANTILE)),
    expectedMs: aheadMs + Math.max(times.chainMs.expected, ownExpectedMs),
    highMs:
      (WORK_ERROR_FACTOR * highAheadTaskMs) / Math.max(Number.EPSILON, plannedSupply) +
      times.chainMs.high +
      ownMs(plannedSupply, HIGH_QUANTILE),
    aheadMs,
    ownMs: ownExpectedMs,
    objectiveMs: times.objectiveMs,
    expiryMs: times.expiryMs,
    capacity: meanOf(supply),
  }
}

/** Best-effort job as it competes when it is submitted; undefined for a job with other work. */
export const bestEffortJobOf = (
  spec: protocol.workflow.JobSpec,
  queue: protocol.workflow.Queue,
  expected: durations.Durations,
): bestEffortRanking.BestEffortJob | undefined => {
  if (spec.repetitions > 0 || !spec.steps.every(({ filling }) => filling)) return undefined
  const steps = draftJob.draftSteps(spec, queue, 0)
  const times = draftTimesOf(steps, queue, expected)
  return draftBestEffortJob(occurrenceKeyOf(spec), steps, times, expected)
}

/** Estimates the completion of a job; undefined for jobs that have no completion time or mix kinds of work. */
export const estimateCompletion = (
  spec: protocol.workflow.JobSpec,
  queue: protocol.workflow.Queue,
  load: admissionLoad.ServiceLoad,
): CompletionEstimate | undefined => {
  if (spec.repetitions > 0 || spec.steps.some(({ lasting }) => lasting)) return undefined
  const steps = draftJob.draftSteps(spec, queue, load.timeOfDayMs)
  const bestEffortCount = spec.steps.filter(({ filling }) => filling).length
  if (bestEffortCount !== 0 && bestEffortCount !== spec.steps.length) return undefined
  const times = draftTimesOf(steps, queue, load.expected)
  return bestEffortCount === 0
    ? estimateReserved(steps, times, load)
    : estimateBestEffort(occurrenceKeyOf(spec), steps, times, load)
}
