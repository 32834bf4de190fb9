/** Placement of waiting tasks on workers. */
import type * as protocol from '@ebonyweir/protocol'
import * as workflowState from '@ebonyweir/workflow-state'
import * as candidates from './candidates.js'
import type * as durations from './durations.js'
import * as localityPlan from './localityPlan.js'
import type * as localityWaits from './localityWaits.js'
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
  /** Waits for workers near the data of a step. @default no task waits, and a remote worker has a fixed cost */
  readonly locality?: localityWaits.LocalityWaits
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
  /** Time on the clock of the waits at which the first wait for a near worker ends. */
  readonly firstWaitEndMs?: number
}

interface PlannedTask {
  readonly assignment: protocol.workflow.Assignment
  readonly candidate: candidates.CandidateWorker
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
  plannedLocality: localityPlan.LocalityPlan | undefined,
): Omit<Plan, 'workers'> => {
  const planned: PlannedTask[] = []
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
  const { gang } = step.spec
  const locality = plannedLocality?.forStep(step, suitable, racks)
  /** Times a task declined a remote worker; it waits then. */
  let declinedCount = 0

  /** Whether a task starts on the cheapest worker; a gang decides as a whole when all its tasks have one. */
  const accepts = (candidate: candidates.CandidateWorker): boolean => {
    if (locality === undefined || gang || locality.isNear(candidate)) return true
    if (queue.hasFreeIn(locality.remote.near) || locality.mayStartRemotely(1)) return true
    declinedCount += 1
    return false
  }

  const queue: workerQueue.WorkerQueue = workerQueue.createWorkerQueue({
    step,
    suitable,
    rank,
    bestEffortRate,
    racks,
    avoids: input.avoids,
    remote: locality?.remote,
    accepts: locality === undefined ? undefined : accepts,
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
    const declinedBefore = declinedCount
    const candidate = take(task)
    const hasDeclined = declinedCount > declinedBefore
    if (filling && candidate === undefined && !hasDeclined) failures.record(step, rank, minRate)
    return candidate
  }

  let tasksLookedAt = 0
  /** Tasks for which no worker is free. */
  let unplacedCount = 0
  for (const task of step.tasks) {
    if (task.phase !== 'waiting') continue
    if (planned.length >= limit && !gang) break
    const declinedBefore = declinedCount
    const hasDeclined = (): boolean => declinedCount > declinedBefore
    const taskRun = taskRunOf(step, task)
    tasksLookedAt += 1
    // One slow task keeps the step progressing; more of them would interfere and slow down the tasks already there.
    const acceptsAnyRate = filling && hasWaited && planned.length === 0
    const candidate =
      search(workerCost.MIN_BEST_EFFORT_RATE, queue.take, taskRun) ??
      (acceptsAnyRate && !hasDeclined() ? search(0, queue.takeAtAnyRate, taskRun) : undefined)
    if (hasDeclined()) continue
    if (candidate === undefined) {
      unplacedCount = step.waitingCount - tasksLookedAt + 1
      break
    }
    if (!gang) plannedLocality?.recordStart(candidate, step)
    racks.add(candidate.worker.description.rack)
    planned.push({ assignment: { task: taskRun, worker: candidate.identity }, candidate })
  }
  const workersLookedAt = queue.lookedAt()
  const none = { assignments: [], tasksLookedAt, workersLookedAt }
  if (gang && planned.length < step.spec.taskCount) {
    for (const { candidate } of planned) candidates.release(candidate, step)
    locality?.queueRest(step.spec.taskCount)
    return none
  }
  const placed = planned.map(({ candidate }) => candidate)
  if (gang && locality !== undefined && gangWaits(step, placed, rank, locality)) {
    locality.recordPlaced([])
    return none
  }
  if (gang) for (const candidate of placed) plannedLocality?.recordStart(candidate, step)
  locality?.recordPlaced(placed)
  locality?.queueRest(unplacedCount)
  const assignments = planned.map(({ assignment }) => assignment)
  return { assignments, tasksLookedAt, workersLookedAt }
}

/** Whether a gang waits as a whole instead of starting on the workers reserved for it; if so, they are released. */
const gangWaits = (
  step: workflowState.StepView,
  placed: readonly candidates.CandidateWorker[],
  rank: number,
  locality: localityPlan.StepLocality,
): boolean => {
  if (placed.every(locality.isNear)) return false
  // The forecast of the near workers must not contain the reservations that the decision is about.
  for (const candidate of placed) candidates.release(candidate, step)
  if (!locality.mayStartRemotely(placed.length)) return true
  for (const candidate of placed) candidates.reserve(candidate, step, rank)
  return false
}

const MILLIS_PER_CORE = 1_000

/** Input on which the order of the steps depends. */
export type OrderInput = candidates.BestEffortInput &
  Pick<PlacementInput, 'skipBestEffort' | 'expected' | 'nowMs' | 'shares'>

/** Urgency of the ready steps that reserve CPU, with their standings in the fair shares. */
const urgenciesOf = (
  input: OrderInput,
  allCandidates: () => readonly candidates.CandidateWorker[],
): ReadonlyMap<workflowState.StepView, order.Urgency> => {
  const urgencyOf = order.createUrgencies(input.expected, input.nowMs)
  const steps = [...input.view.readySteps]
    .filter(({ spec }) => !spec.filling)
    .map((step) => {
      const urgency = urgencyOf(step)
      return { step, urgency, slackMs: urgency.latestStartMs - input.nowMs }
    })
  const urgencies = new Map(steps.map(({ step, urgency }) => [step, urgency]))
  if (input.shares === undefined) return urgencies
  const freeCores = (service: string): number =>
    allCandidates()
      .filter(({ worker }) => worker.description.service === service)
      .reduce((sum, { cpuMillis }) => sum + Math.max(0, cpuMillis) / MILLIS_PER_CORE, 0)
  const ordered = steps.sort((a, b) => order.compareUrgency(a.urgency, b.urgency))
  for (const [step, share] of input.shares(ordered, freeCores)) {
    const urgency = urgencies.get(step)
    if (urgency !== undefined) urgencies.set(step, { ...urgency, share })
  }
  return urgencies
}

/** Ready steps in the order of their placement: steps that reserve CPU by urgency, then best-effort steps by rank. */
export const orderSteps = (
  input: OrderInput,
  allCandidates = (): readonly candidates.CandidateWorker[] => candidates.createCandidates(input),
): readonly workflowState.StepView[] => {
  const urgencies = urgenciesOf(input, allCandidates)
  return [...input.view.readySteps]
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
    .map(({ step }) => step)
}

/** Plans assignments for the ready steps: steps that reserve CPU by urgency, then best-effort steps by rank. */
export const planAssignments = (input: PlacementInput): Plan => {
  const { view } = input
  if (view.readySteps.size === 0) {
    return { workers: [], assignments: [], tasksLookedAt: 0, workersLookedAt: 0 }
  }
  const allCandidates = candidates.createCandidates(input)
  const ordered = orderSteps(input, () => allCandidates)
  const assignments: protocol.workflow.Assignment[] = []
  let tasksLookedAt = 0
  let workersLookedAt = 0
  const failures = placementFailures.createPlacementFailures(input.mayDisturb)
  const locality =
    input.locality &&
    localityPlan.createLocalityPlan({
      waits: input.locality,
      view,
      expected: input.expected,
      nowMs: input.nowMs,
    })
  for (const step of ordered) {
    const limit = input.maxAssignments - assignments.length
    if (limit <= 0) break
    const planned = planStep(input, allCandidates, step, limit, failures, locality)
    assignments.push(...planned.assignments)
    tasksLookedAt += planned.tasksLookedAt
    workersLookedAt += planned.workersLookedAt
  }
  const used = new Set(assignments.map(({ worker }) => worker && workflowState.workerKey(worker)))
  const workers = allCandidates
    .filter(({ key }) => used.has(key))
    .map(({ worker }) => worker.description)
  const firstWaitEndMs = locality?.firstEndMs()
  const plan = { workers, assignments, tasksLookedAt, workersLookedAt }
  return firstWaitEndMs === undefined ? plan : { ...plan, firstWaitEndMs }
}
