/** Applies fair shares to the steps and jobs of the replicated state. */
import type * as protocol from '@ebonyweir/protocol'
import * as workflowState from '@ebonyweir/workflow-state'
import type * as durations from './durations.js'
import * as fairShares from './fairShares.js'
import type * as order from './order.js'
import * as sizeClasses from './sizeClasses.js'
import * as submissionTimes from './submissionTimes.js'

const MILLIS_PER_CORE = 1_000

/** Job, or submission that is not a job yet, as far as its key depends on it. */
export interface ShareSubject {
  readonly spec: protocol.workflow.JobSpec
  readonly queue: protocol.workflow.Queue
  readonly callerDomain: string
}

/** Ready step that reserves CPU, with its urgency. */
export interface UrgentStep {
  readonly step: workflowState.StepView
  readonly urgency: order.Urgency
  /** Time until its latest start; negative after it. */
  readonly slackMs: number
}

/** Best-effort job whose tasks compete for the supply of a service. */
export interface CompetingJob {
  readonly job: workflowState.JobView
  /** CPU of its tasks that never ran. */
  readonly unstartedCores: number
  readonly unstartedCoreMs: number
  readonly isExpired: boolean
}

export interface ShareOrder {
  /** Key of a job; the same for all calls with one job. */
  readonly keyOf: (job: workflowState.JobView) => fairShares.ShareKey
  /** Key that a submission would get; has no effect. */
  readonly keyOfSubmission: (subject: ShareSubject) => fairShares.ShareKey
  /** Standings of steps that reserve CPU, given in the order without shares. */
  readonly standingsOfSteps: (
    steps: readonly UrgentStep[],
    view: workflowState.WorkflowView,
    freeCores: (service: string) => number,
    nowMs: number,
  ) => ReadonlyMap<workflowState.StepView, fairShares.ShareStanding>
  /** Standings of the competing jobs of a service, given in the order without shares. */
  readonly standingsOfJobs: (
    service: string,
    jobs: readonly CompetingJob[],
    supply: fairShares.PoolSupply,
    nowMs: number,
  ) => readonly fairShares.ShareStanding[]
  /** Charges a started run to the key of its job; a later run of the same task costs its caller nothing. */
  readonly recordStart: (active: workflowState.ActiveRun, nowMs: number) => void
  /**
   * Rebuilds the usage from the replicated state, which has no start times: completed tasks count at the middle between
   * the job's submission and now (or its end), runs at half of their expected duration ago.
   */
  readonly rebuild: (view: workflowState.WorkflowView, nowMs: number, timeOfDayMs: number) => void
  readonly positions: (pool: string) => fairShares.PoolPositions | undefined
  /** Pools in which steps of a submission take part, with its precedence among the waiting work of its key. */
  readonly poolsOf: (subject: Pick<ShareSubject, 'spec' | 'queue'>) => ReadonlyMap<string, number>
  readonly usage: fairShares.FairShares['usage']
}

export interface ShareOrderOptions {
  readonly expected: Pick<durations.Durations, 'expect'>
  /** Weight of each queue by name; a queue that is not named weighs 1. */
  readonly weights: ReadonlyMap<string, number>
}

/** Steps that reserve CPU and best-effort steps of a service use different CPU, so they have usage of their own. */
export const poolName = (service: string, isBestEffort: boolean): string =>
  `${service}/${isBestEffort ? 'best-effort' : 'reserved'}`

const poolOfStep = ({ job, spec }: workflowState.StepView): string =>
  poolName(job.queue.service, spec.filling)

export const coresOf = (step: workflowState.StepView): number =>
  workflowState.claimOf(step.spec).cpuMillis / MILLIS_PER_CORE

interface Charge {
  readonly pool: string
  readonly key: fairShares.ShareKey
  readonly coreMs: number
  readonly atMs: number
}

/** CPU of the runs that end by themselves, by pool. */
const runningCoresByPool = (view: workflowState.WorkflowView): ReadonlyMap<string, number> => {
  const sums = new Map<string, number>()
  for (const { runsOfStep } of view.loads.values()) {
    for (const [step, count] of runsOfStep) {
      if (step.spec.lasting) continue
      const pool = poolOfStep(step)
      sums.set(pool, (sums.get(pool) ?? 0) + count * coresOf(step))
    }
  }
  return sums
}

export const createShareOrder = ({ expected, weights }: ShareOrderOptions): ShareOrder => {
  const sizes = sizeClasses.createSizeClasses()
  const shares = fairShares.createFairShares({
    weightOf: (queue) => weights.get(queue) ?? 1,
    partOf: sizes.partOf,
  })
  const keys = new WeakMap<workflowState.JobView, fairShares.ShareKey>()

  const keyOfSubmission: ShareOrder['keyOfSubmission'] = ({ spec, queue, callerDomain }) => {
    const coreMs = sizeClasses.estimatedCoreMs(spec.steps)
    return fairShares.shareKey(queue.name, callerDomain, sizes.classOf(queue.name, coreMs))
  }

  const observeSize = ({ spec, queue }: workflowState.JobView): void => {
    sizes.observe(queue.name, sizeClasses.estimatedCoreMs(spec.steps))
  }

  const keyOf: ShareOrder['keyOf'] = (job) => {
    const known = keys.get(job)
    if (known !== undefined) return known
    observeSize(job)
    const key = keyOfSubmission(job)
    keys.set(job, key)
    return key
  }

  /**
   * Core time that a start is charged. Long-running steps cost nothing and are never deferred: their start does not tell
   * how long they use the CPU, and usage that decays forgets them while they run.
   */
  const taskCoreMs = (step: workflowState.StepView): number =>
    step.spec.lasting ? 0 : coresOf(step) * expected.expect(step)

  const standingsOfSteps: ShareOrder['standingsOfSteps'] = (steps, view, freeCores, nowMs) => {
    const standings = new Map<workflowState.StepView, fairShares.ShareStanding>()
    const byService = new Map<string, UrgentStep[]>()
    for (const urgent of steps) {
      const { service } = urgent.step.job.queue
      const ofService = byService.get(service)
      if (ofService === undefined) byService.set(service, [urgent])
      else ofService.push(urgent)
    }
    const running = runningCoresByPool(view)
    for (const [service, ofService] of byService) {
      const pool = poolName(service, false)
      const waiting = ofService.map(({ step, urgency, slackMs }) => ({
        key: keyOf(step.job),
        cores: step.spec.lasting ? 0 : step.waitingCount * coresOf(step),
        coreMs: step.waitingCount * taskCoreMs(step),
        isExpired: urgency.outlook === 'expired',
        precedence: slackMs,
      }))
      const supply = { freeCores: freeCores(service), runningCores: running.get(pool) ?? 0 }
      const ranked = shares.rank(pool, waiting, supply, nowMs)
      for (const [index, { step }] of ofService.entries()) {
        const standing = ranked[index]
        if (standing !== undefined) standings.set(step, standing)
      }
    }
    return standings
  }

  const chargesOf = (
    job: workflowState.JobView,
    nowMs: number,
    timeOfDayMs: number,
  ): readonly Charge[] => {
    const key = keyOf(job)
    const endMs = job.endedMs > 0 ? job.endedMs : timeOfDayMs
    const ageMs = Math.max(0, timeOfDayMs - job.submittedMs)
    const completedAgeMs = Math.max(0, timeOfDayMs - (job.submittedMs + endMs) / 2)
    const charges: Charge[] = []
    for (const { steps } of job.occurrences.values()) {
      for (const step of steps) {
        const pool = poolOfStep(step)
        const coreMs = taskCoreMs(step)
        const runAgeMs = Math.min(ageMs, expected.expect(step) / 2)
        const add = (count: number, atMs: number): void => {
          if (count > 0 && coreMs > 0) charges.push({ pool, key, coreMs: count * coreMs, atMs })
        }
        add(step.completedCount, nowMs - completedAgeMs)
        add(step.assignedCount, nowMs - runAgeMs)
      }
    }
    return charges
  }

  return {
    keyOf,
    keyOfSubmission,
    standingsOfSteps,
    standingsOfJobs: (service, jobs, supply, nowMs) => {
      const waiting = jobs.map(({ job, unstartedCores, unstartedCoreMs, isExpired }) => ({
        key: keyOf(job),
        cores: unstartedCores,
        coreMs: unstartedCoreMs,
        isExpired,
        precedence: unstartedCoreMs,
      }))
      return shares.rank(poolName(service, true), waiting, supply, nowMs)
    },
    recordStart: ({ step, task }, nowMs) => {
      if (task.run > 1 || step.spec.lasting) return
      shares.charge(poolOfStep(step), keyOf(step.job), taskCoreMs(step), nowMs)
    },
    rebuild: (view, nowMs, timeOfDayMs) => {
      const jobs = [...view.jobs.values()].sort((a, b) => a.submittedMs - b.submittedMs)
      for (const job of jobs) observeSize(job)
      for (const job of jobs) keys.set(job, keyOfSubmission(job))
      const charges = jobs.flatMap((job) => chargesOf(job, nowMs, timeOfDayMs))
      const recent = charges.filter(({ atMs }) => nowMs - atMs <= fairShares.KEY_RETENTION_MS)
      for (const { pool, key, coreMs, atMs } of recent.sort((a, b) => a.atMs - b.atMs)) {
        shares.charge(pool, key, coreMs, atMs)
      }
    },
    positions: shares.positions,
    poolsOf: ({ spec, queue }) => {
      const bestEffort = spec.steps.filter(({ filling }) => filling)
      const pools = new Map<string, number>()
      if (bestEffort.length > 0) {
        pools.set(poolName(queue.service, true), sizeClasses.estimatedCoreMs(bestEffort))
      }
      if (bestEffort.length < spec.steps.length) {
        const { objectiveMs, chainMs } = submissionTimes.timesOf(spec.steps, queue)
        pools.set(poolName(queue.service, false), objectiveMs - chainMs)
      }
      return pools
    },
    usage: shares.usage,
  }
}
