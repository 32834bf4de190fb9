/**
 * Ranks the jobs that compete for the CPU that latency-critical tasks leave unused. Fair sharing under overload would
 * make all jobs late, so the jobs that can meet their objectives together come first, one after the other.
 */

import type * as fairShares from './fairShares.js'

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
  /** Standing of its key in the fair shares. @default within its share */
  readonly share?: fairShares.ShareStanding
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
 * Share of the supply up to which jobs that are already selected and not late stay selected. The estimate of the supply fluctuates, and
 * a job that is dropped halfway has used supply in vain.
 */
const KEPT_SUPPLY_SHARE = 0.9

/** Part of its value that a job still earns between its objective and its expiry. */
const LATE_VALUE_SHARE = 0.15

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

/**
 * Jobs of `candidates`, in their order, whose tasks can all run concurrently. Jobs that are already selected may use more of
 * the supply than new ones.
 */
const selectWithinSupply = (
  candidates: readonly BestEffortJob[],
  supply: number,
  alreadySelected: ReadonlySet<string>,
): readonly BestEffortJob[] => {
  const selected: BestEffortJob[] = []
  let parallelism = 0
  for (const job of candidates) {
    const isKept = alreadySelected.has(job.key) && isWithinGrace(job)
    const isStarving = job.share?.shareClass === 'starving'
    const share = isKept || isStarving ? KEPT_SUPPLY_SHARE : PLANNED_SUPPLY_SHARE
    const planned = Math.max(MIN_SUPPLY, supply * share)
    if (selected.length > 0 && parallelism + parallelismOf(job) > planned) {
      // The supply that selected jobs leave goes to the starving job, not to later ones that need less at a time.
      if (isStarving && !isKept) break
      continue
    }
    parallelism += parallelismOf(job)
    selected.push(job)
  }
  return selected
}

/** Part of its value that a job is expected to earn. */
const expectedShare = (job: BestEffortJob, isSelected: boolean): number => {
  if (isSelected ? isWithinGrace(job) : canBeInTime(job)) return 1
  return isExpired(job) ? 0 : LATE_VALUE_SHARE
}

/** A selected job keeps its place, also before starving ones: the supply that it has used would be wasted. */
const SHARE_ORDER: Readonly<Record<fairShares.ShareClass | 'selected', number>> = {
  selected: 0,
  starving: 1,
  within: 2,
  above: 3,
}

const shareOrderOf = (job: BestEffortJob, isSelected: boolean): number => {
  if (job.share === undefined) return SHARE_ORDER.within
  return isSelected && isWithinGrace(job) ? SHARE_ORDER.selected : SHARE_ORDER[job.share.shareClass]
}

/**
 * Jobs that still earn something, by their standing in the fair shares, then by expected value per remaining work, with a
 * preference for those already selected.
 */
const byEarnings = (
  jobs: readonly BestEffortJob[],
  alreadySelected: ReadonlySet<string>,
): readonly BestEffortJob[] => {
  const valueOf = valuesOf(jobs)
  const densities = new Map<BestEffortJob, number>()
  for (const job of jobs) {
    const isSelected = alreadySelected.has(job.key)
    const factor = (isSelected ? SELECTED_FACTOR : 1) * expectedShare(job, isSelected)
    if (factor > 0) densities.set(job, (factor * valueOf(job)) / Math.max(1, job.remainingMs))
  }
  return [...densities.keys()].sort(
    (a, b) =>
      shareOrderOf(a, alreadySelected.has(a.key)) - shareOrderOf(b, alreadySelected.has(b.key)) ||
      (a.share?.sinceMs ?? 0) - (b.share?.sinceMs ?? 0) ||
      (densities.get(b) ?? 0) - (densities.get(a) ?? 0) ||
      byDue(a, b),
  )
}

/**
 * Jobs that end in time when all of them run at full speed concurrently. `supply` is the number of tasks that could run at
 * full speed, `alreadySelected` are the jobs of the previous selection.
 */
export const chooseJobsInTime = (
  jobs: readonly BestEffortJob[],
  supply: number,
  alreadySelected: ReadonlySet<string> = new Set(),
): readonly BestEffortJob[] => {
  const inTime = jobs.filter((job) => expectedShare(job, alreadySelected.has(job.key)) === 1)
  return selectWithinSupply(byEarnings(inTime, alreadySelected), supply, alreadySelected)
}

/** Order of the competing jobs. */
export interface BestEffortOrder {
  /** Rank of each job by its key, 0 for the first. */
  readonly ranks: ReadonlyMap<string, number>
  /** Jobs for which there is supply; the others would slow these down and interfere with latency-critical tasks. */
  readonly chosen: ReadonlySet<string>
}

/**
 * Ranks jobs by expected value per remaining work, those for which there is supply first and expired ones last. A late job
 * that is nearly done thus goes before one in time that has hardly begun. `alreadySelected` are the jobs of the previous
 * selection.
 */
export const rankBestEffortJobs = (
  jobs: readonly BestEffortJob[],
  supply: number,
  alreadySelected: ReadonlySet<string> = new Set(),
): BestEffortOrder => {
  const candidates = byEarnings(jobs, alreadySelected)
  const selected = selectWithinSupply(candidates, supply, alreadySelected)
  const chosen = new Set(selected)
  const isCandidate = new Set(candidates)
  const ranked = [
    ...selected,
    ...candidates.filter((job) => !chosen.has(job)),
    ...jobs.filter((job) => !isCandidate.has(job)).sort(byRemaining),
  ]
  return {
    ranks: new Map(ranked.map(({ key }, index) => [key, index])),
    chosen: new Set(selected.map(({ key }) => key)),
  }
}
