/** Read-only queries over the control state. */
import type * as capacityIndex from './capacityIndex.js'
import * as claims from './claims.js'
import * as records from './records.js'
import * as rulesCommands from './rulesCommands.js'
import * as taskId from './taskId.js'
import type * as types from './types.js'

export interface TeamView {
  readonly used: types.Resources
  readonly urgent: ReadonlySet<types.JobView>
  readonly normal: ReadonlySet<types.JobView>
}

/** Rules text of the revision in force, as submitted. */
export interface RulesText {
  readonly text: string
  readonly operator: string
  /** On the log clock, in milliseconds. */
  readonly acceptedAtMs: number
}

export interface ControlView {
  readonly appliedIndex: () => number
  readonly logTimeMs: () => number
  readonly revision: () => number
  readonly rulesText: () => RulesText
  readonly rules: () => types.RuleSet
  /** Changes after `knownRevision`, for a receiver that has that revision. */
  readonly changesSince: (knownRevision: number) => types.ConfigChanges
  readonly job: (job: string) => types.JobView | undefined
  readonly jobs: () => Iterable<types.JobView>
  readonly task: (task: string) => types.TaskView | undefined
  readonly worker: (worker: string) => types.WorkerView | undefined
  readonly workers: () => Iterable<types.WorkerView>
  readonly workerCount: () => number
  readonly workersIn: (failureDomain: string) => ReadonlySet<string>
  readonly failureDomains: () => Iterable<string>
  readonly isOut: (failureDomain: string) => boolean
  readonly service: (service: string) => types.ServiceView | undefined
  readonly services: () => Iterable<types.ServiceView>
  /** Services with fewer runners than their rule requires. */
  readonly underprovisionedServices: () => ReadonlySet<types.ServiceView>
  readonly teams: () => ReadonlyMap<string, TeamView>
  /** Assigned tasks that have to stop: their job ended, or the service has surplus runners. */
  readonly stopping: () => ReadonlySet<types.TaskView>
  /** Workers by free capacity. */
  readonly capacityBuckets: () => Iterable<capacityIndex.CapacityBucket>
  readonly capacityClasses: () => Iterable<types.CapacityClass>
  /** Incremented when a capacity class appears or disappears. */
  readonly classesVersion: () => number
  readonly claim: (service: string, caller: string, key: string) => types.ClaimView | undefined
  /** Claims that are not settled, with their key parts. */
  readonly openClaims: () => Iterable<OpenClaim>
}

export interface OpenClaim {
  readonly service: string
  readonly caller: string
  readonly key: string
  readonly claim: types.ClaimView
}

const NO_NAMES: ReadonlySet<string> = new Set()

function* openClaims(tables: records.Tables): Generator<OpenClaim> {
  for (const [id, claim] of tables.claims) {
    if (claim.outcome !== undefined) continue
    const [service = '', caller = '', key = ''] = JSON.parse(id) as string[]
    yield { service, caller, key, claim }
  }
}

const findTask = (tables: records.Tables, task: string): types.TaskView | undefined => {
  const id = taskId.parseTaskId(task)
  if (id === undefined) return undefined
  if (id.kind === 'service') return tables.services.get(id.owner)?.tasks.get(id.number)
  return tables.tasks.get(task)
}

/** `current` returns the current tables, since a restore replaces them. */
export const createView = (current: () => records.Tables): ControlView => ({
  appliedIndex: () => current().appliedIndex,
  logTimeMs: () => current().logTimeMs,
  revision: () => current().rules.revision,
  rulesText: () => {
    const { text, operator, acceptedAtMs } = current().rules
    return { text, operator, acceptedAtMs }
  },
  rules: () => current().rules.set,
  changesSince: (known) => rulesCommands.changesSince(current().rules, known),
  job: (job) => current().jobs.get(job),
  jobs: () => current().jobs.values(),
  task: (task) => findTask(current(), task),
  worker: (worker) => current().workers.get(worker),
  workers: () => current().workers.values(),
  workerCount: () => current().workers.size,
  workersIn: (domain) => current().workersByFailureDomain.get(domain) ?? NO_NAMES,
  failureDomains: () => current().workersByFailureDomain.keys(),
  isOut: (domain) => records.isOut(current(), domain),
  service: (service) => current().services.get(service),
  services: () => current().services.values(),
  underprovisionedServices: () => current().underprovisioned,
  teams: () => current().teams,
  stopping: () => current().stopping,
  capacityBuckets: () => current().capacity.buckets(),
  capacityClasses: () => current().capacityClasses.values(),
  classesVersion: () => current().classesVersion,
  claim: (service, caller, key) => current().claims.get(claims.claimKey(service, caller, key)),
  openClaims: () => openClaims(current()),
})
