/**
 * Ranks the jobs that compete for the CPU that latency-critical tasks leave unused. Fair sharing under overload would
 * make all jobs late, so the jobs that can meet their objectives together come first, one after the other.
 */

/** Remaining best-effort work of one occurrence of a job. */
export interface BestEffortJob {
  /** Key of the occurrence. */
  readonly key: string
  /** Full-speed time of all its tasks. */
  readonly totalMs: number
  /** Full-speed time of the remaining work of its tasks. */
  readonly remainingMs: number
  /** Full-speed time of the remaining critical path. */
  readonly chainMs: number
  /** Time left until its objective; negative after it. */
  readonly untilDueMs: number
  /** Time left until its value has expired. */
  readonly untilExpiryMs: number
}

/** Part of a job's value that does not depend on its size, in jobs of the mean size. */
const FIXED_VALUE = 0.3

/**
 * Share of the supply that a plan uses. The load of latency-critical tasks fluctuates, and all jobs of an overcommitted
 * plan are late; shares of 0.8 and more also harm latency-critical tasks more.
 */
export const PLANNED_SUPPLY_SHARE = 0.6

/** Lower bound of the supply that a plan uses, in tasks at full speed; the estimated supply can be 0. */
const MIN_SUPPLY = 0.5

/**
 * Preference for jobs that are already selected. A job that is suspended halfway is as late as one that never started,
 * and expected durations change by a factor of two or more while a job runs.
 */
const SELECTED_FACTOR = 4

/**
 * Share of the time between objective and expiry by which a selected job may be expected to be late before it loses its
 * selection; its expected duration is uncertain.
 */
const GRACE_SHARE = 0.2

const byDue = (a: BestEffortJob, b: BestEffortJob): number => a.untilDueMs - b.untilDueMs

const byRemaining = (a: BestEffortJob, b: BestEffortJob): number => a.remainingMs - b.remainingMs

/** Value of each job, in jobs of the mean size. */
const valuesOf = (jobs: readonly BestEffortJob[]): ((job: BestEffortJob) => number) => {
  const meanMs = jobs.reduce((sum, { totalMs }) => sum + totalMs, 0) / Math.max(1, jobs.length)
  return ({ totalMs }) => FIXED_VALUE + (1 - FIXED_VALUE) * (totalMs / Math.max(1, meanMs))
}

/** Number of tasks that have to run concurrently for the job to end within its critical path. */
const parallelismOf = ({ remainingMs, chainMs }: BestEffortJob): number =>
  remainingMs / Math.max(1, chainMs)

const canBeInTime = ({ chainMs, untilDueMs }: BestEffortJob): boolean => chainMs <= untilDueMs

const isExpired = ({ chainMs, untilExpiryMs }: BestEffortJob): boolean => chainMs > untilExpiryMs

/** Whether a selected job is expected to be in time, or late by no more than `GRACE_SHARE` allows. */
const isWithinGrace = ({ chainMs, untilDueMs, untilExpiryMs }: BestEffortJob): boolean =>
  chainMs <= untilDueMs + GRACE_SHARE * (untilExpiryMs - untilDueMs)

/** Jobs of `candidates`, in their order, whose tasks can all run concurrently with those of `chosen`. */
const selectWithinSupply = (
  candidates: readonly BestEffortJob[],
  supply: number,
  chosen: readonly BestEffortJob[] = [],
): readonly BestEffortJob[] => {
  const planned = Math.max(MIN_SUPPLY, supply * PLANNED_SUPPLY_SHARE)
  let parallelism = chosen.reduce((sum, job) => sum + parallelismOf(job), 0)
  const added: BestEffortJob[] = []
  for (const job of candidates) {
    const isFirst = chosen.length + added.length === 0
    if (!isFirst && parallelism + parallelismOf(job) > planned) continue
    parallelism += parallelismOf(job)
    added.push(job)
  }
  return added
}

/**
 * Jobs that end in time when all of them run at full speed concurrently, by value per remaining work, with a preference
 * for those `alreadySelected`. `supply` is the number of tasks that could run at full speed.
 */
export const chooseJobsInTime = (
  jobs: readonly BestEffortJob[],
  supply: number,
  alreadySelected: ReadonlySet<string> = new Set(),
): readonly BestEffortJob[] => {
  const valueOf = valuesOf(jobs)
  const densities = new Map<BestEffortJob, number>()
  for (const job of jobs) {
    const isSelected = alreadySelected.has(job.key)
    if (!(isSelected ? isWithinGrace(job) : canBeInTime(job))) continue
    const factor = isSelected ? SELECTED_FACTOR : 1
    densities.set(job, (factor * valueOf(job)) / Math.max(1, job.remainingMs))
  }
  const candidates = [...densities.keys()].sort(
    (a, b) => (densities.get(b) ?? 0) - (densities.get(a) ?? 0) || byDue(a, b),
  )
  return selectWithinSupply(candidates, supply)
}

/** Order of the competing jobs. */
export interface BestEffortOrder {
  /** Rank of each job by its key, 0 for the first. */
  readonly ranks: ReadonlyMap<string, number>
  /** Jobs for which there is supply; the others would slow these down and interfere with latency-critical tasks. */
  readonly chosen: ReadonlySet<string>
}

/**
 * Ranks the jobs that can be in time first, then late jobs by remaining work, then expired ones. Late jobs get the
 * supply that is left. `alreadySelected` are the jobs of the previous selection.
 */
export const rankBestEffortJobs = (
  jobs: readonly BestEffortJob[],
  supply: number,
  alreadySelected: ReadonlySet<string> = new Set(),
): BestEffortOrder => {
  const inTime = chooseJobsInTime(jobs, supply, alreadySelected)
  const isInTime = new Set(inTime)
  const others = jobs.filter((job) => !isInTime.has(job)).sort(byRemaining)
  const ranked = [
    ...inTime,
    ...others.filter((job) => !isExpired(job)),
    ...others.filter(isExpired),
  ]
  const late = selectWithinSupply(ranked.slice(inTime.length), supply, inTime)
  return {
    ranks: new Map(ranked.map(({ key }, index) => [key, index])),
    chosen: new Set([...inTime, ...late].map(({ key }) => key)),
  }
}
