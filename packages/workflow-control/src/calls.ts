/** Handlers for the calls of entries and operators. Only the leader answers them. */
import * as protocol from '@ebonyweir/protocol'
import type * as replica from '@ebonyweir/replica'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as workflowState from '@ebonyweir/workflow-state'
import type * as context from './context.js'
import * as jobExplanation from './jobExplanation.js'

const { CallOutcome, JobState } = protocol.workflow

type CallReply = protocol.workflow.CallReply

export interface CallHandlers {
  readonly submit: (request: protocol.workflow.SubmitRequest) => Promise<CallReply>
  readonly cancel: (request: protocol.workflow.JobQuery) => Promise<CallReply>
  readonly inspect: (request: protocol.workflow.JobQuery) => protocol.workflow.JobReply
  readonly countPending: (request: protocol.workflow.JobQuery) => protocol.workflow.PendingReply
  /** Explains where the tasks of a job would be placed now; the job is not submitted. */
  readonly explain: (request: protocol.workflow.SubmitRequest) => protocol.workflow.ExplainReply
  readonly configure: (request: protocol.workflow.QueueConfiguration) => Promise<CallReply>
  readonly readConfiguration: () => Promise<protocol.workflow.ConfigurationReply>
  /** Gives a ticket for an order that its sender still waits for. */
  readonly prepareEvacuation: (
    request: protocol.workflow.EvacuationQuery,
  ) => protocol.workflow.EvacuationReply
  readonly evacuate: (request: protocol.workflow.SetEvacuation) => Promise<CallReply>
  readonly contact: () => protocol.workflow.ContactReply
}

export interface CallOptions {
  /** Called after a command was applied that may make tasks ready or end runs. */
  readonly onChange: () => void
  /** Whether a worker has reported a run of the job. */
  readonly hasStarted: (job: string) => boolean
  /** Lines about the placement of a job; undefined without a term. @default none */
  readonly explain?: (job: workflowState.JobView) => readonly string[] | undefined
  /** Decides on the submission of a job that is not open. @default accepts until too many jobs are open */
  readonly admit?: (request: scheduling.AdmissionRequest) => scheduling.Admission
}

const jobStates: Readonly<Record<workflowState.JobPhase, protocol.workflow.JobState>> = {
  active: JobState.QUEUED,
  completed: JobState.STATE_COMPLETED,
  failed: JobState.STATE_FAILED,
  cancelled: JobState.STATE_CANCELLED,
}

const stateOf = (job: workflowState.JobView): protocol.workflow.JobState =>
  job.phase === 'active' && job.hasRun ? JobState.RUNNING : jobStates[job.phase]

const isDefinitelyRefused = (error: replica.ProposeError): boolean =>
  error.kind === 'overloaded' || error.kind === 'too-large'

/** Rounds a number for a log line. */
const rounded2 = (value: number): number => Math.round(value * 100) / 100

/** Admission while no term decides. */
const acceptAll = (
  ctx: Pick<context.ControlContext, 'view' | 'nowMs'>,
): NonNullable<CallOptions['admit']> => {
  const policy = scheduling.createAcceptAll()
  return (request) => policy.decide(request, { view: ctx.view }, ctx.nowMs())
}

export const createCallHandlers = (
  ctx: context.ControlContext,
  { onChange, hasStarted, explain = () => undefined, admit = acceptAll(ctx) }: CallOptions,
): CallHandlers => {
  const { logger } = ctx.options

  const reply = (
    outcome: protocol.workflow.CallOutcome,
    fields: Partial<CallReply> = {},
  ): CallReply => ({ outcome, hint: ctx.hint(), retryAfterMs: 0, detail: '', ...fields })

  const notLeading = (): CallReply => reply(CallOutcome.NOT_LEADING)

  const proposeFailure = (error: replica.ProposeError): CallReply => {
    if (error.kind === 'not-leader') return notLeading()
    if (isDefinitelyRefused(error)) return reply(CallOutcome.OVERLOADED, { detail: error.kind })
    return reply(CallOutcome.UNKNOWN, { detail: 'leadership was lost before the commit' })
  }

  const queueFor = (host: string, path: string): protocol.workflow.Queue | undefined =>
    ctx.view.configuration && workflowState.findQueue(ctx.view.configuration, host, path)

  /** Commits a command and calls `onChange`. */
  const commit = async (body: context.CommandBody | undefined): Promise<CallReply> => {
    const result = await ctx.propose(body)
    if (result.isErr()) return proposeFailure(result.error)
    onChange()
    return reply(CallOutcome.OK)
  }

  const logRefusal = (
    { id }: protocol.workflow.JobSpec,
    queue: protocol.workflow.Queue,
    { reason, detail, retryAfterMs, inputs }: scheduling.Admission & { readonly kind: 'refused' },
  ): void => {
    const values: readonly (readonly [string, number])[] = Object.entries(inputs ?? {})
    const rounded = values.map(([name, value]) => [name, rounded2(value)] as const)
    logger.info('job refused', {
      job: id,
      queue: queue.name,
      reason,
      detail,
      retryAfterMs: Math.ceil(retryAfterMs),
      ...Object.fromEntries(rounded),
    })
  }

  /** Number of pending commits of each job that is submitted. */
  const pendingSubmissions = new Map<string, number>()

  const commitSubmission = async (request: scheduling.AdmissionRequest): Promise<CallReply> => {
    const { spec } = request
    pendingSubmissions.set(spec.id, (pendingSubmissions.get(spec.id) ?? 0) + 1)
    const answer = await commit({ $case: 'submit', value: request })
    const left = (pendingSubmissions.get(spec.id) ?? 0) - 1
    if (left > 0) pendingSubmissions.set(spec.id, left)
    else pendingSubmissions.delete(spec.id)
    return answer
  }

  const submit: CallHandlers['submit'] = async ({ host, path, spec, callerDomain }) => {
    if (ctx.leadingTerm() === undefined) return notLeading()
    if (ctx.view.configuration === undefined) return reply(CallOutcome.UNCONFIGURED)
    if (spec === undefined) return reply(CallOutcome.INVALID, { detail: 'the job is missing' })
    // An accepted job stays accepted even if its queue has been removed.
    if (ctx.view.jobs.has(spec.id)) return reply(CallOutcome.OK)
    const queue = queueFor(host, path)
    if (queue === undefined) return reply(CallOutcome.NO_QUEUE)
    const checked = workflowState.checkJobSpec(spec)
    if (checked.isErr()) return reply(CallOutcome.INVALID, { detail: checked.error })
    const request = { spec, queue, callerDomain }
    // Another entry may have submitted the job, and a refusal would be false once that commit succeeds.
    if (!pendingSubmissions.has(spec.id)) {
      const admission = admit(request)
      if (admission.kind === 'refused') {
        logRefusal(spec, queue, admission)
        const { retryAfterMs, detail } = admission
        return reply(CallOutcome.OVERLOADED, { retryAfterMs: Math.ceil(retryAfterMs), detail })
      }
    }
    const answer = await commitSubmission(request)
    const { version } = ctx.view.configuration
    logger.info('job submitted', {
      job: spec.id,
      queue: queue.name,
      version,
      outcome: answer.outcome,
    })
    return answer
  }

  const cancel: CallHandlers['cancel'] = async ({ job, host, path }) => {
    if (ctx.leadingTerm() === undefined) return notLeading()
    if (!ctx.view.jobs.has(job)) {
      return reply(queueFor(host, path) === undefined ? CallOutcome.NO_QUEUE : CallOutcome.NO_JOB)
    }
    const answer = await commit({ $case: 'cancel', value: { job } })
    logger.info('job cancelled', { job, outcome: answer.outcome })
    return answer
  }

  const inspect: CallHandlers['inspect'] = ({ job: id, host, path }) => {
    const state = JobState.QUEUED
    if (ctx.leadingTerm() === undefined) return { reply: notLeading(), state }
    const job = ctx.view.jobs.get(id)
    if (job !== undefined) return { reply: reply(CallOutcome.OK), state: stateOf(job) }
    const known = queueFor(host, path) !== undefined
    return { reply: reply(known ? CallOutcome.NO_JOB : CallOutcome.NO_QUEUE), state }
  }

  const countPending: CallHandlers['countPending'] = ({ host, path }) => {
    if (ctx.leadingTerm() === undefined) return { reply: notLeading(), pending: 0 }
    if (ctx.view.configuration === undefined) {
      return { reply: reply(CallOutcome.UNCONFIGURED), pending: 0 }
    }
    const queue = queueFor(host, path)
    if (queue === undefined) return { reply: reply(CallOutcome.NO_QUEUE), pending: 0 }
    let pending = 0
    for (const job of ctx.view.jobs.values()) {
      const isPending = job.phase === 'active' && job.queue.name === queue.name
      if (isPending && !hasStarted(job.spec.id)) pending += 1
    }
    return { reply: reply(CallOutcome.OK), pending }
  }

  /** Newest version whose commit is pending. */
  let proposedVersion = -1

  const isInEffect = ({ version }: protocol.workflow.QueueConfiguration): boolean =>
    version <= (ctx.view.configuration?.version ?? -1)

  /**
   * Commits a configuration. Callers resend it until it is acknowledged, and it can have some hundred kilobytes. The state
   * machine ignores a version that is not newer, so a command without a body confirms such a version as well.
   */
  const commitConfiguration = async (
    configuration: protocol.workflow.QueueConfiguration,
  ): Promise<CallReply> => {
    const { version } = configuration
    if (isInEffect(configuration) || version <= proposedVersion) {
      const confirmed = await commit(undefined)
      // The pending commit may have been refused.
      if (confirmed.outcome !== CallOutcome.OK || isInEffect(configuration)) return confirmed
    }
    proposedVersion = Math.max(proposedVersion, version)
    const answer = await commit({ $case: 'configure', value: configuration })
    if (proposedVersion === version) proposedVersion = -1
    return answer
  }

  const configure: CallHandlers['configure'] = async (configuration) => {
    const checked = workflowState.checkConfiguration(configuration)
    if (checked.isErr()) return reply(CallOutcome.INVALID, { detail: checked.error })
    if (ctx.leadingTerm() === undefined) return notLeading()
    const answer = await commitConfiguration(configuration)
    const inForce = ctx.view.configuration?.version
    logger.info('configuration changed', {
      version: configuration.version,
      inForce,
      outcome: answer.outcome,
    })
    return answer
  }

  const readConfiguration: CallHandlers['readConfiguration'] = async () => {
    const none = { version: 0, document: '' }
    if (ctx.leadingTerm() === undefined) return { reply: notLeading(), ...none }
    // The lease check may miss a suspension; a commit after the call proves leadership.
    const result = await ctx.propose(undefined)
    if (result.isErr()) return { reply: notLeading(), ...none }
    const { configuration } = ctx.view
    if (configuration === undefined) return { reply: reply(CallOutcome.UNCONFIGURED), ...none }
    const { version, document } = configuration
    return { reply: reply(CallOutcome.OK), version, document }
  }

  const prepareEvacuation: CallHandlers['prepareEvacuation'] = ({ failureDomain }) => {
    if (ctx.leadingTerm() === undefined) return { reply: notLeading(), ticket: undefined }
    const revision = workflowState.revisionOf(ctx.view.evacuationRevisions, failureDomain)
    return { reply: reply(CallOutcome.OK), ticket: { revision } }
  }

  const evacuate: CallHandlers['evacuate'] = async (request) => {
    if (ctx.leadingTerm() === undefined) return notLeading()
    const { failureDomain, evacuated, ticket } = request
    const result = await ctx.propose({ $case: 'evacuation', value: request })
    let answer = result.isErr() ? proposeFailure(result.error) : reply(CallOutcome.OK)
    if (result.isOk()) onChange()
    if (result.isOk() && result.value.kind === 'evacuation' && !result.value.isInForce) {
      answer = reply(CallOutcome.SUPERSEDED, { detail: 'a later order was carried out' })
    }
    // The logger's own field `failureDomain` is that of the replica.
    logger.info('evacuation changed', {
      changedDomain: failureDomain,
      evacuated,
      revision: ticket?.revision,
      outcome: answer.outcome,
    })
    return answer
  }

  const contact: CallHandlers['contact'] = () => {
    if (ctx.leadingTerm() === undefined) return { reply: notLeading(), limits: undefined }
    const { configuration } = ctx.view
    const outcome = configuration === undefined ? CallOutcome.UNCONFIGURED : CallOutcome.OK
    return { reply: reply(outcome), limits: configuration?.limits }
  }

  return {
    submit,
    cancel,
    inspect,
    countPending,
    explain: jobExplanation.createJobExplanation({ ctx, queueFor, explain }),
    configure,
    readConfiguration,
    prepareEvacuation,
    evacuate,
    contact,
  }
}
