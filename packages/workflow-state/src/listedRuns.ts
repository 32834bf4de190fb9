/** What a worker's list tells about single runs. */
import type * as protocol from '@ebonyweir/protocol'
import * as keys from './keys.js'

/** State of one run according to a list. */
export type ListedState =
  | 'running'
  /** The worker holds the end of the run until it is acknowledged. */
  | 'ended'
  /** The run is not active at the worker, and its end is not waiting there. */
  | 'absent'
  /** The run is not active at the worker; its end may be among those that the list does not contain. */
  | 'unknown'

/** A worker's list of active runs, and of the first ends that are not acknowledged. */
export interface RunLists {
  readonly running: readonly protocol.workflow.RunningTask[]
  readonly ended: readonly protocol.workflow.ListedEnd[]
  /** Whether the worker may hold ends after the listed ones. */
  readonly hasMoreEnds: boolean
}

export interface ListedRuns {
  /** Active runs by run key. */
  readonly running: ReadonlyMap<string, protocol.workflow.RunningTask>
  /** State of the run with a run key. */
  readonly stateOf: (key: string) => ListedState
}

export const createListedRuns = ({ running, ended, hasMoreEnds }: RunLists): ListedRuns => {
  const runningByKey = new Map(
    running.flatMap((task) => (task.run ? [[keys.runKey(task.run), task]] : [])),
  )
  const endedKeys = new Set(ended.flatMap(({ end }) => (end?.run ? [keys.runKey(end.run)] : [])))
  const unlistedState = hasMoreEnds ? 'unknown' : 'absent'
  return {
    running: runningByKey,
    stateOf: (key) => {
      if (runningByKey.has(key)) return 'running'
      return endedKeys.has(key) ? 'ended' : unlistedState
    },
  }
}

/** Stands for the list of a worker that has sent none. */
export const NO_LISTED_RUNS: ListedRuns = createListedRuns({
  running: [],
  ended: [],
  hasMoreEnds: true,
})
