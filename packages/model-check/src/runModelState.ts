/** State of the run model: the production state machine, workers, and orders that may arrive late or twice. */
import * as protocol from '@ebonyweir/protocol'
import * as workflowState from '@ebonyweir/workflow-state'

export type Body = NonNullable<protocol.workflow.WorkflowCommand['body']>
export type TaskRun = protocol.workflow.TaskRun

/** Guards of the protocol between leader, agent and worker; each scenario disables one. */
export interface RunGuards {
  /** An end is committed before the worker may forget it. */
  readonly commitBeforeAcknowledge: boolean
  /** A refused run whose order may still be in transit is first stopped at the worker, which bars it from starting. */
  readonly barUncertainOrders: boolean
  /** The leader marks an order that may have been delivered before, so that a new agent process treats it as uncertain. */
  readonly markRepeatedOrders: boolean
  /** The leader does not repeat an order for a run whose end is being committed. */
  readonly skipEndingRuns: boolean
  /** Runs of an earlier incarnation are barred at the new one before their end is committed. */
  readonly barOldIncarnation: boolean
  /** The runs of an unresponsive worker end only after its lease has expired. */
  readonly waitForLease: boolean
  /** An agent that switches to another stream drops the orders whose outcome is unknown. */
  readonly dropOpenOrders: boolean
  /** The leader sends stops for runs that it declares lost before it renews the lease on the same stream. */
  readonly stopLostRuns: boolean
  /** An agent ignores an order for a run whose rejection is in transit to the leader. */
  readonly skipRejectedRuns: boolean
  /** A run of a cancelled job that is not running at the worker is barred before it is rejected. */
  readonly barCancelledRuns: boolean
  /** The leader does not repeat orders of a cancelled job. */
  readonly skipCancelledJobs: boolean
  /** An agent takes a run for one that never ran here only by a list of the worker that contains all of its ends. */
  readonly awaitAllEnds: boolean
  /**
   * The fencing token of an agent rises after an order without an answer, after a restart, and before a call that may reach
   * another incarnation. Off beside leaders and agents of earlier versions, so the other guards must hold without it.
   */
  readonly raiseToken: boolean
}

export const ALL_GUARDS: RunGuards = {
  commitBeforeAcknowledge: true,
  barUncertainOrders: true,
  markRepeatedOrders: true,
  skipEndingRuns: true,
  barOldIncarnation: true,
  waitForLease: true,
  dropOpenOrders: true,
  stopLostRuns: true,
  skipRejectedRuns: true,
  barCancelledRuns: true,
  skipCancelledJobs: true,
  awaitAllEnds: true,
  raiseToken: true,
}

/** Order to start a run, in transit to a worker. */
export interface RunOrder {
  readonly run: TaskRun
  readonly workerId: string
  /** In transit on a leader's stream, held by the agent, or in transit from the agent to the worker. */
  readonly stage: 'sent' | 'held' | 'given'
  /** Term of the leader on whose stream it was sent. */
  readonly term: number
  /** Whether the job had been cancelled before the order was sent. */
  readonly afterCancel: boolean
  /** Fencing token with which the agent gave it. */
  readonly token: number
  /** Number of the worker's lease that the order was sent under; the worker ignores it under a later lease. */
  readonly lease: number
  /** Whether the agent process that delivers the order still waits for the answer. */
  readonly awaited: boolean
  /** Whether that process assumes that an earlier copy may still start the run. */
  readonly uncertain: boolean
}

/** Uncommitted rejection that the leader knows or gets with the next report. */
export interface PendingRejection {
  readonly run: TaskRun
  readonly workerId: string
  readonly bornMs: number
  /** Whether the agent process that reports it is alive, so that the next leader gets it too. */
  readonly reporterAlive: boolean
}

/** What the agent of a worker knows about the leader. */
export interface ModelAgent {
  /** Newest term whose leader has answered a report of the agent; the answer may still be in transit. */
  readonly attachedTerm: number
  /** Term of the leader whose stream it follows. */
  readonly term: number
  /** Number of the newest lease that it got from a leader while that leader was current. */
  readonly lease: number
  /** Fencing token of its next call. */
  readonly token: number
}

export interface UnacknowledgedEnd {
  readonly run: TaskRun
  readonly completed: boolean
  /** Whether the worker's lease expired before the end was committed, so that the end is not certain to count. */
  readonly lapsed: boolean
}

export interface ModelWorker {
  readonly id: string
  readonly bornMs: number
  /** Highest fencing token that this incarnation has seen; -1 before the first. */
  readonly token: number
  /** Whether its agent has listed this incarnation since it lost contact with the one before. */
  readonly called: boolean
  /** Lease number: how many leases have expired in all incarnations. */
  readonly lease: number
  readonly running: readonly TaskRun[]
  readonly ends: readonly UnacknowledgedEnd[]
  /** Highest run number that was stopped or ended here, by task key; orders up to it are ignored. */
  readonly barred: Readonly<Record<string, number>>
}

/** Number of faults by kind: those in the trace so far, or the maximum for a trace. */
export interface FaultCounts {
  readonly crashes: number
  /** Orders that were sent again after they had no answer. */
  readonly copies: number
  readonly refusals: number
  readonly lapses: number
  readonly failures: number
  /** Agent processes that were killed and restarted. */
  readonly agentRestarts: number
  /** Leader changes so far, which is the term of the current leader. */
  readonly leaderChanges: number
  readonly cancels: number
}

export interface RunModelState extends FaultCounts {
  readonly log: readonly Body[]
  readonly workers: readonly ModelWorker[]
  /** Incarnation that the leader knows, by worker id. */
  readonly knownIncarnations: Readonly<Record<string, number>>
  /** Agents by worker id. */
  readonly agents: Readonly<Record<string, ModelAgent>>
  readonly orders: readonly RunOrder[]
  readonly rejections: readonly PendingRejection[]
  /** Tasks whose completion was acknowledged to the worker, which may forget it. */
  readonly acknowledged: readonly string[]
  /** Tasks that were started after their completion was acknowledged. */
  readonly startedAgain: readonly string[]
  /** Tasks that were started by an order sent after the cancellation of their job. */
  readonly startedCancelled: readonly string[]
}

/** Failure domain and service of all workers of the model. */
const DOMAIN = 'rennes'
const SERVICE = 'desk'

/** CPU capacity of a worker in thousandths of a processor; every task claims all of it. */
export const CAPACITY_MILLIS = 1_000

export const identityOf = (
  { id }: Pick<ModelWorker, 'id'>,
  bornMs: number,
): protocol.workflow.WorkerIdentity => ({ id, bornMs, agent: `agent-${id}` })

export const describeWorker = (
  worker: Pick<ModelWorker, 'id'>,
  bornMs: number,
): protocol.workflow.WorkerDescription => ({
  identity: identityOf(worker, bornMs),
  service: SERVICE,
  failureDomain: DOMAIN,
  rack: 'r1',
  labels: [],
  capacity: { cpuMillis: CAPACITY_MILLIS, memoryMb: 100, accelerators: 0 },
})

/** Creates the state machine and applies the committed commands. */
export const replay = (log: readonly Body[]): workflowState.WorkflowState => {
  const state = workflowState.createWorkflowState()
  for (const [index, body] of log.entries()) state.apply({ nowMs: index, body })
  return state
}

/** Command that submits a job of one or two steps with one task each; the second step follows the first. */
export const submitChain = (jobId: string, stepCount: 1 | 2): Body => {
  const claim = { cpuMillis: CAPACITY_MILLIS, memoryMb: 1, accelerators: 0 }
  const step = (after: readonly number[]): protocol.workflow.Step => ({
    ...protocol.workflow.Step.fromPartial({ taskCount: 1, claim }),
    after,
  })
  const spec = {
    ...protocol.workflow.JobSpec.fromPartial({ id: jobId }),
    steps: [step([]), step([0])].slice(0, stepCount),
  }
  const queue = protocol.workflow.Queue.fromPartial({ service: SERVICE, maxAttempts: 3 })
  return { $case: 'submit', value: { spec, queue, callerDomain: '' } }
}
