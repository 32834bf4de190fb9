/** Tracks the resources that the active runs of each worker incarnation claim. */
import type * as protocol from '@ebonyweir/protocol'
import * as keys from './keys.js'
import type * as records from './records.js'
import * as specs from './spec.js'
import type * as types from './types.js'

interface ActiveRun extends types.ActiveRun {
  readonly step: records.StepRecord
  readonly task: records.TaskRecord
}

interface LoadRecord {
  readonly identity: protocol.workflow.WorkerIdentity
  cpuMillis: number
  memoryMb: number
  accelerators: number
  readonly runs: Map<string, ActiveRun>
  readonly runsOfStep: Map<records.StepRecord, number>
}

export interface LoadTracker {
  /** Active runs and their claims, by `workerKey`. */
  readonly loads: ReadonlyMap<string, LoadRecord>
  /** Whether one more task of `step` stays within the worker's capacity and the step's limits. */
  readonly fits: (worker: protocol.workflow.WorkerDescription, step: records.StepRecord) => boolean
  readonly add: (
    identity: protocol.workflow.WorkerIdentity,
    step: records.StepRecord,
    task: records.TaskRecord,
  ) => void
  readonly remove: (
    identity: protocol.workflow.WorkerIdentity,
    step: records.StepRecord,
    task: records.TaskRecord,
  ) => void
  readonly clear: () => void
}

const taskIdentityOf = (step: types.StepView, task: types.TaskView): keys.TaskIdentity => ({
  job: step.job.spec.id,
  occurrence: step.occurrence,
  step: step.index,
  index: task.index,
})

export const createLoadTracker = (): LoadTracker => {
  const loads = new Map<string, LoadRecord>()

  const applyClaim = (load: LoadRecord, step: records.StepRecord, sign: 1 | -1): void => {
    const claim = specs.claimOf(step.spec)
    // Best-effort tasks (`filling`) claim no CPU: they use what latency-critical tasks leave unused.
    if (!step.spec.filling) load.cpuMillis += sign * claim.cpuMillis
    load.memoryMb += sign * claim.memoryMb
    load.accelerators += sign * claim.accelerators
    const count = (load.runsOfStep.get(step) ?? 0) + sign
    if (count > 0) load.runsOfStep.set(step, count)
    else load.runsOfStep.delete(step)
  }

  const fits: LoadTracker['fits'] = ({ identity, capacity, labels }, step) => {
    if (identity === undefined || capacity === undefined) return false
    const { requiredLabel, maxPerWorker, filling } = step.spec
    if (requiredLabel !== '' && !labels.includes(requiredLabel)) return false
    const load = loads.get(keys.workerKey(identity))
    if (maxPerWorker > 0 && (load?.runsOfStep.get(step) ?? 0) >= maxPerWorker) return false
    const claim = specs.claimOf(step.spec)
    const cpuMillis = filling ? 0 : claim.cpuMillis
    return (
      (load?.cpuMillis ?? 0) + cpuMillis <= capacity.cpuMillis &&
      (load?.memoryMb ?? 0) + claim.memoryMb <= capacity.memoryMb &&
      (load?.accelerators ?? 0) + claim.accelerators <= capacity.accelerators
    )
  }

  const add: LoadTracker['add'] = (identity, step, task) => {
    const key = keys.workerKey(identity)
    const load = loads.get(key) ?? {
      identity,
      cpuMillis: 0,
      memoryMb: 0,
      accelerators: 0,
      runs: new Map(),
      runsOfStep: new Map(),
    }
    loads.set(key, load)
    applyClaim(load, step, 1)
    load.runs.set(keys.taskKey(taskIdentityOf(step, task)), { step, task })
  }

  const remove: LoadTracker['remove'] = (identity, step, task) => {
    const key = keys.workerKey(identity)
    const load = loads.get(key)
    if (load === undefined) return
    applyClaim(load, step, -1)
    load.runs.delete(keys.taskKey(taskIdentityOf(step, task)))
    if (load.runs.size === 0) loads.delete(key)
  }

  return {
    loads,
    fits,
    add,
    remove,
    clear: () => {
      loads.clear()
    },
  }
}
