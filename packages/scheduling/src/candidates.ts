/** Bounded choice of workers that a task fits on, from the index by free capacity. */
import * as controlState from '@ebonyweir/control-state'
import type * as plans from './plan.js'
import type * as types from './types.js'
import type * as waiting from './waiting.js'

const { cpuLevelOf, memoryLevelOf, acceleratorLevelOf } = controlState.capacityIndex

/** Workers that are compared per task; more brought no better placement in the experiment. */
const MAX_CANDIDATES = 16

/** Workers that are looked at per task, including those that turn out not to fit. */
const MAX_TRIES = 64

type Cell = controlState.capacityIndex.CapacityCell

const usableCells = (plan: plans.Plan, task: waiting.WaitingTask): Cell[] => {
  const { cpuMillis, memoryMb, accelerators } = task.resources
  const cpu = cpuLevelOf(cpuMillis)
  const memory = memoryLevelOf(memoryMb)
  const accelerator = acceleratorLevelOf(accelerators)
  const cells: Cell[] = []
  for (const cell of plan.view.capacityCells()) {
    const isTooSmall =
      cell.cpuLevel < cpu || cell.memoryLevel < memory || cell.acceleratorLevel < accelerator
    if (!isTooSmall && !plan.view.isOut(cell.failureDomain)) cells.push(cell)
  }
  return cells
}

const workerAt = (cells: readonly Cell[], offset: number): controlState.WorkerView | undefined => {
  let rest = offset
  for (const { workers } of cells) {
    if (rest < workers.length) return workers[rest]
    rest -= workers.length
  }
  return undefined
}

/** All fitting workers of a small cell group, a uniform sample of a large one. */
export const sampleCandidates = (
  plan: plans.Plan,
  task: waiting.WaitingTask,
  random: types.Random,
): readonly controlState.WorkerView[] => {
  const cells = usableCells(plan, task)
  const total = cells.reduce((sum, cell) => sum + cell.workers.length, 0)
  const found = new Set<controlState.WorkerView>()
  const isComplete = total <= MAX_TRIES
  const tries = Math.min(total, MAX_TRIES)
  for (let index = 0; index < tries && found.size < MAX_CANDIDATES; index += 1) {
    const offset = isComplete ? index : Math.floor(random() * total)
    const worker = workerAt(cells, offset)
    if (worker !== undefined && plan.canPlace(worker, task)) found.add(worker)
  }
  return [...found]
}

/** A sample of workers regardless of free capacity, for making room by evictions. */
export const sampleWorkers = (
  plan: plans.Plan,
  task: waiting.WaitingTask,
  random: types.Random,
): readonly controlState.WorkerView[] => {
  const cells = [...plan.view.capacityCells()]
  const total = cells.reduce((sum, cell) => sum + cell.workers.length, 0)
  const found = new Set<controlState.WorkerView>()
  const isComplete = total <= MAX_TRIES
  for (let index = 0; index < Math.min(total, MAX_TRIES); index += 1) {
    const worker = workerAt(cells, isComplete ? index : Math.floor(random() * total))
    if (worker === undefined || !controlState.fits(task.resources, worker.capacity)) continue
    if (plan.isOpen(worker, task)) found.add(worker)
  }
  return [...found]
}
