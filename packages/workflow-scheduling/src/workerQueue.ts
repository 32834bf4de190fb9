/** Queue of the workers for the tasks of one step, cheapest first. */
import type * as protocol from '@ebonyweir/protocol'
import type * as workflowState from '@ebonyweir/workflow-state'
import * as tinyQueue from 'tinyqueue'
import * as candidates from './candidates.js'
import * as workerCost from './workerCost.js'

type TaskRun = protocol.workflow.TaskRun

export interface WorkerQueueOptions {
  readonly step: workflowState.StepView
  /** Workers of the step's service. */
  readonly suitable: readonly candidates.CandidateWorker[]
  /** Rank of a best-effort step; 0 for others. */
  readonly rank: number
  readonly bestEffortRate: workerCost.BestEffortRate
  /** Racks that hold tasks of the step. */
  readonly racks: ReadonlySet<string>
  readonly avoids: (task: TaskRun, workerId: string) => boolean
  /** Cost of workers that are remote from the data of the step. @default a fixed cost */
  readonly remote?: workerCost.RemoteCost
  /** Whether the task may start on the chosen worker, or else waits for a better one. @default it may */
  readonly accepts?: (candidate: candidates.CandidateWorker) => boolean
}

export interface WorkerQueue {
  /**
   * Reserves the cheapest worker that runs the task at `MIN_BEST_EFFORT_RATE` or faster; undefined if there is none, or if
   * it is not accepted.
   */
  readonly take: (task: TaskRun) => candidates.CandidateWorker | undefined
  /** The same at any rate. */
  readonly takeAtAnyRate: (task: TaskRun) => candidates.CandidateWorker | undefined
  /** Whether a worker with room in one of the racks is left. */
  readonly hasFreeIn: (racks: ReadonlySet<string>) => boolean
  /** Number of workers whose cost was computed so far. */
  readonly lookedAt: () => number
}

interface QueuedWorker {
  readonly candidate: candidates.CandidateWorker
  readonly cost: number
  /** Position among the suitable workers; the earlier of two equally expensive ones goes first. */
  readonly position: number
}

const byCost = (a: QueuedWorker, b: QueuedWorker): number =>
  a.cost - b.cost || a.position - b.position

/**
 * Creates the queue. A reservation changes the cost of its worker only, so the costs of the other workers are computed once
 * for all tasks of the step. Tasks that stay on one rack are the exception: each new rack changes all costs.
 */
export const createWorkerQueue = (options: WorkerQueueOptions): WorkerQueue => {
  const { step, suitable, rank, racks, avoids, remote, accepts } = options
  const { rateOn, confirm } = options.bestEffortRate
  const { filling, sameRack } = step.spec
  let queue: tinyQueue.default<QueuedWorker> | undefined
  let queuedRackCount = 0
  let lookedAt = 0

  const queuedOf = (
    candidate: candidates.CandidateWorker,
    position: number,
    minRate: number,
  ): QueuedWorker | undefined => {
    lookedAt += 1
    if (!candidates.hasCapacity(candidate, step)) return undefined
    const rate = filling ? rateOn(candidate, minRate) : 1
    if (rate < minRate) return undefined
    return { candidate, position, cost: workerCost.costOf(candidate, step, racks, rate, remote) }
  }

  const createQueue = (minRate: number): tinyQueue.default<QueuedWorker> => {
    const queued = suitable.flatMap(
      (candidate, position) => queuedOf(candidate, position, minRate) ?? [],
    )
    return new tinyQueue.default(queued, byCost)
  }

  /** Removes the cheapest worker on which the task did not fail, or else the cheapest one. */
  const removeBest = (
    from: tinyQueue.default<QueuedWorker>,
    task: TaskRun,
  ): QueuedWorker | undefined => {
    const avoided: QueuedWorker[] = []
    let best = from.pop()
    while (best !== undefined && avoids(task, best.candidate.identity.id)) {
      avoided.push(best)
      best = from.pop()
    }
    const chosen = best ?? avoided.shift()
    for (const other of avoided) from.push(other)
    return chosen
  }

  const currentQueue = (): tinyQueue.default<QueuedWorker> => {
    const hasNewRack = sameRack && remote === undefined && racks.size !== queuedRackCount
    if (queue === undefined || hasNewRack) {
      queue = createQueue(workerCost.MIN_BEST_EFFORT_RATE)
      queuedRackCount = racks.size
    }
    return queue
  }

  return {
    take: (task) => {
      const current = currentQueue()
      let best = removeBest(current, task)
      if (best !== undefined && accepts?.(best.candidate) === false) {
        current.push(best)
        return undefined
      }
      while (best !== undefined && filling && !confirm(best.candidate)) {
        best = removeBest(current, task)
      }
      if (best === undefined) return undefined
      const { candidate, position } = best
      candidates.reserve(candidate, step, rank)
      const again = queuedOf(candidate, position, workerCost.MIN_BEST_EFFORT_RATE)
      if (again !== undefined) current.push(again)
      return candidate
    },
    takeAtAnyRate: (task) => {
      const best = removeBest(createQueue(0), task)
      if (best === undefined) return undefined
      candidates.reserve(best.candidate, step, rank)
      // The worker runs one more task than when its cost was computed.
      queue = undefined
      return best.candidate
    },
    hasFreeIn: (near) =>
      currentQueue().data.some(({ candidate }) => near.has(candidate.worker.description.rack)),
    lookedAt: () => lookedAt,
  }
}
