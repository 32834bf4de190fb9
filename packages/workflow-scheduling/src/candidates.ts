/** Workers as candidates for the tasks of a plan, with their free capacity while the plan is made. */
import type * as protocol from '@ebonyweir/protocol'
import * as workflowState from '@ebonyweir/workflow-state'
import type * as interference from './interference.js'
import * as unusedCpu from './unusedCpu.js'

/** Worker eligible for new runs. */
export interface PlacementWorker {
  readonly description: protocol.workflow.WorkerDescription
  /** Consecutive failures; see `Health`. */
  readonly consecutiveFailures: number
}

/** State on which the placement of best-effort tasks depends. */
export interface BestEffortInput {
  readonly view: workflowState.WorkflowView
  readonly workers: readonly PlacementWorker[]
  readonly disturbance: interference.InterferenceModel
  /** Rank of a best-effort step's job; a lower one goes first. */
  readonly fillerRank: (step: workflowState.StepView) => number
  /** Whether best-effort tasks of the step may run where they interfere with latency-critical tasks. @default all may */
  readonly mayDisturb?: (step: workflowState.StepView) => boolean
}

/** Candidate for the tasks of a plan, with its free capacity while the plan is made. */
export interface CandidateWorker {
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

export const createCandidates = (input: BestEffortInput): readonly CandidateWorker[] => {
  const candidates: CandidateWorker[] = []
  for (const worker of input.workers) {
    if (input.view.evacuated.has(worker.description.failureDomain)) continue
    const candidate = createCandidate(worker, input)
    if (candidate !== undefined) candidates.push(candidate)
  }
  return candidates
}

export const hasCapacity = (candidate: CandidateWorker, step: workflowState.StepView): boolean => {
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

export const reserve = (
  candidate: CandidateWorker,
  step: workflowState.StepView,
  rank: number,
): void => {
  const claim = workflowState.claimOf(step.spec)
  if (step.spec.filling) {
    candidate.bestEffortTasks.push({ rank, cpuMillis: claim.cpuMillis })
    candidate.unlistedCount += 1
  } else candidate.cpuMillis -= claim.cpuMillis
  candidate.memoryMb -= claim.memoryMb
  candidate.accelerators -= claim.accelerators
  candidate.runsOfStep.set(step, (candidate.runsOfStep.get(step) ?? 0) + 1)
}

export const release = (candidate: CandidateWorker, step: workflowState.StepView): void => {
  const claim = workflowState.claimOf(step.spec)
  if (step.spec.filling) {
    candidate.bestEffortTasks.pop()
    candidate.unlistedCount -= 1
  } else candidate.cpuMillis += claim.cpuMillis
  candidate.memoryMb += claim.memoryMb
  candidate.accelerators += claim.accelerators
  candidate.runsOfStep.set(step, (candidate.runsOfStep.get(step) ?? 1) - 1)
}

export const isEligible = (candidate: CandidateWorker, step: workflowState.StepView): boolean =>
  candidate.worker.description.service === step.job.queue.service && hasCapacity(candidate, step)
