/**
 * State machine of a control group: configuration, evacuated failure domains, jobs and the runs of their tasks.
 * Applying the same commands in the same order gives the same state on every replica.
 */
import * as protocol from '@ebonyweir/protocol'
import * as assignments from './assignments.js'
import * as ends from './ends.js'
import * as evacuations from './evacuations.js'
import * as loadTrackers from './loadTracker.js'
import * as records from './records.js'
import * as snapshots from './snapshot.js'
import type * as types from './types.js'

type Command = protocol.workflow.WorkflowCommand

/** State shared by the command handlers. */
export interface StateContext {
  configuration: protocol.workflow.QueueConfiguration | undefined
  readonly evacuated: Set<string>
  readonly evacuationRevisions: Map<string, number>
  readonly jobs: Map<string, records.JobRecord>
  readonly readySteps: Set<records.StepRecord>
  readonly loadTracker: loadTrackers.LoadTracker
}

export interface WorkflowState {
  readonly view: types.WorkflowView
  readonly apply: (command: Command) => types.Outcome
  readonly snapshot: () => Uint8Array
  /** Replaces the state; throws on a snapshot of a newer format. */
  readonly restore: (bytes: Uint8Array) => void
}

/** Adds a step to `readySteps` or removes it, after its tasks, its job or one of its dependencies changed. */
export const updateReadySteps = (context: StateContext, step: records.StepRecord): void => {
  const isReady = step.job.phase === 'active' && step.blockedBy === 0 && step.waitingCount > 0
  if (isReady) context.readySteps.add(step)
  else context.readySteps.delete(step)
}

/** Ends a job; runs that are still active keep their resources until their ends are recorded. */
export const endJob = (
  context: StateContext,
  job: records.JobRecord,
  phase: Exclude<types.JobPhase, 'active'>,
  nowMs: number,
): void => {
  job.phase = phase
  job.endedMs = nowMs
  for (const occurrence of job.occurrences.values()) {
    for (const step of occurrence.steps) context.readySteps.delete(step)
  }
}

const configure = (
  context: StateContext,
  configuration: protocol.workflow.QueueConfiguration,
): types.Outcome => {
  const isNewer = configuration.version > (context.configuration?.version ?? -1)
  if (isNewer) context.configuration = configuration
  return { kind: 'configured', inForce: isNewer }
}

const openNextOccurrence = (context: StateContext, job: records.JobRecord): void => {
  const occurrence = records.openOccurrence(job)
  for (const step of occurrence.steps) updateReadySteps(context, step)
}

const submit = (
  context: StateContext,
  { spec, queue, callerDomain }: protocol.workflow.SubmitJob,
  nowMs: number,
): types.Outcome => {
  if (spec === undefined || queue === undefined) throw new Error('a submit command is incomplete')
  if (context.jobs.has(spec.id)) return { kind: 'submitted', repeated: true }
  const job = records.createJob(spec, queue, nowMs, callerDomain)
  context.jobs.set(spec.id, job)
  if (spec.repetitions === 0) openNextOccurrence(context, job)
  return { kind: 'submitted', repeated: false }
}

const cancel = (context: StateContext, id: string, nowMs: number): types.Outcome => {
  const job = context.jobs.get(id)
  if (job === undefined) return { kind: 'cancelled', found: false }
  if (job.phase === 'active') endJob(context, job, 'cancelled', nowMs)
  return { kind: 'cancelled', found: true }
}

const openOccurrences = (
  context: StateContext,
  occurrences: readonly protocol.workflow.TaskRun[],
): types.Outcome => {
  for (const { job: id, occurrence } of occurrences) {
    const job = context.jobs.get(id)
    if (job?.phase !== 'active' || job.openedCount !== occurrence) continue
    if (occurrence < records.occurrenceCount(job)) openNextOccurrence(context, job)
  }
  return { kind: 'applied' }
}

const hasActiveRuns = (job: records.JobRecord): boolean =>
  [...job.occurrences.values()].some(({ steps }) => steps.some((step) => step.assignedCount > 0))

const forget = (context: StateContext, ids: readonly string[]): types.Outcome => {
  for (const id of ids) {
    const job = context.jobs.get(id)
    if (job === undefined || job.phase === 'active' || hasActiveRuns(job)) continue
    context.jobs.delete(id)
  }
  return { kind: 'applied' }
}

export const createWorkflowState = (): WorkflowState => {
  const context: StateContext = {
    configuration: undefined,
    evacuated: new Set(),
    evacuationRevisions: new Map(),
    jobs: new Map(),
    readySteps: new Set(),
    loadTracker: loadTrackers.createLoadTracker(),
  }

  const apply: WorkflowState['apply'] = ({ body, nowMs }) => {
    switch (body?.$case) {
      case 'configure':
        return configure(context, body.value)
      case 'evacuation':
        return evacuations.setEvacuation(context, body.value)
      case 'submit':
        return submit(context, body.value, nowMs)
      case 'cancel':
        return cancel(context, body.value.job, nowMs)
      case 'assign':
        return assignments.assign(context, body.value)
      case 'ends':
        return ends.recordEnds(context, body.value, nowMs)
      case 'occurrences':
        return openOccurrences(context, body.value.occurrences)
      case 'forget':
        return forget(context, body.value.jobs)
      // A command without a body is a barrier: its commit proves that everything before it is applied.
      case undefined:
        return { kind: 'applied' }
    }
  }

  return {
    view: {
      get configuration() {
        return context.configuration
      },
      evacuated: context.evacuated,
      evacuationRevisions: context.evacuationRevisions,
      jobs: context.jobs,
      readySteps: context.readySteps,
      loads: context.loadTracker.loads,
    },
    apply,
    snapshot: () => snapshots.encode(context),
    restore: (bytes) => {
      snapshots.restore(context, bytes)
    },
  }
}
