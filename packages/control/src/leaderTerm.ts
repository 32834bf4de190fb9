/** Soft state of one leadership term. It is discarded when the term ends and rebuilt from syncs. */
import * as scheduling from '@ebonyweir/scheduling'
import type * as protocol from '@ebonyweir/protocol'
import * as burnStore from './burnStore.js'
import * as decisionLog from './decisionLog.js'
import * as directory from './directory.js'
import * as workerSessions from './workerSessions.js'

export interface ProcessSession extends protocol.operatorApi.ProcessStatus {
  readonly incarnation: number
  readonly lastSyncAtMs: number
}

export interface LeaderTerm {
  readonly term: number
  readonly electedAtMs: number
  readonly sessions: workerSessions.WorkerSessions
  readonly directory: directory.Directory
  readonly burn: burnStore.BurnStore
  readonly decisions: decisionLog.DecisionLog
  readonly scheduler: scheduling.Scheduler
  /** Entries and agents by `<role>/<name>`. */
  readonly processes: Map<string, ProcessSession>
  /** Worker reports received since the latest scheduling decision. */
  readonly reports: scheduling.WorkerReport[]
  /** Latest scheduling decision. */
  decision: scheduling.Decision | undefined
  /** Directives of the latest decision by task id. */
  directives: ReadonlyMap<string, Directive>
  /** True while a batch of assignments is being committed. */
  assigning: boolean
  /** Workers whose attempts are currently being ended as lost. */
  readonly endingLost: Set<string>
}

export type Directive =
  | { readonly kind: 'stop'; readonly attempt: number }
  | { readonly kind: 'checkpoint'; readonly attempt: number }
  | { readonly kind: 'throttle'; readonly attempt: number; readonly cpuPercent: number }
  | { readonly kind: 'withhold'; readonly attempt: number }

/** Creates the soft state of `term`. `electedAtMs` is on the monotonic clock. */
export const createLeaderTerm = (term: number, electedAtMs: number): LeaderTerm => ({
  term,
  electedAtMs,
  sessions: workerSessions.createWorkerSessions(electedAtMs),
  directory: directory.createDirectory(term),
  burn: burnStore.createBurnStore(),
  decisions: decisionLog.createDecisionLog(),
  scheduler: scheduling.createScheduler({ random: Math.random }),
  processes: new Map(),
  reports: [],
  decision: undefined,
  directives: new Map(),
  assigning: false,
  endingLost: new Set(),
})
