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

/** Time after the end of the traffic in which jobs may still complete. */
const COOL_DOWN_MS = 10_000

export interface DayOptions extends load.LoadOptions {
  readonly variant: variants.Variant
}

export interface DayResult {
  readonly bestEffortValue: number
  readonly longRunningValue: number
  /** Median time from the submission of an eligible best-effort job to the start of its first task. */
  readonly firstTaskMs: number
  /** Best-effort jobs that count towards the value, and those of them that completed. */
  readonly eligible: number
  readonly completed: number
  /** Time of best-effort tasks by kind, as shares of their total time. */
  readonly bestEffortTimeShares: Readonly<Record<workflowControl.BestEffortTimeKind, number>>
  /** Best-effort work during the traffic, as the mean number of tasks at full speed per worker. */
  readonly fullSpeedTasksPerWorker: number
  /** Share of all best-effort work that belongs to jobs which completed within their objective. */
  readonly onTimeWorkShare: number
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

export const simulateDay = async (options: DayOptions): Promise<DayResult> => {
  const { seed, variant, cores, trafficMs } = options
  const clock = simulatedClock.createSimulatedClock()
  const { nowMs } = clock
  const state = workflowState.createWorkflowState()
  const jobs = load.drawLoad(options)
  const byId = new Map(jobs.map((job) => [job.spec.id, job]))
  const startedMs = new Map<string, number>()
  const endedMs = new Map<string, number>()
  const workByJobMs = new Map<string, number>()
  const workStatistics = createSimulatedWorkStatistics(nowMs, options.workers)
  let underTargetCount = 0
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
    variants.policiesOf(variant),
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
      interferenceOf,
      workloadOf,
      nowMs,
      after: clock.after,
      observer: {
        onBestEffortWork: (job, ms) => workByJobMs.set(job, (workByJobMs.get(job) ?? 0) + ms),
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
  clock.every(STEP_MS, () => {
    for (const worker of simulatedWorkers) worker.step(STEP_MS)
    for (const job of jobs) {
      if (job.kind !== 'filling' || endedMs.has(job.spec.id)) continue
      if (state.view.jobs.get(job.spec.id)?.phase === 'completed') endedMs.set(job.spec.id, nowMs())
    }
  })
  for (const job of jobs) {
    clock.at(job.atMs, () => {
      clock.after(COMMIT_DELAY_MS, () => {
        apply({ $case: 'submit', value: { spec: job.spec, queue: job.queue, callerDomain: '' } })
        term.dispatch()
      })
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
  await clock.runUntil(endMs + COOL_DOWN_MS)
  term.stop()

  const eligibleJobs = jobValue.eligibleJobs(jobs, trafficMs)
  const bestEffortTotalMs = Object.entries(bestEffortMs).reduce(
    (sum, [what, ms]) => sum + (what === 'lost' ? 0 : ms),
    0,
  )
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
      eligibleJobs.map(({ spec, atMs }) => (startedMs.get(spec.id) ?? endMs + COOL_DOWN_MS) - atMs),
    ),
    eligible: eligibleJobs.length,
    completed: eligibleJobs.filter(({ spec }) => endedMs.has(spec.id)).length,
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
    onTimeWorkShare: onTimeWork.reduce((sum, [, ms]) => sum + ms, 0) / Math.max(1, totalWorkMs),
  }
}
