/** Kinds of fillers for which a plan found no place, so that the search is not repeated for each task. */
import * as workflowState from '@ebonyweir/workflow-state'

type MayDisturb = (step: workflowState.StepView) => boolean

/** Remembers for which fillers there was no place, while the places do not get better. */
export interface Shortages {
  readonly note: (step: workflowState.StepView, rank: number, minRate: number) => void
  /** Whether a filler like this one, of this rank or one that goes before it, found no place at such a rate. */
  readonly covers: (step: workflowState.StepView, rank: number, minRate: number) => boolean
}

/** What decides besides the rank where a filler of a step fits, and how fast it works there. */
const kindOf = ({ spec, job }: workflowState.StepView, mayDisturb: boolean): string => {
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

export const createShortages = (mayDisturb?: MayDisturb): Shortages => {
  const lowestRank = new Map<string, number>()
  const kinds = new Map<workflowState.StepView, string>()
  const keyOf = (step: workflowState.StepView, minRate: number): string => {
    const kind = kinds.get(step) ?? kindOf(step, mayDisturb?.(step) !== false)
    kinds.set(step, kind)
    return `${minRate} ${kind}`
  }
  return {
    note: (step, rank, minRate) => {
      // The limits of a step, and of a gang that may be given up again, say nothing about other steps.
      if (step.spec.maxPerWorker > 0 || step.spec.gang) return
      const key = keyOf(step, minRate)
      lowestRank.set(key, Math.min(rank, lowestRank.get(key) ?? rank))
    },
    covers: (step, rank, minRate) => rank >= (lowestRank.get(keyOf(step, minRate)) ?? Infinity),
  }
}
