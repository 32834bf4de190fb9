/** Applies the wait for locality to the steps of one plan. */
import * as workflowState from '@ebonyweir/workflow-state'
import type * as candidates from './candidates.js'
import type * as durations from './durations.js'
import type * as localityWait from './localityWait.js'
import type * as localityWaits from './localityWaits.js'
import * as order from './order.js'
import * as rackForecast from './rackForecast.js'
import type * as workerCost from './workerCost.js'

export interface LocalityPlanOptions {
  readonly waits: localityWaits.LocalityWaits
  readonly view: workflowState.WorkflowView
  readonly expected: durations.Durations
  /** Wall-clock time of the leader. */
  readonly nowMs: number
}

/** Locality of the waiting tasks of one step. */
export interface StepLocality {
  readonly remote: workerCost.RemoteCost
  readonly isNear: (candidate: candidates.CandidateWorker) => boolean
  /** Whether `count` tasks start remotely at once; false if they wait together. */
  readonly mayStartRemotely: (count: number) => boolean
  /** Counts tasks that no worker has room for; they precede the tasks of later steps on the near workers. */
  readonly queueRest: (count: number) => void
  /** Records where the tasks were placed, at the end of the step. */
  readonly recordPlaced: (placed: readonly candidates.CandidateWorker[]) => void
}

export interface LocalityPlan {
  /** Locality of a step; undefined if no rack is better than another for it. */
  readonly forStep: (
    step: workflowState.StepView,
    suitable: readonly candidates.CandidateWorker[],
    racks: ReadonlySet<string>,
  ) => StepLocality | undefined
  readonly recordStart: (
    candidate: candidates.CandidateWorker,
    step: workflowState.StepView,
  ) => void
  /** Time on the clock of the waits at which the first wait of this plan ends; undefined if there is none. */
  readonly firstEndMs: () => number | undefined
}

type Room = Pick<
  candidates.CandidateWorker,
  'cpuMillis' | 'leftCpuMillis' | 'memoryMb' | 'accelerators'
>

/** Number of tasks of a step that fit into `room` on a worker. */
const fitCount = (
  { worker, runsOfStep }: candidates.CandidateWorker,
  room: Room,
  step: workflowState.StepView,
): number => {
  const { filling, requiredLabel, maxPerWorker } = step.spec
  if (requiredLabel !== '' && !worker.description.labels.includes(requiredLabel)) return 0
  const { cpuMillis, memoryMb, accelerators } = workflowState.claimOf(step.spec)
  const ratio = (free: number, needed: number): number =>
    needed > 0 ? Math.floor(Math.max(0, free) / needed) : Number.POSITIVE_INFINITY
  const allowed =
    maxPerWorker > 0 ? maxPerWorker - (runsOfStep.get(step) ?? 0) : Number.POSITIVE_INFINITY
  return Math.min(
    Math.max(0, allowed),
    ratio(filling ? room.leftCpuMillis : room.cpuMillis, cpuMillis),
    ratio(room.memoryMb, memoryMb),
    ratio(room.accelerators, accelerators),
  )
}

/** Numbers of tasks of a step that fit in a rack at present, and if no other task ran there. */
interface RackRoom {
  now: number
  empty: number
}

/**
 * Rack for a step that stays on one: the one with the least room of those that hold all its tasks now, or else the one with
 * the most room of those that are large enough.
 */
const chooseRack = (
  step: workflowState.StepView,
  suitable: readonly candidates.CandidateWorker[],
): string | undefined => {
  const rooms = new Map<string, RackRoom>()
  for (const candidate of suitable) {
    const { rack } = candidate.worker.description
    const room = rooms.get(rack) ?? { now: 0, empty: 0 }
    rooms.set(rack, room)
    const { capacity } = candidate
    room.now += fitCount(candidate, candidate, step)
    room.empty += fitCount(candidate, { ...capacity, leftCpuMillis: capacity.cpuMillis }, step)
  }
  const byRoom = [...rooms].sort(([, a], [, b]) => a.now - b.now)
  const chosen =
    byRoom.find(([, { now }]) => now >= step.waitingCount) ??
    byRoom.findLast(([, { empty }]) => empty >= step.waitingCount) ??
    byRoom.at(-1)
  return chosen?.[0]
}

/** Racks near the data or the group of a step; undefined if all racks are equally good. */
const nearRacks = (
  step: workflowState.StepView,
  suitable: readonly candidates.CandidateWorker[],
  racks: ReadonlySet<string>,
): ReadonlySet<string> | undefined => {
  const { dataRack, sameRack, taskCount, lasting } = step.spec
  // A long-running task has no duration that a remote run extends.
  if (lasting) return undefined
  if (dataRack !== '') return new Set([dataRack])
  if (!sameRack || taskCount < 2) return undefined
  if (racks.size > 0) return new Set(racks)
  const rack = chooseRack(step, suitable)
  return rack === undefined ? undefined : new Set([rack])
}

export const createLocalityPlan = (options: LocalityPlanOptions): LocalityPlan => {
  const { waits, view, expected, nowMs } = options
  const { remoteFactor } = waits
  let firstEndMs = Number.POSITIVE_INFINITY

  const runsRemotely = (step: workflowState.StepView, rack: string): boolean =>
    step.spec.dataRack !== '' && step.spec.dataRack !== rack

  const forecast = rackForecast.createRackForecast({
    view,
    remainingMs: (active, rack) =>
      waits.remainingMs(active) * (runsRemotely(active.step, rack) ? remoteFactor : 1),
  })

  const slackMs = (step: workflowState.StepView): number =>
    order.urgencyOf(step, expected, nowMs).latestStartMs - nowMs

  const forStep: LocalityPlan['forStep'] = (step, suitable, racks) => {
    const near = nearRacks(step, suitable, racks)
    if (near === undefined) return undefined
    const isNear: StepLocality['isNear'] = ({ worker }) => near.has(worker.description.rack)
    const durationMs = expected.expect(step)
    // A step that is spread over several racks already loses the time.
    const isSpread = step.spec.dataRack === '' && racks.size > 1
    const lossMs = isSpread ? 0 : (remoteFactor - 1) * durationMs
    const request = { step, near: suitable.filter(isNear), durationMs }
    let waitingTasks = 0
    let startsRemotely = false

    const decide = (count: number): localityWait.LocalityDecision => {
      const reservation = forecast.reserveWithin(request, count, lossMs)
      const decision = waits.decide(step, {
        racks: near,
        // Room that the forecast expects at once is not free in this plan, for example beside a task that failed there.
        nearInMs: Math.max(1, reservation?.inMs ?? Number.POSITIVE_INFINITY),
        lossMs,
        slackMs: slackMs(step),
      })
      if (decision.kind !== 'wait') reservation?.cancel()
      return decision
    }

    return {
      remote: { near, lossFactor: remoteFactor - 1 },
      isNear,
      mayStartRemotely: (count) => {
        if (startsRemotely) return true
        const decision = decide(count)
        startsRemotely = decision.kind !== 'wait'
        if (decision.kind !== 'wait') return true
        waitingTasks += count
        firstEndMs = Math.min(firstEndMs, decision.untilMs)
        return false
      },
      queueRest: (count) => {
        for (let queued = 0; queued < count; queued += 1)
          if (forecast.reserveWithin(request, 1, lossMs) === undefined) return
      },
      recordPlaced: (placed) => {
        const nearCount = placed.filter(isNear).length
        const remoteCount = placed.length - nearCount
        waits.recordPlan(step, { near: nearCount, remote: remoteCount, wait: waitingTasks })
      },
    }
  }

  return {
    forStep,
    recordStart: (candidate, step) => {
      forecast.recordStart(candidate, { step, near: [], durationMs: expected.expect(step) })
    },
    firstEndMs: () => (firstEndMs === Number.POSITIVE_INFINITY ? undefined : firstEndMs),
  }
}
