/** Assigns waiting tasks to workers. */
import type * as protocol from '@ebonyweir/protocol'
import * as keys from './keys.js'
import type * as records from './records.js'
import type * as types from './types.js'
import * as workflowState from './workflowState.js'

interface Candidate {
  readonly step: records.StepRecord
  readonly task: records.TaskRecord
  readonly worker: protocol.workflow.WorkerDescription
  readonly identity: protocol.workflow.WorkerIdentity
}

const findTask = (
  context: workflowState.StateContext,
  taskId: keys.TaskIdentity,
): Pick<Candidate, 'step' | 'task'> | undefined => {
  const step = context.jobs.get(taskId.job)?.occurrences.get(taskId.occurrence)?.steps[taskId.step]
  const task = step?.tasks[taskId.index]
  return step === undefined || task === undefined ? undefined : { step, task }
}

const isAllowed = (
  context: workflowState.StateContext,
  { step, task, worker }: Candidate,
): boolean =>
  task.phase === 'waiting' &&
  context.readySteps.has(step) &&
  worker.service === step.job.queue.service &&
  !context.evacuated.has(worker.failureDomain) &&
  context.loadTracker.fits(worker, step)

const assignTask = (
  context: workflowState.StateContext,
  { step, task, identity }: Candidate,
  run: number,
): protocol.workflow.Assignment => {
  task.phase = 'assigned'
  task.run = run
  task.worker = identity
  step.waitingCount -= 1
  step.assignedCount += 1
  step.job.hasRun = true
  context.loadTracker.add(identity, step, task)
  workflowState.updateReadySteps(context, step)
  return {
    task: {
      job: step.job.spec.id,
      occurrence: step.occurrence,
      step: step.index,
      index: task.index,
      run,
    },
    worker: identity,
  }
}

const undoAssignment = (context: workflowState.StateContext, candidate: Candidate): void => {
  const { step, task, identity } = candidate
  context.loadTracker.remove(identity, step, task)
  task.phase = 'waiting'
  task.worker = undefined
  step.waitingCount += 1
  step.assignedCount -= 1
  workflowState.updateReadySteps(context, step)
}

/** Assigns all members of a gang with one run number, or none of them. */
const assignGang = (
  context: workflowState.StateContext,
  step: records.StepRecord,
  members: readonly Candidate[],
): readonly protocol.workflow.Assignment[] => {
  if (members.length !== step.spec.taskCount) return []
  const run = Math.max(...step.tasks.map((task) => task.run)) + 1
  const runsBefore = step.tasks.map((task) => task.run)
  const accepted: protocol.workflow.Assignment[] = []
  for (const [position, member] of members.entries()) {
    if (isAllowed(context, member)) {
      accepted.push(assignTask(context, member, run))
      continue
    }
    for (const assignedMember of members.slice(0, position)) {
      undoAssignment(context, assignedMember)
      assignedMember.task.run = runsBefore[assignedMember.task.index] ?? 0
    }
    return []
  }
  return accepted
}

/**
 * Applies assignments one by one; one that is not allowed has no effect. Run numbers are allocated here, so those in the
 * command are ignored.
 */
export const assign = (
  context: workflowState.StateContext,
  command: protocol.workflow.AssignRuns,
): types.Outcome => {
  const workers = new Map<string, protocol.workflow.WorkerDescription>()
  for (const worker of command.workers) {
    if (worker.identity !== undefined) workers.set(keys.workerKey(worker.identity), worker)
  }
  const accepted: protocol.workflow.Assignment[] = []
  const gangs = new Map<records.StepRecord, Candidate[]>()
  for (const { task: taskIdentity, worker: identity } of command.assignments) {
    if (taskIdentity === undefined || identity === undefined) continue
    const found = findTask(context, taskIdentity)
    const worker = workers.get(keys.workerKey(identity))
    if (found === undefined || worker === undefined) continue
    const candidate: Candidate = { ...found, worker, identity }
    if (found.step.spec.gang) {
      const members = gangs.get(found.step) ?? []
      gangs.set(found.step, [...members, candidate])
    } else if (isAllowed(context, candidate)) {
      accepted.push(assignTask(context, candidate, found.task.run + 1))
    }
  }
  for (const [step, members] of gangs) accepted.push(...assignGang(context, step, members))
  return { kind: 'assigned', accepted }
}
