/** Reports on tasks that cannot be placed, with the rule that causes it and since when they wait. */
import * as controlState from '@ebonyweir/control-state'
import type * as plans from './plan.js'
import type * as types from './types.js'
import type * as waiting from './waiting.js'

/** Maximum number of reports; the oldest are dropped first. */
const MAX_REPORTS = 1_000

interface Finding {
  readonly reason: types.UnplacedReason
  readonly never: boolean
  readonly rule: controlState.RuleSource | undefined
}

export interface UnplacedReports {
  /** Whether the task can never run with the current rules and workers; records the reason. */
  readonly isUnplaceable: (plan: plans.Plan, task: waiting.WaitingTask) => boolean
  /** Records a finding; returns the time since which the subject waits. */
  readonly record: (plan: plans.Plan, task: waiting.WaitingTask, finding?: Finding) => number
  readonly clear: (subject: string) => void
  readonly sinceMs: (subject: string) => number | undefined
  /** Current reports; those of subjects that no longer wait are dropped. */
  readonly list: (view: controlState.ControlView) => readonly types.Unplaced[]
}

const WAITING_FOR_CAPACITY: Finding = {
  reason: 'waits for capacity',
  never: false,
  rule: undefined,
}

const quotaFinding = (plan: plans.Plan, job: controlState.JobView): Finding | undefined => {
  const { teams } = plan.view.rules()
  const rule = teams.get(job.team)
  if (teams.size === 0) return undefined
  if (rule === undefined) return { reason: 'team has no rule', never: true, rule }
  if (controlState.fits(job.resources, rule.quota)) return undefined
  return { reason: 'team quota is too small for one task', never: true, rule }
}

const capacityFinding = (plan: plans.Plan, task: waiting.WaitingTask): Finding | undefined => {
  const set = plan.view.rules()
  const classes = [...plan.view.capacityClasses()].filter(({ workers }) => workers > 0)
  const large = classes.filter(({ capacity }) => controlState.fits(task.resources, capacity))
  if (classes.length === 0) return undefined
  if (large.length === 0)
    return { reason: 'larger than every worker', never: true, rule: task.service?.rule }
  const refusals = large.map(({ failureDomain }) =>
    controlState.placement.placementRefusal(set, task.names, failureDomain),
  )
  if (refusals.some((rule) => rule === undefined)) return undefined
  return { reason: 'placement rule leaves no worker', never: true, rule: refusals[0] }
}

/** Reason why the task can never run; undefined if it can. */
export const findPermanentReason = (
  plan: plans.Plan,
  task: waiting.WaitingTask,
): Finding | undefined =>
  (task.job === undefined ? undefined : quotaFinding(plan, task.job)) ?? capacityFinding(plan, task)

export const createUnplacedReports = (): UnplacedReports => {
  const reports = new Map<string, types.Unplaced>()
  const unplaceableVersions = new Map<string, string>()

  /** Version of the state that a finding depends on. */
  const versionOf = (view: controlState.ControlView): string =>
    `${view.revision()}/${view.classesVersion()}`

  const record: UnplacedReports['record'] = (plan, task, finding = WAITING_FOR_CAPACITY) => {
    const { subject } = task
    const sinceMs = reports.get(subject)?.sinceMs ?? plan.nowMs
    reports.set(subject, { subject, ...finding, sinceMs })
    for (const oldest of reports.keys()) {
      if (reports.size <= MAX_REPORTS) break
      reports.delete(oldest)
      unplaceableVersions.delete(oldest)
    }
    return sinceMs
  }

  const isUnplaceable: UnplacedReports['isUnplaceable'] = (plan, task) => {
    const version = versionOf(plan.view)
    if (unplaceableVersions.get(task.subject) === version) return true
    unplaceableVersions.delete(task.subject)
    if (reports.get(task.subject)?.never === true) reports.delete(task.subject)
    const finding = findPermanentReason(plan, task)
    if (finding === undefined) return false
    unplaceableVersions.set(task.subject, version)
    record(plan, task, finding)
    return true
  }

  const clear = (subject: string): void => {
    reports.delete(subject)
  }

  const isWaiting = (view: controlState.ControlView, subject: string): boolean => {
    const [first = '', second = ''] = subject.split('/')
    if (first === 'service') {
      const service = view.service(second)
      return service !== undefined && view.underprovisionedServices().has(service)
    }
    const job = view.job(first)
    return job?.state === 'active' && (job.waiting.size > 0 || job.nextFresh < job.tasks)
  }

  const list: UnplacedReports['list'] = (view) => {
    for (const subject of reports.keys()) {
      if (isWaiting(view, subject)) continue
      reports.delete(subject)
      unplaceableVersions.delete(subject)
    }
    return [...reports.values()]
  }

  return {
    isUnplaceable,
    record,
    clear,
    list,
    sinceMs: (subject) => reports.get(subject)?.sinceMs,
  }
}
