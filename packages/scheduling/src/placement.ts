/** One placement round: runners, then urgent tasks, then normal tasks by weighted team share. */
import * as controlState from '@ebonyweir/control-state'
import type * as placers from './placers.js'
import type * as plans from './plan.js'
import type * as options from './options.js'
import type * as preemption from './preemption.js'
import type * as unplaced from './unplaced.js'
import * as waiting from './waiting.js'

/**
 * Time an urgent task waits for reserved capacity before tasks are evicted for it. Eviction,
 * checkpoint and start take up to 4 s more of the 10 s within which urgent tasks must start.
 */
const URGENT_EVICTION_DELAY_MS = 4_000

export interface PlacementDependencies {
  readonly resolved: options.ResolvedSchedulerOptions
  readonly placer: placers.Placer
  readonly unplacedReports: unplaced.UnplacedReports
  readonly preemptor: preemption.Preemptor
  readonly cursorOf: (queue: string) => waiting.QueueCursor
}

type Result = 'placed' | 'blocked'

export const runPlacement = (plan: plans.Plan, dependencies: PlacementDependencies): void => {
  const { view } = plan
  const { resolved, placer, unplacedReports, preemptor, cursorOf } = dependencies
  /** Task shapes for which no worker was found in this round. */
  const blockedShapes = new Set<string>()
  const isFull = (): boolean => plan.assignments.length >= resolved.maxAssignments

  const shapeOf = ({ resources, job }: waiting.WaitingTask): string => {
    const { cpuMillis, memoryMb, accelerators } = resources
    return `${cpuMillis}/${memoryMb}/${accelerators}/${job?.kind ?? ''}`
  }

  const place = (task: waiting.WaitingTask): Result => {
    const worker = placer.choose(plan, task)
    if (worker === undefined) return 'blocked'
    plan.assign(worker, task)
    return 'placed'
  }

  const placeRunners = (service: controlState.ServiceView): void => {
    let missing = 0
    let first: waiting.WaitingTask | undefined
    for (const task of waiting.waitingRunners(service)) {
      if (isFull()) return
      if (first === undefined && unplacedReports.isUnplaceable(plan, task)) return
      if (missing === 0 && place(task) === 'placed') continue
      first ??= task
      missing += 1
    }
    if (first === undefined) return
    unplacedReports.record(plan, first)
    if (resolved.parts.preemption) preemptor.reserveCapacity(plan, first, missing, true)
  }

  const hasQuota = (job: controlState.JobView): boolean => {
    const rule = view.rules().teams.get(job.team)
    if (rule === undefined) return view.rules().teams.size === 0
    const used = controlState.addResources(plan.teamUse(job.team), job.resources)
    return controlState.fits(used, rule.quota)
  }

  const reportQuota = (task: waiting.WaitingTask, job: controlState.JobView): void => {
    const rule = view.rules().teams.get(job.team)
    unplacedReports.record(plan, task, { reason: 'waits for team quota', never: false, rule })
  }

  /** Places the job's next task; `blocked` if the job cannot continue in this round. */
  const placeNext = (job: controlState.JobView, tasks: Iterator<waiting.WaitingTask>): Result => {
    const next = tasks.next()
    if (next.done === true) return 'blocked'
    const task = next.value
    if (unplacedReports.isUnplaceable(plan, task)) return 'blocked'
    if (!hasQuota(job)) {
      reportQuota(task, job)
      return 'blocked'
    }
    const shape = shapeOf(task)
    // A retried task avoids the worker it failed on, so its result does not apply to the shape.
    const isBlocked = task.failedOn === '' && blockedShapes.has(shape)
    if (!isBlocked && place(task) === 'placed') {
      unplacedReports.clear(task.subject)
      return 'placed'
    }
    if (task.failedOn === '') blockedShapes.add(shape)
    const sinceMs = unplacedReports.record(plan, task)
    const isDue = plan.nowMs - sinceMs >= URGENT_EVICTION_DELAY_MS
    if (job.urgent && resolved.parts.preemption) preemptor.reserveCapacity(plan, task, 1, isDue)
    return 'blocked'
  }

  interface TeamQueue {
    readonly team: string
    readonly weight: number
    readonly jobs: Iterator<controlState.JobView>
    current: { job: controlState.JobView; tasks: Iterator<waiting.WaitingTask> } | undefined
  }

  const shareOf = (queue: TeamQueue): number =>
    waiting.cpuEquivalentOf(plan.teamUse(queue.team)) / Math.max(0.01, queue.weight)

  const nextQueue = (queues: Set<TeamQueue>): TeamQueue | undefined => {
    let best: TeamQueue | undefined
    let bestShare = Number.POSITIVE_INFINITY
    for (const queue of queues) {
      const share = shareOf(queue)
      if (share >= bestShare) continue
      best = queue
      bestShare = share
    }
    return best
  }

  const step = (queue: TeamQueue): boolean => {
    if (queue.current === undefined) {
      const next = queue.jobs.next()
      if (next.done === true) return false
      queue.current = { job: next.value, tasks: waiting.waitingTasks(view, next.value) }
    }
    const { job, tasks } = queue.current
    if (placeNext(job, tasks) === 'blocked') queue.current = undefined
    return true
  }

  const placeQueues = (kind: 'urgent' | 'normal'): void => {
    blockedShapes.clear()
    const queues = new Set<TeamQueue>()
    for (const [team, { [kind]: jobs }] of view.teams()) {
      if (jobs.size === 0) continue
      const weight = view.rules().teams.get(team)?.weight ?? 1
      const cursor = cursorOf(`${kind}/${team}`)
      queues.add({ team, weight, jobs: cursor.take(jobs), current: undefined })
    }
    while (!isFull()) {
      const queue = nextQueue(queues)
      if (queue === undefined) return
      if (!step(queue)) queues.delete(queue)
    }
  }

  for (const service of view.underprovisionedServices()) placeRunners(service)
  placeQueues('urgent')
  preemptor.releaseUnrequested(plan)
  placeQueues('normal')
}
