/** Accounts for how the tasks of each best-effort (`filling`) job spend their time, and logs it when the job ends. */
import * as protocol from '@ebonyweir/protocol'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import type * as telemetry from '@ebonyweir/telemetry/logger'
import * as workflowState from '@ebonyweir/workflow-state'
import type * as workStatistics from './workStatistics.js'

const { EndKind } = protocol.workflow

const FULL_PERCENT = 100

export interface BestEffortAccountingOptions {
  readonly view: workflowState.WorkflowView
  readonly nowMs: () => number
  readonly work: Pick<workStatistics.WorkStatistics, 'addBestEffortMs'>
  readonly logger: telemetry.Logger
}

export interface BestEffortAccounting {
  /** Accounts for a running task of a worker's newest run list. */
  readonly recordRunning: (
    active: workflowState.ActiveRun,
    task: protocol.workflow.RunningTask,
    /** `runKey` of the run. */
    key: string,
  ) => void
  /** Accounts for the end of a run; work that no checkpoint covers is lost unless the run completed. */
  readonly recordEnd: (end: protocol.workflow.RunEnd) => void
  /** Accounts for waiting and starting tasks, which no run list contains, and logs jobs that have ended. */
  readonly sweep: () => void
}

interface JobTimes {
  readonly spentMs: Record<workStatistics.BestEffortTimeKind, number>
  runs: number
  /** Runs that were stopped, most of them to be moved. */
  stops: number
  failures: number
  /** Changes of a run's pace between two lists. */
  paceChanges: number
}

/** State of a run as of the newest run list. */
interface RunTimes {
  listedMs: number
  pacePercent: number
  checkpoint: string
  /** Full-speed work since the newest checkpoint. */
  uncoveredMs: number
}

export const createBestEffortAccounting = (
  options: BestEffortAccountingOptions,
): BestEffortAccounting => {
  const { view, nowMs, work, logger } = options
  const jobs = new Map<string, JobTimes>()
  const runs = new Map<string, RunTimes>()
  let sweptMs = nowMs()

  const timesOf = (job: string): JobTimes => {
    const known = jobs.get(job)
    if (known !== undefined) return known
    const spentMs = {
      waiting: 0,
      starting: 0,
      paused: 0,
      slowed: 0,
      shared: 0,
      working: 0,
      lost: 0,
    }
    const created: JobTimes = { spentMs, runs: 0, stops: 0, failures: 0, paceChanges: 0 }
    // Run lists may still contain runs of a cancelled job whose line was logged.
    if (view.jobs.get(job)?.phase === 'active') jobs.set(job, created)
    return created
  }

  const add = (job: JobTimes, kind: workStatistics.BestEffortTimeKind, ms: number): void => {
    job.spentMs[kind] += ms
    work.addBestEffortMs(kind, ms)
  }

  /** Splits the time between two run lists by activity; `figure` of the newer one is the CPU that the task used. */
  const splitTime = (
    job: JobTimes,
    run: RunTimes,
    elapsedMs: number,
    { figure }: protocol.workflow.RunningTask,
    claimMillis: number,
  ): void => {
    if (run.pacePercent === 0) {
      add(job, 'paused', elapsedMs)
      return
    }
    const pace = run.pacePercent / FULL_PERCENT
    const usedShare = Math.min(1, figure / Math.max(1, claimMillis * pace))
    add(job, 'slowed', elapsedMs * (1 - pace))
    add(job, 'shared', elapsedMs * pace * (1 - usedShare))
    add(job, 'working', elapsedMs * pace * usedShare)
    run.uncoveredMs += elapsedMs * pace * usedShare
  }

  const logEnded = (): void => {
    for (const [id, { spentMs, ...counts }] of jobs) {
      const job = view.jobs.get(id)
      if (job?.phase === 'active') continue
      jobs.delete(id)
      const rounded = Object.entries(spentMs).map(([what, ms]) => [`${what}Ms`, Math.round(ms)])
      logger.info('filling job ended', {
        job: id,
        outcome: job?.phase,
        tookMs: job === undefined ? undefined : job.endedMs - job.submittedMs,
        ...(Object.fromEntries(rounded) as Record<string, number>),
        ...counts,
      })
    }
  }

  return {
    recordRunning: (active, task, key) => {
      const { spec, job } = active.step
      if (!spec.filling) return
      const now = nowMs()
      const times = timesOf(job.spec.id)
      const known = runs.get(key)
      if (known === undefined) {
        times.runs += 1
        const { pacePercent, checkpoint } = task
        runs.set(key, { listedMs: now, pacePercent, checkpoint, uncoveredMs: 0 })
        return
      }
      splitTime(times, known, now - known.listedMs, task, workflowState.claimOf(spec).cpuMillis)
      if (known.pacePercent !== task.pacePercent) times.paceChanges += 1
      if (known.checkpoint !== task.checkpoint) known.uncoveredMs = 0
      known.listedMs = now
      known.pacePercent = task.pacePercent
      known.checkpoint = task.checkpoint
    },
    recordEnd: ({ run, kind, checkpoint }) => {
      if (run === undefined) return
      const key = workflowState.runKey(run)
      const known = runs.get(key)
      if (known === undefined) return
      runs.delete(key)
      const times = timesOf(run.job)
      if (kind === EndKind.STOPPED) times.stops += 1
      if (kind === EndKind.FAILED) times.failures += 1
      const isCovered = checkpoint !== '' && checkpoint !== known.checkpoint
      if (kind !== EndKind.COMPLETED && !isCovered) add(times, 'lost', known.uncoveredMs)
    },
    sweep: () => {
      const now = nowMs()
      const elapsedMs = now - sweptMs
      sweptMs = now
      for (const { spec, job, waitingCount } of view.readySteps) {
        if (spec.filling) add(timesOf(job.spec.id), 'waiting', elapsedMs * waitingCount)
      }
      for (const load of view.loads.values()) {
        for (const active of load.runs.values()) {
          if (!active.step.spec.filling || runs.has(scheduling.activeRunKey(active))) continue
          add(timesOf(active.step.job.spec.id), 'starting', elapsedMs)
        }
      }
      logEnded()
    },
  }
}
