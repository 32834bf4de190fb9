/** Encodes and restores snapshots of the state machine. */
import * as protocol from '@ebonyweir/protocol'
import * as keys from './keys.js'
import * as records from './records.js'
import type * as types from './types.js'
import * as workflowState from './workflowState.js'

/** Format of the snapshots that this version writes; newer formats are rejected. */
export const SNAPSHOT_FORMAT_VERSION = 1

const { JobPhase } = protocol.workflow

const encodedJobPhases: Readonly<Record<types.JobPhase, protocol.workflow.JobPhase>> = {
  active: JobPhase.ACTIVE,
  completed: JobPhase.JOB_COMPLETED,
  failed: JobPhase.JOB_FAILED,
  cancelled: JobPhase.JOB_CANCELLED,
}

const jobPhasesByEncoding = new Map(
  Object.entries(encodedJobPhases).map(([phase, encodedPhase]) => [
    encodedPhase,
    phase as types.JobPhase,
  ]),
)

const taskPhases: readonly types.TaskPhase[] = ['waiting', 'assigned', 'completed']

export const encode = (context: workflowState.StateContext): Uint8Array => {
  const workers = [...context.loadTracker.loads.values()].map(({ identity }) => identity)
  const workerNumbers = new Map(workers.map((worker, index) => [keys.workerKey(worker), index + 1]))
  const encodeTask = (task: records.TaskRecord): protocol.workflow.TaskRecord => ({
    phase: taskPhases.indexOf(task.phase),
    run: task.run,
    failures: task.failures,
    failedRun: Math.max(0, ...task.failedRuns),
    failedRuns: task.failedRuns,
    checkpoint: task.checkpoint,
    worker: task.worker === undefined ? 0 : (workerNumbers.get(keys.workerKey(task.worker)) ?? 0),
  })
  const encodeJob = (job: records.JobRecord): protocol.workflow.JobRecord => ({
    spec: job.spec,
    queue: job.queue,
    phase: encodedJobPhases[job.phase],
    submittedMs: job.submittedMs,
    endedMs: job.endedMs,
    occurrences: [...job.occurrences.values()].map(({ number, steps }) => ({
      number,
      steps: steps.map((step) => ({ tasks: step.tasks.map(encodeTask) })),
    })),
    opened: job.openedCount,
    completedOccurrences: job.completedOccurrences,
    callerDomain: job.callerDomain,
  })
  return protocol.workflow.WorkflowSnapshot.encode({
    formatVersion: SNAPSHOT_FORMAT_VERSION,
    configuration: context.configuration,
    evacuated: [...context.evacuated],
    workers,
    jobs: [...context.jobs.values()].map(encodeJob),
    evacuationRevisions: [...context.evacuationRevisions].map(([failureDomain, revision]) => ({
      failureDomain,
      revision,
    })),
  }).finish()
}

/** Runs whose failure was counted; earlier versions wrote only the latest one. */
const restoreFailedRuns = ({
  failedRun,
  failedRuns,
}: protocol.workflow.TaskRecord): readonly number[] => {
  if (failedRuns.length > 0) return failedRuns
  return failedRun > 0 ? [failedRun] : []
}

const restoreStep = (
  context: workflowState.StateContext,
  step: records.StepRecord,
  encoded: protocol.workflow.StepRecord,
  workers: readonly protocol.workflow.WorkerIdentity[],
): void => {
  for (const [index, task] of step.tasks.entries()) {
    const taskRecord = encoded.tasks[index]
    if (taskRecord === undefined) continue
    task.phase = taskPhases[taskRecord.phase] ?? 'waiting'
    task.run = taskRecord.run
    task.failures = taskRecord.failures
    task.failedRuns = restoreFailedRuns(taskRecord)
    task.checkpoint = taskRecord.checkpoint
    if (task.run > 0) step.job.hasRun = true
    const worker = workers[taskRecord.worker - 1]
    if (task.phase !== 'assigned' || worker === undefined) continue
    task.worker = worker
    context.loadTracker.add(worker, step, task)
  }
  const count = (phase: types.TaskPhase): number =>
    step.tasks.filter((task) => task.phase === phase).length
  step.waitingCount = count('waiting')
  step.assignedCount = count('assigned')
  step.completedCount = count('completed')
}

const restoreJob = (
  context: workflowState.StateContext,
  encoded: protocol.workflow.JobRecord,
  workers: readonly protocol.workflow.WorkerIdentity[],
): void => {
  if (encoded.spec === undefined || encoded.queue === undefined) return
  const job = records.createJob(
    encoded.spec,
    encoded.queue,
    encoded.submittedMs,
    encoded.callerDomain,
  )
  job.phase = jobPhasesByEncoding.get(encoded.phase) ?? 'active'
  job.endedMs = encoded.endedMs
  context.jobs.set(job.spec.id, job)
  for (const { steps } of encoded.occurrences) {
    const occurrence = records.openOccurrence(job)
    for (const [index, step] of occurrence.steps.entries()) {
      const stepRecord = steps[index]
      if (stepRecord !== undefined) restoreStep(context, step, stepRecord, workers)
    }
    for (const step of occurrence.steps) {
      if (step.completedCount < step.spec.taskCount) continue
      occurrence.openSteps -= 1
      for (const dependent of step.dependents) dependent.blockedBy -= 1
    }
    for (const step of occurrence.steps) workflowState.updateReadySteps(context, step)
  }
  job.openedCount = encoded.opened
  job.completedOccurrences = encoded.completedOccurrences
}

/** Replaces the state with the one in a snapshot. */
export const restore = (context: workflowState.StateContext, bytes: Uint8Array): void => {
  const snapshot = protocol.workflow.WorkflowSnapshot.decode(bytes)
  if (snapshot.formatVersion > SNAPSHOT_FORMAT_VERSION) {
    throw new Error(`snapshot format ${snapshot.formatVersion} is newer than this version supports`)
  }
  context.configuration = snapshot.configuration
  context.evacuated.clear()
  for (const domain of snapshot.evacuated) context.evacuated.add(domain)
  context.evacuationRevisions.clear()
  for (const { failureDomain, revision } of snapshot.evacuationRevisions) {
    context.evacuationRevisions.set(failureDomain, revision)
  }
  context.jobs.clear()
  context.readySteps.clear()
  context.loadTracker.clear()
  for (const job of snapshot.jobs) restoreJob(context, job, snapshot.workers)
}
