/** Cache of failed searches for a worker, so that a plan does not repeat them for each equivalent best-effort task. */
import * as workflowState from '@ebonyweir/workflow-state'

type MayInterfere = (step: workflowState.StepView) => boolean

/** Failed searches; valid as long as the workers gain no free capacity. */
export interface PlacementFailures {
  readonly record: (step: workflowState.StepView, rank: number, minRate: number) => void
  /** Whether no worker was found at this rate for an equivalent task of the same or a lower rank. */
  readonly covers: (step: workflowState.StepView, rank: number, minRate: number) => boolean
}

/** Everything except the rank that determines where a best-effort task of a step fits and how fast it runs there. */
const cacheKeyOf = ({ spec, job }: workflowState.StepView, mayDisturb: boolean): string => {
  const { cpuMillis, memoryMb, accelerators } = workflowState.claimOf(spec)
  return JSON.stringify([
    job.queue.service,
    mayDisturb,
    spec.image,
    spec.requiredLabel,
    cpuMillis,
    memoryMb,
    accelerators,
  ])
}

export const createPlacementFailures = (mayDisturb?: MayInterfere): PlacementFailures => {
  const lowestFailedRank = new Map<string, number>()
  const kinds = new Map<workflowState.StepView, string>()
  const keyOf = (step: workflowState.StepView, minRate: number): string => {
    const kind = kinds.get(step) ?? cacheKeyOf(step, mayDisturb?.(step) !== false)
    kinds.set(step, kind)
    return `${minRate} ${kind}`
  }
  return {
    record: (step, rank, minRate) => {
      // A failure due to the limit of one step, or to a gang whose reservations are released, does not hold for others.
      if (step.spec.maxPerWorker > 0 || step.spec.gang) return
      const key = keyOf(step, minRate)
      lowestFailedRank.set(key, Math.min(rank, lowestFailedRank.get(key) ?? rank))
    },
    covers: (step, rank, minRate) =>
      rank >= (lowestFailedRank.get(keyOf(step, minRate)) ?? Infinity),
  }
}
