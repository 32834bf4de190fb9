/** Times of a submission that is not a job yet, by the estimates of its submitter. */
import type * as protocol from '@ebonyweir/protocol'
import * as durationEstimates from './durationEstimates.js'

export interface SubmissionTimes {
  /** Critical path. */
  readonly chainMs: number
  readonly objectiveMs: number
}

export const timesOf = (
  steps: readonly protocol.workflow.Step[],
  queue: Pick<protocol.workflow.Queue, 'slackFactor' | 'latencyTargetMs'>,
): SubmissionTimes => {
  const ends = steps.map(() => 0)
  for (const [index, { after, estimatedMs }] of steps.entries()) {
    const startMs = Math.max(0, ...after.map((before) => ends[before] ?? 0))
    ends[index] = startMs + (estimatedMs > 0 ? estimatedMs : durationEstimates.DEFAULT_DURATION_MS)
  }
  const chainMs = Math.max(0, ...ends)
  return { chainMs, objectiveMs: chainMs * queue.slackFactor + queue.latencyTargetMs }
}
