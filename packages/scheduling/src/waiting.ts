/** Tasks waiting for a worker: missing runners of services and waiting tasks of jobs. */
import * as controlState from '@ebonyweir/control-state'

/** A waiting task with the properties of its owner that placement needs. */
export interface WaitingTask {
  readonly task: string
  readonly attempt: number
  /** Job, or "service/<name>". */
  readonly subject: string
  readonly names: controlState.placement.MatchNames
  readonly resources: controlState.Resources
  readonly failedOn: string
  readonly job: controlState.JobView | undefined
  readonly service: controlState.ServiceView | undefined
}

/** An accelerator counts as 8 cores and 4 GiB of memory as 1 core, to make resource use comparable. */
const CPU_MILLIS_PER_ACCELERATOR = 8_000
const MEMORY_MB_PER_CORE = 4_096
const CPU_MILLIS_PER_CORE = 1_000

/** Resources as a single size, in thousandths of a core. */
export const cpuEquivalentOf = (resources: controlState.Resources): number =>
  resources.cpuMillis +
  resources.accelerators * CPU_MILLIS_PER_ACCELERATOR +
  (resources.memoryMb / MEMORY_MB_PER_CORE) * CPU_MILLIS_PER_CORE

export function* waitingRunners(service: controlState.ServiceView): Generator<WaitingTask> {
  const { rule } = service
  if (rule === undefined) return
  let missing = rule.runners - service.activeRunners
  for (let number = 0; missing > 0 && number < 2 * rule.runners; number += 1) {
    const known = service.tasks.get(number)
    if (known !== undefined && known.worker !== '') continue
    missing -= 1
    yield {
      task: controlState.taskId.serviceTaskId(service.service, number),
      attempt: known?.attempt ?? 1,
      subject: `service/${service.service}`,
      names: [service.service],
      resources: rule.resources,
      failedOn: known?.failedOn ?? '',
      job: undefined,
      service,
    }
  }
}

const batchTask = (
  view: controlState.ControlView,
  job: controlState.JobView,
  number: number,
): WaitingTask => {
  const task = controlState.taskId.batchTaskId(job.job, number)
  const known = view.task(task)
  return {
    task,
    attempt: known?.attempt ?? 1,
    subject: job.job,
    names: [job.job, job.kind],
    resources: job.resources,
    failedOn: known?.failedOn ?? '',
    job,
    service: undefined,
  }
}

/** Evicted and failed tasks first, then tasks that were never assigned. */
export function* waitingTasks(
  view: controlState.ControlView,
  job: controlState.JobView,
): Generator<WaitingTask> {
  for (const number of job.waiting) yield batchTask(view, job, number)
  for (let number = job.nextFresh; number < job.tasks; number += 1)
    yield batchTask(view, job, number)
}

/** Number of jobs at the head of a queue that are tried in every decision. */
const MAX_HEAD_JOBS = 200

/** Number of further jobs tried per decision, continuing where the previous decision stopped. */
const MAX_ROTATING_JOBS = 200

export interface QueueCursor {
  /** Jobs of the queue to try in this decision, without duplicates. */
  readonly take: (queue: ReadonlySet<controlState.JobView>) => Generator<controlState.JobView>
}

/** Bounds the jobs tried per decision without letting jobs at the head block the others. */
export const createQueueCursor = (): QueueCursor => {
  let rotation: Iterator<controlState.JobView> | undefined

  function* take(queue: ReadonlySet<controlState.JobView>): Generator<controlState.JobView> {
    const seen = new Set<controlState.JobView>()
    for (const job of queue) {
      if (seen.size >= MAX_HEAD_JOBS) break
      seen.add(job)
      yield job
    }
    if (queue.size <= seen.size) return
    rotation ??= queue.values()
    for (let tried = 0; tried < MAX_ROTATING_JOBS; tried += 1) {
      const next = rotation.next()
      if (next.done === true) {
        rotation = undefined
        return
      }
      if (!seen.has(next.value)) yield next.value
    }
  }

  return { take }
}
