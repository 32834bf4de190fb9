/** Periodic commands of the leader: opens due occurrences and forgets jobs whose retention time is over. */
import type * as protocol from '@ebonyweir/protocol'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import type * as workflowState from '@ebonyweir/workflow-state'
import type * as context from './context.js'

/** Due occurrences of recurring jobs that are not open yet, at most one for each job. */
export const dueOccurrences = (
  jobs: Iterable<workflowState.JobView>,
  nowMs: number,
): readonly protocol.workflow.TaskRun[] => {
  const due: protocol.workflow.TaskRun[] = []
  for (const job of jobs) {
    const { repetitions, id } = job.spec
    if (job.phase !== 'active' || job.openedCount >= repetitions) continue
    if (nowMs < scheduling.dueMs(job, job.openedCount)) continue
    due.push({ job: id, occurrence: job.openedCount, step: 0, index: 0, run: 0 })
  }
  return due
}

/** Jobs that ended more than `retentionMs` ago. */
export const expiredJobs = (
  jobs: Iterable<workflowState.JobView>,
  nowMs: number,
  retentionMs: number,
): readonly string[] => {
  const old: string[] = []
  for (const job of jobs) {
    if (job.phase !== 'active' && nowMs - job.endedMs > retentionMs) old.push(job.spec.id)
  }
  return old
}

/** State is kept for twice the configured time, since the leader's time of day may jump. */
const RETENTION_FACTOR = 2

/** Proposes the commands that are due. */
export const runHousekeeping = async (
  ctx: context.ControlContext,
  onChange: () => void,
): Promise<void> => {
  if (ctx.leadingTerm() === undefined) return
  const now = Date.now()
  const occurrences = dueOccurrences(ctx.view.jobs.values(), now)
  if (occurrences.length > 0) {
    await ctx.propose({ $case: 'occurrences', value: { occurrences } })
    onChange()
  }
  const retentionMs = RETENTION_FACTOR * ctx.options.statusRetentionMs
  const jobs = expiredJobs(ctx.view.jobs.values(), now, retentionMs)
  if (jobs.length > 0) await ctx.propose({ $case: 'forget', value: { jobs } })
}
