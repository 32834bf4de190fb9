import * as protocol from '@ebonyweir/protocol'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as telemetry from '@ebonyweir/telemetry/logger'
import * as workflowState from '@ebonyweir/workflow-state'
import * as results from 'ts-results-es'
import * as vitest from 'vitest'
import * as calls from '../src/calls.js'
import type * as context from '../src/context.js'
import * as workStatistics from '../src/workStatistics.js'

const { describe, expect, it } = vitest
const { CallOutcome } = protocol.workflow

const NOW_MS = 60_000

const QUEUE = protocol.workflow.Queue.fromPartial({
  name: 'quotes',
  host: 'h',
  pathPrefix: '/',
  service: 'desk',
  slackFactor: 2,
})

const CONFIGURATION: protocol.workflow.QueueConfiguration = {
  ...protocol.workflow.QueueConfiguration.fromPartial({ version: 1 }),
  queues: [QUEUE],
}

/** Call handlers whose term has the given shares. */
const createCell = (shares?: scheduling.TermShares) => {
  const state = workflowState.createWorkflowState()
  state.apply({ nowMs: 0, body: { $case: 'configure', value: CONFIGURATION } })
  const proposed: (context.CommandBody | undefined)[] = []
  const ctx: context.ControlContext = {
    options: { logger: telemetry.createSilentLogger() } as context.ControlContext['options'],
    replica: {} as context.ControlContext['replica'],
    view: state.view,
    nowMs: () => NOW_MS,
    leadingTerm: () => 1,
    propose: (body) => {
      proposed.push(body)
      return Promise.resolve(results.Ok(state.apply({ nowMs: 0, body })))
    },
    work: workStatistics.createWorkStatistics(() => 0),
    hint: () => ({ leader: '', members: [] }),
  }
  const policy = scheduling.createFairShareAdmission({
    policy: scheduling.createAcceptAll(),
    shares: () => shares,
  })
  const handlers = calls.createCallHandlers(ctx, {
    onChange: () => undefined,
    hasStarted: () => false,
    admit: (request) => policy.decide(request, { view: state.view }, NOW_MS),
  })
  const steps = [protocol.workflow.Step.fromPartial({ taskCount: 1, estimatedMs: 1_000 })]
  const spec = { ...protocol.workflow.JobSpec.fromPartial({ id: 'j' }), steps }
  const submit = () => handlers.submit({ host: 'h', path: '/', spec, callerDomain: 'rennes' })
  return { state, proposed, submit }
}

/** Shares in which every caller from "rennes" is far above its share while others wait. */
const EXCEEDED: scheduling.TermShares = {
  sinceMs: 0,
  order: {
    keyOfSubmission: ({ callerDomain }) => scheduling.shareKey('quotes', callerDomain, 'small'),
    poolsOf: () => new Map([['desk/reserved', 0]]),
    positions: () => ({
      atMs: NOW_MS,
      keys: new Map(
        [
          { domain: 'rennes', waitingCoreMs: 60_000 },
          { domain: 'nantes', waitingCoreMs: 1_000 },
        ].map(({ domain, waitingCoreMs }) => {
          const key = scheduling.shareKey('quotes', domain, 'small')
          const usageCoreMs = 10_000
          const waiting = [{ precedence: 0, coreMs: waitingCoreMs }]
          const share = { shareCoreMs: 9_000, shareCores: 1 }
          return [key.text, { key, usageCoreMs, waitingCoreMs, waiting, ...share }]
        }),
      ),
    }),
  },
}

describe('submissions', () => {
  it('guards against losing the failure domain of the caller', async () => {
    const { state, submit } = createCell()
    expect((await submit()).outcome).toBe(CallOutcome.OK)
    expect(state.view.jobs.get('j')?.callerDomain).toBe('rennes')
  })

  it('guards against a refused job that is committed, and a refusal without a time to return', async () => {
    const { proposed, submit } = createCell(EXCEEDED)
    const reply = await submit()
    expect(reply.outcome).toBe(CallOutcome.OVERLOADED)
    expect(reply.retryAfterMs).toBeGreaterThan(1_000)
    expect(proposed).toEqual([])
  })

  it('guards against a refusal of a job that was accepted before', async () => {
    const { state, proposed, submit } = createCell(EXCEEDED)
    const steps = [protocol.workflow.Step.fromPartial({ taskCount: 1 })]
    const spec = { ...protocol.workflow.JobSpec.fromPartial({ id: 'j' }), steps }
    const value = { spec, queue: QUEUE, callerDomain: '' }
    state.apply({ nowMs: 0, body: { $case: 'submit', value } })
    expect((await submit()).outcome).toBe(CallOutcome.OK)
    expect(proposed).toEqual([])
  })
})
