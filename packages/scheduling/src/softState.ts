/** Soft state of the scheduler per worker and directive; a new leader starts without any. */
import type * as controlState from '@ebonyweir/control-state'
import type * as interference from './interference.js'
import type * as types from './types.js'

/** Age of a worker's last sync above which no tasks are placed there. */
export const MAX_SYNC_AGE_MS = 3_500

/** Compositions kept per worker, to find what ran when a delayed sample was taken. */
const MAX_COMPOSITIONS = 12

/** What ran on a worker at a point in time. */
export interface Composition {
  readonly atMs: number
  readonly shares: interference.KindShares
  /** Load of each service's runners, as the used share of their allocation. */
  readonly loads: ReadonlyMap<string, number>
}

/** Expected unthrottled use of a worker, including tasks that were just assigned. */
export interface Profile {
  readonly shares: Map<string, number>
  readonly loads: Map<string, number>
}

export interface GuardState {
  /** Smoothed unexplained slowdown of the service on this worker, as a logarithm. */
  residual: number
  lastSampleAtMs: number
}

export interface WorkerState {
  lastSyncMs: number
  report: types.WorkerReport
  readonly running: Map<string, types.RunningReport>
  compositions: Composition[]
  profile: Profile
  readonly guards: Map<string, GuardState>
  /** Time since which throttling is insufficient; undefined while it suffices. */
  throttleInsufficientSinceMs: number | undefined
  lastEvictionMs: number
  /** Last known failure streak and the time of its last change. */
  streak: number
  streakSinceMs: number
}

export interface ThrottleState extends types.Throttle {
  readonly changedAtMs: number
}

/** A worker whose capacity is reserved for one subject. */
export interface Reservation {
  /** Job, or "service/<name>". */
  readonly subject: string
  readonly untilMs: number
}

export interface SoftState {
  readonly workers: Map<string, WorkerState>
  readonly evictions: Map<string, types.Eviction>
  readonly moves: Map<string, types.Stop>
  readonly throttles: Map<string, ThrottleState>
  readonly reservations: Map<string, Reservation>
  /** Time since which a failure domain is out of service. */
  readonly outSinceMs: Map<string, number>
  /** Time at which a failure domain returned to service. */
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

const createWorkerState = (report: types.WorkerReport): WorkerState => ({
  lastSyncMs: report.receivedAtMs,
  report,
  running: new Map(),
  compositions: [],
  profile: { shares: new Map(), loads: new Map() },
  guards: new Map(),
  throttleInsufficientSinceMs: undefined,
  lastEvictionMs: Number.NEGATIVE_INFINITY,
  streak: 0,
  streakSinceMs: report.receivedAtMs,
})

const compositionOf = (
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

/** Load assumed for a runner without a report. */
export const UNKNOWN_LOAD = 0.5

const FULL_PERCENT = 100

/** Share of the worker that a batch task would use without a throttle. */
export const demandShareOf = (
  worker: controlState.WorkerView,
  task: controlState.TaskView,
  running: types.RunningReport | undefined,
): number => {
  const capacity = Math.max(1, worker.capacity.cpuMillis)
  // A task that has just started has no measured usage yet, so its declared size is used.
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
  state: WorkerState,
): Profile => {
  const profile: Profile = { shares: new Map(), loads: new Map() }
  for (const task of worker.tasks.values()) {
    const running = state.running.get(task.task)
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

/** Records a report; undefined if the worker is unknown or the incarnation differs. */
export const recordReport = (
  soft: SoftState,
  view: controlState.ControlView,
  report: types.WorkerReport,
): WorkerState | undefined => {
  const worker = view.worker(report.worker)
  if (worker?.incarnation !== report.incarnation) return undefined
  const state = soft.workers.get(report.worker) ?? createWorkerState(report)
  soft.workers.set(report.worker, state)
  if (state.report.incarnation !== report.incarnation) state.compositions = []
  state.lastSyncMs = report.receivedAtMs
  state.report = report
  state.running.clear()
  for (const running of report.running) state.running.set(running.task, running)
  state.profile = profileOf(view, worker, state)
  state.compositions.push(compositionOf(view, worker, report))
  if (state.compositions.length > MAX_COMPOSITIONS) state.compositions.shift()
  return state
}

/** The recorded composition closest to the time at which a sample was taken. */
export const compositionAt = (state: WorkerState, atMs: number): Composition | undefined => {
  let best: Composition | undefined
  for (const composition of state.compositions) {
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

/** Removes directives of ended attempts, expired reservations and, if there are many, removed workers. */
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
