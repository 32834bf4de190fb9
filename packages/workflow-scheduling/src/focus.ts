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

/**
 * Part of the supply that is planned with: the load of serving tasks swings, and a plan that is too full is late as a
 * whole. Of 0.4, 0.6, 0.8 and 1.1, serving tasks lost least up to 0.6 in the simulation of 61 workers.
 */
export const PLANNED_SUPPLY_SHARE = 0.6

/** Least supply that is assumed, in tasks at full speed, so that a plan has an end. */
const MIN_SUPPLY = 0.5

/**
 * Factor by which a job in hand goes before others. Work that is put off in the middle is late like work that never
 * began, and expected durations change by a factor of two or more while a job runs.
 */
const IN_HAND_FACTOR = 4

/**
 * Part of the time between due and worthless by which a job in hand may be expected late before it is given up, since
 * its expected duration is uncertain.
 */
const GRACE_PART = 0.2

const byDue = (a: FillingJob, b: FillingJob): number => a.untilDueMs - b.untilDueMs

const byRemaining = (a: FillingJob, b: FillingJob): number => a.remainingMs - b.remainingMs

/** Worth of each job, in jobs of the mean size. */
const worthsOf = (jobs: readonly FillingJob[]): ((job: FillingJob) => number) => {
  const meanMs = jobs.reduce((sum, { totalMs }) => sum + totalMs, 0) / Math.max(1, jobs.length)
  return ({ totalMs }) => FIXED_WORTH + (1 - FIXED_WORTH) * (totalMs / Math.max(1, meanMs))
}

/** Tasks of a job that have to work at a time for it to end after its longest chain. */
const widthOf = ({ remainingMs, chainMs }: FillingJob): number => remainingMs / Math.max(1, chainMs)

const canBeInTime = ({ chainMs, untilDueMs }: FillingJob): boolean => chainMs <= untilDueMs

const isWorthless = ({ chainMs, untilWorthlessMs }: FillingJob): boolean =>
  chainMs > untilWorthlessMs

/** Whether a job in hand is expected in time, or so little late that its expected duration may be at fault. */
const mayBeInTime = ({ chainMs, untilDueMs, untilWorthlessMs }: FillingJob): boolean =>
  chainMs <= untilDueMs + GRACE_PART * (untilWorthlessMs - untilDueMs)

/** Jobs of `candidates`, in their order, whose tasks can all work at a time beside those of `chosen`. */
const fill = (
  candidates: readonly FillingJob[],
  supply: number,
  chosen: readonly FillingJob[] = [],
): readonly FillingJob[] => {
  const planned = Math.max(MIN_SUPPLY, supply * PLANNED_SUPPLY_SHARE)
  let width = chosen.reduce((sum, job) => sum + widthOf(job), 0)
  const added: FillingJob[] = []
  for (const job of candidates) {
    const isFirst = chosen.length + added.length === 0
    if (!isFirst && width + widthOf(job) > planned) continue
    width += widthOf(job)
    added.push(job)
  }
  return added
}

/**
 * Jobs that end in time when all of them work at full speed at once: those that earn most for what is left of them, with
 * preference for those `inHand`. `supply` is the number of tasks that could work at full speed.
 */
export const chooseJobsInTime = (
  jobs: readonly FillingJob[],
  supply: number,
  inHand: ReadonlySet<string> = new Set(),
): readonly FillingJob[] => {
  const worthOf = worthsOf(jobs)
  const densities = new Map<FillingJob, number>()
  for (const job of jobs) {
    const isInHand = inHand.has(job.key)
    if (!(isInHand ? mayBeInTime(job) : canBeInTime(job))) continue
    const factor = isInHand ? IN_HAND_FACTOR : 1
    densities.set(job, (factor * worthOf(job)) / Math.max(1, job.remainingMs))
  }
  const candidates = [...densities.keys()].sort(
    (a, b) => (densities.get(b) ?? 0) - (densities.get(a) ?? 0) || byDue(a, b),
  )
  return fill(candidates, supply)
}

/** Order of the jobs that compete. */
export interface FillingOrder {
  /** Rank of each job by its key, 0 for the first. */
  readonly ranks: ReadonlyMap<string, number>
  /** Jobs for which there is supply; the others would only slow these and disturb serving tasks. */
  readonly chosen: ReadonlySet<string>
}

/**
 * Ranks the jobs that can be in time first, then those that are only late, the shortest first, then the rest. Late ones
 * get the supply that is left. `inHand` are the jobs that were chosen before.
 */
export const rankFillingJobs = (
  jobs: readonly FillingJob[],
  supply: number,
  inHand: ReadonlySet<string> = new Set(),
): FillingOrder => {
  const inTime = chooseJobsInTime(jobs, supply, inHand)
  const isInTime = new Set(inTime)
  const others = jobs.filter((job) => !isInTime.has(job)).sort(byRemaining)
  const ranked = [
    ...inTime,
    ...others.filter((job) => !isWorthless(job)),
    ...others.filter(isWorthless),
  ]
  const late = fill(ranked.slice(inTime.length), supply, inTime)
  return {
    ranks: new Map(ranked.map(({ key }, index) => [key, index])),
    chosen: new Set([...inTime, ...late].map(({ key }) => key)),
  }
}
