/** Keeps work away from a worker that fails what other workers complete, and retries it gently. */
import type * as controlState from '@ebonyweir/control-state'
import type * as softState from './softState.js'

/** Failures in a row after which a worker is quarantined, if they concern different jobs. */
const MIN_STREAK = 3
const MIN_JOBS = 2

/** Failures in a row after which one job suffices: a faulty job is also tried elsewhere. */
const MIN_STREAK_ONE_JOB = 6

const FIRST_BACKOFF_MS = 30_000
const MAX_BACKOFF_MS = 600_000

export const isQuarantined = (worker: controlState.WorkerView): boolean =>
  (worker.failureStreak >= MIN_STREAK && worker.failedJobs.length >= MIN_JOBS) ||
  worker.failureStreak >= MIN_STREAK_ONE_JOB

const backoffMs = (streak: number): number =>
  Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** Math.min(10, streak - MIN_STREAK))

const batchTasks = (worker: controlState.WorkerView): number => {
  let count = 0
  for (const task of worker.tasks.values()) if (task.kind === 'batch') count += 1
  return count
}

/** Notes a changed failure streak; the backoff starts when the leader sees it. */
export const noteStreak = (
  worker: controlState.WorkerView,
  memory: softState.WorkerMemory,
  nowMs: number,
): void => {
  if (memory.streak === worker.failureStreak) return
  memory.streak = worker.failureStreak
  memory.streakSinceMs = nowMs
}

/** Whether a task may go to the worker: always, or one at a time after the backoff. */
export const mayTry = (
  worker: controlState.WorkerView,
  memory: softState.WorkerMemory,
  hasNewTask: boolean,
  nowMs: number,
): boolean => {
  if (!isQuarantined(worker)) return true
  noteStreak(worker, memory, nowMs)
  if (nowMs - memory.streakSinceMs < backoffMs(worker.failureStreak)) return false
  return !hasNewTask && batchTasks(worker) === 0
}
