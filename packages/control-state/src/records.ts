/** Mutable records that back the read-only views, and the tables that hold them. */
import type * as protocol from '@ebonyweir/protocol'
import * as capacityIndex from './capacityIndex.js'
import type * as types from './types.js'

export type Mutable<T> = { -readonly [K in keyof T]: T[K] }

export type TaskRecord = Mutable<types.TaskView>

export interface JobRecord extends Mutable<Omit<types.JobView, 'waiting' | 'placedIn'>> {
  readonly waiting: Set<number>
  readonly placedIn: Map<string, number>
  readonly digest: string
}

export interface WorkerRecord extends Mutable<Omit<types.WorkerView, 'tasks' | 'failedJobs'>> {
  readonly tasks: Map<string, TaskRecord>
  failedJobs: string[]
}

export interface ServiceRecord extends Mutable<Omit<types.ServiceView, 'tasks' | 'placedIn'>> {
  readonly tasks: Map<number, TaskRecord>
  readonly placedIn: Map<string, number>
}

export interface ClaimRecord extends Mutable<types.ClaimView> {
  settledAtMs: number
}

export interface RuleHistoryEntry {
  readonly digest: string
  readonly operator: string
}

export interface RuleState {
  revision: number
  operator: string
  acceptedAtMs: number
  text: string
  set: types.RuleSet
  records: Map<string, protocol.common.RuleRecord>
  /** Revision in which a key was removed; bounded. */
  readonly removed: Map<string, number>
  /** Oldest revision from which a delta can be built. */
  deltaFrom: number
  /** History by revision; bounded. */
  readonly history: Map<number, RuleHistoryEntry>
}

export interface TeamRecord {
  used: types.Resources
  /** Active jobs with waiting tasks, in the order in which they entered the queue. */
  readonly urgent: Set<JobRecord>
  readonly normal: Set<JobRecord>
}

export interface RetiredJob {
  readonly digest: string
  readonly state: types.JobState
}

export interface Tables {
  appliedIndex: number
  /** Log clock: advances with each command, by a bounded step. */
  logTimeMs: number
  nextSequence: number
  rules: RuleState
  readonly jobs: Map<string, JobRecord>
  /** Ended jobs, oldest first. */
  readonly endedJobs: Set<string>
  /** Ended jobs whose full record was deleted, oldest first. */
  readonly retiredJobs: Map<string, RetiredJob>
  readonly teams: Map<string, TeamRecord>
  /** Batch tasks that have been assigned at least once and have not ended. */
  readonly tasks: Map<string, TaskRecord>
  readonly services: Map<string, ServiceRecord>
  /** Services with fewer runners than their rule requires. */
  readonly underprovisioned: Set<ServiceRecord>
  readonly workers: Map<string, WorkerRecord>
  readonly workersByFailureDomain: Map<string, Set<string>>
  readonly capacity: capacityIndex.CapacityIndex
  readonly capacityClasses: Map<string, Mutable<types.CapacityClass>>
  /** Incremented when a capacity class appears or disappears. */
  classesVersion: number
  /** Assigned tasks that have to stop: their job ended, or the service has surplus runners. */
  readonly stopping: Set<TaskRecord>
  readonly claims: Map<string, ClaimRecord>
  /** Keys of settled claims in order of settlement. */
  readonly settledClaims: Set<string>
}

export const NO_RESOURCES: types.Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }

export const addResources = (a: types.Resources, b: types.Resources): types.Resources => ({
  cpuMillis: a.cpuMillis + b.cpuMillis,
  memoryMb: a.memoryMb + b.memoryMb,
  accelerators: a.accelerators + b.accelerators,
})

export const subtractResources = (a: types.Resources, b: types.Resources): types.Resources => ({
  cpuMillis: a.cpuMillis - b.cpuMillis,
  memoryMb: a.memoryMb - b.memoryMb,
  accelerators: a.accelerators - b.accelerators,
})

export const fits = (need: types.Resources, free: types.Resources): boolean =>
  need.cpuMillis <= free.cpuMillis &&
  need.memoryMb <= free.memoryMb &&
  need.accelerators <= free.accelerators

export const EMPTY_RULES: types.RuleSet = {
  records: [],
  services: new Map(),
  teams: new Map(),
  placements: [],
  failureDomains: new Map(),
  guards: new Map(),
  weighting: { throughput: 0.5, evictions: 0.5, tail: 0.5 },
}

export const createTables = (): Tables => ({
  appliedIndex: 0,
  logTimeMs: 0,
  nextSequence: 1,
  rules: {
    revision: 0,
    operator: '',
    acceptedAtMs: 0,
    text: '',
    set: EMPTY_RULES,
    records: new Map(),
    removed: new Map(),
    deltaFrom: 0,
    history: new Map(),
  },
  jobs: new Map(),
  endedJobs: new Set(),
  retiredJobs: new Map(),
  teams: new Map(),
  tasks: new Map(),
  services: new Map(),
  underprovisioned: new Set(),
  workers: new Map(),
  workersByFailureDomain: new Map(),
  capacity: capacityIndex.createCapacityIndex(),
  capacityClasses: new Map(),
  classesVersion: 0,
  stopping: new Set(),
  claims: new Map(),
  settledClaims: new Set(),
})

export const getOrCreateTeam = (tables: Tables, team: string): TeamRecord => {
  const known = tables.teams.get(team)
  if (known !== undefined) return known
  const created: TeamRecord = { used: NO_RESOURCES, urgent: new Set(), normal: new Set() }
  tables.teams.set(team, created)
  return created
}

export const getOrCreateService = (tables: Tables, service: string): ServiceRecord => {
  const known = tables.services.get(service)
  if (known !== undefined) return known
  const created: ServiceRecord = {
    service,
    rule: undefined,
    tasks: new Map(),
    activeRunners: 0,
    placedIn: new Map(),
  }
  tables.services.set(service, created)
  return created
}

export const isOut = (tables: Tables, failureDomain: string): boolean =>
  tables.rules.set.failureDomains.get(failureDomain)?.state === 'out'
