/** Snapshots of the control state as JSON with a format name and version. */
import * as result from 'ts-results-es'
import * as jobs from './jobs.js'
import * as topology from './topology.js'
import * as records from './records.js'
import * as serviceTasks from './serviceTasks.js'
import * as taskEnds from './taskEnds.js'
import type * as types from './types.js'

const FORMAT = 'ebonyweir-control-state'
const FORMAT_VERSION = 1

type StoredJob = Omit<records.JobRecord, 'waiting' | 'placedIn'> & {
  readonly waiting: readonly number[]
}
type StoredWorker = Omit<records.WorkerRecord, 'tasks'>

interface Snapshot {
  readonly format: string
  readonly version: number
  readonly appliedIndex: number
  readonly logTimeMs: number
  readonly nextSequence: number
  readonly revision: number
  readonly operator: string
  readonly acceptedAtMs: number
  readonly text: string
  readonly deltaFrom: number
  readonly ruleRecords: [string, ReturnType<records.RuleState['records']['get']> & object][]
  readonly removedRules: [string, number][]
  readonly ruleHistory: [number, records.RuleHistoryEntry][]
  readonly jobs: readonly StoredJob[]
  readonly endedJobs: readonly string[]
  readonly retiredJobs: [string, records.RetiredJob][]
  readonly workers: readonly StoredWorker[]
  readonly tasks: readonly records.TaskRecord[]
  readonly serviceTasks: readonly records.TaskRecord[]
  readonly stopping: readonly string[]
  readonly urgentOrder: readonly string[]
  readonly normalOrder: readonly string[]
  readonly claims: [string, records.ClaimRecord][]
  readonly settledClaims: readonly string[]
}

export interface RestoreError {
  readonly kind: 'damaged' | 'unknown format' | 'newer version' | 'rules'
  readonly message: string
}

const queueOrder = (tables: records.Tables, queue: 'urgent' | 'normal'): string[] =>
  [...tables.teams.values()].flatMap((team) => [...team[queue]].map((job) => job.job))

const storeWorker = (worker: records.WorkerRecord): StoredWorker => {
  const stored: Partial<records.WorkerRecord> = { ...worker, tasks: undefined }
  return stored as StoredWorker
}

const storeJob = (job: records.JobRecord): StoredJob => {
  const stored = { ...job, waiting: [...job.waiting], placedIn: undefined }
  return stored
}

export const takeSnapshot = (tables: records.Tables): Uint8Array => {
  const { rules } = tables
  const snapshot: Snapshot = {
    format: FORMAT,
    version: FORMAT_VERSION,
    appliedIndex: tables.appliedIndex,
    logTimeMs: tables.logTimeMs,
    nextSequence: tables.nextSequence,
    revision: rules.revision,
    operator: rules.operator,
    acceptedAtMs: rules.acceptedAtMs,
    text: rules.text,
    deltaFrom: rules.deltaFrom,
    ruleRecords: [...rules.records],
    removedRules: [...rules.removed],
    ruleHistory: [...rules.history],
    jobs: [...tables.jobs.values()].map(storeJob),
    endedJobs: [...tables.endedJobs],
    retiredJobs: [...tables.retiredJobs],
    workers: [...tables.workers.values()].map(storeWorker),
    tasks: [...tables.tasks.values()],
    serviceTasks: [...tables.services.values()].flatMap((service) => [...service.tasks.values()]),
    stopping: [...tables.stopping].map((task) => task.task),
    urgentOrder: queueOrder(tables, 'urgent'),
    normalOrder: queueOrder(tables, 'normal'),
    claims: [...tables.claims],
    settledClaims: [...tables.settledClaims],
  }
  return new TextEncoder().encode(JSON.stringify(snapshot))
}

const fail = (kind: RestoreError['kind'], message: string): result.Err<RestoreError> =>
  result.Err({ kind, message })

const readSnapshot = (bytes: Uint8Array): result.Result<Snapshot, RestoreError> => {
  let parsed: Partial<Snapshot> | null
  try {
    parsed = JSON.parse(new TextDecoder().decode(bytes)) as Partial<Snapshot> | null
  } catch (error) {
    return fail('damaged', `the snapshot is not valid JSON: ${String(error)}`)
  }
  if (parsed?.format !== FORMAT)
    return fail('unknown format', `the snapshot is not in the format ${FORMAT}`)
  const version = parsed.version ?? 0
  if (version > FORMAT_VERSION) {
    const message = `the snapshot has version ${version} of ${FORMAT}; this program reads up to version ${FORMAT_VERSION}`
    return fail('newer version', message)
  }
  return result.Ok(parsed as Snapshot)
}

const restoreRules = (
  tables: records.Tables,
  snapshot: Snapshot,
  parseRules: types.ParseRules,
): result.Result<types.RuleSet, RestoreError> => {
  const { rules } = tables
  rules.revision = snapshot.revision
  rules.operator = snapshot.operator
  rules.acceptedAtMs = snapshot.acceptedAtMs
  rules.text = snapshot.text
  rules.deltaFrom = snapshot.deltaFrom
  rules.records = new Map(snapshot.ruleRecords)
  for (const [key, revision] of snapshot.removedRules) rules.removed.set(key, revision)
  for (const [revision, entry] of snapshot.ruleHistory) rules.history.set(revision, entry)
  if (snapshot.revision === 0) return result.Ok(records.EMPTY_RULES)
  const parsed = parseRules(snapshot.text)
  if (parsed.isOk()) return parsed
  const reasons = parsed.error.map((error) => `line ${error.line}: ${error.message}`)
  return fail('rules', `rules revision ${snapshot.revision} is refused: ${reasons.join('; ')}`)
}

const restoreWorkers = (tables: records.Tables, snapshot: Snapshot): void => {
  for (const stored of snapshot.workers) {
    const worker: records.WorkerRecord = { ...stored, tasks: new Map() }
    tables.workers.set(worker.worker, worker)
    const domain = tables.workersByFailureDomain.get(worker.failureDomain) ?? new Set<string>()
    tables.workersByFailureDomain.set(worker.failureDomain, domain.add(worker.worker))
    tables.capacity.update(worker)
    topology.addToCapacityClass(tables, worker)
  }
}

const restoreJobs = (tables: records.Tables, snapshot: Snapshot): void => {
  for (const stored of snapshot.jobs) {
    const job: records.JobRecord = {
      ...stored,
      waiting: new Set(stored.waiting),
      placedIn: new Map(),
    }
    tables.jobs.set(job.job, job)
  }
  for (const name of [...snapshot.urgentOrder, ...snapshot.normalOrder]) {
    const job = tables.jobs.get(name)
    if (job !== undefined) jobs.refreshQueue(tables, job)
  }
  for (const name of snapshot.endedJobs) tables.endedJobs.add(name)
  for (const [name, retired] of snapshot.retiredJobs) tables.retiredJobs.set(name, retired)
}

const linkToWorker = (tables: records.Tables, task: records.TaskRecord): void => {
  const worker = tables.workers.get(task.worker)
  if (worker === undefined) return
  worker.tasks.set(task.task, task)
  topology.updateTaskCounts(tables, task, worker, 1)
}

const restoreTasks = (tables: records.Tables, snapshot: Snapshot): void => {
  for (const task of snapshot.tasks) {
    tables.tasks.set(task.task, task)
    linkToWorker(tables, task)
    const job = tables.jobs.get(task.owner)
    if (job === undefined || task.worker === '') continue
    const team = records.getOrCreateTeam(tables, job.team)
    team.used = records.addResources(team.used, task.resources)
  }
  for (const task of snapshot.serviceTasks) {
    records.getOrCreateService(tables, task.owner).tasks.set(task.number, task)
    linkToWorker(tables, task)
  }
  for (const name of snapshot.stopping) {
    const task = taskEnds.assignedTask(tables, name)
    if (task !== undefined) tables.stopping.add(task)
  }
}

/** Builds the tables from a snapshot. */
export const restoreTables = (
  bytes: Uint8Array,
  parseRules: types.ParseRules,
): result.Result<records.Tables, RestoreError> => {
  const read = readSnapshot(bytes)
  if (read.isErr()) return read
  const snapshot = read.value
  const tables = records.createTables()
  tables.appliedIndex = snapshot.appliedIndex
  tables.logTimeMs = snapshot.logTimeMs
  tables.nextSequence = snapshot.nextSequence
  const set = restoreRules(tables, snapshot, parseRules)
  if (set.isErr()) return set
  restoreWorkers(tables, snapshot)
  restoreJobs(tables, snapshot)
  restoreTasks(tables, snapshot)
  for (const [key, claim] of snapshot.claims) tables.claims.set(key, claim)
  for (const key of snapshot.settledClaims) tables.settledClaims.add(key)
  tables.rules.set = set.value
  serviceTasks.recountServices(tables)
  return result.Ok(tables)
}
