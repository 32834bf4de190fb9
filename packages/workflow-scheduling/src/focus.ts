/**
 * Ranks of the jobs that compete for what serving tasks leave unused. Under overload a job that shares its workers with
 * all others ends late like them, so the jobs that can be in time together go first, one after the other.
 */

/** Filling work that one occurrence of a job still owes. */
export interface FillingJob {
  /** Key of the occurrence. */
  readonly key: string
  /** Full-speed time of all its tasks, in milliseconds. */
  readonly totalMs: number
  /** Full-speed time of what is left of its tasks, in milliseconds. */
  readonly remainingMs: number
  /** Full-speed time of the longest chain that is left, in milliseconds. */
  readonly chainMs: number
  /** Time left until its objective, in milliseconds; negative after it. */
  readonly untilDueMs: number
  /** Time left until it earns nothing any more, in milliseconds. */
  readonly untilWorthlessMs: number
}

/** Worth of a job that does not depend on its size, in jobs of the mean size; the users' pages give this figure. */
const FIXED_WORTH = 0.3

/** Part of the supply that is planned with: the load of serving tasks swings, and a plan that is too full is late as a whole. */
export const PLANNED_SUPPLY_SHARE = 0.8

/** Least supply that is assumed, in tasks at full speed, so that a plan has an end. */
const MIN_SUPPLY = 0.5

const byDue = (a: FillingJob, b: FillingJob): number => a.untilDueMs - b.untilDueMs

const byRemaining = (a: FillingJob, b: FillingJob): number => a.remainingMs - b.remainingMs

/** Worth of each job, in jobs of the mean size. */
const worthsOf = (jobs: readonly FillingJob[]): ((job: FillingJob) => number) => {
  const meanMs = jobs.reduce((sum, { totalMs }) => sum + totalMs, 0) / Math.max(1, jobs.length)
  return ({ totalMs }) => FIXED_WORTH + (1 - FIXED_WORTH) * (totalMs / Math.max(1, meanMs))
}

/**
 * Jobs that can be in time together, in the order of their due times. While the order does not hold, the job that earns
 * least for what is left of it is left out (Moore and Hodgson, with weights). `supply` is the number of tasks that could
 * work at full speed.
 */
export const chooseJobsInTime = (
  jobs: readonly FillingJob[],
  supply: number,
): readonly FillingJob[] => {
  const planned = Math.max(MIN_SUPPLY, supply * PLANNED_SUPPLY_SHARE)
  const worthOf = worthsOf(jobs)
  const possible = jobs.filter(({ chainMs, untilDueMs }) => chainMs <= untilDueMs)
  const chosen: FillingJob[] = []
  let plannedMs = 0
  for (const job of possible.sort(byDue)) {
    chosen.push(job)
    plannedMs += job.remainingMs
    while (plannedMs / planned > job.untilDueMs && chosen.length > 0) {
      let worst = 0
      for (const [index, other] of chosen.entries()) {
        const before = chosen[worst] ?? other
        if (worthOf(other) * before.remainingMs < worthOf(before) * other.remainingMs) worst = index
      }
      const [removed] = chosen.splice(worst, 1)
      plannedMs -= removed?.remainingMs ?? 0
    }
  }
  return chosen
}

/**
 * Rank of each job by its key, 0 for the first: those that can be in time, then those that are only late, the shortest
 * first, then the rest.
 */
export const rankFillingJobs = (
  jobs: readonly FillingJob[],
  supply: number,
): ReadonlyMap<string, number> => {
  const inTime = chooseJobsInTime(jobs, supply)
  const isChosen = new Set(inTime)
  const others = jobs.filter((job) => !isChosen.has(job)).sort(byRemaining)
  const isWorthless = ({ chainMs, untilWorthlessMs }: FillingJob): boolean =>
    chainMs > untilWorthlessMs
  const ranked = [
    ...inTime,
    ...others.filter((job) => !isWorthless(job)),
    ...others.filter(isWorthless),
  ]
  return new Map(ranked.map(({ key }, index) => [key, index]))
}
