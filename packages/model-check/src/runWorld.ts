/** World of the model of runs: the production state machine, workers, and orders that may arrive late or twice. */
import * as protocol from '@ebonyweir/protocol'
import * as workflowState from '@ebonyweir/workflow-state'

export type Body = NonNullable<protocol.workflow.WorkflowCommand['body']>
export type TaskRun = protocol.workflow.TaskRun

/** Guards of the protocol between leader, agent and worker; a scenario switches one off. */
export interface RunGuards {
  /** An end is committed before the worker may forget it. */
  readonly commitBeforeAcknowledge: boolean
  /** A refused run whose order may still be under way is stopped first, which bars it at the worker. */
  readonly barUncertainOrders: boolean
  /** The leader marks an order that may have been given before, so that a new agent process counts it as uncertain. */
  readonly markRepeatedOrders: boolean
  /** The leader does not repeat an order for a run whose end is being recorded. */
  readonly skipEndingRuns: boolean
  /** Runs of an earlier incarnation are barred at the new one before they end. */
  readonly barOldIncarnation: boolean
  /** A silent worker's runs end only after its lease has ended. */
  readonly waitForLease: boolean
  /** An agent that follows another stream drops the orders whose outcome is open. */
  readonly dropOpenOrders: boolean
  /** The leader has runs that it counts as lost stopped before it renews the lease on the same stream. */
  readonly stopLostRuns: boolean
  /** An agent takes no order for a run whose rejection is on its way to the leader. */
  readonly skipRejectedRuns: boolean
  /** A run of a cancelled job that is not there is barred before it counts as ended. */
  readonly barCancelledRuns: boolean
  /** The leader repeats no order of a cancelled job. */
  readonly skipCancelledJobs: boolean
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
}

/** Order to start a run, on its way to a worker. */
export interface RunOrder {
  readonly run: TaskRun
  readonly workerId: string
  /** On the stream of a leader, held by the agent, or given to the worker. */
  readonly stage: 'sent' | 'held' | 'given'
  /** Leader on whose stream it was sent. */
  readonly term: number
  /** The job was cancelled before the order was sent. */
  readonly afterCancel: boolean
  /** Lease of the worker that the order extends; a later one refuses it as late. */
  readonly lease: number
  /** The agent process that gave the order still waits for its answer. */
  readonly awaited: boolean
  /** That process takes into account that an earlier copy may still be carried out. */
  readonly uncertain: boolean
}

/** Rejection that the leader knows or gets with the next report, and that is not committed yet. */
export interface PendingRejection {
  readonly run: TaskRun
  readonly workerId: string
  readonly bornMs: number
  /** The agent process that reports it lives, so that the next leader gets it as well. */
  readonly reported: boolean
}

/** What the agent of a worker knows of the leader. */
export interface ModelAgent {
  /** Newest leader that has answered a report of the agent; the agent may not have got the answer yet. */
  readonly asked: number
  /** Leader whose stream it follows. */
  readonly term: number
  /** Newest lease that a leader gave while it was the current one. */
  readonly lease: number
}

export interface ListedEnd {
  readonly run: TaskRun
  readonly completed: boolean
  /** The worker's lease ended before the end was recorded, so that it does not count as certain. */
  readonly lapsed: boolean
}

export interface ModelWorker {
  readonly id: string
  readonly bornMs: number
  /** Counts the leases that have ended in all incarnations. */
  readonly lease: number
  readonly running: readonly TaskRun[]
  readonly ends: readonly ListedEnd[]
  /** Highest run that was stopped or ended here, by task key. */
  readonly barred: Readonly<Record<string, number>>
}

/** Faults by kind: those of a trace so far, or as many as it may have. */
export interface FaultCounts {
  readonly crashes: number
  /** Second copies of orders that had no answer. */
  readonly copies: number
  readonly refusals: number
  readonly lapses: number
  readonly failures: number
  /** Agent processes that are killed and start again. */
  readonly agentRestarts: number
  /** Leaders before the current one; their number is its term. */
  readonly leaderChanges: number
  readonly cancels: number
}

export interface RunWorld extends FaultCounts {
  readonly log: readonly Body[]
  readonly workers: readonly ModelWorker[]
  /** Incarnation that the leader knows, by worker id. */
  readonly known: Readonly<Record<string, number>>
  /** By worker id. */
  readonly agents: Readonly<Record<string, ModelAgent>>
  readonly orders: readonly RunOrder[]
  readonly rejections: readonly PendingRejection[]
  /** Tasks whose completion the worker was allowed to forget. */
  readonly acknowledged: readonly string[]
  /** Tasks that started after that. */
  readonly startedAgain: readonly string[]
  /** Runs that started on an order which was sent after the cancellation of their job. */
  readonly startedCancelled: readonly string[]
}

/** Name of a failure domain and a service that all workers of the model share. */
const DOMAIN = 'rennes'
const SERVICE = 'desk'

/** Processors of a worker in thousandths; every task takes all of them. */
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

/** State machine after the committed commands of a world. */
export const replay = (log: readonly Body[]): workflowState.WorkflowState => {
  const state = workflowState.createWorkflowState()
  for (const [index, body] of log.entries()) state.apply({ nowMs: index, body })
  return state
}

/** Command that accepts a job of one or two steps with one task each; the second one follows the first. */
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
  return { $case: 'submit', value: { spec, queue } }
}
