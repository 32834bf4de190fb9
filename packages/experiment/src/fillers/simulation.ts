/** Simulates one day: the leader's term of the control role with simulated workers, on simulated time. */
import type * as protocol from '@ebonyweir/protocol'
import * as workflowControl from '@ebonyweir/workflow-control'
import * as workflowState from '@ebonyweir/workflow-state'
import * as results from 'ts-results-es'
import * as interference from './interference.js'
import * as jobValue from './jobValue.js'
import * as load from './load.js'
import * as simulatedClock from './simulatedClock.js'
import * as variants from './variants.js'
import * as workers from './worker.js'

const TERM = 1

/** Delay of a commit, and of a message between the leader and a worker. */
const COMMIT_DELAY_MS = 15
const MESSAGE_DELAY_MS = 10

/** Interval of a worker's reports, and of the steps in which workers advance. */
const REPORT_INTERVAL_MS = 400
const STEP_MS = 20

const MAX_LEASE_MS = 6_000

/** Planning time for each pair of an examined task and a worker. */
const PLANNING_MS_PER_TASK_AND_WORKER = 0.001

/** Unit of the delays that refused callers are told. */
const MS_PER_SECOND = 1_000

/** Default of `DayOptions.coolDownMs`. */
const COOL_DOWN_MS = 10_000

/** Time between the announcement of a drain and the loss of the worker's runs. */
const DRAIN_MS = 2_500

/** Speed of a slow worker relative to the others. */
const SLOW_SPEED = 0.2

export interface DayOptions extends load.LoadOptions {
  readonly variant: variants.Variant
  /** @default 'mean' */
  readonly durationModel?: workflowControl.DurationModelName
  /** Time after the end of the traffic in which jobs may still complete; long tasks need more of it. */
  readonly coolDownMs?: number
  /** Interval at which one worker after the other drains, in milliseconds; 0 for never. @default 0 */
  readonly drainIntervalMs?: number
  /** Number of workers that run their tasks at a fifth of the speed. @default 0 */
  readonly slowWorkers?: number
}

/** What callers of one kind of job got. */
export interface CallerResult {
  readonly inTime: number
  readonly late: number
  /** Not completed by the end of the day. */
  readonly open: number
}

export interface DayResult {
  readonly bestEffortValue: number
  readonly longRunningValue: number
  /** Median time from the submission of an eligible best-effort job to the start of its first task. */
  readonly firstTaskMs: number
  /** Best-effort jobs that count towards the value, and those of them that completed. */
  readonly eligible: number
  readonly completed: number
  /** Value that the eligible best-effort and short latency-critical jobs earned, in jobs of the mean size per second. */
  readonly bestEffortGoodput: number
  readonly shortGoodput: number
  /** Share of the eligible short latency-critical jobs' value that was earned. */
  readonly shortValue: number
  /** Eligible jobs of both kinds that ended within their objective, later with a value, without one, and that were never accepted. */
  readonly inTime: number
  readonly late: number
  readonly worthless: number
  readonly refused: number
  /** Refusals, including those of jobs that were accepted when they returned. */
  readonly refusals: number
  /** Mean time from the submission to the answer that a job without any value got: its refusal, or its expiry. */
  readonly badNewsMs: number
  /** Mean ratio of actual to expected completion time of accepted jobs, as sums; 0 without estimates. */
  readonly completionRatio: number
  /** Time of best-effort tasks by kind, as shares of their total time. */
  readonly bestEffortTimeShares: Readonly<Record<workflowControl.BestEffortTimeKind, number>>
  /** Best-effort work during the traffic, as the mean number of tasks at full speed per worker. */
  readonly fullSpeedTasksPerWorker: number
  /** Share of all best-effort work that belongs to jobs which completed within their objective. */
  readonly onTimeWorkShare: number
  readonly callers: Readonly<Record<'serving' | 'filling', CallerResult>>
  /** Workers of normal speed, and slow ones, that got no new runs for some time for the outcomes of runs there. */
  readonly wronglyQuarantined: number
  readonly rightlyQuarantined: number
  /** Time in core-seconds of runs that ended before their task was done and that no checkpoint covers. */
  readonly discardedCoreSeconds: number
}

const createSilentLogger = () => {
  const ignore = (): void => undefined
  return { debug: ignore, info: ignore, warn: ignore, error: ignore }
}

/** Work statistics with simulated planning time, since the pause between planning rounds depends on it. */
const createSimulatedWorkStatistics = (
  nowMs: () => number,
  workerCount: number,
): workflowControl.WorkStatistics => {
  const statistics = workflowControl.createWorkStatistics(nowMs)
  let planningMs = 0
  return {
    ...statistics,
    count: (what, by = 1) => {
      statistics.count(what, by)
    },
    measure: (part, work) => {
      const result = statistics.measure(part, work)
      const { tasksLookedAt = 0 } = (result ?? {}) as { readonly tasksLookedAt?: number }
      if (part === 'plan')
        planningMs += PLANNING_MS_PER_TASK_AND_WORKER * workerCount * (1 + tasksLookedAt)
      return result
    },
    totals: () => {
      const totals = statistics.totals()
      return { ...totals, spentMs: { ...totals.spentMs, plan: planningMs } }
    },
  }
}

const median = (numbers: readonly number[]): number =>
  [...numbers].sort((a, b) => a - b)[Math.floor(numbers.length / 2)] ?? Number.NaN

/** Policies whose health record reports each worker that gets no new runs. */
const withQuarantineObserver = (
  policies: workflowControl.TermPolicies,
  onQuarantine: (worker: string) => void,
): workflowControl.TermPolicies => ({
  ...policies,
  createHealth: () => {
    const health = policies.createHealth()
    return {
      ...health,
      accepts: (worker, nowMs) => {
        const isAccepted = health.accepts(worker, nowMs)
        if (!isAccepted) onQuarantine(worker)
        return isAccepted
      },
    }
  },
})

const countQuarantined = (quarantined: ReadonlySet<string>, slowWorkers: number) => {
  const slow = Array.from({ length: slowWorkers }, (_, index) => `w${index}`)
  const rightlyQuarantined = slow.filter((worker) => quarantined.has(worker)).length
  return { rightlyQuarantined, wronglyQuarantined: quarantined.size - rightlyQuarantined }
}

const callerResult = (
  jobs: readonly load.SimulatedJob[],
  endedMs: ReadonlyMap<string, number>,
): CallerResult => {
  const completed = jobs.filter(({ spec }) => endedMs.has(spec.id))
  const inTime = completed.filter(
    (job) => (endedMs.get(job.spec.id) ?? 0) - job.atMs <= jobValue.objectiveMs(job),
  )
  return {
    inTime: inTime.length,
    late: completed.length - inTime.length,
    open: jobs.length - completed.length,
  }
}

export const simulateDay = async (options: DayOptions): Promise<DayResult> => {
  const { seed, variant, cores, trafficMs, slowWorkers = 0, drainIntervalMs = 0 } = options
  const { coolDownMs = COOL_DOWN_MS } = options
  const clock = simulatedClock.createSimulatedClock()
  const { nowMs } = clock
  const state = workflowState.createWorkflowState()
  const jobs = load.drawLoad(options)
  const byId = new Map(jobs.map((job) => [job.spec.id, job]))
  const startedMs = new Map<string, number>()
  const endedMs = new Map<string, number>()
  const workByJobMs = new Map<string, number>()
  const workStatistics = createSimulatedWorkStatistics(nowMs, options.workers)
  const admissionCounter = workflowControl.createAdmissionCounter()
  /** Latest refusal of each job that was not accepted, and the number of all refusals. */
  const refusedMs = new Map<string, number>()
  let refusals = 0
  let underTargetCount = 0
  let discardedCpuMs = 0
  const quarantined = new Set<string>()
  let longRunningSampleCount = 0

  const apply = (body: protocol.workflow.WorkflowCommand['body']): workflowState.Outcome =>
    state.apply({ nowMs: clock.timeOfDayMs(), body })

  const propose: workflowControl.ControlContext['propose'] = (body) =>
    new Promise((resolve) => {
      clock.after(COMMIT_DELAY_MS, () => {
        resolve(results.Ok(apply(body)))
      })
    })

  const term = workflowControl.createLeaderTerm(
    {
      options: {
        logger: createSilentLogger(),
        timing: workflowControl.resolveTiming({ maxLeaseMs: MAX_LEASE_MS }).unwrap(),
        scheduling: {
          ...workflowControl.DEFAULT_SCHEDULING_OPTIONS,
          durationModel: options.durationModel ?? 'mean',
          admissionPolicy: variant.admission ?? 'accept-all',
        },
      },
      view: state.view,
      nowMs,
      leadingTerm: () => TERM,
      propose,
      work: workStatistics,
      clock,
    },
    TERM,
    undefined,
    withQuarantineObserver(variants.policiesOf(variant), (worker) => {
      quarantined.add(worker)
    }),
    admissionCounter,
  )

  const workloadOf = (run: protocol.workflow.TaskRun): workers.TaskWorkload => {
    const job = byId.get(run.job)
    const step = job?.spec.steps[run.step]
    const workMs = job?.workMs[run.step]?.[run.index]
    if (step === undefined || workMs === undefined)
      throw new Error('start order for a task that is not in the simulated load')
    return { step, workMs }
  }

  const interferenceOf = interference.createTrueInterference(seed)
  const simulatedWorkers = Array.from({ length: options.workers }, (_, index) => {
    const worker = workers.createSimulatedWorker({
      index,
      seed,
      cores,
      speed: index < slowWorkers ? SLOW_SPEED : 1,
      interferenceOf,
      workloadOf,
      nowMs,
      after: clock.after,
      observer: {
        onBestEffortWork: (job, ms) => workByJobMs.set(job, (workByJobMs.get(job) ?? 0) + ms),
        onDiscarded: (cpuMs) => {
          discardedCpuMs += cpuMs
        },
        onBestEffortStart: (job) => startedMs.set(job, startedMs.get(job) ?? nowMs()),
      },
    })
    const session = term.attach(`a${index}`, {
      send: (orders) => {
        clock.after(MESSAGE_DELAY_MS, () => {
          worker.handleOrders(orders)
        })
      },
      end: () => undefined,
    })
    const sendReport = (): void => {
      const report = worker.report()
      clock.after(MESSAGE_DELAY_MS, () => {
        term.handleReport(session, report)
      })
    }
    clock.at(1 + ((index * 37) % REPORT_INTERVAL_MS), () => {
      sendReport()
      clock.every(REPORT_INTERVAL_MS, sendReport)
    })
    return worker
  })
  if (drainIntervalMs > 0) {
    let drains = 0
    clock.every(drainIntervalMs, () => {
      simulatedWorkers[drains % simulatedWorkers.length]?.drain(DRAIN_MS)
      drains += 1
    })
  }
  clock.every(STEP_MS, () => {
    for (const worker of simulatedWorkers) worker.step(STEP_MS)
    for (const job of jobs) {
      if (job.kind === 'lasting' || endedMs.has(job.spec.id)) continue
      if (state.view.jobs.get(job.spec.id)?.phase === 'completed') endedMs.set(job.spec.id, nowMs())
    }
  })
  /** Submits a job; a refused caller returns when it was told to, unless the job has no value left by then. */
  const submit = (job: load.SimulatedJob): void => {
    const { spec, queue } = job
    const admission = term.admit({ spec, queue, callerDomain: '' })
    if (admission.kind === 'accepted') {
      refusedMs.delete(spec.id)
      clock.after(COMMIT_DELAY_MS, () => {
        apply({ $case: 'submit', value: { spec, queue, callerDomain: '' } })
        term.dispatch()
      })
      return
    }
    refusals += 1
    refusedMs.set(spec.id, nowMs())
    const waitMs = Math.ceil(admission.retryAfterMs / MS_PER_SECOND) * MS_PER_SECOND
    if (nowMs() + waitMs >= job.atMs + jobValue.expiryMs(job)) return
    clock.after(waitMs, () => {
      submit(job)
    })
  }
  for (const job of jobs) {
    clock.at(job.atMs, () => {
      submit(job)
    })
  }

  const longRunningTaskCount = jobs.reduce(
    (sum, { kind, workMs }) => sum + (kind === 'lasting' ? (workMs[0]?.length ?? 0) : 0),
    0,
  )
  const sampleLongRunningTasks = (): void => {
    longRunningSampleCount += longRunningTaskCount
    for (const worker of simulatedWorkers) {
      for (const isUnder of worker.underTarget().values()) if (isUnder) underTargetCount += 1
    }
  }
  clock.at(load.WARM_UP_MS, () =>
    clock.every(jobValue.LONG_RUNNING_VALUE_INTERVAL_MS / 8, sampleLongRunningTasks),
  )

  const endMs = load.WARM_UP_MS + trafficMs
  await clock.runUntil(endMs)
  const { bestEffortMs } = workStatistics.totals()
  const workInTrafficMs = [...workByJobMs.values()].reduce((sum, ms) => sum + ms, 0)
  await clock.runUntil(endMs + coolDownMs)
  term.stop()

  const eligibleJobs = jobValue.eligibleJobs(jobs, trafficMs)
  const bestEffortTotalMs = Object.entries(bestEffortMs).reduce(
    (sum, [what, ms]) => sum + (what === 'lost' ? 0 : ms),
    0,
  )
  const shortJobs = jobValue.eligibleJobs(jobs, trafficMs, 'serving')
  const allJobs = [...eligibleJobs, ...shortJobs]
  const tookMs = (job: load.SimulatedJob): number =>
    (endedMs.get(job.spec.id) ?? Number.POSITIVE_INFINITY) - job.atMs
  const inTime = allJobs.filter((job) => tookMs(job) <= jobValue.objectiveMs(job)).length
  const refused = allJobs.filter(({ spec }) => refusedMs.has(spec.id)).length
  const worthless = allJobs.filter((job) => tookMs(job) > jobValue.expiryMs(job))
  const badNews = worthless.map(
    (job) => (refusedMs.get(job.spec.id) ?? job.atMs + jobValue.expiryMs(job)) - job.atMs,
  )
  const countedSeconds = (trafficMs - jobValue.EXCLUDED_END_MS) / MS_PER_SECOND
  const shareOf = (ms: number): number => ms / Math.max(1, bestEffortTotalMs)
  const onTimeWork = [...workByJobMs].filter(([id]) => {
    const job = byId.get(id)
    const atMs = endedMs.get(id)
    return job !== undefined && atMs !== undefined && atMs - job.atMs <= jobValue.objectiveMs(job)
  })
  const totalWorkMs = [...workByJobMs.values()].reduce((sum, ms) => sum + ms, 0)
  return {
    bestEffortValue: jobValue.bestEffortValue(eligibleJobs, endedMs),
    longRunningValue: underTargetCount / Math.max(1, longRunningSampleCount),
    firstTaskMs: median(
      eligibleJobs.map(({ spec, atMs }) => (startedMs.get(spec.id) ?? endMs + coolDownMs) - atMs),
    ),
    eligible: eligibleJobs.length,
    completed: eligibleJobs.filter(({ spec }) => endedMs.has(spec.id)).length,
    bestEffortGoodput: jobValue.goodputJobs(eligibleJobs, endedMs) / countedSeconds,
    shortGoodput: jobValue.goodputJobs(shortJobs, endedMs) / countedSeconds,
    shortValue: jobValue.bestEffortValue(shortJobs, endedMs),
    inTime,
    late: allJobs.length - inTime - worthless.length,
    worthless: worthless.length - refused,
    refused,
    refusals,
    badNewsMs: badNews.reduce((sum, ms) => sum + ms, 0) / Math.max(1, badNews.length),
    completionRatio: admissionCounter.actualMs / Math.max(1, admissionCounter.expectedMs),
    bestEffortTimeShares: {
      waiting: shareOf(bestEffortMs.waiting),
      starting: shareOf(bestEffortMs.starting),
      paused: shareOf(bestEffortMs.paused),
      slowed: shareOf(bestEffortMs.slowed),
      shared: shareOf(bestEffortMs.shared),
      working: shareOf(bestEffortMs.working),
      lost: shareOf(bestEffortMs.lost),
    },
    fullSpeedTasksPerWorker: workInTrafficMs / trafficMs / options.workers,
    callers: {
      serving: callerResult(
        jobs.filter(({ kind }) => kind === 'serving'),
        endedMs,
      ),
      filling: callerResult(eligibleJobs, endedMs),
    },
    ...countQuarantined(quarantined, slowWorkers),
    discardedCoreSeconds: discardedCpuMs / 1_000,
    onTimeWorkShare: onTimeWork.reduce((sum, [, ms]) => sum + ms, 0) / Math.max(1, totalWorkMs),
  }
}
