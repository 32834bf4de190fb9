/** Runs whose ends are being committed. */
import type * as protocol from '@ebonyweir/protocol'
import * as workflowState from '@ebonyweir/workflow-state'

type RunEnds = readonly Pick<protocol.workflow.RunEnd, 'run'>[]

export interface PendingEndCommits {
  readonly add: (ends: RunEnds) => void
  readonly remove: (ends: RunEnds) => void
  readonly has: (run: protocol.workflow.TaskRun) => boolean
}

/** Counts pending commits per run, since an end that is reported again is proposed again. */
export const createPendingEndCommits = (): PendingEndCommits => {
  const counts = new Map<string, number>()

  const change = (ends: RunEnds, by: 1 | -1): void => {
    for (const { run } of ends) {
      if (run === undefined) continue
      const key = workflowState.runKey(run)
      const count = (counts.get(key) ?? 0) + by
      if (count === 0) counts.delete(key)
      else counts.set(key, count)
    }
  }

  return {
    add: (ends) => {
      change(ends, 1)
    },
    remove: (ends) => {
      change(ends, -1)
    },
    has: (run) => counts.has(workflowState.runKey(run)),
  }
}
