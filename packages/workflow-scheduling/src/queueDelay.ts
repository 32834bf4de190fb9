/** Admission by queue delay: a baseline that refuses while the oldest waiting job of the queue has waited too long. */
import * as admission from './admission.js'
import * as expectedCompletion from './expectedCompletion.js'
import * as retrySchedule from './retrySchedule.js'

export const createQueueDelay = (): admission.AdmissionPolicy => {
  const limit = admission.createAcceptAll()
  const schedule = retrySchedule.createRetrySchedule()
  return {
    decide: (request, state, nowMs) => {
      const limited = limit.decide(request, state, nowMs)
      const load = expectedCompletion.currentLoad(state, nowMs)
      if (limited.kind === 'refused' || load === undefined) return limited
      const { spec, queue } = request
      // A long-running or recurring job is not measured by the wait of others.
      if (spec.repetitions > 0 || spec.steps.some(({ lasting }) => lasting)) return limited
      const { oldestWaitMs = 0, oldestObjectiveMs = 0 } = load.queues.get(queue.name) ?? {}
      if (oldestWaitMs <= oldestObjectiveMs) return limited
      return {
        kind: 'refused',
        reason: 'queue-delay',
        retryAfterMs: schedule.book(queue.name, oldestWaitMs - oldestObjectiveMs, 0, nowMs),
        detail: 'a job of the queue has waited longer than its objective',
        inputs: {
          expectedEndMs: oldestWaitMs,
          objectiveMs: oldestObjectiveMs,
          aheadMs: oldestWaitMs,
          capacity: 0,
          ageMs: nowMs - load.atMs,
        },
      }
    },
  }
}
