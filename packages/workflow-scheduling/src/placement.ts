/** Choice of a worker for each waiting task. */
import type * as protocol from '@ebonyweir/protocol'
import * as workflowState from '@ebonyweir/workflow-state'
import type * as durations from './durations.js'
import * as order from './order.js'
import type * as pacing from './pacing.js'
import * as shortages from './shortages.js'
import * as unusedCpu from './unusedCpu.js'

/** Worker that may get new runs. */
export interface PlacementWorker {
  readonly description: protocol.workflow.WorkerDescription
  /** Consecutive bad ends; see `Health`. */
  readonly badEnds: number
}

export interface PlacementInput {
  readonly view: workflowState.WorkflowView
  /** Leaves the steps out that fill. @default false */
  readonly servingOnly?: boolean
  readonly workers: readonly PlacementWorker[]
  readonly expected: durations.Durations
  /** Time of day at the leader, in milliseconds. */
  readonly nowMs: number
  /** Most assignments of one plan, so that one round stays short. */
  readonly maxAssignments: number
  /** Whether a task had a bad end on a worker. */
  readonly avoids: (place: workflowState.TaskPlace, workerId: string) => boolean
  readonly disturbance: pacing.Disturbance
  /** Rank of a filling step's job; a lower one goes first. See `rankFillingJobs`. */
  readonly fillerRank: (step: workflowState.StepView) => number
  /** Whether fillers of the step may work where they disturb serving tasks. @default all may */
  readonly mayDisturb?: (step: workflowState.StepView) => boolean
  /** Time for which a step has been ready, in milliseconds. */
  readonly waitedMs: (step: workflowState.StepView) => number
}

/** Rank to which every filler makes way. */
const FIRST_RANK = -1

type FillingInput = Pick<
  PlacementInput,
  'view' | 'workers' | 'disturbance' | 'fillerRank' | 'mayDisturb'
>

export interface Plan {
  readonly workers: readonly protocol.workflow.WorkerDescription[]
  readonly assignments: readonly protocol.workflow.Assignment[]
  /** Waiting tasks for which a place was searched. */
  readonly tasksLookedAt: number
}

/** Room on a worker while a plan is made. */
interface Room {
  readonly worker: PlacementWorker
  readonly identity: protocol.workflow.WorkerIdentity
  /** `workerKey` of the identity. */
  readonly key: string
  readonly capacity: protocol.workflow.Resources
  cpuMillis: number
  memoryMb: number
  accelerators: number
  /** Processors that the other tasks leave to fillers; see `leftToFillers`. */
  readonly leftCpuMillis: number
  /** Fillers that are here or planned, with the processors that they would use. */
  readonly fillers: { readonly rank: number; readonly cpuMillis: number }[]
  readonly runsOfStep: Map<workflowState.StepView, number>
  /** Fillers that the worker's newest list does not show, with those of this plan. */
  planned: number
}

const placeOf = (
  step: workflowState.StepView,
  task: workflowState.TaskView,
): protocol.workflow.TaskRun => ({
  job: step.job.spec.id,
  occurrence: step.occurrence,
  step: step.index,
  index: task.index,
  run: 0,
})

/** Fillers of a worker that its newest list does not show yet. */
export const unlistedFillers = (
  worker: string,
  load: workflowState.WorkerLoad | undefined,
  disturbance: pacing.Disturbance,
): number => {
  let count = 0
  for (const active of load?.runs.values() ?? []) {
    if (active.step.spec.filling && !disturbance.isListed(worker, unusedCpu.activeRunKey(active)))
      count += 1
  }
  return count
}

const createRoom = (
  worker: PlacementWorker,
  { view, disturbance, fillerRank }: FillingInput,
): Room | undefined => {
  const { identity, capacity } = worker.description
  if (identity === undefined || capacity === undefined) return undefined
  const key = workflowState.workerKey(identity)
  const load = view.loads.get(key)
  const fillers = [...(load?.runs.values() ?? [])].filter(({ step }) => step.spec.filling)
  return {
    worker,
    identity,
    key,
    capacity,
    cpuMillis: capacity.cpuMillis - (load?.cpuMillis ?? 0),
    memoryMb: capacity.memoryMb - (load?.memoryMb ?? 0),
    accelerators: capacity.accelerators - (load?.accelerators ?? 0),
    leftCpuMillis: unusedCpu.leftToFillers(key, capacity, load, disturbance),
    fillers: fillers.map(({ step }) => ({
      rank: fillerRank(step),
      cpuMillis: workflowState.claimOf(step.spec).cpuMillis,
    })),
    runsOfStep: new Map(load?.runsOfStep),
    planned: unlistedFillers(key, load, disturbance),
  }
}

const createRooms = (input: FillingInput): readonly Room[] => {
  const rooms: Room[] = []
  for (const worker of input.workers) {
    if (input.view.evacuated.has(worker.description.failureDomain)) continue
    const room = createRoom(worker, input)
    if (room !== undefined) rooms.push(room)
  }
  return rooms
}

const fits = (room: Room, step: workflowState.StepView): boolean => {
  const { requiredLabel, maxPerWorker, filling } = step.spec
  const claim = workflowState.claimOf(step.spec)
  if (requiredLabel !== '' && !room.worker.description.labels.includes(requiredLabel)) return false
  if (maxPerWorker > 0 && (room.runsOfStep.get(step) ?? 0) >= maxPerWorker) return false
  return (
    (filling || claim.cpuMillis <= room.cpuMillis) &&
    claim.memoryMb <= room.memoryMb &&
    claim.accelerators <= room.accelerators
  )
}

const reserve = (room: Room, step: workflowState.StepView, rank: number): void => {
  const claim = workflowState.claimOf(step.spec)
  if (step.spec.filling) {
    room.fillers.push({ rank, cpuMillis: claim.cpuMillis })
    room.planned += 1
  } else room.cpuMillis -= claim.cpuMillis
  room.memoryMb -= claim.memoryMb
  room.accelerators -= claim.accelerators
  room.runsOfStep.set(step, (room.runsOfStep.get(step) ?? 0) + 1)
}

/** Cost of a place that lies beside the data or the rest of the step, as a share of a worker's capacity. */
const OTHER_RACK_COST = 1

/** Share of full speed below which a filler waits for a better place: where it hardly works it only disturbs. */
const MIN_FILLING_RATE = 0.5

/** Time after which one task of a step of which nothing runs takes the best place there is, in milliseconds. */
const MAX_FILLER_WAIT_MS = 2_000

/** Cost of each recent bad end on the worker, as a share of a worker's capacity. */
const BAD_END_COST = 0.5

/** Cost of a worker on which the same task had a bad end; any other worker is tried first. */
const REPEATED_WORKER_COST = 10

/**
 * Share of full speed at which a filler would work in a room; 0 where it is below `minRate`. Above 1 there is room for more
 * than the filler.
 */
type RateIn = (room: Room, minRate: number) => number

/**
 * Rate of the fillers of one step: what their neighbours bear of it, and the processors that are left by those that go
 * before it. Fillers that are not in the worker's figures yet take their part of the room. What the neighbours bear does
 * not change during a plan, so it is worked out once for all tasks of the step, and only where processors are left.
 */
const createFillingRate = (
  step: workflowState.StepView,
  rank: number,
  { disturbance, mayDisturb }: FillingInput,
): RateIn => {
  const { cpuMillis } = workflowState.claimOf(step.spec)
  const isHarmlessOnly = mayDisturb?.(step) === false
  const bearableIn = new Map<Room, number>()

  const bearable = (room: Room): number => {
    const known = bearableIn.get(room)
    if (known !== undefined) return known
    const worked = disturbance.safeRoom(room.key, step.spec.image, rank)
    const isHarmless = worked === Number.POSITIVE_INFINITY
    const borne = isHarmlessOnly && !isHarmless ? 0 : worked
    bearableIn.set(room, borne)
    return borne
  }

  return (room, minRate) => {
    let takenMillis = 0
    for (const filler of room.fillers) if (filler.rank <= rank) takenMillis += filler.cpuMillis
    const left = Math.max(0, room.leftCpuMillis - takenMillis) / Math.max(1, cpuMillis)
    if (left < minRate) return 0
    const rate = Math.min(bearable(room) / (1 + room.planned), left)
    return rate < minRate ? 0 : rate
  }
}

/**
 * Cost of a worker for a task; the lowest one is chosen. Tasks that reserve processors are packed, which leaves workers
 * without serving tasks to the fillers that would disturb them. Fillers are spread by the room that there is for them: a tail
 * rises the faster the nearer it is to its target.
 */
const costOf = (
  room: Room,
  step: workflowState.StepView,
  isAvoided: boolean,
  racksOfStep: ReadonlySet<string>,
  fillingRateHere: number,
): number => {
  const { description, badEnds } = room.worker
  const { dataRack, filling, sameRack } = step.spec
  const freeShare = room.cpuMillis / Math.max(1, room.capacity.cpuMillis)
  let cost = badEnds * BAD_END_COST
  cost += filling ? 1 / (1 + fillingRateHere) : freeShare
  if (isAvoided) cost += REPEATED_WORKER_COST
  if (dataRack !== '' && dataRack !== description.rack) cost += OTHER_RACK_COST
  if (sameRack && !isRackOfStep(racksOfStep, description.rack)) cost += OTHER_RACK_COST
  return cost
}

const isRackOfStep = (racks: ReadonlySet<string>, rack: string): boolean =>
  racks.size === 0 || racks.has(rack)

/** Whether less than half of the processors of `rooms` are reserved: no step has to stand still then. */
const isMostlyFree = (rooms: readonly Room[]): boolean => {
  let freeMillis = 0
  let allMillis = 0
  for (const { cpuMillis, capacity } of rooms) {
    freeMillis += cpuMillis
    allMillis += capacity.cpuMillis
  }
  return freeMillis > allMillis / 2
}

/** Plans a step: the tasks of a gang all or none, others as far as there is room. */
const planStep = (
  input: PlacementInput,
  rooms: readonly Room[],
  step: workflowState.StepView,
  limit: number,
  noPlace: shortages.Shortages,
): Pick<Plan, 'assignments' | 'tasksLookedAt'> => {
  const planned: { readonly assignment: protocol.workflow.Assignment; readonly room: Room }[] = []
  const suitable = rooms.filter(
    ({ worker }) => worker.description.service === step.job.queue.service,
  )
  const racks = new Set(
    suitable
      .filter((room) => (room.runsOfStep.get(step) ?? 0) > 0)
      .map(({ worker }) => worker.description.rack),
  )
  const { filling } = step.spec
  const rank = filling ? input.fillerRank(step) : 0
  const rateIn = createFillingRate(step, rank, input)
  const mayDisturb = input.mayDisturb?.(step) !== false || isMostlyFree(suitable)
  const hasWaited =
    mayDisturb && step.assignedCount === 0 && input.waitedMs(step) >= MAX_FILLER_WAIT_MS
  let tasksLookedAt = 0
  for (const task of step.tasks) {
    if (task.phase !== 'waiting') continue
    if (planned.length >= limit && !step.spec.gang) break
    const place = placeOf(step, task)
    tasksLookedAt += 1
    // One slow task keeps a step going; more of them would only disturb and slow the fillers that are there.
    const minRate = hasWaited && planned.length === 0 ? 0 : MIN_FILLING_RATE
    if (filling && noPlace.covers(step, rank, minRate)) break
    let best: Room | undefined
    let bestCost = Number.POSITIVE_INFINITY
    for (const room of suitable) {
      if (!fits(room, step)) continue
      const rate = filling ? rateIn(room, minRate) : 1
      if (rate < minRate) continue
      const cost = costOf(room, step, input.avoids(place, room.identity.id), racks, rate)
      if (cost >= bestCost) continue
      best = room
      bestCost = cost
    }
    if (best === undefined) {
      if (filling) noPlace.note(step, rank, minRate)
      break
    }
    reserve(best, step, rank)
    racks.add(best.worker.description.rack)
    planned.push({ assignment: { task: place, worker: best.identity }, room: best })
  }
  if (step.spec.gang && planned.length < step.spec.taskCount) {
    for (const { room } of planned) giveBack(room, step)
    return { assignments: [], tasksLookedAt }
  }
  return { assignments: planned.map(({ assignment }) => assignment), tasksLookedAt }
}

const giveBack = (room: Room, step: workflowState.StepView): void => {
  const claim = workflowState.claimOf(step.spec)
  if (step.spec.filling) {
    room.fillers.pop()
    room.planned -= 1
  } else room.cpuMillis += claim.cpuMillis
  room.memoryMb += claim.memoryMb
  room.accelerators += claim.accelerators
  room.runsOfStep.set(step, (room.runsOfStep.get(step) ?? 1) - 1)
}

/** Plans assignments for the ready steps, most urgent first. */
export const planAssignments = (input: PlacementInput): Plan => {
  const { view } = input
  if (view.readySteps.size === 0) return { workers: [], assignments: [], tasksLookedAt: 0 }
  const rooms = createRooms(input)
  const ordered = [...view.readySteps]
    .filter(({ spec }) => input.servingOnly !== true || !spec.filling)
    .map((step) => ({
      step,
      rank: step.spec.filling ? input.fillerRank(step) : undefined,
      urgency: step.spec.filling ? undefined : order.urgencyOf(step, input.expected, input.nowMs),
    }))
    .sort((a, b) => {
      if (a.rank !== undefined && b.rank !== undefined) return a.rank - b.rank
      if (a.urgency === undefined || b.urgency === undefined) return a.rank === undefined ? -1 : 1
      return order.compareUrgency(a.urgency, b.urgency)
    })
  const assignments: protocol.workflow.Assignment[] = []
  let tasksLookedAt = 0
  const noPlace = shortages.createShortages(input.mayDisturb)
  for (const { step } of ordered) {
    const limit = input.maxAssignments - assignments.length
    if (limit <= 0) break
    const planned = planStep(input, rooms, step, limit, noPlace)
    assignments.push(...planned.assignments)
    tasksLookedAt += planned.tasksLookedAt
  }
  const used = new Set(assignments.map(({ worker }) => worker && workflowState.workerKey(worker)))
  const workers = rooms.filter(({ key }) => used.has(key)).map(({ worker }) => worker.description)
  return { workers, assignments, tasksLookedAt }
}

/** Places for fillers at one moment; the view and the disturbance do not change while it is used. */
export interface FillingPlaces {
  /** Whether there is a place where a filler of the step is not left to wait for a better one. */
  readonly hasGoodPlace: (step: workflowState.StepView) => boolean
}

export const createFillingPlaces = (input: FillingInput): FillingPlaces => {
  const noPlace = shortages.createShortages(input.mayDisturb)
  let rooms: readonly Room[] | undefined
  return {
    hasGoodPlace: (step) => {
      const rank = input.fillerRank(step)
      if (noPlace.covers(step, rank, MIN_FILLING_RATE)) return false
      rooms ??= createRooms(input)
      const rateIn = createFillingRate(step, rank, input)
      const isGood = rooms.some(
        (room) => isSuitable(room, step) && rateIn(room, MIN_FILLING_RATE) > 0,
      )
      if (!isGood) noPlace.note(step, rank, MIN_FILLING_RATE)
      return isGood
    },
  }
}

const isSuitable = (room: Room, step: workflowState.StepView): boolean =>
  room.worker.description.service === step.job.queue.service && fits(room, step)

/** Share of full speed that a filler could reach on the best of `workers`. */
export const bestFillingRate = (input: FillingInput, step: workflowState.StepView): number => {
  const rateIn = createFillingRate(step, input.fillerRank(step), input)
  const suitable = createRooms(input).filter((room) => isSuitable(room, step))
  return Math.min(1, Math.max(0, ...suitable.map((room) => rateIn(room, 0))))
}

/** Tasks of the steps, which fill, that could work at full speed on the workers if nothing else filled there. */
export const fillingSupply = (
  input: FillingInput,
  steps: readonly workflowState.StepView[],
): number => {
  let supply = 0
  for (const worker of input.workers) {
    const { identity, failureDomain, capacity } = worker.description
    if (identity === undefined || capacity === undefined) continue
    if (input.view.evacuated.has(failureDomain)) continue
    const key = workflowState.workerKey(identity)
    const load = input.view.loads.get(key)
    const leftCpuMillis = unusedCpu.leftToFillers(key, capacity, load, input.disturbance)
    const counts = steps.map((step) => {
      const bearable = input.disturbance.room(key, step.spec.image, FIRST_RANK)
      const { cpuMillis } = workflowState.claimOf(step.spec)
      return Math.min(bearable, leftCpuMillis / Math.max(1, cpuMillis))
    })
    supply += counts.reduce((sum, count) => sum + count, 0) / Math.max(1, counts.length)
  }
  return supply
}
