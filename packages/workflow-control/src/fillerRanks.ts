/** Ranks of the jobs that fill, kept up to date from the progress of their runs. */
import type * as protocol from '@ebonyweir/protocol'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as workflowState from '@ebonyweir/workflow-state'
import * as clocks from './clock.js'
import type * as workMeter from './workMeter.js'

/** Age above which ranks are worked out again, in milliseconds: about half the interval of the workers' lists. */
const MAX_AGE_MS = 250

/** Pause after a ranking, in lengths of that ranking: rankings then take at most a fifth of the loop. */
const PAUSE_FACTOR = 4

/** Images from which the supply is estimated; more of them change the mean little. */
const SUPPLY_IMAGES = 4

export interface FillerRanksOptions {
  readonly view: workflowState.WorkflowView
  readonly expected: scheduling.Durations
  readonly disturbance: scheduling.Disturbance
  readonly nowMs: () => number
  /** Time of day on the clock of the jobs' submission, in milliseconds. @default clock of the process */
  readonly timeOfDayMs?: () => number
  /** Progress of a task in percent: of its run, or of its checkpoint while it waits. */
  readonly percentOf: (run: protocol.workflow.TaskRun) => number
  readonly work: Pick<workMeter.WorkMeter, 'count' | 'measure'>
  readonly eligibleWorkers: () => readonly scheduling.PlacementWorker[]
}

export interface FillerRanks {
  /** Rank of a filling step; a lower one goes first. */
  readonly rankOf: (step: workflowState.StepView) => number
  /** Whether there is supply for a filling step's job; others may not disturb serving tasks. */
  readonly isChosen: (step: workflowState.StepView) => boolean
}

const occurrenceKey = ({ job, occurrence }: workflowState.StepView): string =>
  `${job.spec.id}/${occurrence}`

const stepsOf = ({ job, occurrence }: workflowState.StepView): readonly workflowState.StepView[] =>
  job.occurrences.get(occurrence)?.steps ?? []

export const createFillerRanks = (options: FillerRanksOptions): FillerRanks => {
  const { view, expected, nowMs, percentOf } = options
  const timeOfDayMs = options.timeOfDayMs ?? clocks.SYSTEM_CLOCK.timeOfDayMs
  let ranks: ReadonlyMap<string, number> = new Map()
  /** Occurrences that the newest ranking has chosen. */
  let chosen: ReadonlySet<string> = new Set()
  let rankedMs = Number.NEGATIVE_INFINITY
  let pauseMs = 0

  /** Part of a task that is left, from 0 to 1. */
  const leftOf = (step: workflowState.StepView, task: workflowState.TaskView): number => {
    if (task.phase === 'completed') return 0
    const run = {
      job: step.job.spec.id,
      occurrence: step.occurrence,
      step: step.index,
      index: task.index,
      run: task.run,
    }
    return 1 - percentOf(run) / 100
  }

  const jobOf = (first: workflowState.StepView): scheduling.FillingJob => {
    const { job, occurrence } = first
    const steps = stepsOf(first)
    let totalMs = 0
    let remainingMs = 0
    const slowest = steps.map((step) => {
      const taskMs = expected.expect(step)
      const left = step.tasks.map((task) => leftOf(step, task))
      totalMs += taskMs * step.tasks.length
      remainingMs += taskMs * left.reduce((sum, part) => sum + part, 0)
      return taskMs * Math.max(0, ...left)
    })
    const chains = scheduling.chainsToEnd(steps, ({ index }) => slowest[index] ?? 0)
    const objectiveMs = scheduling.objectiveMs(steps, job.queue, expected)
    const ageMs = timeOfDayMs() - scheduling.dueMs(job, occurrence)
    return {
      key: occurrenceKey(first),
      totalMs,
      remainingMs,
      chainMs: Math.max(0, ...chains),
      untilDueMs: objectiveMs - ageMs,
      untilWorthlessMs: scheduling.LATE_FACTOR * objectiveMs - ageMs,
    }
  }

  /** A step of each occurrence that fills and competes now, by service and occurrence. */
  const competing = (): ReadonlyMap<string, ReadonlyMap<string, workflowState.StepView>> => {
    const byService = new Map<string, Map<string, workflowState.StepView>>()
    const add = (step: workflowState.StepView): void => {
      if (!step.spec.filling || step.job.phase !== 'active') return
      const { service } = step.job.queue
      const known = byService.get(service) ?? new Map<string, workflowState.StepView>()
      byService.set(service, known.set(occurrenceKey(step), step))
    }
    for (const step of view.readySteps) add(step)
    for (const { runs } of view.loads.values()) for (const { step } of runs.values()) add(step)
    return byService
  }

  const rank = (): void => {
    options.work.count('rankings')
    const startedMs = nowMs()
    const next = new Map<string, number>()
    const nextChosen = new Set<string>()
    const workers = options.eligibleWorkers()
    for (const [service, steps] of competing()) {
      const input = {
        view,
        disturbance: options.disturbance,
        workers: workers.filter(({ description }) => description.service === service),
        fillerRank: () => 0,
      }
      const samples = new Map([...steps.values()].map((step) => [step.spec.image, step]))
      const supply = scheduling.fillingSupply(input, [...samples.values()].slice(0, SUPPLY_IMAGES))
      const jobs = [...steps.values()].map(jobOf)
      const order = scheduling.rankFillingJobs(jobs, supply, chosen)
      for (const [key, place] of order.ranks) next.set(key, place)
      for (const key of order.chosen) nextChosen.add(key)
    }
    ranks = next
    chosen = nextChosen
    rankedMs = nowMs()
    pauseMs = PAUSE_FACTOR * (rankedMs - startedMs)
  }

  const rankIfOld = (step: workflowState.StepView, key: string): void => {
    // A job that has ended does not compete, so a new ranking would not hold it either.
    const isMissing = !ranks.has(key) && step.job.phase === 'active'
    const ageMs = nowMs() - rankedMs
    if (ageMs < pauseMs || !(isMissing || ageMs > MAX_AGE_MS)) return
    options.work.measure('rank', rank)
  }

  return {
    rankOf: (step) => {
      const key = occurrenceKey(step)
      rankIfOld(step, key)
      return ranks.get(key) ?? Number.MAX_SAFE_INTEGER
    },
    isChosen: (step) => {
      const key = occurrenceKey(step)
      rankIfOld(step, key)
      return chosen.has(key)
    },
  }
}
