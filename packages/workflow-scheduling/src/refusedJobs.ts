/** First submissions of refused jobs; the objective of a job counts from its first submission. */

/** Limit on remembered jobs; the one refused the longest time ago is evicted. */
const MAX_JOBS = 8_192

export interface RefusedJobs {
  /** Time since the first submission of a job that was refused before; 0 for others. */
  readonly elapsedMs: (job: string, nowMs: number) => number
  readonly recordRefusal: (job: string, nowMs: number) => void
  readonly recordAcceptance: (job: string) => void
}

export const createRefusedJobs = (): RefusedJobs => {
  const firstMs = new Map<string, number>()
  return {
    elapsedMs: (job, nowMs) => nowMs - (firstMs.get(job) ?? nowMs),
    recordRefusal: (job, nowMs) => {
      const first = firstMs.get(job) ?? nowMs
      firstMs.delete(job)
      firstMs.set(job, first)
      const oldest = firstMs.keys().next()
      if (firstMs.size > MAX_JOBS && oldest.done !== true) firstMs.delete(oldest.value)
    },
    recordAcceptance: (job) => {
      firstMs.delete(job)
    },
  }
}
