/** Placement of waiting tasks on workers. */
import type * as protocol from '@ebonyweir/protocol'
import * as workflowState from '@ebonyweir/workflow-state'
import type * as durations from './durations.js'
import * as order from './order.js'
import type * as interference from './interference.js'
import * as placementFailures from './placementFailures.js'
import * as unusedCpu from './unusedCpu.js'

/** Worker eligible for new runs. */
export interface PlacementWorker {
  readonly description: protocol.workflow.WorkerDescription
  /** Consecutive failures; see `Health`. */
  readonly consecutiveFailures: number
}

export interface PlacementInput {
  readonly view: workflowState.WorkflowView
  /** Skips best-effort steps. @default false */
  readonly skipBestEffort?: boolean
  readonly workers: readonly PlacementWorker[]
  readonly expected: durations.Durations
  /** Wall-clock time of the leader. */
  readonly nowMs: number
  /** Limit on the assignments of one plan, so that one round stays short. */
  readonly maxAssignments: number
  /** Whether a run of the task failed on the worker. */
  readonly avoids: (task: workflowState.TaskIdentity, workerId: string) => boolean
  readonly disturbance: interference.InterferenceModel
  /** Rank of a best-effort step's job; a lower one goes first. */
  readonly fillerRank: (step: workflowState.StepView) => number
  /** Whether best-effort tasks of the step may run where they interfere with latency-critical tasks. @default all may */
  readonly mayDisturb?: (step: workflowState.StepView) => boolean
  /** Time for which a step has been ready. */
  readonly waitedMs: (step: workflowState.StepView) => number
}

/** Rank to which every best-effort task yields. */
const FIRST_RANK = -1

type BestEffortInput = Pick<
  PlacementInput,
  'view' | 'workers' | 'disturbance' | 'fillerRank' | 'mayDisturb'
>

export interface Plan {
  readonly workers: readonly protocol.workflow.WorkerDescription[]
  readonly assignments: readonly protocol.workflow.Assignment[]
  /** Waiting tasks for which a worker was searched. */
  readonly tasksLookedAt: number
  /** Workers considered for those tasks; a worker counts once for each task that considered it. */
  readonly workersLookedAt: number
}

/** Candidate for the tasks of a plan, with its free capacity while the plan is made. */
interface CandidateWorker {
  readonly worker: PlacementWorker
  readonly identity: protocol.workflow.WorkerIdentity
  /** `workerKey` of the identity. */
  readonly key: string
  readonly capacity: protocol.workflow.Resources
  cpuMillis: number
  memoryMb: number
  accelerators: number
  /** CPU that the other tasks leave to best-effort tasks. */
  readonly leftCpuMillis: number
  /** Best-effort tasks that run here or are planned, with the CPU that they would use. */
  readonly bestEffortTasks: { readonly rank: number; readonly cpuMillis: number }[]
  readonly runsOfStep: Map<workflowState.StepView, number>
  /** Best-effort tasks that the worker's newest list does not contain, including those of this plan. */
  unlistedCount: number
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

/** Number of best-effort tasks of a worker that its newest list does not contain yet. */
export const unlistedBestEffortCount = (
  worker: string,
  load: workflowState.WorkerLoad | undefined,
  disturbance: interference.InterferenceModel,
): number => {
  let count = 0
  for (const active of load?.runs.values() ?? []) {
    if (active.step.spec.filling && !disturbance.isListed(worker, unusedCpu.activeRunKey(active)))
      count += 1
  }
  return count
}

const createCandidate = (
  worker: PlacementWorker,
  { view, disturbance, fillerRank }: BestEffortInput,
): CandidateWorker | undefined => {
  const { identity, capacity } = worker.description
  if (identity === undefined || capacity === undefined) return undefined
  const key = workflowState.workerKey(identity)
  const load = view.loads.get(key)
  const bestEffortTasks = [...(load?.runs.values() ?? [])].filter(({ step }) => step.spec.filling)
  return {
    worker,
    identity,
    key,
    capacity,
    cpuMillis: capacity.cpuMillis - (load?.cpuMillis ?? 0),
    memoryMb: capacity.memoryMb - (load?.memoryMb ?? 0),
    accelerators: capacity.accelerators - (load?.accelerators ?? 0),
    leftCpuMillis: unusedCpu.bestEffortCpuMillis(key, capacity, load, disturbance),
    bestEffortTasks: bestEffortTasks.map(({ step }) => ({
      rank: fillerRank(step),
      cpuMillis: workflowState.claimOf(step.spec).cpuMillis,
    })),
    runsOfStep: new Map(load?.runsOfStep),
    unlistedCount: unlistedBestEffortCount(key, load, disturbance),
  }
}

const createCandidates = (input: BestEffortInput): readonly CandidateWorker[] => {
  const candidates: CandidateWorker[] = []
  for (const worker of input.workers) {
    if (input.view.evacuated.has(worker.description.failureDomain)) continue
    const candidate = createCandidate(worker, input)
    if (candidate !== undefined) candidates.push(candidate)
  }
  return candidates
}

const hasCapacity = (candidate: CandidateWorker, step: workflowState.StepView): boolean => {
  const { requiredLabel, maxPerWorker, filling } = step.spec
  const claim = workflowState.claimOf(step.spec)
  if (requiredLabel !== '' && !candidate.worker.description.labels.includes(requiredLabel))
    return false
  if (maxPerWorker > 0 && (candidate.runsOfStep.get(step) ?? 0) >= maxPerWorker) return false
  return (
    (filling || claim.cpuMillis <= candidate.cpuMillis) &&
    claim.memoryMb <= candidate.memoryMb &&
    claim.accelerators <= candidate.accelerators
  )
}

const reserve = (candidate: CandidateWorker, step: workflowState.StepView, rank: number): void => {
  const claim = workflowState.claimOf(step.spec)
  if (step.spec.filling) {
    candidate.bestEffortTasks.push({ rank, cpuMillis: claim.cpuMillis })
    candidate.unlistedCount += 1
  } else candidate.cpuMillis -= claim.cpuMillis
  candidate.memoryMb -= claim.memoryMb
  candidate.accelerators -= claim.accelerators
  candidate.runsOfStep.set(step, (candidate.runsOfStep.get(step) ?? 0) + 1)
}

/** Cost of a worker in another rack than the data or the rest of the step, as a share of a worker's capacity. */
const OTHER_RACK_COST = 1

/** Share of full speed below which a best-effort task waits for a better worker; a slow one mostly interferes. */
const MIN_BEST_EFFORT_RATE = 0.5

/** Time after which one task of a step without assigned tasks accepts any rate on the best worker available. */
const MAX_BEST_EFFORT_WAIT_MS = 2_000

/** Cost of each recent failure on the worker, as a share of a worker's capacity. */
const RECENT_FAILURE_COST = 0.5

/** Cost of a worker on which the same task failed; any other worker is tried first. */
const REPEATED_WORKER_COST = 10

/**
 * Share of full speed at which a best-effort task would run on a candidate; 0 if it is below `minRate`. Above 1 there is
 * free capacity for more than the task.
 */
type RateOn = (candidate: CandidateWorker, minRate: number) => number

/**
 * Rate of the best-effort tasks of one step, limited by the interference that their neighbours tolerate and the CPU left
 * by tasks that go before them. Tasks that the worker's list does not contain yet take an equal share. The tolerated count
 * is constant during a plan, so it is computed once for all tasks of the step, and only where CPU is left.
 */
const createBestEffortRate = (
  step: workflowState.StepView,
  rank: number,
  { disturbance, mayDisturb }: BestEffortInput,
): RateOn => {
  const { cpuMillis } = workflowState.claimOf(step.spec)
  const mustNotInterfere = mayDisturb?.(step) === false
  const toleratedOn = new Map<CandidateWorker, number>()

  const toleratedCountOn = (candidate: CandidateWorker): number => {
    const known = toleratedOn.get(candidate)
    if (known !== undefined) return known
    const computed = disturbance.safeToleratedCount(candidate.key, step.spec.image, rank)
    const isHarmless = computed === Number.POSITIVE_INFINITY
    const allowed = mustNotInterfere && !isHarmless ? 0 : computed
    toleratedOn.set(candidate, allowed)
    return allowed
  }

  return (candidate, minRate) => {
    let takenMillis = 0
    for (const task of candidate.bestEffortTasks)
      if (task.rank <= rank) takenMillis += task.cpuMillis
    const cpuRate = Math.max(0, candidate.leftCpuMillis - takenMillis) / Math.max(1, cpuMillis)
    if (cpuRate < minRate) return 0
    const rate = Math.min(toleratedCountOn(candidate) / (1 + candidate.unlistedCount), cpuRate)
    return rate < minRate ? 0 : rate
  }
}

/**
 * Cost of a worker for a task; the worker with the lowest cost is chosen. Tasks that reserve CPU are packed, which leaves
 * workers without latency-critical tasks to best-effort tasks that would interfere. Best-effort tasks are spread by free
 * capacity, because a tail latency rises faster the closer it is to its target.
 */
const costOf = (
  candidate: CandidateWorker,
  step: workflowState.StepView,
  hasFailedHere: boolean,
  racksOfStep: ReadonlySet<string>,
  bestEffortRate: number,
): number => {
  const { description, consecutiveFailures } = candidate.worker
  const { dataRack, filling, sameRack } = step.spec
  const freeShare = candidate.cpuMillis / Math.max(1, candidate.capacity.cpuMillis)
  let cost = consecutiveFailures * RECENT_FAILURE_COST
  cost += filling ? 1 / (1 + bestEffortRate) : freeShare
  if (hasFailedHere) cost += REPEATED_WORKER_COST
  if (dataRack !== '' && dataRack !== description.rack) cost += OTHER_RACK_COST
  if (sameRack && !isRackOfStep(racksOfStep, description.rack)) cost += OTHER_RACK_COST
  return cost
}

const isRackOfStep = (racks: ReadonlySet<string>, rack: string): boolean =>
  racks.size === 0 || racks.has(rack)

/** Whether less than half of the CPU of `candidates` is reserved; no step needs to wait then. */
const isMostlyFree = (candidates: readonly CandidateWorker[]): boolean => {
  let freeMillis = 0
  let allMillis = 0
  for (const { cpuMillis, capacity } of candidates) {
    freeMillis += cpuMillis
    allMillis += capacity.cpuMillis
  }
  return freeMillis > allMillis / 2
}

/** Plans the tasks of a step: all or none of a gang, others as far as there is free capacity. */
const planStep = (
  input: PlacementInput,
  candidates: readonly CandidateWorker[],
  step: workflowState.StepView,
  limit: number,
  failures: placementFailures.PlacementFailures,
): Omit<Plan, 'workers'> => {
  const planned: {
    readonly assignment: protocol.workflow.Assignment
    readonly candidate: CandidateWorker
  }[] = []
  const suitable = candidates.filter(
    ({ worker }) => worker.description.service === step.job.queue.service,
  )
  const racks = new Set(
    suitable
      .filter((candidate) => (candidate.runsOfStep.get(step) ?? 0) > 0)
      .map(({ worker }) => worker.description.rack),
  )
  const { filling } = step.spec
  const rank = filling ? input.fillerRank(step) : 0
  const rateOn = createBestEffortRate(step, rank, input)
  const mayDisturb = input.mayDisturb?.(step) !== false || isMostlyFree(suitable)
  const hasWaited =
    mayDisturb && step.assignedCount === 0 && input.waitedMs(step) >= MAX_BEST_EFFORT_WAIT_MS
  let tasksLookedAt = 0
  let workersLookedAt = 0
  for (const task of step.tasks) {
    if (task.phase !== 'waiting') continue
    if (planned.length >= limit && !step.spec.gang) break
    const taskRun = taskRunOf(step, task)
    tasksLookedAt += 1
    // One slow task keeps the step progressing; more of them would interfere and slow down the tasks already there.
    const minRate = hasWaited && planned.length === 0 ? 0 : MIN_BEST_EFFORT_RATE
    if (filling && failures.covers(step, rank, minRate)) break
    let best: CandidateWorker | undefined
    let bestCost = Number.POSITIVE_INFINITY
    for (const candidate of suitable) {
      workersLookedAt += 1
      if (!hasCapacity(candidate, step)) continue
      const rate = filling ? rateOn(candidate, minRate) : 1
      if (rate < minRate) continue
      const cost = costOf(
        candidate,
        step,
        input.avoids(taskRun, candidate.identity.id),
        racks,
        rate,
      )
      if (cost >= bestCost) continue
      best = candidate
      bestCost = cost
    }
    if (best === undefined) {
      if (filling) failures.record(step, rank, minRate)
      break
    }
    reserve(best, step, rank)
    racks.add(best.worker.description.rack)
    planned.push({ assignment: { task: taskRun, worker: best.identity }, candidate: best })
  }
  if (step.spec.gang && planned.length < step.spec.taskCount) {
    for (const { candidate } of planned) release(candidate, step)
    return { assignments: [], tasksLookedAt, workersLookedAt }
  }
  const assignments = planned.map(({ assignment }) => assignment)
  return { assignments, tasksLookedAt, workersLookedAt }
}

const release = (candidate: CandidateWorker, step: workflowState.StepView): void => {
  const claim = workflowState.claimOf(step.spec)
  if (step.spec.filling) {
    candidate.bestEffortTasks.pop()
    candidate.unlistedCount -= 1
  } else candidate.cpuMillis += claim.cpuMillis
  candidate.memoryMb += claim.memoryMb
  candidate.accelerators += claim.accelerators
  candidate.runsOfStep.set(step, (candidate.runsOfStep.get(step) ?? 1) - 1)
}

/** Plans assignments for the ready steps: steps that reserve CPU by urgency, then best-effort steps by rank. */
export const planAssignments = (input: PlacementInput): Plan => {
  const { view } = input
  if (view.readySteps.size === 0) {
    return { workers: [], assignments: [], tasksLookedAt: 0, workersLookedAt: 0 }
  }
  const candidates = createCandidates(input)
  const ordered = [...view.readySteps]
    .filter(({ spec }) => input.skipBestEffort !== true || !spec.filling)
    .map((step) => ({
      step,
      rank: step.spec.filling ? input.fillerRank(step) : undefined,
      urgency: step.spec.filling ? undefined : order.urgencyOf(step, input.expected, input.nowMs),
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
    const planned = planStep(input, candidates, step, limit, failures)
    assignments.push(...planned.assignments)
    tasksLookedAt += planned.tasksLookedAt
    workersLookedAt += planned.workersLookedAt
  }
  const used = new Set(assignments.map(({ worker }) => worker && workflowState.workerKey(worker)))
  const workers = candidates
    .filter(({ key }) => used.has(key))
    .map(({ worker }) => worker.description)
  return { workers, assignments, tasksLookedAt, workersLookedAt }
}

/** Search for workers for best-effort tasks; valid as long as the view and the interference model do not change. */
export interface BestEffortWorkerSearch {
  /** Whether some worker runs a best-effort task of the step fast enough that it need not wait for a better one. */
  readonly hasAcceptableWorker: (step: workflowState.StepView) => boolean
}

export const createBestEffortWorkerSearch = (input: BestEffortInput): BestEffortWorkerSearch => {
  const failures = placementFailures.createPlacementFailures(input.mayDisturb)
  let candidates: readonly CandidateWorker[] | undefined
  return {
    hasAcceptableWorker: (step) => {
      const rank = input.fillerRank(step)
      if (failures.covers(step, rank, MIN_BEST_EFFORT_RATE)) return false
      candidates ??= createCandidates(input)
      const rateOn = createBestEffortRate(step, rank, input)
      const isFound = candidates.some(
        (candidate) => isEligible(candidate, step) && rateOn(candidate, MIN_BEST_EFFORT_RATE) > 0,
      )
      if (!isFound) failures.record(step, rank, MIN_BEST_EFFORT_RATE)
      return isFound
    },
  }
}

const isEligible = (candidate: CandidateWorker, step: workflowState.StepView): boolean =>
  candidate.worker.description.service === step.job.queue.service && hasCapacity(candidate, step)

/** Share of full speed that a best-effort task could reach on the best of `workers`. */
export const maxBestEffortRate = (input: BestEffortInput, step: workflowState.StepView): number => {
  const rateOn = createBestEffortRate(step, input.fillerRank(step), input)
  const suitable = createCandidates(input).filter((candidate) => isEligible(candidate, step))
  return Math.min(1, Math.max(0, ...suitable.map((candidate) => rateOn(candidate, 0))))
}

/** Number of tasks of best-effort steps that could run at full speed on the workers without other best-effort tasks. */
export const bestEffortSupply = (
  input: BestEffortInput,
  steps: readonly workflowState.StepView[],
): number => {
  let supply = 0
  for (const worker of input.workers) {
    const { identity, failureDomain, capacity } = worker.description
    if (identity === undefined || capacity === undefined) continue
    if (input.view.evacuated.has(failureDomain)) continue
    const key = workflowState.workerKey(identity)
    const load = input.view.loads.get(key)
    const leftCpuMillis = unusedCpu.bestEffortCpuMillis(key, capacity, load, input.disturbance)
    const counts = steps.map((step) => {
      const tolerated = input.disturbance.toleratedCount(key, step.spec.image, FIRST_RANK)
      const { cpuMillis } = workflowState.claimOf(step.spec)
      return Math.min(tolerated, leftCpuMillis / Math.max(1, cpuMillis))
    })
    supply += counts.reduce((sum, count) => sum + count, 0) / Math.max(1, counts.length)
  }
  return supply
}
