/** Waits of a leader's term for workers near the data of steps, with their log lines and counters. */
import * as scheduling from '@ebonyweir/workflow-scheduling'
import type * as workflowState from '@ebonyweir/workflow-state'
import type * as context from './context.js'
import * as runLabels from './runLabels.js'
import type * as runProgress from './runProgress.js'

const FULL_PERCENT = 100

export interface LocalityDecisionsOptions {
  readonly ctx: context.TermContext
  readonly durations: scheduling.Durations
  readonly progress: Pick<runProgress.RunProgress, 'get'>
}

const logWait =
  ({ options: { logger } }: context.TermContext) =>
  ({ step, racks, expectedWaitMs, lossMs, boundMs }: scheduling.StartedWait): void => {
    logger.info('step waits for its rack', {
      step: `${step.job.spec.id}.${step.occurrence}.${step.index}`,
      queue: step.job.queue.name,
      rack: racks.join(' '),
      tasks: step.waitingCount,
      expectedWaitMs: Math.round(expectedWaitMs),
      lossMs: Math.round(lossMs),
      boundMs: Math.round(boundMs),
    })
  }

/**
 * How many times as long a task of the step takes in a rack; 1 if the part is off. Durations are learned without this
 * factor: with it, tasks on remote workers would make all runs of their image seem longer and waits more worthwhile.
 */
export const slowdownOf = (
  { options }: context.TermContext,
  { spec }: workflowState.StepView,
  rack: string | undefined,
): number => {
  const { localityWait = false, remoteFactor = 1 } = options.scheduling ?? {}
  const isRemote = rack !== undefined && spec.dataRack !== '' && spec.dataRack !== rack
  return localityWait && isRemote ? remoteFactor : 1
}

/** Creates the waits of a term; undefined if the part is off or a remote run loses no time. */
export const createLocalityDecisions = (
  options: LocalityDecisionsOptions,
): scheduling.LocalityWaits | undefined => {
  const { ctx, durations, progress } = options
  const { localityWait = false, remoteFactor = 1 } = ctx.options.scheduling ?? {}
  if (!localityWait || remoteFactor <= 1) return undefined

  const waits = scheduling.createLocalityWaits({
    remoteFactor,
    nowMs: ctx.nowMs,
    onWait: logWait(ctx),
    remainingMs: (active) => {
      const last = progress.get(runLabels.runOf(active))
      if (last === undefined) return durations.expect(active.step)
      if (last.pacePercent <= 0) return Number.POSITIVE_INFINITY
      const workedMs = ctx.nowMs() - last.startedMs
      const fullSpeedMs = durations.remainingMs(active.step, workedMs, last.percent)
      return fullSpeedMs / (last.pacePercent / FULL_PERCENT)
    },
  })

  return {
    ...waits,
    recordPlan: (step, counts) => {
      const before = waits.totals()
      waits.recordPlan(step, counts)
      const after = waits.totals()
      ctx.work.count('localityNear', after.decisions.near - before.decisions.near)
      ctx.work.count('localityRemote', after.decisions.remote - before.decisions.remote)
      ctx.work.count('localityWait', after.decisions.wait - before.decisions.wait)
      ctx.work.count('localityWaitedMs', after.waitedMs - before.waitedMs)
    },
    decide: (step, question) => {
      const before = waits.totals().waits
      const decision = waits.decide(step, question)
      ctx.work.count('localityWaits', waits.totals().waits - before)
      return decision
    },
  }
}
