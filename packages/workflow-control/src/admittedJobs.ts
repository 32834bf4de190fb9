/** Jobs that were accepted in this term, for the comparison of expected and actual completion times. */
import * as scheduling from '@ebonyweir/workflow-scheduling'
import type * as workflowState from '@ebonyweir/workflow-state'
import type * as admissionCounter from './admissionCounter.js'

/** Limit on observed jobs; the oldest is evicted. Jobs of the last minute of the known workloads fit in. */
const MAX_JOBS = 2_048

/** Time for which the completion of a job counts as recent, in milliseconds. */
const RECENT_MS = 5_000

/**
 * Time after its acceptance for which a job counts although the state or the ranking does not contain it, in milliseconds;
 * a commit takes a few disk syncs, and a ranking is at most 250 ms old.
 */
const MAX_COMMIT_MS = 2_000

interface AdmittedJob {
  readonly queue: string
  readonly service: string
  readonly atMs: number
  readonly chainMs: number
  readonly expectedEndMs: number | undefined
  /** Set for best-effort jobs. */
  readonly bestEffort: scheduling.BestEffortJob | undefined
}

interface EndedJob {
  readonly queue: string
  readonly stretch: number
  readonly atMs: number
}

export interface AdmittedJobsOptions {
  readonly view: workflowState.WorkflowView
  readonly expected: scheduling.Durations
  readonly counter: Pick<admissionCounter.AdmissionCounter, 'countCompletion'>
}

export interface AdmittedJobs {
  readonly add: (
    request: scheduling.AdmissionRequest,
    expectedEndMs: number | undefined,
    nowMs: number,
  ) => void
  /** Evaluates the jobs that have ended. */
  readonly sweep: (nowMs: number) => void
  /** Accepted best-effort jobs of a service that are not in `ranked`. */
  readonly unranked: (
    service: string,
    ranked: ReadonlySet<string>,
    nowMs: number,
  ) => readonly scheduling.BestEffortJob[]
  /** Accepted jobs whose commit is pending. */
  readonly uncommitted: (nowMs: number) => readonly scheduling.AdmissionRequest[]
  readonly meanStretch: (queue: string) => number | undefined
}

const chainMsOf = (
  { spec, queue }: scheduling.AdmissionRequest,
  expected: scheduling.Durations,
): number => {
  const steps = scheduling.draftSteps(spec, queue, 0)
  return Math.max(0, ...scheduling.chainsToEnd(steps, expected.expect))
}

export const createAdmittedJobs = ({
  view,
  expected,
  counter,
}: AdmittedJobsOptions): AdmittedJobs => {
  const admitted = new Map<string, AdmittedJob>()
  /** Requests of the jobs that were accepted in the last `MAX_COMMIT_MS`. */
  const requests = new Map<string, scheduling.AdmissionRequest>()
  let ended: readonly EndedJob[] = []

  const recordEnd = (
    { queue, chainMs, expectedEndMs }: AdmittedJob,
    job: workflowState.JobView,
    nowMs: number,
  ): void => {
    if (job.phase !== 'completed') return
    const tookMs = job.endedMs - job.submittedMs
    if (expectedEndMs !== undefined) counter.countCompletion(expectedEndMs, tookMs)
    ended = [...ended, { queue, stretch: tookMs / Math.max(1, chainMs), atMs: nowMs }]
  }

  return {
    add: (request, expectedEndMs, nowMs) => {
      const { spec, queue } = request
      if (spec.repetitions > 0 || spec.steps.some(({ lasting }) => lasting)) return
      admitted.set(spec.id, {
        queue: queue.name,
        service: queue.service,
        atMs: nowMs,
        chainMs: chainMsOf(request, expected),
        expectedEndMs,
        bestEffort: scheduling.bestEffortJobOf(spec, queue, expected),
      })
      requests.set(spec.id, request)
      const oldest = admitted.keys().next()
      if (admitted.size <= MAX_JOBS || oldest.done === true) return
      admitted.delete(oldest.value)
      requests.delete(oldest.value)
    },
    sweep: (nowMs) => {
      ended = ended.filter(({ atMs }) => nowMs - atMs <= RECENT_MS)
      for (const [id, one] of admitted) {
        const job = view.jobs.get(id)
        if (nowMs - one.atMs > MAX_COMMIT_MS) requests.delete(id)
        const isGone = job === undefined && nowMs - one.atMs > MAX_COMMIT_MS
        if (job?.phase === 'active' || (job === undefined && !isGone)) continue
        if (job !== undefined) recordEnd(one, job, nowMs)
        admitted.delete(id)
        requests.delete(id)
      }
    },
    unranked: (service, ranked, nowMs) => {
      const jobs: scheduling.BestEffortJob[] = []
      for (const { spec } of requests.values()) {
        const one = admitted.get(spec.id)
        if (one?.bestEffort === undefined || one.service !== service) continue
        const hasEnded = (view.jobs.get(spec.id)?.phase ?? 'active') !== 'active'
        const isRecent = nowMs - one.atMs <= MAX_COMMIT_MS
        if (isRecent && !hasEnded && !ranked.has(one.bestEffort.key)) jobs.push(one.bestEffort)
      }
      return jobs
    },
    uncommitted: (nowMs) =>
      [...requests.values()].filter(({ spec }) => {
        const one = admitted.get(spec.id)
        return one !== undefined && nowMs - one.atMs <= MAX_COMMIT_MS && !view.jobs.has(spec.id)
      }),
    meanStretch: (queue) => {
      const stretches = ended.filter((one) => one.queue === queue)
      if (stretches.length === 0) return undefined
      return stretches.reduce((sum, { stretch }) => sum + stretch, 0) / stretches.length
    },
  }
}
