/** Counts what a control replica does on its loop, and the time that the parts of this work take. */

export type WorkCount =
  'reports' | 'rounds' | 'tasksLookedAt' | 'rankings' | 'proposals' | 'commits'

/** `rank` is work that the other parts cause, so its time is also part of theirs. */
export type WorkPart = 'plan' | 'report' | 'sweep' | 'rank'

/**
 * What a task that fills spends its time on: it waits for a place, is assigned but not listed, is paused, gives time up by
 * its pace, gives time up to others on the same processors, or works. `lost` is work that no checkpoint covered, part of the time
 * of `working`.
 */
export type FillerTime =
  'waiting' | 'starting' | 'paused' | 'slowed' | 'shared' | 'working' | 'lost'

export interface WorkTotals {
  readonly counts: Readonly<Record<WorkCount, number>>
  readonly spentMs: Readonly<Record<WorkPart, number>>
  /** Time of the tasks that fill, while this replica led. */
  readonly fillerMs: Readonly<Record<FillerTime, number>>
}

export interface WorkMeter {
  readonly count: (what: WorkCount, by?: number) => void
  readonly addFillerMs: (what: FillerTime, ms: number) => void
  /** Runs `work` and adds its time to a part. */
  readonly measure: <T>(part: WorkPart, work: () => T) => T
  /** Totals since the start of the process. */
  readonly totals: () => WorkTotals
}

export const createWorkMeter = (nowMs: () => number): WorkMeter => {
  const counts = {
    reports: 0,
    rounds: 0,
    tasksLookedAt: 0,
    rankings: 0,
    proposals: 0,
    commits: 0,
  }
  const spentMs = { plan: 0, report: 0, sweep: 0, rank: 0 }
  const fillerMs = { waiting: 0, starting: 0, paused: 0, slowed: 0, shared: 0, working: 0, lost: 0 }
  return {
    addFillerMs: (what, ms) => {
      fillerMs[what] += ms
    },
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
    totals: () => ({ counts: { ...counts }, spentMs: { ...spentMs }, fillerMs: { ...fillerMs } }),
  }
}
