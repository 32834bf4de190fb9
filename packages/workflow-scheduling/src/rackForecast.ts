/** Forecast of the free capacity on the workers of a rack during one plan, for tasks that may wait for it. */
import * as workflowState from '@ebonyweir/workflow-state'
import type * as candidates from './candidates.js'
import * as workerCost from './workerCost.js'

/** Free resources of a worker. Best-effort tasks use `leftCpuMillis`, other tasks reserve `cpuMillis`. */
interface Room {
  readonly cpuMillis: number
  readonly leftCpuMillis: number
  readonly memoryMb: number
  readonly accelerators: number
}

/** Change of the free resources of a worker at a time from the start of the plan on. */
interface Change {
  readonly inMs: number
  readonly room: Room
}

export interface ForecastRequest {
  readonly step: workflowState.StepView
  /** Workers near the data of the step. */
  readonly near: readonly candidates.CandidateWorker[]
  /** Expected duration of one task on a near worker. */
  readonly durationMs: number
}

export interface RackForecast {
  /** Records a task of this plan that starts now on a worker. */
  readonly recordStart: (candidate: candidates.CandidateWorker, request: ForecastRequest) => void
  /**
   * Reserves the earliest room for `count` more tasks of the step together, so that the tasks that ask later wait longer.
   * Undefined, without a reservation, if the room is expected `limitMs` from now or later.
   */
  readonly reserveWithin: (
    request: ForecastRequest,
    count: number,
    limitMs: number,
  ) => Reservation | undefined
}

export interface Reservation {
  /** Expected time until the last of the tasks can start. */
  readonly inMs: number
  readonly cancel: () => void
}

const negative = ({ cpuMillis, leftCpuMillis, memoryMb, accelerators }: Room): Room => ({
  cpuMillis: -cpuMillis,
  leftCpuMillis: -leftCpuMillis,
  memoryMb: -memoryMb,
  accelerators: -accelerators,
})

const roomOf = (step: workflowState.StepView): Room => {
  const { cpuMillis, memoryMb, accelerators } = workflowState.claimOf(step.spec)
  const { filling } = step.spec
  return {
    cpuMillis: filling ? 0 : cpuMillis,
    leftCpuMillis: filling ? cpuMillis : 0,
    memoryMb,
    accelerators,
  }
}

/** Room that a task needs to start. CPU is only needed by the kind of task that the step is. */
const neededBy = (step: workflowState.StepView): Room => {
  const room = roomOf(step)
  return {
    ...room,
    cpuMillis: step.spec.filling ? Number.NEGATIVE_INFINITY : room.cpuMillis,
    leftCpuMillis: step.spec.filling
      ? room.leftCpuMillis * workerCost.MIN_BEST_EFFORT_RATE
      : Number.NEGATIVE_INFINITY,
  }
}

const insert = (changes: Change[], change: Change): void => {
  let index = changes.length
  while (index > 0 && (changes[index - 1]?.inMs ?? 0) > change.inMs) index -= 1
  changes.splice(index, 0, change)
}

/**
 * Earliest time from which `needed` stays free; infinite if there is none. It goes back from the last change without
 * allocations, since it runs for each task that waits.
 */
const earliestFit = (now: Room, changes: readonly Change[], needed: Room): number => {
  let { cpuMillis, leftCpuMillis, memoryMb, accelerators } = now
  for (const { room } of changes) {
    cpuMillis += room.cpuMillis
    leftCpuMillis += room.leftCpuMillis
    memoryMb += room.memoryMb
    accelerators += room.accelerators
  }
  let earliestMs = Number.POSITIVE_INFINITY
  for (let index = changes.length; index >= 0; index -= 1) {
    const isFree =
      needed.cpuMillis <= cpuMillis &&
      needed.leftCpuMillis <= leftCpuMillis &&
      needed.memoryMb <= memoryMb &&
      needed.accelerators <= accelerators
    if (!isFree) return earliestMs
    const change = changes[index - 1]
    if (change === undefined) return 0
    earliestMs = change.inMs
    cpuMillis -= change.room.cpuMillis
    leftCpuMillis -= change.room.leftCpuMillis
    memoryMb -= change.room.memoryMb
    accelerators -= change.room.accelerators
  }
  return earliestMs
}

const mayRun = (candidate: candidates.CandidateWorker, { spec }: workflowState.StepView): boolean =>
  spec.requiredLabel === '' || candidate.worker.description.labels.includes(spec.requiredLabel)

const isAtLimit = (
  candidate: candidates.CandidateWorker,
  step: workflowState.StepView,
  reservedCount: number,
): boolean => {
  const { maxPerWorker } = step.spec
  const held = candidate.runsOfStep.get(step) ?? 0
  return maxPerWorker > 0 && held + reservedCount >= maxPerWorker
}

const currentRoom = (candidate: candidates.CandidateWorker): Room => {
  let usedMillis = 0
  for (const { cpuMillis } of candidate.bestEffortTasks) usedMillis += cpuMillis
  const { cpuMillis, memoryMb, accelerators, leftCpuMillis } = candidate
  return { cpuMillis, leftCpuMillis: leftCpuMillis - usedMillis, memoryMb, accelerators }
}

export interface RackForecastOptions {
  readonly view: workflowState.WorkflowView
  readonly remainingMs: (active: workflowState.ActiveRun, rack: string) => number
}

/**
 * Creates the forecast of one plan. The expected ends on a worker are collected when they are first needed, and the
 * earliest room for a kind of task is kept until the forecast of that worker changes.
 */
export const createRackForecast = ({ view, remainingMs }: RackForecastOptions): RackForecast => {
  const changesOf = new Map<candidates.CandidateWorker, Change[]>()
  const fits = new Map<candidates.CandidateWorker, Map<string, number>>()
  const reservedCounts = new Map<candidates.CandidateWorker, Map<workflowState.StepView, number>>()

  const changesOn = (candidate: candidates.CandidateWorker): Change[] => {
    const known = changesOf.get(candidate)
    if (known !== undefined) return known
    const { rack } = candidate.worker.description
    const changes = [...(view.loads.get(candidate.key)?.runs.values() ?? [])]
      .filter(({ step }) => !step.spec.lasting)
      .map((active) => ({
        inMs: Math.max(0, remainingMs(active, rack)),
        room: roomOf(active.step),
      }))
      .sort((a, b) => a.inMs - b.inMs)
    changesOf.set(candidate, changes)
    return changes
  }

  /**
   * Earliest room for a best-effort task that fits now but was not placed: it interferes there, and each best-effort task
   * that ends may make room for one. Tasks that wait already take the earlier ends.
   */
  const nextBestEffortEndMs = (changes: readonly Change[]): number => {
    const ends = changes.filter(({ room }) => room.leftCpuMillis > 0)
    const waiting = changes.filter(({ room }) => room.leftCpuMillis < 0)
    return ends[waiting.length]?.inMs ?? Number.POSITIVE_INFINITY
  }

  const computeFit = (
    candidate: candidates.CandidateWorker,
    step: workflowState.StepView,
  ): number => {
    const changes = changesOn(candidate)
    const inMs = earliestFit(currentRoom(candidate), changes, neededBy(step))
    return step.spec.filling && inMs <= 0 ? nextBestEffortEndMs(changes) : inMs
  }

  /** Expected time until one more task fits on a worker. */
  const freeInMs = (
    candidate: candidates.CandidateWorker,
    step: workflowState.StepView,
    kind: string,
  ): number => {
    if (!mayRun(candidate, step)) return Number.POSITIVE_INFINITY
    if (isAtLimit(candidate, step, reservedCounts.get(candidate)?.get(step) ?? 0))
      return Number.POSITIVE_INFINITY
    const known = fits.get(candidate) ?? new Map<string, number>()
    fits.set(candidate, known)
    const inMs = known.get(kind) ?? computeFit(candidate, step)
    known.set(kind, inMs)
    return inMs
  }

  const earliestOf = (
    { step, near }: ForecastRequest,
    limitMs: number,
  ): { readonly candidate: candidates.CandidateWorker; readonly inMs: number } | undefined => {
    const kind = JSON.stringify([step.spec.filling, workflowState.claimOf(step.spec)])
    let best: { readonly candidate: candidates.CandidateWorker; readonly inMs: number } | undefined
    for (const candidate of near) {
      const inMs = freeInMs(candidate, step, kind)
      if (inMs < (best?.inMs ?? limitMs)) best = { candidate, inMs }
    }
    return best
  }

  const reserveOne = (
    candidate: candidates.CandidateWorker,
    { step, durationMs }: ForecastRequest,
    inMs: number,
  ): (() => void) => {
    const room = roomOf(step)
    const start: Change = { inMs, room: negative(room) }
    const end: Change = { inMs: inMs + durationMs, room }
    const changes = changesOn(candidate)
    const counts = reservedCounts.get(candidate) ?? new Map<workflowState.StepView, number>()
    reservedCounts.set(candidate, counts)
    insert(changes, start)
    insert(changes, end)
    counts.set(step, (counts.get(step) ?? 0) + 1)
    fits.delete(candidate)
    return () => {
      for (const change of [start, end]) changes.splice(changes.indexOf(change), 1)
      counts.set(step, (counts.get(step) ?? 1) - 1)
      fits.delete(candidate)
    }
  }

  return {
    recordStart: (candidate, { step, durationMs }) => {
      fits.delete(candidate)
      if (!step.spec.lasting) insert(changesOn(candidate), { inMs: durationMs, room: roomOf(step) })
    },
    reserveWithin: (request, count, limitMs) => {
      const undo: (() => void)[] = []
      const cancel = (): void => {
        for (const undoOne of undo) undoOne()
      }
      let lastMs = 0
      for (let reserved = 0; reserved < count; reserved += 1) {
        const best = earliestOf(request, limitMs)
        if (best === undefined) {
          cancel()
          return undefined
        }
        lastMs = Math.max(lastMs, best.inMs)
        undo.push(reserveOne(best.candidate, request, best.inMs))
      }
      return { inMs: lastMs, cancel }
    },
  }
}
