/** Keys of tasks and worker incarnations. */
import type * as protocol from '@ebonyweir/protocol'

/** Identifies a task across its runs. */
export type TaskIdentity = Omit<protocol.workflow.TaskRun, 'run'>

/** Key of a task, the same for all of its runs. */
export const taskKey = ({ job, occurrence, step, index }: TaskIdentity): string =>
  `${job}.${occurrence}.${step}.${index}`

/** Key of one run of a task. */
export const runKey = (run: protocol.workflow.TaskRun): string => `${taskKey(run)}#${run.run}`

/** Key of one incarnation of a worker; a restarted worker keeps its id. */
export const workerKey = ({
  id,
  bornMs,
}: Pick<protocol.workflow.WorkerIdentity, 'id' | 'bornMs'>): string => `${id}@${bornMs}`
