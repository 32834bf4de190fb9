/** Records the ends of runs. */
import * as protocol from '@ebonyweir/protocol'
import * as keys from './keys.js'
import * as records from './records.js'
import type * as types from './types.js'
import * as workflowState from './workflowState.js'

const { EndKind } = protocol.workflow

const completeStep = (
  context: workflowState.StateContext,
  step: records.StepRecord,
  nowMs: number,
): void => {
  for (const dependent of step.dependents) {
    dependent.blockedBy -= 1
    workflowState.updateReadySteps(context, dependent)
  }
  const { job } = step
  const occurrence = job.occurrences.get(step.occurrence)
  if (occurrence === undefined) return
  occurrence.openSteps -= 1
  if (occurrence.openSteps > 0) return
  job.completedOccurrences += 1
  const isComplete = job.completedOccurrences >= records.occurrenceCount(job)
  if (isComplete && job.phase === 'active') workflowState.endJob(context, job, 'completed', nowMs)
}

/** Releases the resources of a run; its task is then completed or waits for its next run. */
const releaseRun = (
  context: workflowState.StateContext,
  step: records.StepRecord,
  task: records.TaskRecord,
  completed: boolean,
): void => {
  if (task.worker !== undefined) context.loadTracker.remove(task.worker, step, task)
  task.worker = undefined
  step.assignedCount -= 1
  if (completed) {
    task.phase = 'completed'
    step.completedCount += 1
  } else {
    task.phase = 'waiting'
    step.waitingCount += 1
  }
  workflowState.updateReadySteps(context, step)
}

/** Completes a task, whether its run is still assigned or was released before its end was known. */
const completeRun = (
  context: workflowState.StateContext,
  step: records.StepRecord,
  task: records.TaskRecord,
): void => {
  if (task.phase === 'assigned') {
    releaseRun(context, step, task, true)
    return
  }
  task.phase = 'completed'
  step.waitingCount -= 1
  step.completedCount += 1
  workflowState.updateReadySteps(context, step)
}

const completeTask = (
  context: workflowState.StateContext,
  step: records.StepRecord,
  task: records.TaskRecord,
  nowMs: number,
): void => {
  // The members of a gang complete together, those too that were recorded as lost or stopped before.
  const members = step.spec.gang
    ? step.tasks.filter(({ phase, run }) => phase !== 'completed' && run === task.run)
    : [task]
  for (const member of members) completeRun(context, step, member)
  if (step.completedCount === step.spec.taskCount) completeStep(context, step, nowMs)
}

/** Task that holds the failure count: the first member of a gang, else the task itself. */
const failureCounterOf = (
  step: records.StepRecord,
  task: records.TaskRecord,
): records.TaskRecord => (step.spec.gang ? (step.tasks[0] ?? task) : task)

/** Counts a failed run once, however many members of a gang report it; the job fails after the last attempt. */
const countFailure = (
  context: workflowState.StateContext,
  step: records.StepRecord,
  task: records.TaskRecord,
  run: number,
  nowMs: number,
): void => {
  if (step.spec.lasting) return
  const counter = failureCounterOf(step, task)
  if (counter.failedRuns.includes(run)) return
  counter.failedRuns = [...counter.failedRuns, run]
  counter.failures += 1
  const { job } = step
  if (counter.failures < job.queue.maxAttempts || job.phase !== 'active') return
  workflowState.endJob(context, job, 'failed', nowMs)
}

/**
 * Whether an end completes a task that waits for its next run: its latest run was released, for example as lost, before
 * the worker could report the completion. The run number shows that no other run was assigned since. One such end
 * completes a whole gang. Long-running tasks never complete.
 */
const isLateCompletion = (
  jobs: types.WorkflowView['jobs'],
  { run, kind }: protocol.workflow.RunEnd,
): boolean => {
  if (run === undefined || kind !== EndKind.COMPLETED) return false
  const job = jobs.get(run.job)
  const step = job?.occurrences.get(run.occurrence)?.steps[run.step]
  if (job?.phase !== 'active' || step === undefined) return false
  if (step.spec.lasting) return false
  const task = step.tasks[run.index]
  // A task that never ran waits with run 0.
  return task?.phase === 'waiting' && task.run > 0 && task.run === run.run
}

/**
 * Whether a failed end belongs to a run that was released for another reason, for example as lost, before the worker
 * could report the failure. It still counts as an attempt, once for each run of a task or gang. Long-running tasks have no
 * limit of attempts.
 */
const isLateFailure = (
  jobs: types.WorkflowView['jobs'],
  { run, kind }: protocol.workflow.RunEnd,
): boolean => {
  if (run === undefined || kind !== EndKind.FAILED) return false
  const job = jobs.get(run.job)
  const step = job?.occurrences.get(run.occurrence)?.steps[run.step]
  if (job?.phase !== 'active' || step === undefined || step.spec.lasting) return false
  const task = step.tasks[run.index]
  if (task === undefined || task.phase === 'completed') return false
  const counter = step.spec.gang ? step.tasks[0] : task
  if (counter?.failedRuns.includes(run.run) === true) return false
  return task.phase === 'waiting' ? run.run <= task.run : run.run < task.run
}

/** Whether an end of a run that is no longer assigned still has an effect. */
export const isLateEnd = (
  jobs: types.WorkflowView['jobs'],
  end: protocol.workflow.RunEnd,
): boolean => isLateCompletion(jobs, end) || isLateFailure(jobs, end)

const recordEnd = (
  context: workflowState.StateContext,
  worker: protocol.workflow.WorkerIdentity,
  end: protocol.workflow.RunEnd,
  nowMs: number,
): boolean => {
  const { run, kind, checkpoint } = end
  if (run === undefined) return false
  const step = context.jobs.get(run.job)?.occurrences.get(run.occurrence)?.steps[run.step]
  const task = step?.tasks[run.index]
  if (step === undefined || task === undefined) return false
  if (isLateCompletion(context.jobs, end)) {
    completeTask(context, step, task, nowMs)
    return true
  }
  if (isLateFailure(context.jobs, end)) {
    countFailure(context, step, task, run.run, nowMs)
    return true
  }
  if (task.phase !== 'assigned' || task.run !== run.run) return false
  if (task.worker === undefined) return false
  if (keys.workerKey(task.worker) !== keys.workerKey(worker)) return false
  if (checkpoint !== '') {
    for (const member of step.spec.gang ? step.tasks : [task]) member.checkpoint = checkpoint
  }
  if (kind === EndKind.COMPLETED && !step.spec.lasting) completeTask(context, step, task, nowMs)
  else releaseRun(context, step, task, false)
  if (kind === EndKind.FAILED) countFailure(context, step, task, run.run, nowMs)
  return true
}

/**
 * Records ends of current runs, and late ends that still count; any other end of an older run or from another worker has
 * no effect.
 */
export const recordEnds = (
  context: workflowState.StateContext,
  { worker, ends }: protocol.workflow.RecordEnds,
  nowMs: number,
): types.Outcome => {
  if (worker === undefined) return { kind: 'ended', ignored: ends.length }
  const recorded = ends.filter((end) => recordEnd(context, worker, end, nowMs))
  return { kind: 'ended', ignored: ends.length - recorded.length }
}
