import * as protocol from '@ebonyweir/protocol'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as vitest from 'vitest'
import * as calls from '../src/calls.js'
import * as leaderTerm from '../src/leaderTerm.js'
import * as schedulingOptions from '../src/schedulingOptions.js'
import * as harnesses from './termHarness.js'

const { afterEach, describe, expect, it } = vitest
const { CallOutcome } = protocol.workflow

const NEXT_TERM = 8

const QUEUE = protocol.workflow.Queue.fromPartial({
  name: 'quotes',
  host: 'h',
  pathPrefix: '/',
  service: 'desk',
  maxAttempts: 3,
  slackFactor: 2,
  latencyTargetMs: 500,
})

const specOf = (
  id: string,
  step: Partial<protocol.workflow.Step> = {},
): protocol.workflow.JobSpec => ({
  ...protocol.workflow.JobSpec.fromPartial({ id }),
  steps: [
    protocol.workflow.Step.fromPartial({
      taskCount: 1,
      estimatedMs: 1_000,
      claim: { cpuMillis: 1_000, memoryMb: 10, accelerators: 0 },
      ...step,
    }),
  ],
})

let close = (): void => undefined

afterEach(() => {
  close()
})

/** Leader with one worker of four processors, which has listed its runs for `settledMs`. */
const createCell = (
  admissionPolicy: schedulingOptions.AdmissionPolicyName = 'expected-completion',
  settledMs = 2_400,
) => {
  const harness = harnesses.createTermHarness({
    ...schedulingOptions.DEFAULT_SCHEDULING_OPTIONS,
    admissionPolicy,
  })
  let { term } = harness
  close = () => {
    if (term !== harness.term) term.stop()
    harness.close()
  }
  const handlers = calls.createCallHandlers(harness.ctx, {
    onChange: () => {
      term.dispatch()
    },
    hasStarted: () => false,
    admit: (request) => term.admit(request),
  })
  const configuration = {
    ...protocol.workflow.QueueConfiguration.fromPartial({ version: 1 }),
    queues: [QUEUE],
  }
  harness.apply({ $case: 'configure', value: configuration })
  const agent = harness.attach('a')
  agent.live(settledMs)
  return {
    harness,
    agent,
    submit: (id: string, step: Partial<protocol.workflow.Step> = {}) =>
      handlers.submit({
        host: 'h',
        path: '/',
        spec: specOf(id, step),
        callerDomain: '',
      }),
    /** Fills all processors for a long time. */
    fill: async (): Promise<void> => {
      for (let job = 0; job < 4; job += 1) harness.submit(`busy${job}`, [{ estimatedMs: 60_000 }])
      for (let list = 0; list < 4; list += 1) {
        await harness.pass(200)
        agent.report({ running: agent.starts() })
      }
      expect(agent.starts()).toHaveLength(4)
    },
    /** Replaces the leader by one that has only the replicated state. */
    changeLeader: (): void => {
      term.stop()
      term = leaderTerm.createLeaderTerm(harness.ctx, NEXT_TERM)
    },
    refusals: () => harness.logs.filter(({ message }) => message === 'job refused'),
  }
}

describe('refusal by expected completion at the leader', () => {
  it('guards against a refusal without its inputs in the log and a time of return', async () => {
    const cell = createCell()
    await cell.fill()
    const { outcome, retryAfterMs } = await cell.submit('late')
    expect(outcome).toBe(CallOutcome.OVERLOADED)
    expect(retryAfterMs).toBeGreaterThan(scheduling.MIN_RETRY_AFTER_MS)
    expect(cell.harness.view.jobs.has('late')).toBe(false)
    expect(cell.refusals()).toEqual([
      expect.objectContaining({
        job: 'late',
        queue: 'quotes',
        reason: 'no-capacity-in-time',
        objectiveMs: 2_500,
        capacity: 4,
        retryAfterMs,
        expectedEndMs: expect.any(Number) as number,
        aheadMs: expect.any(Number) as number,
        ageMs: expect.any(Number) as number,
      }),
    ])
  })

  it('guards against a change of behaviour with the default settings', async () => {
    const cell = createCell('accept-all')
    await cell.fill()
    for (let job = 0; job < 100; job += 1) {
      expect((await cell.submit(`late${job}`)).outcome).toBe(CallOutcome.OK)
    }
    expect(cell.refusals()).toEqual([])
    expect(cell.harness.ctx.work.totals().spentMs.admit).toBe(0)
  })

  it('guards against a refusal of a job that is already open', async () => {
    const cell = createCell()
    expect((await cell.submit('first')).outcome).toBe(CallOutcome.OK)
    await cell.fill()
    expect((await cell.submit('first')).outcome).toBe(CallOutcome.OK)
    expect((await cell.submit('other')).outcome).toBe(CallOutcome.OVERLOADED)
  })

  it('guards against a refusal of a job whose commit by another entry is pending', async () => {
    const cell = createCell()
    cell.harness.control.holds = true
    const first = cell.submit('twice')
    await cell.harness.pass(0)
    cell.harness.control.holds = false
    await cell.fill()
    await cell.harness.pass(0)
    expect((await cell.submit('other')).outcome).toBe(CallOutcome.OVERLOADED)
    expect((await cell.submit('twice')).outcome).toBe(CallOutcome.OK)
    for (const { commit } of cell.harness.held) commit()
    expect((await first).outcome).toBe(CallOutcome.OK)
    expect(cell.harness.view.jobs.has('twice')).toBe(true)
  })

  it('guards against an estimate without the jobs that were accepted since the last collection', async () => {
    const cell = createCell()
    cell.harness.control.holds = true
    const answers: Promise<protocol.workflow.CallReply>[] = []
    // Each job takes 1 s on one of four processors, and its value expires after 7.5 s.
    for (let job = 0; job < 100; job += 1) answers.push(cell.submit(`j${job}`))
    await cell.harness.pass(0)
    expect(cell.refusals().length).toBeGreaterThan(0)
    // The work of 30 jobs fills the time until the expiry.
    expect(cell.refusals().length).toBeLessThan(100 - 25)
    for (const { commit } of cell.harness.held) commit()
    await Promise.all(answers)
  })
})

describe('failures of the leader around a decision', () => {
  it('guards against a lost or repeated job when the leader is lost between decision and commit', async () => {
    const cell = createCell()
    cell.harness.control.commits = false
    expect((await cell.submit('kept')).outcome).toBe(CallOutcome.UNKNOWN)
    expect(cell.harness.view.jobs.has('kept')).toBe(false)
    cell.harness.control.commits = true
    await cell.fill()
    cell.changeLeader()
    // The next leader has no lists, so it has no grounds for a refusal.
    expect((await cell.submit('kept')).outcome).toBe(CallOutcome.OK)
    expect((await cell.submit('kept')).outcome).toBe(CallOutcome.OK)
    expect(cell.refusals()).toEqual([])
    const kept = [...cell.harness.view.jobs.keys()].filter((id) => id === 'kept')
    expect(kept).toEqual(['kept'])
  })

  it('guards against a job that is lost when its commit succeeds after the leader is lost', async () => {
    const cell = createCell()
    cell.harness.control.holds = true
    void cell.submit('kept')
    await cell.harness.pass(0)
    cell.harness.control.holds = false
    for (const { commit } of cell.harness.held) commit()
    await cell.fill()
    cell.changeLeader()
    expect((await cell.submit('kept')).outcome).toBe(CallOutcome.OK)
    expect(cell.refusals()).toEqual([])
  })

  it('guards against a refusal by an old leader without a valid lease', async () => {
    const cell = createCell()
    await cell.fill()
    expect((await cell.submit('late')).outcome).toBe(CallOutcome.OVERLOADED)
    cell.harness.control.leading = false
    expect((await cell.submit('late')).outcome).toBe(CallOutcome.NOT_LEADING)
    expect(cell.refusals()).toHaveLength(1)
  })

  it('guards against a refusal by a new leader before it has lists from most workers', async () => {
    const cell = createCell('expected-completion', 800)
    await cell.fill()
    expect((await cell.submit('early')).outcome).toBe(CallOutcome.OK)
  })

  it('guards against a refusal that is based on workers that no longer report', async () => {
    const cell = createCell()
    await cell.fill()
    expect((await cell.submit('late')).outcome).toBe(CallOutcome.OVERLOADED)
    await cell.harness.pass(2_500)
    expect((await cell.submit('late')).outcome).toBe(CallOutcome.OK)
  })

  it('guards against an acceptance that a full disk has refused', async () => {
    const cell = createCell()
    cell.harness.control.overloaded = true
    expect((await cell.submit('kept')).outcome).toBe(CallOutcome.OVERLOADED)
    expect(cell.harness.view.jobs.has('kept')).toBe(false)
  })
})
