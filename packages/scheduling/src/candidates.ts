/** Bounded selection of candidate workers for a task from the index by free capacity. */
import * as controlState from '@ebonyweir/control-state'
import type * as plans from './plan.js'
import type * as types from './types.js'
import type * as waiting from './waiting.js'

const { cpuLevelOf, memoryLevelOf, acceleratorLevelOf } = controlState.capacityIndex

/** Workers compared per task; comparing more does not improve placement. */
const MAX_CANDIDATES = 16

/** Workers inspected per task, including those that turn out not to fit. */
const MAX_INSPECTED_WORKERS = 64

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
  let remainingOffset = offset
  for (const { workers } of cells) {
    if (remainingOffset < workers.length) return workers[remainingOffset]
    remainingOffset -= workers.length
  }
  return undefined
}

/** Fitting workers: all of them in a small cell group, a uniform sample of a large one. */
export const sampleCandidates = (
  plan: plans.Plan,
  task: waiting.WaitingTask,
  random: types.Random,
): readonly controlState.WorkerView[] => {
  const cells = usableCells(plan, task)
  const total = cells.reduce((sum, cell) => sum + cell.workers.length, 0)
  const candidates = new Set<controlState.WorkerView>()
  const inspectsAll = total <= MAX_INSPECTED_WORKERS
  const tries = Math.min(total, MAX_INSPECTED_WORKERS)
  for (let index = 0; index < tries && candidates.size < MAX_CANDIDATES; index += 1) {
    const offset = inspectsAll ? index : Math.floor(random() * total)
    const worker = workerAt(cells, offset)
    if (worker !== undefined && plan.canPlace(worker, task)) candidates.add(worker)
  }
  return [...candidates]
}

/** A sample of open workers regardless of free capacity, as candidates for evictions. */
export const sampleWorkers = (
  plan: plans.Plan,
  task: waiting.WaitingTask,
  random: types.Random,
): readonly controlState.WorkerView[] => {
  const cells = [...plan.view.capacityCells()]
  const total = cells.reduce((sum, cell) => sum + cell.workers.length, 0)
  const candidates = new Set<controlState.WorkerView>()
  const inspectsAll = total <= MAX_INSPECTED_WORKERS
  for (let index = 0; index < Math.min(total, MAX_INSPECTED_WORKERS); index += 1) {
    const worker = workerAt(cells, inspectsAll ? index : Math.floor(random() * total))
    if (worker === undefined || !controlState.fits(task.resources, worker.capacity)) continue
    if (plan.isOpen(worker, task)) candidates.add(worker)
  }
  return [...candidates]
}
