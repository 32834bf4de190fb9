/** What callers get: worth of filling jobs and of lasting tasks, as far as a day owes it. */
import * as load from './load.js'

/** Part of its worth that a late job earns, and the objectives until which it earns that. */
const LATE_PART = 0.15
const LATE_FACTOR = 3

/** Part of a job's worth that does not depend on its work. */
const FIXED_WORTH = 0.3

/** Jobs that come later than this before the end of the traffic are not owed, in milliseconds: too little time is left. */
const UNOWED_END_MS = 10_000

/** Interval in which a lasting task earns, in milliseconds. */
export const LASTING_INTERVAL_MS = 2_000

const sumOf = (numbers: readonly number[]): number => numbers.reduce((sum, one) => sum + one, 0)

const workOf = ({ workMs }: load.SimulatedJob): number => sumOf(workMs.map(sumOf))

/** Time from the submission within which a job earns its whole worth, in milliseconds. */
export const objectiveMs = ({ workMs }: load.SimulatedJob): number =>
  sumOf(workMs.map((tasks) => Math.max(...tasks))) * load.SLACK_FACTOR + load.OBJECTIVE_EXTRA_MS

const partEarned = (job: load.SimulatedJob, endedMs: number | undefined): number => {
  if (endedMs === undefined) return 0
  const tookMs = endedMs - job.atMs
  if (tookMs <= objectiveMs(job)) return 1
  return tookMs <= objectiveMs(job) * LATE_FACTOR ? LATE_PART : 0
}

export const owedJobs = (
  jobs: readonly load.SimulatedJob[],
  trafficMs: number,
): readonly load.SimulatedJob[] =>
  jobs.filter(
    ({ kind, atMs }) => kind === 'filling' && atMs <= load.WARM_UP_MS + trafficMs - UNOWED_END_MS,
  )

/** Share of the worth of the owed jobs that was earned; `endedMs` holds the completed jobs. */
export const fillingWorth = (
  owed: readonly load.SimulatedJob[],
  endedMs: ReadonlyMap<string, number>,
): number => {
  const meanMs = sumOf(owed.map(workOf)) / Math.max(1, owed.length)
  const worths = owed.map((job) => FIXED_WORTH + (1 - FIXED_WORTH) * (workOf(job) / meanMs))
  const earned = owed.map(
    (job, index) => (worths[index] ?? 0) * partEarned(job, endedMs.get(job.spec.id)),
  )
  return sumOf(earned) / Math.max(1e-9, sumOf(worths))
}
