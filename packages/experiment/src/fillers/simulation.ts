/** One simulated day: the leader's term of the control role over simulated workers, on simulated time. */
import type * as protocol from '@ebonyweir/protocol'
import * as workflowControl from '@ebonyweir/workflow-control'
import * as workflowState from '@ebonyweir/workflow-state'
import * as results from 'ts-results-es'
import * as disturbances from './disturbances.js'
import * as earnings from './earnings.js'
import * as load from './load.js'
import * as simulatedClock from './simulatedClock.js'
import * as variants from './variants.js'
import * as workers from './worker.js'

const TERM = 1

/** Time of a commit, and of a message between the leader and a worker, in milliseconds. */
const COMMIT_MS = 15
const MESSAGE_MS = 10

/** Interval of a worker's lists, and of the steps in which workers advance, in milliseconds. */
const LIST_INTERVAL_MS = 400
const STEP_MS = 20

/** Longest lease that workers accept, in milliseconds. */
const MAX_LEASE_MS = 6_000

/** Planning time for a task and a worker that are looked at, in milliseconds. */
const PLAN_MS_PER_PLACE = 0.001

/** Time after the traffic in which jobs may end, in milliseconds. */
const COOL_DOWN_MS = 10_000

export interface DayOptions extends load.LoadOptions {
  readonly variant: variants.Variant
}

export interface Day {
  readonly fillingWorth: number
  readonly lastingWorth: number
  /** Median time from the submission of an owed filling job to the start of its first task, in milliseconds. */
  readonly firstTaskMs: number
  readonly owed: number
  readonly completed: number
  /** Share of each use of the time of filling tasks. */
  readonly fillerShares: Readonly<Record<workflowControl.FillerTime, number>>
  /** Fillers' full-speed work in each second of the traffic, in tasks at full speed for each worker. */
  readonly workingPerWorker: number
  /** Share of that work that was done for jobs which ended within their objective. */
  readonly usefulShare: number
}

const quietLogger = () => {
  const ignore = (): void => undefined
  return { debug: ignore, info: ignore, warn: ignore, error: ignore }
}

/** Work meter whose planning takes simulated time, since the pause between rounds depends on it. */
const createMeter = (nowMs: () => number, workerCount: number): workflowControl.WorkMeter => {
  const meter = workflowControl.createWorkMeter(nowMs)
  let planMs = 0
  return {
    ...meter,
    count: (what, by = 1) => {
      meter.count(what, by)
    },
    measure: (part, work) => {
      const result = meter.measure(part, work)
      const { tasksLookedAt = 0 } = (result ?? {}) as { readonly tasksLookedAt?: number }
      if (part === 'plan') planMs += PLAN_MS_PER_PLACE * workerCount * (1 + tasksLookedAt)
      return result
    },
    totals: () => {
      const totals = meter.totals()
      return { ...totals, spentMs: { ...totals.spentMs, plan: planMs } }
    },
  }
}

const median = (numbers: readonly number[]): number =>
  [...numbers].sort((a, b) => a - b)[Math.floor(numbers.length / 2)] ?? Number.NaN

export const simulateDay = async (options: DayOptions): Promise<Day> => {
  const { seed, variant, cores, trafficMs } = options
  const clock = simulatedClock.createSimulatedClock()
  const { nowMs } = clock
  const state = workflowState.createWorkflowState()
  const jobs = load.drawLoad(options)
  const byId = new Map(jobs.map((job) => [job.spec.id, job]))
  const startedMs = new Map<string, number>()
  const endedMs = new Map<string, number>()
  const doneMs = new Map<string, number>()
  const meter = createMeter(nowMs, options.workers)
  let underTarget = 0
  let lastingSeen = 0

  const apply = (body: protocol.workflow.WorkflowCommand['body']): workflowState.Outcome =>
    state.apply({ nowMs: clock.timeOfDayMs(), body })

  const propose: workflowControl.ControlContext['propose'] = (body) =>
    new Promise((resolve) => {
      clock.after(COMMIT_MS, () => {
        resolve(results.Ok(apply(body)))
      })
    })

  const term = workflowControl.createLeaderTerm(
    {
      options: {
        logger: quietLogger(),
        timing: workflowControl.resolveTiming({ maxLeaseMs: MAX_LEASE_MS }).unwrap(),
      },
      view: state.view,
      nowMs,
      leadingTerm: () => TERM,
      propose,
      work: meter,
      clock,
    },
    TERM,
    undefined,
    variants.partsOf(variant),
  )

  const truthOf = (run: protocol.workflow.TaskRun): workers.TaskTruth => {
    const job = byId.get(run.job)
    const step = job?.spec.steps[run.step]
    const workMs = job?.workMs[run.step]?.[run.index]
    if (step === undefined || workMs === undefined) throw new Error('a run of an unknown task')
    return { step, workMs }
  }

  const amount = disturbances.createTrueAmount(seed)
  const all = Array.from({ length: options.workers }, (_, index) => {
    const worker = workers.createSimulatedWorker({
      index,
      seed,
      cores,
      amount,
      truthOf,
      nowMs,
      after: clock.after,
      work: {
        fillerDone: (job, ms) => doneMs.set(job, (doneMs.get(job) ?? 0) + ms),
        fillerStarted: (job) => startedMs.set(job, startedMs.get(job) ?? nowMs()),
      },
    })
    const session = term.attach(`a${index}`, {
      send: (orders) => {
        clock.after(MESSAGE_MS, () => {
          worker.handleOrders(orders)
        })
      },
      end: () => undefined,
    })
    const list = (): void => {
      const report = worker.report()
      clock.after(MESSAGE_MS, () => {
        term.handleReport(session, report)
      })
    }
    clock.at(1 + ((index * 37) % LIST_INTERVAL_MS), () => {
      list()
      clock.every(LIST_INTERVAL_MS, list)
    })
    return worker
  })
  clock.every(STEP_MS, () => {
    for (const worker of all) worker.step(STEP_MS)
    for (const job of jobs) {
      if (job.kind !== 'filling' || endedMs.has(job.spec.id)) continue
      if (state.view.jobs.get(job.spec.id)?.phase === 'completed') endedMs.set(job.spec.id, nowMs())
    }
  })
  for (const job of jobs) {
    clock.at(job.atMs, () => {
      clock.after(COMMIT_MS, () => {
        apply({ $case: 'submit', value: { spec: job.spec, queue: job.queue } })
        term.dispatch()
      })
    })
  }

  const lastingTasks = jobs.reduce(
    (sum, { kind, workMs }) => sum + (kind === 'lasting' ? (workMs[0]?.length ?? 0) : 0),
    0,
  )
  const watchLasting = (): void => {
    lastingSeen += lastingTasks
    for (const worker of all) {
      for (const isUnder of worker.underTarget().values()) if (isUnder) underTarget += 1
    }
  }
  clock.at(load.WARM_UP_MS, () => clock.every(earnings.LASTING_INTERVAL_MS / 8, watchLasting))

  const endMs = load.WARM_UP_MS + trafficMs
  await clock.runUntil(endMs)
  const { fillerMs } = meter.totals()
  const doneInTraffic = [...doneMs.values()].reduce((sum, ms) => sum + ms, 0)
  await clock.runUntil(endMs + COOL_DOWN_MS)
  term.stop()

  const owed = earnings.owedJobs(jobs, trafficMs)
  const tasksMs = Object.entries(fillerMs).reduce(
    (sum, [what, ms]) => sum + (what === 'lost' ? 0 : ms),
    0,
  )
  const shareOf = (ms: number): number => ms / Math.max(1, tasksMs)
  const useful = [...doneMs].filter(([id]) => {
    const job = byId.get(id)
    const atMs = endedMs.get(id)
    return job !== undefined && atMs !== undefined && atMs - job.atMs <= earnings.objectiveMs(job)
  })
  const allDone = [...doneMs.values()].reduce((sum, ms) => sum + ms, 0)
  return {
    fillingWorth: earnings.fillingWorth(owed, endedMs),
    lastingWorth: underTarget / Math.max(1, lastingSeen),
    firstTaskMs: median(
      owed.map(({ spec, atMs }) => (startedMs.get(spec.id) ?? endMs + COOL_DOWN_MS) - atMs),
    ),
    owed: owed.length,
    completed: owed.filter(({ spec }) => endedMs.has(spec.id)).length,
    fillerShares: {
      waiting: shareOf(fillerMs.waiting),
      starting: shareOf(fillerMs.starting),
      paused: shareOf(fillerMs.paused),
      slowed: shareOf(fillerMs.slowed),
      shared: shareOf(fillerMs.shared),
      working: shareOf(fillerMs.working),
      lost: shareOf(fillerMs.lost),
    },
    workingPerWorker: doneInTraffic / trafficMs / options.workers,
    usefulShare: useful.reduce((sum, [, ms]) => sum + ms, 0) / Math.max(1, allDone),
  }
}
