/** Open work and capacity of one service for tasks that reserve CPU, as admission sees them. */
import type * as protocol from '@ebonyweir/protocol'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as workflowState from '@ebonyweir/workflow-state'

export interface OpenWorkOptions {
  readonly expected: scheduling.Durations
  /** Progress of a task in percent. */
  readonly percentOf: (run: protocol.workflow.TaskRun) => number
  /** Wall-clock time on the clock of the jobs' submissions. */
  readonly timeOfDayMs: number
}

/** Resources that tasks other than long-running ones may reserve. */
export interface FreeResources {
  readonly cpuMillis: number
  readonly memoryMb: number
}

interface StepWork {
  /** Remaining time of the running tasks and of the waiting ones. */
  readonly runningMs: number
  readonly waitingMs: number
  /** Remaining time of the slowest task. */
  readonly slowestMs: number
}

const stepWorkOf = (
  step: workflowState.StepView,
  { expected, percentOf }: OpenWorkOptions,
): StepWork => {
  const taskMs = expected.expect(step)
  // Most open jobs have no run under overload. The steps of a job that is not committed yet have no tasks.
  if (!step.job.hasRun) {
    return { runningMs: 0, waitingMs: taskMs * step.waitingCount, slowestMs: taskMs }
  }
  let runningMs = 0
  let waitingMs = 0
  let slowestMs = 0
  for (const { index, phase, run } of step.tasks) {
    if (phase === 'completed') continue
    const { job, occurrence } = step
    const taskRun = { job: job.spec.id, occurrence, step: step.index, index, run }
    const leftMs = run === 0 ? taskMs : taskMs * (1 - percentOf(taskRun) / 100)
    if (phase === 'assigned') runningMs += leftMs
    else waitingMs += leftMs
    slowestMs = Math.max(slowestMs, leftMs)
  }
  return { runningMs, waitingMs, slowestMs }
}

/** Whether the claim of the waiting tasks can be spread over all workers with the label. */
const isUnconstrained = ({ gang, sameRack, maxPerWorker }: protocol.workflow.Step): boolean =>
  !gang && !sameRack && maxPerWorker === 0

/** Open work of the steps of one occurrence; steps that no work can be predicted for are left out. */
export const openWorkOf = (
  steps: readonly workflowState.StepView[],
  options: OpenWorkOptions,
): readonly scheduling.OpenReservedWork[] => {
  const { expected, timeOfDayMs } = options
  const [first] = steps
  if (first === undefined) return []
  const objectiveMs = scheduling.objectiveMs(steps, first.job.queue, expected)
  const expiryMs =
    scheduling.dueMs(first.job, first.occurrence) + scheduling.EXPIRY_FACTOR * objectiveMs
  const open: scheduling.OpenReservedWork[] = []
  const endMs: number[] = []
  for (const step of steps) {
    const releaseMs = Math.max(0, ...step.spec.after.map((before) => endMs[before] ?? 0))
    const { runningMs, waitingMs, slowestMs } = stepWorkOf(step, options)
    endMs.push(releaseMs + slowestMs)
    const { spec } = step
    if (spec.filling || spec.lasting) continue
    const { cpuMillis, memoryMb } = workflowState.claimOf(spec)
    const { requiredLabel } = spec
    const add = (
      workMs: number,
      rest: Pick<scheduling.OpenReservedWork, 'releaseMs' | 'urgency' | 'dropMs'>,
    ): void => {
      if (workMs <= 0) return
      const work = { cpuMillisMs: cpuMillis * workMs, memoryMbMs: memoryMb * workMs }
      open.push({ ...work, ...rest, requiredLabel })
    }
    add(runningMs, { releaseMs: 0, urgency: undefined, dropMs: Number.POSITIVE_INFINITY })
    if (waitingMs <= 0 || !isUnconstrained(spec)) continue
    const urgency = scheduling.urgencyOf(step, expected, timeOfDayMs)
    // The leader places a step last once its remaining critical path ends after the expiry.
    const dueMs = scheduling.dueMs(step.job, step.occurrence) + objectiveMs
    const chainMs = dueMs - urgency.latestStartMs
    add(waitingMs, { releaseMs, urgency, dropMs: expiryMs - chainMs - timeOfDayMs })
  }
  return open
}

/** Order of the work in a load: by release time, then in the order of placement; running work comes first. */
export const compareOpenWork = (
  a: scheduling.OpenReservedWork,
  b: scheduling.OpenReservedWork,
): number => {
  if (a.releaseMs !== b.releaseMs) return a.releaseMs - b.releaseMs
  if (a.urgency === undefined || b.urgency === undefined) {
    return Number(a.urgency !== undefined) - Number(b.urgency !== undefined)
  }
  return scheduling.compareUrgency(a.urgency, b.urgency)
}

/** Inserts work into a list in the order of `compareOpenWork`, behind equal work. */
export const insertOpenWork = (
  open: scheduling.OpenReservedWork[],
  work: scheduling.OpenReservedWork,
): void => {
  let low = 0
  let high = open.length
  while (low < high) {
    const middle = (low + high) >>> 1
    const at = open[middle]
    if (at !== undefined && compareOpenWork(at, work) <= 0) low = middle + 1
    else high = middle
  }
  open.splice(low, 0, work)
}

/** Sum of the resources of workers that their long-running tasks do not claim. */
export const freeResourcesOf = (
  view: workflowState.WorkflowView,
  workers: readonly scheduling.PlacementWorker[],
): FreeResources => {
  let cpuMillis = 0
  let memoryMb = 0
  for (const { description } of workers) {
    const { identity, capacity, failureDomain } = description
    if (identity === undefined || capacity === undefined) continue
    if (view.evacuated.has(failureDomain)) continue
    cpuMillis += capacity.cpuMillis
    memoryMb += capacity.memoryMb
    const load = view.loads.get(workflowState.workerKey(identity))
    for (const [{ spec }, count] of load?.runsOfStep ?? []) {
      if (!spec.lasting) continue
      const claim = workflowState.claimOf(spec)
      cpuMillis -= claim.cpuMillis * count
      memoryMb -= claim.memoryMb * count
    }
  }
  return { cpuMillis: Math.max(0, cpuMillis), memoryMb: Math.max(0, memoryMb) }
}
