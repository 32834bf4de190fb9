/** First-fit placement in the order of registration: the simple baseline. */
import * as controlState from '@ebonyweir/control-state'
import type * as protocol from '@ebonyweir/protocol'

interface Waiting {
  readonly task: string
  readonly attempt: number
  readonly names: readonly string[]
  readonly resources: controlState.Resources
}

function* waitingRunners(service: controlState.ServiceView): Generator<Waiting> {
  if (service.rule === undefined) return
  let missing = service.rule.runners - service.serving
  for (let number = 0; missing > 0 && number < 2 * service.rule.runners; number += 1) {
    const known = service.tasks.get(number)
    if (known !== undefined && known.worker !== '') continue
    missing -= 1
    const task = controlState.taskId.serviceTaskId(service.service, number)
    const { resources } = service.rule
    yield { task, attempt: known?.attempt ?? 1, names: [service.service], resources }
  }
}

function* waitingTasks(
  view: controlState.ControlView,
  job: controlState.JobView,
): Generator<Waiting> {
  const names = [job.job, job.kind]
  for (const number of job.waiting) {
    const task = controlState.taskId.batchTaskId(job.job, number)
    yield { task, attempt: view.task(task)?.attempt ?? 1, names, resources: job.resources }
  }
  for (let number = job.nextFresh; number < job.tasks; number += 1) {
    const task = controlState.taskId.batchTaskId(job.job, number)
    yield { task, attempt: 1, names, resources: job.resources }
  }
}

function* waitingWork(view: controlState.ControlView): Generator<Waiting> {
  for (const service of view.services()) yield* waitingRunners(service)
  const teams = [...view.teams().values()]
  for (const team of teams) for (const job of team.urgent) yield* waitingTasks(view, job)
  for (const team of teams) for (const job of team.normal) yield* waitingTasks(view, job)
}

/** The first worker that fits each waiting task, in the order of registration. */
export const placeFirstFit = (
  view: controlState.ControlView,
  maxAssignments: number,
): readonly protocol.command.Assignment[] => {
  const taken = new Map<string, controlState.Resources>()
  const assignments: protocol.command.Assignment[] = []
  for (const { task, attempt, names, resources } of waitingWork(view)) {
    if (assignments.length >= maxAssignments) break
    for (const worker of view.workers()) {
      const free = taken.get(worker.worker) ?? worker.free
      const domain = worker.failureDomain
      if (view.isOut(domain) || !controlState.fits(resources, free)) continue
      if (controlState.placement.placementRefusal(view.rules(), names, domain)) continue
      taken.set(worker.worker, controlState.subtractResources(free, resources))
      assignments.push({
        task,
        attempt,
        worker: worker.worker,
        workerIncarnation: worker.incarnation,
      })
      break
    }
  }
  return assignments
}
