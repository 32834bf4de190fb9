/** Submission, cancellation, completion and retention of jobs, and the job queues of teams. */
import * as crypto from 'node:crypto'
import type * as protocol from '@ebonyweir/protocol'
import * as limits from './limits.js'
import type * as outcome from './outcome.js'
import * as records from './records.js'

const digestOf = (submit: protocol.command.SubmitJob): string => {
  const { job, team, kind, tasks, resources, urgent } = submit
  const { declaredRunMs, maxFailures, command, submittedBy } = submit
  const { cpuMillis, memoryMb, accelerators } = resources ?? records.NO_RESOURCES
  const amounts = [tasks, cpuMillis, memoryMb, accelerators, declaredRunMs, maxFailures]
  const fields = [job, team, kind, urgent, command, submittedBy, ...amounts]
  return crypto.createHash('sha256').update(JSON.stringify(fields)).digest('base64')
}

const validateSubmission = (submit: protocol.command.SubmitJob): string | undefined => {
  const { cpuMillis, memoryMb, accelerators } = submit.resources ?? records.NO_RESOURCES
  const amounts = [cpuMillis, memoryMb, accelerators, submit.declaredRunMs, submit.maxFailures]
  if (submit.job === '' || submit.job.includes('/')) return 'job id is empty or contains "/"'
  if (submit.job === 'service') return 'job id "service" is reserved'
  if (submit.tasks < 1 || submit.tasks > limits.MAX_JOB_TASKS)
    return `number of tasks is not between 1 and ${limits.MAX_JOB_TASKS}`
  if (amounts.some((amount) => amount < 0)) return 'a resource or limit is negative'
  if (cpuMillis === 0) return 'cpuMillis is 0'
  return undefined
}

const hasWaiting = (job: records.JobRecord): boolean =>
  job.state === 'active' && (job.waiting.size > 0 || job.nextFresh < job.tasks)

/** Deletes a team without work. Submissions choose the names, so the table could grow forever. */
const dropIdleTeam = (tables: records.Tables, name: string, team: records.TeamRecord): void => {
  const { cpuMillis, memoryMb, accelerators } = team.used
  const isIdle = team.urgent.size + team.normal.size + cpuMillis + memoryMb + accelerators === 0
  if (isIdle) tables.teams.delete(name)
}

/** Adds the job to its team's queue or removes it, after its waiting tasks changed. */
export const refreshQueue = (tables: records.Tables, job: records.JobRecord): void => {
  const team = records.getOrCreateTeam(tables, job.team)
  const queue = job.urgent ? team.urgent : team.normal
  if (hasWaiting(job)) queue.add(job)
  else queue.delete(job)
  dropIdleTeam(tables, job.team, team)
}

const knownOutcome = (
  tables: records.Tables,
  job: string,
  digest: string,
): outcome.Outcome | undefined => {
  const known = tables.jobs.get(job) ?? tables.retiredJobs.get(job)
  if (known === undefined) return undefined
  if (known.digest === digest) return { kind: 'jobAccepted', job, resent: true }
  return { kind: 'jobConflict', job }
}

const createJob = (
  tables: records.Tables,
  submit: protocol.command.SubmitJob,
  digest: string,
): records.JobRecord => ({
  ...submit,
  resources: submit.resources ?? records.NO_RESOURCES,
  maxFailures: submit.maxFailures === 0 ? limits.DEFAULT_MAX_FAILURES : submit.maxFailures,
  digest,
  state: 'active',
  sequence: tables.nextSequence++,
  submittedAtMs: tables.logTimeMs,
  assignedTasks: 0,
  completedTasks: 0,
  failedTasks: 0,
  evictions: 0,
  nextFresh: 0,
  waiting: new Set(),
  endedAtMs: 0,
  placedIn: new Map(),
})

export const submitJob = (
  tables: records.Tables,
  submit: protocol.command.SubmitJob,
): outcome.Outcome => {
  const validationError = validateSubmission(submit)
  if (validationError !== undefined) return { kind: 'refused', reason: validationError }
  const digest = digestOf(submit)
  const known = knownOutcome(tables, submit.job, digest)
  if (known !== undefined) return known
  if (tables.jobs.size - tables.endedJobs.size >= limits.MAX_ACTIVE_JOBS)
    return { kind: 'refused', reason: `${limits.MAX_ACTIVE_JOBS} jobs are active` }
  const job = createJob(tables, submit, digest)
  tables.jobs.set(job.job, job)
  refreshQueue(tables, job)
  return { kind: 'jobAccepted', job: job.job, resent: false }
}

const retireOldest = (tables: records.Tables): void => {
  for (const name of tables.endedJobs) {
    if (tables.endedJobs.size <= limits.MAX_ENDED_JOBS) break
    const job = tables.jobs.get(name)
    // A job keeps its full record until its last running task has stopped.
    if (job === undefined || job.assignedTasks > 0) continue
    tables.retiredJobs.set(name, { digest: job.digest, state: job.state })
    tables.jobs.delete(name)
    tables.endedJobs.delete(name)
  }
  for (const name of tables.retiredJobs.keys()) {
    if (tables.retiredJobs.size <= limits.MAX_RETIRED_JOBS) break
    tables.retiredJobs.delete(name)
  }
}

const endJob = (
  tables: records.Tables,
  job: records.JobRecord,
  state: 'completed' | 'failed' | 'cancelled',
): void => {
  job.state = state
  job.endedAtMs = tables.logTimeMs
  for (const number of job.waiting) tables.tasks.delete(`${job.job}/${number}`)
  job.waiting.clear()
  refreshQueue(tables, job)
  tables.endedJobs.add(job.job)
  retireOldest(tables)
}

/** Ends the job if all its tasks have completed or failed. */
export const endIfDone = (tables: records.Tables, job: records.JobRecord): void => {
  if (job.state !== 'active' || job.completedTasks + job.failedTasks < job.tasks) return
  endJob(tables, job, job.failedTasks > 0 ? 'failed' : 'completed')
}

const cancelJob = (
  tables: records.Tables,
  name: string,
  assigned: (job: records.JobRecord) => Iterable<records.TaskRecord>,
): outcome.CancelResult => {
  const job = tables.jobs.get(name)
  if (job === undefined) {
    const result = tables.retiredJobs.has(name) ? 'already ended' : 'unknown job'
    return { job: name, result }
  }
  if (job.state === 'cancelled') return { job: name, result: 'cancelled' }
  if (job.state !== 'active') return { job: name, result: 'already ended' }
  for (const task of assigned(job)) tables.stopping.add(task)
  endJob(tables, job, 'cancelled')
  return { job: name, result: 'cancelled' }
}

function* assignedTasks(
  tables: records.Tables,
  job: records.JobRecord,
): Generator<records.TaskRecord> {
  if (job.assignedTasks === 0) return
  for (let number = 0; number < job.nextFresh; number += 1) {
    const task = tables.tasks.get(`${job.job}/${number}`)
    if (task !== undefined && task.worker !== '') yield task
  }
}

export const cancelJobs = (
  tables: records.Tables,
  command: protocol.command.CancelJobs,
): outcome.Outcome => {
  const results = command.jobs.map((name) =>
    cancelJob(tables, name, (job) => assignedTasks(tables, job)),
  )
  return { kind: 'jobsCancelled', results }
}
