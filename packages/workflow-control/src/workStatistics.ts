/** Counts the work that a control replica does on its event loop, and the time spent in each part of it. */

/**
 * The counts of locality are of tasks whose step names a rack: placed near, placed remotely, or waiting; steps that began
 * to wait (`localityWaits`); and the milliseconds that tasks waited.
 */
export type WorkCount =
  | 'reports'
  | 'rounds'
  | 'tasksLookedAt'
  | 'workersLookedAt'
  | 'rankings'
  | 'proposals'
  | 'commits'
  | 'localityWaits'
  | 'localityNear'
  | 'localityRemote'
  | 'localityWait'
  | 'localityWaitedMs'
  | 'shareDeferrals'

/**
 * Parts of the work: the leader's planning, handling of agents' reports and sweeps; sending orders to agents; receiving and
 * sending replication messages; applying committed commands; collecting the load for admission. `rank`, `send`, `replicate` and `apply` run within other
 * parts, so their time is included in that of those.
 */
export type WorkPart =
  'plan' | 'report' | 'sweep' | 'rank' | 'admit' | 'send' | 'receive' | 'replicate' | 'apply'

/**
 * How a best-effort (`filling`) task spends its time: waiting for a worker, assigned but not yet listed, paused, slowed by
 * its pace, sharing CPUs with other tasks, or working. `lost` is the part of `working` that no checkpoint covered.
 */
export type BestEffortTimeKind =
  'waiting' | 'starting' | 'paused' | 'slowed' | 'shared' | 'working' | 'lost'

export interface WorkTotals {
  readonly counts: Readonly<Record<WorkCount, number>>
  readonly spentMs: Readonly<Record<WorkPart, number>>
  /** Time of best-effort tasks while this replica led. */
  readonly bestEffortMs: Readonly<Record<BestEffortTimeKind, number>>
}

export interface WorkStatistics {
  readonly count: (what: WorkCount, by?: number) => void
  readonly addBestEffortMs: (what: BestEffortTimeKind, ms: number) => void
  /** Runs `work` and adds its duration to `part`. */
  readonly measure: <T>(part: WorkPart, work: () => T) => T
  /** Totals since the start of the process. */
  readonly totals: () => WorkTotals
}

export const createWorkStatistics = (nowMs: () => number): WorkStatistics => {
  const counts = {
    reports: 0,
    rounds: 0,
    tasksLookedAt: 0,
    workersLookedAt: 0,
    rankings: 0,
    proposals: 0,
    commits: 0,
    localityWaits: 0,
    localityNear: 0,
    localityRemote: 0,
    localityWait: 0,
    localityWaitedMs: 0,
    shareDeferrals: 0,
  }
  const spentMs = {
    plan: 0,
    report: 0,
    sweep: 0,
    rank: 0,
    admit: 0,
    send: 0,
    receive: 0,
    replicate: 0,
    apply: 0,
  }
  const bestEffortMs = {
    waiting: 0,
    starting: 0,
    paused: 0,
    slowed: 0,
    shared: 0,
    working: 0,
    lost: 0,
  }
  return {
    addBestEffortMs: (what, ms) => {
      bestEffortMs[what] += ms
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
    totals: () => ({
      counts: { ...counts },
      spentMs: { ...spentMs },
      bestEffortMs: { ...bestEffortMs },
    }),
  }
}
