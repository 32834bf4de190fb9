/** Assignment of tasks to workers. No other module commits worker capacity. */
import type * as protocol from '@ebonyweir/protocol'
import * as jobs from './jobs.js'
import * as limits from './limits.js'
import type * as outcome from './outcome.js'
import * as placement from './placement.js'
import * as topology from './topology.js'
import * as records from './records.js'
import * as serviceTasks from './serviceTasks.js'
import * as taskId from './taskId.js'
import type * as types from './types.js'

interface Refusal {
  readonly refusal: outcome.AssignRefusal
  readonly rule?: types.RuleSource | undefined
}

/** A task that may be assigned, and the data its assignment is checked against. */
interface Candidate {
  readonly task: records.TaskRecord
  readonly names: placement.MatchNames
  readonly job: records.JobRecord | undefined
  readonly service: records.ServiceRecord | undefined
}

const createTask = (
  id: taskId.TaskId,
  task: string,
  resources: types.Resources,
): records.TaskRecord => ({
  task,
  kind: id.kind,
  owner: id.owner,
  number: id.number,
  attempt: 1,
  worker: '',
  workerIncarnation: 0,
  resources,
  checkpoint: '',
  failures: 0,
  failedOn: '',
  assignedAtMs: 0,
})

const batchCandidate = (
  tables: records.Tables,
  id: taskId.TaskId,
  task: string,
): Candidate | Refusal => {
  const job = tables.jobs.get(id.owner)
  if (job === undefined || id.number >= job.tasks) return { refusal: 'unknown task' }
  if (job.state !== 'active') return { refusal: 'task is not waiting' }
  const isFresh = id.number >= job.nextFresh
  if (id.number - job.nextFresh > limits.MAX_TASK_SKIP) return { refusal: 'unknown task' }
  const known = tables.tasks.get(task)
  if (!isFresh && !job.waiting.has(id.number)) return { refusal: 'task is not waiting' }
  const candidate = known ?? createTask(id, task, job.resources)
  return { task: candidate, names: [job.job, job.kind], job, service: undefined }
}

const serviceCandidate = (
  tables: records.Tables,
  id: taskId.TaskId,
  task: string,
): Candidate | Refusal => {
  const service = tables.services.get(id.owner)
  // Twice the number of runners, so that each drained runner can overlap with its replacement.
  if (service?.rule === undefined || id.number >= 2 * service.rule.runners)
    return { refusal: 'unknown task' }
  const known = service.tasks.get(id.number)
  if (known !== undefined && known.worker !== '') return { refusal: 'task is not waiting' }
  if (service.activeRunners >= service.rule.runners)
    return { refusal: 'enough runners', rule: service.rule }
  const candidate = known ?? createTask(id, task, service.rule.resources)
  candidate.resources = service.rule.resources
  return { task: candidate, names: [service.service], job: undefined, service }
}

const quotaRefusal = (tables: records.Tables, job: records.JobRecord): Refusal | undefined => {
  const { teams } = tables.rules.set
  if (teams.size === 0) return undefined
  const rule = teams.get(job.team)
  if (rule === undefined) return { refusal: 'team has no rule' }
  const used = records.addResources(records.getOrCreateTeam(tables, job.team).used, job.resources)
  return records.fits(used, rule.quota) ? undefined : { refusal: 'team quota', rule }
}

const workerRefusal = (
  tables: records.Tables,
  worker: records.WorkerRecord,
  candidate: Candidate,
): Refusal | undefined => {
  const { set } = tables.rules
  const domainRule = set.failureDomains.get(worker.failureDomain)
  if (domainRule?.state === 'out') return { refusal: 'failure domain is out', rule: domainRule }
  const rule = placement.placementRefusal(set, candidate.names, worker.failureDomain)
  if (rule !== undefined) return { refusal: 'placement rule', rule }
  if (!records.fits(candidate.task.resources, worker.free)) return { refusal: 'capacity' }
  return candidate.job === undefined ? undefined : quotaRefusal(tables, candidate.job)
}

const takeFromQueue = (tables: records.Tables, job: records.JobRecord, number: number): void => {
  while (job.nextFresh <= number) {
    job.waiting.add(job.nextFresh)
    job.nextFresh += 1
  }
  job.waiting.delete(number)
  job.assignedTasks += 1
  const team = records.getOrCreateTeam(tables, job.team)
  team.used = records.addResources(team.used, job.resources)
  jobs.refreshQueue(tables, job)
}

const applyAssignment = (
  tables: records.Tables,
  candidate: Candidate,
  worker: records.WorkerRecord,
): void => {
  const { task, job, service } = candidate
  task.worker = worker.worker
  task.workerIncarnation = worker.incarnation
  task.assignedAtMs = tables.logTimeMs
  worker.tasks.set(task.task, task)
  worker.free = records.subtractResources(worker.free, task.resources)
  tables.capacity.update(worker)
  if (job !== undefined) {
    tables.tasks.set(task.task, task)
    takeFromQueue(tables, job, task.number)
  }
  if (service !== undefined) {
    service.tasks.set(task.number, task)
    service.activeRunners += 1
    serviceTasks.updateUnderprovisioned(tables, service)
  }
  topology.updateTaskCounts(tables, task, worker, 1)
}

const assignOne = (
  tables: records.Tables,
  item: protocol.command.Assignment,
): Refusal | undefined => {
  const id = taskId.parseTaskId(item.task)
  if (id === undefined) return { refusal: 'unknown task' }
  const candidate =
    id.kind === 'batch'
      ? batchCandidate(tables, id, item.task)
      : serviceCandidate(tables, id, item.task)
  if ('refusal' in candidate) return candidate
  if (candidate.task.attempt !== item.attempt) return { refusal: 'stale attempt' }
  const worker = tables.workers.get(item.worker)
  if (worker === undefined) return { refusal: 'unknown worker' }
  if (worker.incarnation !== item.workerIncarnation) return { refusal: 'stale worker incarnation' }
  const refusal = workerRefusal(tables, worker, candidate)
  if (refusal === undefined) applyAssignment(tables, candidate, worker)
  return refusal
}

/** Assigns each item that passes all checks. A refused item has no effect. */
export const assignTasks = (
  tables: records.Tables,
  command: protocol.command.AssignTasks,
): outcome.Outcome => {
  const results = command.assignments.map((item) => {
    const refused = assignOne(tables, item)
    const { task, attempt } = item
    return { task, attempt, refusal: refused?.refusal, rule: refused?.rule }
  })
  return { kind: 'tasksAssigned', results }
}
