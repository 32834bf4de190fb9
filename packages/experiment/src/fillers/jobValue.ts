/** Value of best-effort jobs to their callers, and the interval in which long-running tasks earn value. */
import * as load from './load.js'

/** Share of its value that a late job earns, and the multiple of its objective after which it earns nothing. */
const LATE_VALUE_SHARE = 0.15
const LATE_LIMIT_FACTOR = 3

/** Share of a job's value that does not depend on its work. */
const FIXED_VALUE_SHARE = 0.3

/** Jobs submitted in this time before the end of the traffic do not count: too little time is left to complete them. */
export const EXCLUDED_END_MS = 10_000

/** Interval in which a long-running task earns value. */
export const LONG_RUNNING_VALUE_INTERVAL_MS = 2_000

const sumOf = (numbers: readonly number[]): number => numbers.reduce((sum, one) => sum + one, 0)

const totalWorkMs = ({ workMs }: load.SimulatedJob): number => sumOf(workMs.map(sumOf))

/** Time from the submission within which a job earns its full value. */
export const objectiveMs = ({ workMs }: load.SimulatedJob): number =>
  sumOf(workMs.map((tasks) => Math.max(...tasks))) * load.SLACK_FACTOR + load.OBJECTIVE_EXTRA_MS

const earnedShare = (job: load.SimulatedJob, endedMs: number | undefined): number => {
  if (endedMs === undefined) return 0
  const tookMs = endedMs - job.atMs
  if (tookMs <= objectiveMs(job)) return 1
  return tookMs <= objectiveMs(job) * LATE_LIMIT_FACTOR ? LATE_VALUE_SHARE : 0
}

/** Jobs of a kind that count towards the value. */
export const eligibleJobs = (
  jobs: readonly load.SimulatedJob[],
  trafficMs: number,
  kind: load.JobKind = 'filling',
): readonly load.SimulatedJob[] =>
  jobs.filter(
    (job) => job.kind === kind && job.atMs <= load.WARM_UP_MS + trafficMs - EXCLUDED_END_MS,
  )

/** Time from the submission after which a job earns nothing. */
export const expiryMs = (job: load.SimulatedJob): number => objectiveMs(job) * LATE_LIMIT_FACTOR

/** Value that was earned, in jobs of the mean size of the eligible ones. */
export const goodputJobs = (
  eligible: readonly load.SimulatedJob[],
  endedMs: ReadonlyMap<string, number>,
): number => eligible.length * bestEffortValue(eligible, endedMs)

/** Share of the value of the eligible jobs that was earned; `endedMs` holds the end time of completed jobs by id. */
export const bestEffortValue = (
  eligible: readonly load.SimulatedJob[],
  endedMs: ReadonlyMap<string, number>,
): number => {
  const meanMs = sumOf(eligible.map(totalWorkMs)) / Math.max(1, eligible.length)
  const jobValues = eligible.map(
    (job) => FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * (totalWorkMs(job) / meanMs),
  )
  const earnedValues = eligible.map(
    (job, index) => (jobValues[index] ?? 0) * earnedShare(job, endedMs.get(job.spec.id)),
  )
  return sumOf(earnedValues) / Math.max(1e-9, sumOf(jobValues))
}
