/** Log lines and counters of the leader for run ends. */
import * as protocol from '@ebonyweir/protocol'
import type * as telemetry from '@ebonyweir/telemetry/logger'
import * as workflowState from '@ebonyweir/workflow-state'
import * as runLabels from './runLabels.js'

/** Wait of an acknowledgement for its commit that is logged, in milliseconds; a commit takes a few disk syncs. */
const SLOW_COMMIT_MS = 1_000

const { EndKind } = protocol.workflow

type RunEnd = protocol.workflow.RunEnd
type WorkerIdentity = protocol.workflow.WorkerIdentity

/** Ends since the process started. */
export interface EndCounts {
  /** Committed ends by kind. */
  readonly committed: Readonly<Record<protocol.workflow.EndKind, number>>
  /** Ends of runs that the reporting worker does not hold. */
  readonly withoutHolder: number
}

export interface EndCounter extends EndCounts {
  readonly countCommitted: (ends: readonly RunEnd[]) => void
  readonly countWithoutHolder: (count: number) => void
}

export const createEndCounter = (): EndCounter => {
  const kinds = Object.values(EndKind)
  const committed = Object.fromEntries(kinds.map((kind) => [kind, 0])) as Record<
    protocol.workflow.EndKind,
    number
  >
  let withoutHolder = 0
  return {
    committed,
    get withoutHolder() {
      return withoutHolder
    },
    countCommitted: (ends) => {
      for (const { kind } of ends) committed[kind] += 1
    },
    countWithoutHolder: (count) => {
      withoutHolder += count
    },
  }
}

export interface EndMonitorOptions {
  readonly logger: telemetry.Logger
  readonly view: workflowState.WorkflowView
  readonly counter: EndCounter
  readonly nowMs: () => number
}

export interface EndMonitor {
  /** `acknowledgedEnd` is the number up to which ends are acknowledged to the reporting worker. */
  readonly recordCommitted: (
    worker: WorkerIdentity,
    ends: readonly RunEnd[],
    acknowledgedEnd?: number,
  ) => void
  readonly recordWithoutHolder: (worker: WorkerIdentity, ends: readonly RunEnd[]) => void
  /** Tracks an acknowledgement up to `lastEnd` that waits for a commit; the returned function ends the wait. */
  readonly trackWait: (worker: WorkerIdentity, lastEnd: number) => () => void
  /** Logs each long wait once. */
  readonly sweep: () => void
}

interface Wait {
  readonly worker: string
  readonly lastEnd: number
  readonly sinceMs: number
  isLogged: boolean
}

export const createEndMonitor = (options: EndMonitorOptions): EndMonitor => {
  const { logger, view, counter, nowMs } = options
  const waits = new Set<Wait>()

  const describeTask = (run: protocol.workflow.TaskRun): string => {
    const step = view.jobs.get(run.job)?.occurrences.get(run.occurrence)?.steps[run.step]
    const task = step?.tasks[run.index]
    if (task === undefined) return 'task unknown'
    const holder = task.worker === undefined ? '' : ` at ${workflowState.workerKey(task.worker)}`
    return `task ${task.phase} #${task.run}${holder}`
  }

  /** Logs the jobs that one of the ends has failed, with the attempts that were counted. */
  const logFailedJobs = (ends: readonly RunEnd[]): void => {
    const logged = new Set<string>()
    for (const { run, kind } of ends) {
      if (run === undefined || kind !== EndKind.FAILED || logged.has(run.job)) continue
      const job = view.jobs.get(run.job)
      if (job?.phase !== 'failed') continue
      logged.add(run.job)
      const step = job.occurrences.get(run.occurrence)?.steps[run.step]
      const counter = step?.tasks[step.spec.gang ? 0 : run.index]
      logger.info('job failed', {
        job: run.job,
        run: workflowState.runKey(run),
        failures: counter?.failures,
        maxAttempts: job.queue.maxAttempts,
      })
    }
  }

  return {
    recordCommitted: (worker, ends, acknowledgedEnd) => {
      counter.countCommitted(ends)
      logger.info('runs ended', {
        worker: worker.id,
        count: ends.length,
        acknowledgedEnd,
        ends: ends.slice(0, runLabels.MAX_LOGGED_RUNS).map(({ run, kind }) => {
          return `${run ? workflowState.runKey(run) : ''} ${kind}`
        }),
      })
      logFailedJobs(ends)
    },
    recordWithoutHolder: (worker, ends) => {
      if (ends.length === 0) return
      counter.countWithoutHolder(ends.length)
      logger.info('ends without a holder', {
        worker: worker.id,
        bornMs: worker.bornMs,
        count: ends.length,
        ends: ends.slice(0, runLabels.MAX_LOGGED_RUNS).map(({ run, kind }) => {
          return run ? `${workflowState.runKey(run)} ${kind}, ${describeTask(run)}` : kind
        }),
      })
    },
    trackWait: ({ id }, lastEnd) => {
      const wait: Wait = { worker: id, lastEnd, sinceMs: nowMs(), isLogged: false }
      waits.add(wait)
      return () => {
        waits.delete(wait)
        if (!wait.isLogged) return
        const waitedMs = Math.round(nowMs() - wait.sinceMs)
        logger.info('slow commit of ends is over', { worker: id, lastEnd, waitedMs })
      }
    },
    sweep: () => {
      const now = nowMs()
      for (const wait of waits) {
        const waitedMs = now - wait.sinceMs
        if (wait.isLogged || waitedMs < SLOW_COMMIT_MS) continue
        wait.isLogged = true
        logger.warn('acknowledgement of ends waits for a commit', {
          worker: wait.worker,
          lastEnd: wait.lastEnd,
          waitedMs: Math.round(waitedMs),
        })
      }
    },
  }
}
