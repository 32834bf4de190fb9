/** Explains where the tasks of a job would be placed now, and why, without placing them. */
import * as workflowState from '@ebonyweir/workflow-state'
import type * as protocol from '@ebonyweir/protocol'
import * as localityWaits from './localityWaits.js'
import * as order from './order.js'
import * as placement from './placement.js'
import * as shortages from './shortages.js'

export interface PlacedTasks {
  readonly worker: string
  readonly rack: string
  readonly failureDomain: string
  readonly tasks: number
}

export interface StepExplanation {
  readonly step: number
  readonly spec: protocol.workflow.Step
  /** Tasks that wait for a worker. */
  readonly waiting: number
  /** Steps of the job that have to complete before; such a step has no placement yet. */
  readonly blockedBy: readonly number[]
  readonly expectedMs: number
  readonly urgency: order.Urgency
  /** Ready steps that are placed before this one, and their waiting tasks. */
  readonly preceding: { readonly steps: number; readonly tasks: number }
  readonly placed: readonly PlacedTasks[]
  /** Wait for a worker near the data of the step. */
  readonly wait: localityWaits.StartedWait | undefined
  /** What workers lack at present; undefined if all waiting tasks would be placed, or wait for locality. */
  readonly shortages: Readonly<shortages.Shortages> | undefined
}

/** Views a job as it would be right after its submission at `nowMs`; the state that decides is not changed. */
export const viewSubmission = (
  spec: protocol.workflow.JobSpec,
  queue: protocol.workflow.Queue,
  nowMs: number,
): workflowState.JobView | undefined => {
  const state = workflowState.createWorkflowState()
  state.apply({ nowMs, body: { $case: 'submit', value: { spec, queue, callerDomain: '' } } })
  return state.view.jobs.get(spec.id)
}

const stepsOf = (job: workflowState.JobView): readonly workflowState.StepView[] =>
  [...job.occurrences.values()].flatMap(({ steps }) => steps)

/** Input of the same plan with the steps of the job, and without effects on the models that learn from plans. */
const isolate = (
  input: placement.PlacementInput,
  job: workflowState.JobView,
  onWait: (wait: localityWaits.StartedWait) => void,
): placement.PlacementInput => {
  const { locality, ...rest } = input
  const ready = stepsOf(job).filter((step) => step.blockedBy === 0 && step.waitingCount > 0)
  return {
    ...rest,
    view: { ...input.view, readySteps: new Set([...input.view.readySteps, ...ready]) },
    disturbance: { ...input.disturbance, beginExploration: () => undefined },
    maxAssignments: Number.POSITIVE_INFINITY,
    // A query of the fair shares records how long their keys have starved.
    shares: undefined,
    ...(locality && {
      locality: localityWaits.createLocalityWaits({
        remoteFactor: locality.remoteFactor,
        remainingMs: locality.remainingMs,
        nowMs: () => input.nowMs,
        onWait,
      }),
    }),
  }
}

const placedTasks = (
  { assignments, workers }: placement.Plan,
  step: workflowState.StepView,
): readonly PlacedTasks[] => {
  const counts = new Map<string, number>()
  for (const { task, worker } of assignments) {
    if (worker === undefined || task?.job !== step.job.spec.id) continue
    if (task.occurrence !== step.occurrence || task.step !== step.index) continue
    const key = workflowState.workerKey(worker)
    counts.set(key, (counts.get(key) ?? 0) + 1)
  }
  return workers.flatMap(({ identity, rack, failureDomain }) => {
    const tasks = identity && counts.get(workflowState.workerKey(identity))
    return tasks === undefined ? [] : [{ worker: identity?.id ?? '', rack, failureDomain, tasks }]
  })
}

/**
 * Explains each step of a job that has tasks to place. The plan contains the steps that wait now, in their order, so the
 * explanation is what the next assignment round would do with the job.
 */
export const explainPlacement = (
  input: placement.PlacementInput,
  job: workflowState.JobView,
): readonly StepExplanation[] => {
  const waits = new Map<workflowState.StepView, localityWaits.StartedWait>()
  const isolated = isolate(input, job, (wait) => waits.set(wait.step, wait))
  const ordered = placement.orderSteps(isolated)
  const plan = placement.planAssignments(isolated)
  return stepsOf(job)
    .filter(({ waitingCount }) => waitingCount > 0)
    .map((step) => {
      const position = ordered.indexOf(step)
      const preceding = ordered.slice(0, Math.max(0, position))
      const placed = placedTasks(plan, step)
      const placedCount = placed.reduce((sum, { tasks }) => sum + tasks, 0)
      const wait = waits.get(step)
      const isPlanned = position >= 0 && wait === undefined && placedCount < step.waitingCount
      return {
        step: step.index,
        spec: step.spec,
        waiting: step.waitingCount,
        blockedBy: position >= 0 ? [] : step.spec.after,
        expectedMs: input.expected.expect(step),
        urgency: order.urgencyOf(step, input.expected, input.nowMs),
        preceding: {
          steps: preceding.length,
          tasks: preceding.reduce((sum, { waitingCount }) => sum + waitingCount, 0),
        },
        placed,
        wait,
        shortages: isPlanned ? shortages.shortagesOf(step, input.view, input.workers) : undefined,
      }
    })
}

const MS_PER_SECOND = 1_000

const seconds = (ms: number): string => `${(ms / MS_PER_SECOND).toFixed(1)} s`

const describeOutlook = ({ outlook, latestStartMs }: order.Urgency, nowMs: number): string => {
  if (outlook === 'in-time') return `in time if it starts within ${seconds(latestStartMs - nowMs)}`
  return outlook === 'late'
    ? `late: its latest start was ${seconds(nowMs - latestStartMs)} ago`
    : 'so late that its value has expired'
}

const describeShortages = (found: Readonly<shortages.Shortages>): string =>
  `of ${found.workers} workers of its service, ${found.cpu} lack CPU, ${found.memory} lack memory` +
  ` (${found.memoryOfFillers} of them through best-effort tasks), ${found.excluded} are excluded by label, limit or evacuation`

/** Lines for an operator that say where the tasks of one step would be placed and why. */
export const describeStep = (explained: StepExplanation, nowMs: number): readonly string[] => {
  const { step, spec, waiting, blockedBy, expectedMs, preceding, placed, wait } = explained
  const name = `step ${step}`
  const size = `${waiting} tasks of ${seconds(expectedMs)} expected`
  if (blockedBy.length > 0) return [`${name}: ${size}; starts after step ${blockedBy.join(', ')}`]
  const lines = [
    `${name}: ${size}; ${describeOutlook(explained.urgency, nowMs)}; ${preceding.steps} steps with ${preceding.tasks} tasks are placed before it`,
  ]
  for (const { worker, rack, failureDomain, tasks } of placed) {
    const isRemote = spec.dataRack !== '' && spec.dataRack !== rack
    const where = isRemote ? `, remote from its data in rack ${spec.dataRack}` : ''
    lines.push(`${name}: ${tasks} tasks on ${worker} (rack ${rack}, ${failureDomain})${where}`)
  }
  const left = waiting - placed.reduce((sum, { tasks }) => sum + tasks, 0)
  if (left === 0) return lines
  if (wait !== undefined) {
    lines.push(
      `${name}: ${left} tasks wait for rack ${wait.racks.join(', ')}, free in ${seconds(wait.expectedWaitMs)}; a remote run loses ${seconds(wait.lossMs)}`,
    )
  }
  if (explained.shortages !== undefined)
    lines.push(`${name}: ${left} tasks find no worker: ${describeShortages(explained.shortages)}`)
  return lines
}
