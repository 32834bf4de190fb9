/** Admission control for new jobs. */

/** Limit on open jobs; bounds the memory of a replica. */
export const MAX_OPEN_JOBS = 20_000

/** Minimum delay before a refused caller may retry. */
const RETRY_AFTER_MS = 1_000

export interface AdmissionInput {
  readonly openJobs: number
}

export type Admission =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'refused'; readonly retryAfterMs: number; readonly detail: string }

/** Refuses a job immediately when the limit on open jobs is reached. */
export const admit = ({ openJobs }: AdmissionInput): Admission => {
  if (openJobs < MAX_OPEN_JOBS) return { kind: 'accepted' }
  return { kind: 'refused', retryAfterMs: RETRY_AFTER_MS, detail: 'too many open jobs' }
}
