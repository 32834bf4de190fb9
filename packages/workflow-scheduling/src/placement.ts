/** Placement of waiting tasks on workers. */
import type * as protocol from '@ebonyweir/protocol'
import * as workflowState from '@ebonyweir/workflow-state'
import * as candidates from './candidates.js'
import type * as durations from './durations.js'
import * as order from './order.js'
import type * as fairShares from './fairShares.js'
import type * as shareOrder from './shareOrder.js'
import * as placementFailures from './placementFailures.js'
import * as workerCost from './workerCost.js'
import * as workerQueue from './workerQueue.js'

/** Time after which one task of a step without assigned tasks accepts any rate on the best worker available. */
const MAX_BEST_EFFORT_WAIT_MS = 2_000

export interface PlacementInput extends candidates.BestEffortInput {
  /** Skips best-effort steps. @default false */
  readonly skipBestEffort?: boolean
  readonly expected: durations.Durations
  /** Wall-clock time of the leader. */
  readonly nowMs: number
  /** Limit on the assignments of one plan, so that one round stays short. */
  readonly maxAssignments: number
  /** Whether a run of the task failed on the worker. */
  readonly avoids: (task: workflowState.TaskIdentity, workerId: string) => boolean
  /** Time for which a step has been ready. */
  readonly waitedMs: (step: workflowState.StepView) => number
  /** Standings of steps that reserve CPU, given in the order without shares. @default no fair shares */
  readonly shares?: (
    steps: readonly shareOrder.UrgentStep[],
    freeCores: (service: string) => number,
  ) => ReadonlyMap<workflowState.StepView, fairShares.ShareStanding>
}

export interface Plan {
  readonly workers: readonly protocol.workflow.WorkerDescription[]
  readonly assignments: readonly protocol.workflow.Assignment[]
  /** Waiting tasks for which a worker was searched. */
  readonly tasksLookedAt: number
  /** Workers considered for those tasks; a worker counts once for each task that considered it. */
  readonly workersLookedAt: number
}

const taskRunOf = (
  step: workflowState.StepView,
  task: workflowState.TaskView,
): protocol.workflow.TaskRun => ({
  job: step.job.spec.id,
  occurrence: step.occurrence,
  step: step.index,
  index: task.index,
  run: 0,
})

/** Whether less than half of the CPU of `workers` is reserved; no step needs to wait then. */
const isMostlyFree = (workers: readonly candidates.CandidateWorker[]): boolean => {
  let freeMillis = 0
  let allMillis = 0
  for (const { cpuMillis, capacity } of workers) {
    freeMillis += cpuMillis
    allMillis += capacity.cpuMillis
  }
  return freeMillis > allMillis / 2
}

/** Plans the tasks of a step: all or none of a gang, others as far as there is free capacity. */
const planStep = (
  input: PlacementInput,
  allCandidates: readonly candidates.CandidateWorker[],
  step: workflowState.StepView,
  limit: number,
  failures: placementFailures.PlacementFailures,
): Omit<Plan, 'workers'> => {
  const planned: {
    readonly assignment: protocol.workflow.Assignment
    readonly candidate: candidates.CandidateWorker
  }[] = []
  const suitable = allCandidates.filter(
    ({ worker }) => worker.description.service === step.job.queue.service,
  )
  const racks = new Set(
    suitable
      .filter((candidate) => (candidate.runsOfStep.get(step) ?? 0) > 0)
      .map(({ worker }) => worker.description.rack),
  )
  const { filling } = step.spec
  const rank = filling ? input.fillerRank(step) : 0
  const bestEffortRate = workerCost.createBestEffortRate(step, rank, input, true)
  const queue = workerQueue.createWorkerQueue({
    step,
    suitable,
    rank,
    bestEffortRate,
    racks,
    avoids: input.avoids,
  })
  const mayDisturb = input.mayDisturb?.(step) !== false || isMostlyFree(suitable)
  const hasWaited =
    mayDisturb && step.assignedCount === 0 && input.waitedMs(step) >= MAX_BEST_EFFORT_WAIT_MS

  /** Takes a worker unless the same search failed before for an equivalent task. */
  const search = (
    minRate: number,
    take: workerQueue.WorkerQueue['take'],
    task: protocol.workflow.TaskRun,
  ): candidates.CandidateWorker | undefined => {
    if (filling && failures.covers(step, rank, minRate)) return undefined
    const candidate = take(task)
    if (filling && candidate === undefined) failures.record(step, rank, minRate)
    return candidate
  }

  let tasksLookedAt = 0
  for (const task of step.tasks) {
    if (task.phase !== 'waiting') continue
    if (planned.length >= limit && !step.spec.gang) break
    const taskRun = taskRunOf(step, task)
    tasksLookedAt += 1
    // One slow task keeps the step progressing; more of them would interfere and slow down the tasks already there.
    const acceptsAnyRate = filling && hasWaited && planned.length === 0
    const candidate =
      search(workerCost.MIN_BEST_EFFORT_RATE, queue.take, taskRun) ??
      (acceptsAnyRate ? search(0, queue.takeAtAnyRate, taskRun) : undefined)
    if (candidate === undefined) break
    racks.add(candidate.worker.description.rack)
    planned.push({ assignment: { task: taskRun, worker: candidate.identity }, candidate })
  }
  const workersLookedAt = queue.lookedAt()
  if (step.spec.gang && planned.length < step.spec.taskCount) {
    for (const { candidate } of planned) candidates.release(candidate, step)
    return { assignments: [], tasksLookedAt, workersLookedAt }
  }
  const assignments = planned.map(({ assignment }) => assignment)
  return { assignments, tasksLookedAt, workersLookedAt }
}

const MILLIS_PER_CORE = 1_000

/** Urgency of the ready steps that reserve CPU, with their standings in the fair shares. */
const urgenciesOf = (
  input: PlacementInput,
  allCandidates: readonly candidates.CandidateWorker[],
): ReadonlyMap<workflowState.StepView, order.Urgency> => {
  const steps = [...input.view.readySteps]
    .filter(({ spec }) => !spec.filling)
    .map((step) => {
      const urgency = order.urgencyOf(step, input.expected, input.nowMs)
      return { step, urgency, slackMs: urgency.latestStartMs - input.nowMs }
    })
  const urgencies = new Map(steps.map(({ step, urgency }) => [step, urgency]))
  if (input.shares === undefined) return urgencies
  const freeCores = (service: string): number =>
    allCandidates
      .filter(({ worker }) => worker.description.service === service)
      .reduce((sum, { cpuMillis }) => sum + Math.max(0, cpuMillis) / MILLIS_PER_CORE, 0)
  const ordered = steps.sort((a, b) => order.compareUrgency(a.urgency, b.urgency))
  for (const [step, share] of input.shares(ordered, freeCores)) {
    const urgency = urgencies.get(step)
    if (urgency !== undefined) urgencies.set(step, { ...urgency, share })
  }
  return urgencies
}

/** Plans assignments for the ready steps: steps that reserve CPU by urgency, then best-effort steps by rank. */
export const planAssignments = (input: PlacementInput): Plan => {
  const { view } = input
  if (view.readySteps.size === 0) {
    return { workers: [], assignments: [], tasksLookedAt: 0, workersLookedAt: 0 }
  }
  const allCandidates = candidates.createCandidates(input)
  const urgencies = urgenciesOf(input, allCandidates)
  const ordered = [...view.readySteps]
    .filter(({ spec }) => input.skipBestEffort !== true || !spec.filling)
    .map((step) => ({
      step,
      rank: step.spec.filling ? input.fillerRank(step) : undefined,
      urgency: urgencies.get(step),
    }))
    .sort((a, b) => {
      if (a.rank !== undefined && b.rank !== undefined) return a.rank - b.rank
      if (a.urgency === undefined || b.urgency === undefined) return a.rank === undefined ? -1 : 1
      return order.compareUrgency(a.urgency, b.urgency)
    })
  const assignments: protocol.workflow.Assignment[] = []
  let tasksLookedAt = 0
  let workersLookedAt = 0
  const failures = placementFailures.createPlacementFailures(input.mayDisturb)
  for (const { step } of ordered) {
    const limit = input.maxAssignments - assignments.length
    if (limit <= 0) break
    const planned = planStep(input, allCandidates, step, limit, failures)
    assignments.push(...planned.assignments)
    tasksLookedAt += planned.tasksLookedAt
    workersLookedAt += planned.workersLookedAt
  }
  const used = new Set(assignments.map(({ worker }) => worker && workflowState.workerKey(worker)))
  const workers = allCandidates
    .filter(({ key }) => used.has(key))
    .map(({ worker }) => worker.description)
  return { workers, assignments, tasksLookedAt, workersLookedAt }
}
