/** Admission by expected completion: refuses a job whose value has certainly expired when it ends. */
import * as admission from './admission.js'
import type * as admissionLoad from './admissionLoad.js'
import * as completionEstimate from './completionEstimate.js'
import * as refusedJobs from './refusedJobs.js'
import * as retrySchedule from './retrySchedule.js'

/** Oldest load on which a refusal may be based, in milliseconds; a worker's list is evaluated up to an age of 1.6 s. */
export const MAX_LOAD_AGE_MS = 2_000

/** Whether a job that was first submitted `elapsedMs` ago ends after its value has expired, even by the lower bound. */
const isCertainlyTooLate = (
  { lowMs, expiryMs }: completionEstimate.CompletionEstimate,
  elapsedMs: number,
): boolean => elapsedMs + lowMs > expiryMs

/** Load of the state unless it is too old for a refusal. */
export const currentLoad = (
  { load }: admission.AdmissionState,
  nowMs: number,
): admissionLoad.ServiceLoad | undefined =>
  load !== undefined && nowMs - load.atMs <= MAX_LOAD_AGE_MS ? load : undefined

/** Time until the work ahead is short enough for the job to meet its objective. */
const fitsInMs = (estimate: completionEstimate.CompletionEstimate): number =>
  Math.max(0, estimate.expectedMs - estimate.objectiveMs)

const seconds = (ms: number): string => (ms / 1_000).toFixed(1)

export const createExpectedCompletion = (): admission.AdmissionPolicy => {
  const limit = admission.createAcceptAll()
  const schedule = retrySchedule.createRetrySchedule()
  const refused = refusedJobs.createRefusedJobs()
  return {
    decide: (request, state, nowMs) => {
      const limited = limit.decide(request, state, nowMs)
      const load = currentLoad(state, nowMs)
      if (limited.kind === 'refused' || load === undefined) return limited
      const { spec, queue } = request
      const estimate = completionEstimate.estimateCompletion(spec, queue, load)
      if (estimate === undefined) return limited
      const { lowMs, expectedMs, expiryMs, objectiveMs, aheadMs, ownMs, capacity } = estimate
      if (!isCertainlyTooLate(estimate, refused.elapsedMs(spec.id, nowMs))) {
        refused.recordAcceptance(spec.id)
        return { kind: 'accepted', expectedEndMs: expectedMs }
      }
      refused.recordRefusal(spec.id, nowMs)
      return {
        kind: 'refused',
        reason: 'no-capacity-in-time',
        retryAfterMs: schedule.book(queue.name, fitsInMs(estimate), ownMs, nowMs),
        detail: `would end after ${seconds(lowMs)} s or later; its value expires after ${seconds(expiryMs)} s`,
        inputs: {
          expectedEndMs: lowMs,
          objectiveMs,
          aheadMs,
          capacity,
          ageMs: nowMs - load.atMs,
        },
      }
    },
  }
}
