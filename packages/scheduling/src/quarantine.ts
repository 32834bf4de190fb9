/** Quarantines workers that repeatedly fail tasks and probes them with one task after a backoff. */
import type * as controlState from '@ebonyweir/control-state'
import type * as softState from './softState.js'

/** Consecutive failures after which a worker is quarantined, if they concern different jobs. */
const MIN_STREAK = 3
const MIN_JOBS = 2

/** Consecutive failures that suffice for one job; higher, since the job itself may be faulty. */
const MIN_STREAK_ONE_JOB = 6

const FIRST_BACKOFF_MS = 30_000
const MAX_BACKOFF_MS = 600_000

export const isQuarantined = (worker: controlState.WorkerView): boolean =>
  (worker.failureStreak >= MIN_STREAK && worker.failedJobs.length >= MIN_JOBS) ||
  worker.failureStreak >= MIN_STREAK_ONE_JOB

const backoffMs = (streak: number): number =>
  Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** Math.min(10, streak - MIN_STREAK))

const countBatchTasks = (worker: controlState.WorkerView): number => {
  let count = 0
  for (const task of worker.tasks.values()) if (task.kind === 'batch') count += 1
  return count
}

/** Tracks changes of the failure streak; the backoff starts when the leader sees the change. */
export const trackStreak = (
  worker: controlState.WorkerView,
  state: softState.WorkerState,
  nowMs: number,
): void => {
  if (state.streak === worker.failureStreak) return
  state.streak = worker.failureStreak
  state.streakSinceMs = nowMs
}

/** Whether the worker accepts a task; if quarantined, one at a time after the backoff. */
export const mayAssign = (
  worker: controlState.WorkerView,
  state: softState.WorkerState,
  hasNewTask: boolean,
  nowMs: number,
): boolean => {
  if (!isQuarantined(worker)) return true
  trackStreak(worker, state, nowMs)
  if (nowMs - state.streakSinceMs < backoffMs(worker.failureStreak)) return false
  return !hasNewTask && countBatchTasks(worker) === 0
}
