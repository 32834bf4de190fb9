/** Soft state of the scheduler per worker and per directive; a new leader starts empty. */
import type * as controlState from '@ebonyweir/control-state'
import type * as interference from './interference.js'
import type * as types from './types.js'

/** Age of a worker's last sync above which nothing new is placed there, in milliseconds. */
export const FRESH_SYNC_MS = 3_500

/** Reports kept per worker, to find what ran when a lagging sample was taken. */
const MAX_COMPOSITIONS = 12

/** What ran on a worker at one time. */
export interface Composition {
  readonly atMs: number
  readonly shares: interference.KindShares
  /** Load of each service's runners, as used share of what they were given. */
  readonly loads: ReadonlyMap<string, number>
}

/** What is expected to use a worker, without throttles, with tasks that were assigned just now. */
export interface Profile {
  readonly shares: Map<string, number>
  readonly loads: Map<string, number>
}

export interface GuardMemory {
  /** Unexplained slowdown of the service here, smoothed, as a logarithm. */
  residual: number
  lastSampleAtMs: number
}

export interface WorkerMemory {
  lastSyncMs: number
  report: types.WorkerReport
  readonly running: Map<string, types.RunningReport>
  compositions: Composition[]
  profile: Profile
  readonly guards: Map<string, GuardMemory>
  /** Since when throttling was not enough; undefined while it is. */
  overSinceMs: number | undefined
  lastEvictionMs: number
  /** Failure streak as last seen and when that was. */
  streak: number
  streakSinceMs: number
}

export interface ThrottleMemory extends types.Throttle {
  readonly changedAtMs: number
}

/** Capacity on a worker that is freed for one task. */
export interface Reservation {
  /** Subject of the waiting work: a job or "service/<name>". */
  readonly subject: string
  readonly untilMs: number
}

export interface SoftState {
  readonly workers: Map<string, WorkerMemory>
  readonly evictions: Map<string, types.Eviction>
  readonly moves: Map<string, types.Stop>
  readonly throttles: Map<string, ThrottleMemory>
  readonly reservations: Map<string, Reservation>
  /** Since when a failure domain is out. */
  readonly outSinceMs: Map<string, number>
  /** When a failure domain returned. */
  readonly returnedAtMs: Map<string, number>
}

export const createSoftState = (): SoftState => ({
  workers: new Map(),
  evictions: new Map(),
  moves: new Map(),
  throttles: new Map(),
  reservations: new Map(),
  outSinceMs: new Map(),
  returnedAtMs: new Map(),
})

const createMemory = (report: types.WorkerReport): WorkerMemory => ({
  lastSyncMs: report.receivedAtMs,
  report,
  running: new Map(),
  compositions: [],
  profile: { shares: new Map(), loads: new Map() },
  guards: new Map(),
  overSinceMs: undefined,
  lastEvictionMs: Number.NEGATIVE_INFINITY,
  streak: 0,
  streakSinceMs: report.receivedAtMs,
})

const composeAt = (
  view: controlState.ControlView,
  worker: controlState.WorkerView,
  report: types.WorkerReport,
): Composition => {
  const shares = new Map<string, number>()
  const loads = new Map<string, number>()
  let atMs = report.receivedAtMs
  for (const running of report.running) {
    const task = view.task(running.task)
    if (task === undefined) continue
    atMs = Math.min(atMs, running.usageAtMs)
    if (task.kind === 'service') {
      const load = running.usage.cpuMillis / Math.max(1, task.resources.cpuMillis)
      loads.set(task.owner, Math.max(load, loads.get(task.owner) ?? 0))
      continue
    }
    const kind = view.job(task.owner)?.kind ?? ''
    const share = running.usage.cpuMillis / Math.max(1, worker.capacity.cpuMillis)
    shares.set(kind, (shares.get(kind) ?? 0) + share)
  }
  return { atMs, shares, loads }
}

/** Load assumed for a runner that has not reported yet. */
export const UNKNOWN_LOAD = 0.5

const FULL_PERCENT = 100

/** Share of the worker that a batch task would use without a throttle. */
export const demandShareOf = (
  worker: controlState.WorkerView,
  task: controlState.TaskView,
  running: types.RunningReport | undefined,
): number => {
  const capacity = Math.max(1, worker.capacity.cpuMillis)
  // A task that has just started reports almost nothing; until then the declared size counts.
  if (running === undefined || running.usage.cpuMillis === 0)
    return task.resources.cpuMillis / capacity
  const percent = Math.max(1, running.cpuPercent)
  return (running.usage.cpuMillis * FULL_PERCENT) / percent / capacity
}

/** Adds a task to the profile of the worker it was assigned to. */
export const addToProfile = (profile: Profile, kind: string, share: number): void => {
  profile.shares.set(kind, (profile.shares.get(kind) ?? 0) + share)
}

const profileOf = (
  view: controlState.ControlView,
  worker: controlState.WorkerView,
  memory: WorkerMemory,
): Profile => {
  const profile: Profile = { shares: new Map(), loads: new Map() }
  for (const task of worker.tasks.values()) {
    const running = memory.running.get(task.task)
    if (task.kind === 'batch') {
      const kind = view.job(task.owner)?.kind ?? ''
      addToProfile(profile, kind, demandShareOf(worker, task, running))
      continue
    }
    const used = running?.usage.cpuMillis
    const load = used === undefined ? UNKNOWN_LOAD : used / Math.max(1, task.resources.cpuMillis)
    profile.loads.set(task.owner, Math.max(load, profile.loads.get(task.owner) ?? 0))
  }
  return profile
}

/** Takes a report over; undefined if the worker is unknown or the report is not of its incarnation. */
export const noteReport = (
  soft: SoftState,
  view: controlState.ControlView,
  report: types.WorkerReport,
): WorkerMemory | undefined => {
  const worker = view.worker(report.worker)
  if (worker?.incarnation !== report.incarnation) return undefined
  const memory = soft.workers.get(report.worker) ?? createMemory(report)
  soft.workers.set(report.worker, memory)
  if (memory.report.incarnation !== report.incarnation) memory.compositions = []
  memory.lastSyncMs = report.receivedAtMs
  memory.report = report
  memory.running.clear()
  for (const running of report.running) memory.running.set(running.task, running)
  memory.profile = profileOf(view, worker, memory)
  memory.compositions.push(composeAt(view, worker, report))
  if (memory.compositions.length > MAX_COMPOSITIONS) memory.compositions.shift()
  return memory
}

/** What ran when a sample was taken, as far as the reports tell. */
export const compositionAt = (memory: WorkerMemory, atMs: number): Composition | undefined => {
  let best: Composition | undefined
  for (const composition of memory.compositions) {
    const isNearer =
      best === undefined || Math.abs(composition.atMs - atMs) < Math.abs(best.atMs - atMs)
    if (isNearer) best = composition
  }
  return best
}

const isCurrent = (view: controlState.ControlView, ref: types.TaskRef): boolean => {
  const task = view.task(ref.task)
  return task?.attempt === ref.attempt && task.worker === ref.worker
}

/** Forgets directives whose attempt ended, reservations that ran out and workers that are gone. */
export const pruneSoftState = (
  soft: SoftState,
  view: controlState.ControlView,
  nowMs: number,
): void => {
  for (const table of [soft.evictions, soft.moves, soft.throttles] as const)
    for (const [task, ref] of table) if (!isCurrent(view, ref)) table.delete(task)
  for (const [worker, { untilMs }] of soft.reservations)
    if (untilMs <= nowMs) soft.reservations.delete(worker)
  if (soft.workers.size <= 2 * view.workerCount() + 100) return
  for (const worker of soft.workers.keys())
    if (view.worker(worker) === undefined) soft.workers.delete(worker)
}
