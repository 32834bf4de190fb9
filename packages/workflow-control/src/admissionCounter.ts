/** Counters of the leader for admission decisions and for expected against actual completion times. */
import type * as scheduling from '@ebonyweir/workflow-scheduling'

/** Upper bounds of the ratio of actual to expected completion time. */
export const COMPLETION_RATIO_BOUNDS = [0.25, 0.5, 0.8, 1.25, 2, 4] as const

/** Reason that is counted for accepted jobs. */
const NO_REASON = 'none'

export interface AdmissionCount {
  readonly decision: scheduling.Admission['kind']
  readonly reason: scheduling.AdmissionReason | typeof NO_REASON
  readonly count: number
}

export interface CompletionRatioCount {
  /** Upper bound of the ratio. */
  readonly upTo: number
  /** Completed jobs with a ratio up to the bound. */
  readonly count: number
}

/** Decisions and completions since the process started. */
export interface AdmissionCounts {
  readonly decisions: () => readonly AdmissionCount[]
  /** Completed jobs by actual completion time as a multiple of the expected one. */
  readonly completionRatios: () => readonly CompletionRatioCount[]
  readonly expectedMs: number
  readonly actualMs: number
}

export interface AdmissionCounter extends AdmissionCounts {
  readonly countDecision: (admission: scheduling.Admission) => void
  readonly countCompletion: (expectedMs: number, actualMs: number) => void
}

export const createAdmissionCounter = (): AdmissionCounter => {
  const decisions = new Map<string, AdmissionCount>()
  const ratioCounts = [...COMPLETION_RATIO_BOUNDS, Number.POSITIVE_INFINITY].map((upTo) => ({
    upTo,
    count: 0,
  }))
  let expectedSumMs = 0
  let actualSumMs = 0
  return {
    decisions: () => [...decisions.values()],
    completionRatios: () => ratioCounts.map((one) => ({ ...one })),
    get expectedMs() {
      return expectedSumMs
    },
    get actualMs() {
      return actualSumMs
    },
    countDecision: (admission) => {
      const reason = admission.kind === 'refused' ? admission.reason : NO_REASON
      const count = (decisions.get(reason)?.count ?? 0) + 1
      decisions.set(reason, { decision: admission.kind, reason, count })
    },
    countCompletion: (expectedMs, actualMs) => {
      expectedSumMs += expectedMs
      actualSumMs += actualMs
      for (const one of ratioCounts) if (actualMs <= one.upTo * expectedMs) one.count += 1
    },
  }
}
