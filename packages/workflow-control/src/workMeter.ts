/** Counts what a control replica does on its loop, and the time that the parts of this work take. */

export type WorkCount = 'reports' | 'rounds' | 'tasksLookedAt' | 'proposals' | 'commits'

/** `rank` is work that the other parts cause, so its time is also part of theirs. */
export type WorkPart = 'plan' | 'report' | 'sweep' | 'rank'

export interface WorkTotals {
  readonly counts: Readonly<Record<WorkCount, number>>
  readonly spentMs: Readonly<Record<WorkPart, number>>
}

export interface WorkMeter {
  readonly count: (what: WorkCount, by?: number) => void
  /** Runs `work` and adds its time to a part. */
  readonly measure: <T>(part: WorkPart, work: () => T) => T
  /** Totals since the start of the process. */
  readonly totals: () => WorkTotals
}

export const createWorkMeter = (nowMs: () => number): WorkMeter => {
  const counts = { reports: 0, rounds: 0, tasksLookedAt: 0, proposals: 0, commits: 0 }
  const spentMs = { plan: 0, report: 0, sweep: 0, rank: 0 }
  return {
    count: (what, by = 1) => {
      counts[what] += by
    },
    measure: (part, work) => {
      const startedMs = nowMs()
      try {
        return work()
      } finally {
        spentMs[part] += nowMs() - startedMs
      }
    },
    totals: () => ({ counts: { ...counts }, spentMs: { ...spentMs } }),
  }
}
