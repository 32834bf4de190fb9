/** Ranks of best-effort jobs (`filling` steps), recomputed from the progress of their runs. */
import type * as protocol from '@ebonyweir/protocol'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as workflowState from '@ebonyweir/workflow-state'
import * as bestEffortShares from './bestEffortShares.js'
import * as clocks from './clock.js'
import type * as workStatistics from './workStatistics.js'

/** Age after which ranks are recomputed, in milliseconds: about half the interval of the workers' run lists. */
const MAX_RANK_AGE_MS = 250

/** Pause after a ranking as a multiple of its duration: rankings then take at most a fifth of the event loop's time. */
const PAUSE_FACTOR = 4

/** Maximum number of images from which the supply is estimated; more of them change the mean little. */
const MAX_SUPPLY_IMAGES = 4

export interface BestEffortRanksOptions {
  readonly view: workflowState.WorkflowView
  readonly expected: scheduling.Durations
  readonly disturbance: scheduling.InterferenceModel
  readonly nowMs: () => number
  /** Time of day in milliseconds, on the clock of the jobs' submission times. @default clock of the process */
  readonly timeOfDayMs?: () => number
  /** Progress of a task in percent: of its run, or of its checkpoint while it is waiting. */
  readonly percentOf: (run: protocol.workflow.TaskRun) => number
  readonly work: Pick<workStatistics.WorkStatistics, 'count' | 'measure'>
  readonly eligibleWorkers: () => readonly scheduling.PlacementWorker[]
  /** Standings of the competing jobs of a service in the fair shares. @default no fair shares */
  readonly shares?: (
    service: string,
    jobs: readonly scheduling.CompetingJob[],
    supply: scheduling.PoolSupply,
  ) => readonly scheduling.ShareStanding[]
}

/** Jobs of one service that compete for the best-effort supply, as of the newest ranking. */
export interface RankedLoad {
  /** Monotonic time of the ranking. */
  readonly atMs: number
  readonly jobs: readonly scheduling.BestEffortJob[]
  /** Keys of the jobs for which the supply sufficed. */
  readonly chosen: ReadonlySet<string>
  readonly supply: number
}

export interface BestEffortRanks {
  /** Rank of a best-effort step; lower ranks are placed first. */
  readonly rankOf: (step: workflowState.StepView) => number
  /** Whether the supply suffices for the job of a best-effort step; only such jobs may slow latency-critical tasks. */
  readonly isChosen: (step: workflowState.StepView) => boolean
  /** Load of a service, ranked anew if the newest ranking is outdated; undefined if no job competes. */
  readonly loadOf: (service: string) => RankedLoad | undefined
}

/** Cached `occurrenceKey`s; each plan and each report needs them for many steps. */
const occurrenceKeys = new WeakMap<workflowState.StepView, string>()

const occurrenceKey = (step: workflowState.StepView): string => {
  const known = occurrenceKeys.get(step)
  if (known !== undefined) return known
  const key = `${step.job.spec.id}/${step.occurrence}`
  occurrenceKeys.set(step, key)
  return key
}

const stepsOf = ({ job, occurrence }: workflowState.StepView): readonly workflowState.StepView[] =>
  job.occurrences.get(occurrence)?.steps ?? []

export const createBestEffortRanks = (options: BestEffortRanksOptions): BestEffortRanks => {
  const { view, expected, nowMs, percentOf } = options
  const timeOfDayMs = options.timeOfDayMs ?? clocks.SYSTEM_CLOCK.timeOfDayMs
  let ranks: ReadonlyMap<string, number> = new Map()
  /** Occurrences for which the supply sufficed in the newest ranking. */
  let chosen: ReadonlySet<string> = new Set()
  const supplies = new Map<string, scheduling.BestEffortSupply>()
  let loads: ReadonlyMap<string, RankedLoad> = new Map()
  let rankedMs = Number.NEGATIVE_INFINITY
  let pauseMs = 0

  const supplyOf = (service: string): scheduling.BestEffortSupply => {
    const known = supplies.get(service) ?? scheduling.createBestEffortSupply()
    supplies.set(service, known)
    return known
  }

  /** Remaining time of a task relative to the expected duration of its step. */
  const remainingShare = (step: workflowState.StepView, task: workflowState.TaskView): number => {
    if (task.phase === 'completed') return 0
    const run = {
      job: step.job.spec.id,
      occurrence: step.occurrence,
      step: step.index,
      index: task.index,
      run: task.run,
    }
    return expected.remainingShare(step, task.index, percentOf(run))
  }

  /** State of a job at `atMs`, a time of day that is the same for all jobs of a ranking. */
  const jobOf = (first: workflowState.StepView, atMs: number): scheduling.BestEffortJob => {
    const { job, occurrence } = first
    const steps = stepsOf(first)
    let totalMs = 0
    let remainingMs = 0
    const slowest = steps.map((step) => {
      const taskMs = expected.expect(step)
      const left = step.tasks.map((task) => remainingShare(step, task))
      totalMs += taskMs * step.tasks.length
      remainingMs += taskMs * left.reduce((sum, part) => sum + part, 0)
      return taskMs * Math.max(0, ...left)
    })
    const chains = scheduling.chainsToEnd(steps, ({ index }) => slowest[index] ?? 0)
    const objectiveMs = scheduling.objectiveMs(steps, job.queue, expected)
    const ageMs = atMs - scheduling.dueMs(job, occurrence)
    return {
      key: occurrenceKey(first),
      totalMs,
      remainingMs,
      chainMs: Math.max(0, ...chains),
      untilDueMs: objectiveMs - ageMs,
      untilExpiryMs: scheduling.EXPIRY_FACTOR * objectiveMs - ageMs,
    }
  }

  /** Adds the standings in the fair shares to the jobs of a service, which are given in the order of `steps`. */
  const withShares = (
    service: string,
    steps: readonly workflowState.StepView[],
    jobs: readonly scheduling.BestEffortJob[],
    supply: number,
  ): readonly scheduling.BestEffortJob[] => {
    if (options.shares === undefined) return jobs
    const competing = steps.flatMap((step, index) => {
      const job = jobs[index]
      return job === undefined ? [] : [{ step, job }]
    })
    // Within a key, the order without shares stays: one by due time would make all of its jobs late under overload.
    const { ranks: unshared } = scheduling.rankBestEffortJobs(jobs, supply, chosen)
    competing.sort((a, b) => (unshared.get(a.job.key) ?? 0) - (unshared.get(b.job.key) ?? 0))
    const works = competing.map(({ step, job }) => ({
      ...bestEffortShares.unstartedWorkOf(stepsOf(step), expected),
      job: step.job,
      isExpired: job.chainMs > job.untilExpiryMs,
    }))
    const cores = bestEffortShares.supplyOf(steps.map(stepsOf), supply)
    const standings = options.shares(service, works, cores)
    return competing.map(({ job }, index) => ({ ...job, share: standings[index] }))
  }

  /** One ready or running best-effort step of each occurrence, by service and occurrence. */
  const competingSteps = (): ReadonlyMap<string, ReadonlyMap<string, workflowState.StepView>> => {
    const byService = new Map<string, Map<string, workflowState.StepView>>()
    const add = (step: workflowState.StepView): void => {
      if (!step.spec.filling || step.job.phase !== 'active') return
      const { service } = step.job.queue
      const known = byService.get(service) ?? new Map<string, workflowState.StepView>()
      byService.set(service, known.set(occurrenceKey(step), step))
    }
    for (const step of view.readySteps) add(step)
    for (const { runsOfStep } of view.loads.values())
      for (const step of runsOfStep.keys()) add(step)
    return byService
  }

  const rank = (): void => {
    options.work.count('rankings')
    const startedMs = nowMs()
    const atMs = timeOfDayMs()
    const next = new Map<string, number>()
    const nextChosen = new Set<string>()
    const nextLoads = new Map<string, RankedLoad>()
    const workers = options.eligibleWorkers()
    const competing = competingSteps()
    for (const [service, steps] of competing) {
      const input = {
        view,
        disturbance: options.disturbance,
        workers: workers.filter(({ description }) => description.service === service),
        fillerRank: () => 0,
      }
      const samples = new Map([...steps.values()].map((step) => [step.spec.image, step]))
      const supply = supplyOf(service)(input, [...samples.values()].slice(0, MAX_SUPPLY_IMAGES))
      const jobs = [...steps.values()].map((step) => jobOf(step, atMs))
      const shared = withShares(service, [...steps.values()], jobs, supply)
      const order = scheduling.rankBestEffortJobs(shared, supply, chosen)
      for (const [key, position] of order.ranks) next.set(key, position)
      for (const key of order.chosen) nextChosen.add(key)
      nextLoads.set(service, { atMs: startedMs, jobs, chosen: order.chosen, supply })
    }
    for (const service of supplies.keys()) if (!competing.has(service)) supplies.delete(service)
    ranks = next
    chosen = nextChosen
    loads = nextLoads
    rankedMs = nowMs()
    pauseMs = PAUSE_FACTOR * (rankedMs - startedMs)
  }

  const rankIfOutdated = (step: workflowState.StepView, key: string): void => {
    // An ended job is not ranked, so a new ranking would not contain it either.
    const isMissing = !ranks.has(key) && step.job.phase === 'active'
    const ageMs = nowMs() - rankedMs
    if (ageMs < pauseMs || !(isMissing || ageMs > MAX_RANK_AGE_MS)) return
    options.work.measure('rank', rank)
  }

  return {
    rankOf: (step) => {
      const key = occurrenceKey(step)
      rankIfOutdated(step, key)
      return ranks.get(key) ?? Number.MAX_SAFE_INTEGER
    },
    isChosen: (step) => {
      const key = occurrenceKey(step)
      rankIfOutdated(step, key)
      return chosen.has(key)
    },
    loadOf: (service) => {
      const ageMs = nowMs() - rankedMs
      if (ageMs >= pauseMs && ageMs > MAX_RANK_AGE_MS) options.work.measure('rank', rank)
      return loads.get(service)
    },
  }
}
