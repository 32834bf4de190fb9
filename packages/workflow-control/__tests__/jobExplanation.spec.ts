import * as grpc from '@grpc/grpc-js'
import * as protocol from '@ebonyweir/protocol'
import * as workflowState from '@ebonyweir/workflow-state'
import * as vitest from 'vitest'
import type * as context from '../src/context.js'
import * as grpcServer from '../src/grpcServer.js'
import * as jobExplanation from '../src/jobExplanation.js'
import * as workStatistics from '../src/workStatistics.js'
import * as harnesses from './termHarness.js'

const { afterEach, describe, expect, it } = vitest
const { CallOutcome } = protocol.workflow

const SPEC: protocol.workflow.JobSpec = {
  ...protocol.workflow.JobSpec.fromPartial({ id: 'asked' }),
  steps: [
    protocol.workflow.Step.fromPartial({
      taskCount: 2,
      estimatedMs: 1_000,
      claim: { cpuMillis: 1_000, memoryMb: 10, accelerators: 0 },
    }),
  ],
}
const QUEUE = protocol.workflow.Queue.fromPartial({
  name: 'quotes',
  service: 'desk',
  maxAttempts: 3,
  slackFactor: 2,
})

describe('explanation by a term', () => {
  it('names the worker, and guards against a job that starts because it was explained', async () => {
    const harness = harnesses.createTermHarness()
    const agent = harness.attach('w')
    agent.report()
    const state = workflowState.createWorkflowState()
    const value = { spec: SPEC, queue: QUEUE, callerDomain: '' }
    state.apply({ nowMs: Date.now(), body: { $case: 'submit', value } })
    const job = state.view.jobs.get('asked')
    const lines = job && harness.term.explain(job)
    expect(lines?.[1]).toBe('step 0: 2 tasks on w (rack r1, rennes)')
    agent.live(800)
    await harness.pass(20)
    expect(agent.starts()).toEqual([])
    expect(harness.view.jobs.size).toBe(0)
    harness.close()
  })

  it('says so when no task of an accepted job waits', async () => {
    const harness = harnesses.createTermHarness()
    harness.attach('w').report()
    harness.submit('j', [{}])
    await harness.pass(20)
    const job = harness.view.jobs.get('j')
    expect(job && harness.term.explain(job)).toEqual(['no task waits for a worker'])
    harness.close()
  })
})

const closers: (() => unknown)[] = []

afterEach(async () => {
  for (const close of closers.splice(0)) await close()
})

interface Fields {
  readonly leads?: boolean
  readonly configured?: boolean
  readonly queue?: protocol.workflow.Queue | undefined
}

const createHandler = ({ leads = true, configured = true, ...fields }: Fields = {}) => {
  const clock = { nowMs: 0 }
  const proposed: unknown[] = []
  const { view } = workflowState.createWorkflowState()
  const configuration = protocol.workflow.QueueConfiguration.fromPartial({})
  const ctx = {
    options: { grpcAddress: '127.0.0.1:0' },
    view: { ...view, configuration: configured ? configuration : undefined },
    nowMs: () => clock.nowMs,
    leadingTerm: () => (leads ? 1 : undefined),
    propose: (body: unknown) => {
      proposed.push(body)
      return Promise.reject(new Error('no command is expected'))
    },
    work: workStatistics.createWorkStatistics(() => clock.nowMs),
    hint: () => ({ leader: '', members: [] }),
  } as unknown as context.ControlContext
  const explain = jobExplanation.createJobExplanation({
    ctx,
    queueFor: () => ('queue' in fields ? fields.queue : QUEUE),
    explain: ({ spec }) => [`steps: ${spec.steps.length}`],
  })
  return { ctx, clock, explain, proposed }
}

const REQUEST: protocol.workflow.SubmitRequest = {
  host: 'h',
  path: '/p/asked',
  spec: SPEC,
  callerDomain: '',
}

describe('call to explain a job', () => {
  it.each([
    {
      name: 'a replica that does not lead',
      fields: { leads: false },
      outcome: CallOutcome.NOT_LEADING,
    },
    { name: 'no configuration', fields: { configured: false }, outcome: CallOutcome.UNCONFIGURED },
    { name: 'no queue', fields: { queue: undefined }, outcome: CallOutcome.NO_QUEUE },
    { name: 'no job', request: { ...REQUEST, spec: undefined }, outcome: CallOutcome.INVALID },
    {
      name: 'a job without steps',
      request: { ...REQUEST, spec: { ...SPEC, steps: [] } },
      outcome: CallOutcome.INVALID,
    },
    { name: 'a valid job', outcome: CallOutcome.OK },
  ])('answers $name and proposes nothing', ({ fields, request = REQUEST, outcome }) => {
    const handler = createHandler(fields)
    const answer = handler.explain(request)
    expect(answer.reply?.outcome).toBe(outcome)
    expect(answer.lines).toEqual(
      outcome === CallOutcome.OK ? ['job asked is not submitted, queue quotes', 'steps: 1'] : [],
    )
    expect(handler.proposed).toEqual([])
  })

  it('guards against explanations that take the event loop of the leader', () => {
    const { explain, clock } = createHandler()
    const outcomes = [0, 100, 200, 260].map((nowMs) => {
      clock.nowMs = nowMs
      return explain(REQUEST).reply?.outcome
    })
    const { OK, OVERLOADED } = CallOutcome
    expect(outcomes).toEqual([OK, OVERLOADED, OVERLOADED, OK])
  })

  it('is answered over gRPC', async () => {
    const { ctx, explain } = createHandler()
    const grpcAddress = '127.0.0.1:0'
    const bound = { port: 0 }
    const server = new grpc.Server()
    server.addService(protocol.workflow.WorkflowService, {
      explain: grpcServer.unary(explain),
    })
    bound.port = await new Promise<number>((resolve, reject) => {
      server.bindAsync(grpcAddress, grpc.ServerCredentials.createInsecure(), (error, port) => {
        if (error === null) resolve(port)
        else reject(error)
      })
    })
    const credentials = grpc.credentials.createInsecure()
    const client = new protocol.workflow.WorkflowClient(`127.0.0.1:${bound.port}`, credentials)
    closers.push(() => {
      client.close()
      server.forceShutdown()
    })
    const answer = await new Promise<protocol.workflow.ExplainReply>((resolve, reject) => {
      client.explain(REQUEST, (error, reply) => {
        if (error === null) resolve(reply)
        else reject(error)
      })
    })
    expect(ctx.leadingTerm()).toBe(1)
    expect(answer.lines).toEqual(['job asked is not submitted, queue quotes', 'steps: 1'])
  })
})
