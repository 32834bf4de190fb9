/** Ends of attempts. Only the current attempt of an assigned task can end, and only once. */
import * as protocol from '@ebonyweir/protocol'
import * as jobs from './jobs.js'
import * as limits from './limits.js'
import type * as outcome from './outcome.js'
import * as topology from './topology.js'
import * as records from './records.js'
import * as serviceTasks from './serviceTasks.js'
import * as taskId from './taskId.js'

const { TaskOutcome } = protocol.command

/** Returns the task with this id if it is assigned. */
export const assignedTask = (
  tables: records.Tables,
  task: string,
): records.TaskRecord | undefined => {
  const id = taskId.parseTaskId(task)
  if (id === undefined) return undefined
  const found =
    id.kind === 'batch'
      ? tables.tasks.get(task)
      : tables.services.get(id.owner)?.tasks.get(id.number)
  return found === undefined || found.worker === '' ? undefined : found
}

/**
 * Updates the failure record of the worker. The scheduler quarantines a worker after several
 * failures in a row, above all of different jobs, since the worker is then the likely cause.
 */
const recordHealth = (
  tables: records.Tables,
  task: records.TaskRecord,
  ended: protocol.command.TaskOutcome,
): void => {
  const worker = tables.workers.get(task.worker)
  if (worker === undefined) return
  if (ended === TaskOutcome.COMPLETED) {
    worker.failureStreak = 0
    worker.failedJobs = []
  }
  if (ended !== TaskOutcome.FAILED) return
  worker.failureStreak += 1
  worker.lastFailureMs = tables.logTimeMs
  const isNew = !worker.failedJobs.includes(task.owner)
  if (isNew && worker.failedJobs.length < limits.MAX_FAILED_JOBS)
    worker.failedJobs = [...worker.failedJobs, task.owner]
}

/** Releases the task's resources on its worker and clears the assignment. */
const release = (tables: records.Tables, task: records.TaskRecord): void => {
  const worker = tables.workers.get(task.worker)
  if (worker !== undefined) {
    worker.tasks.delete(task.task)
    topology.updateTaskCounts(tables, task, worker, -1)
    worker.free = records.addResources(worker.free, task.resources)
    tables.capacity.update(worker)
  }
  tables.stopping.delete(task)
  task.worker = ''
  task.workerIncarnation = 0
  task.attempt += 1
}

const settleBatchTask = (
  tables: records.Tables,
  task: records.TaskRecord,
  ended: protocol.command.TaskOutcome,
): void => {
  const job = tables.jobs.get(task.owner)
  if (job === undefined) return
  const team = records.getOrCreateTeam(tables, job.team)
  team.used = records.subtractResources(team.used, task.resources)
  job.assignedTasks -= 1
  if (ended === TaskOutcome.EVICTED) job.evictions += 1
  const isFinal = ended === TaskOutcome.COMPLETED || task.failures >= job.maxFailures
  if (job.state !== 'active' || isFinal) tables.tasks.delete(task.task)
  if (job.state !== 'active') {
    jobs.refreshQueue(tables, job)
    return
  }
  if (ended === TaskOutcome.COMPLETED) job.completedTasks += 1
  else if (isFinal) job.failedTasks += 1
  else job.waiting.add(task.number)
  jobs.refreshQueue(tables, job)
  jobs.endIfDone(tables, job)
}

/** Ends the current attempt of an assigned task. */
export const endAttempt = (
  tables: records.Tables,
  task: records.TaskRecord,
  ended: protocol.command.TaskOutcome,
  checkpoint: string,
): void => {
  recordHealth(tables, task, ended)
  if (ended === TaskOutcome.FAILED) {
    task.failures += 1
    task.failedOn = task.worker
  }
  if (checkpoint !== '') task.checkpoint = checkpoint
  const wasCounted = task.kind === 'service' && serviceTasks.isCounted(tables, task)
  release(tables, task)
  if (task.kind === 'batch') settleBatchTask(tables, task, ended)
  if (!wasCounted) return
  const service = records.getOrCreateService(tables, task.owner)
  service.activeRunners -= 1
  serviceTasks.updateUnderprovisioned(tables, service)
}

const endOne = (
  tables: records.Tables,
  end: protocol.command.TaskEnd,
): outcome.EndResult['result'] => {
  if (end.outcome === TaskOutcome.TASK_OUTCOME_UNSPECIFIED) return 'refused'
  const task = assignedTask(tables, end.task)
  if (task?.attempt !== end.attempt) return 'stale'
  endAttempt(tables, task, end.outcome, end.checkpoint)
  return 'ended'
}

export const endTasks = (
  tables: records.Tables,
  command: protocol.command.EndTasks,
): outcome.Outcome => {
  const results = command.ends.map((end) => {
    const { task, attempt } = end
    return { task, attempt, result: endOne(tables, end) }
  })
  return { kind: 'tasksEnded', results }
}
