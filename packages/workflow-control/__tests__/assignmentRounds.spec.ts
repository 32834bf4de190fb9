import * as protocol from '@ebonyweir/protocol'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as workflowState from '@ebonyweir/workflow-state'
import * as telemetry from '@ebonyweir/telemetry/logger'
import * as results from 'ts-results-es'
import * as vitest from 'vitest'
import * as assignmentRounds from '../src/assignmentRounds.js'
import type * as context from '../src/context.js'
import * as workStatistics from '../src/workStatistics.js'

const { afterEach, beforeEach, describe, expect, it } = vitest

const TERM = 1
const ROUND_MS = 30
const SPAN_MS = 2_000

const WORKER: protocol.workflow.WorkerDescription = {
  identity: { id: 'w', bornMs: 1, agent: 'a' },
  service: 'desk',
  failureDomain: 'rennes',
  rack: 'r1',
  labels: [],
  capacity: { cpuMillis: 4_000, memoryMb: 100, accelerators: 0 },
}

beforeEach(() => {
  vitest.vi.useFakeTimers()
})

afterEach(() => {
  vitest.vi.useRealTimers()
})

/** Rounds that each block the event loop for `roundMs`, and a best-effort task that fits on no worker. */
const createCell = (roundMs: number) => {
  const state = workflowState.createWorkflowState()
  let blockedMs = 0
  const nowMs = (): number => performance.now() + blockedMs
  const work = workStatistics.createWorkStatistics(nowMs)
  const ctx: context.ControlContext = {
    options: { logger: telemetry.createSilentLogger() } as context.ControlContext['options'],
    replica: {} as context.ControlContext['replica'],
    view: state.view,
    nowMs,
    leadingTerm: () => TERM,
    propose: (body) => Promise.resolve(results.Ok(state.apply({ nowMs: 0, body }))),
    work,
    hint: () => ({ leader: '', members: [] }),
  }
  const rounds = assignmentRounds.createAssignmentRounds({
    ctx,
    term: TERM,
    expected: scheduling.createDurations(),
    disturbance: scheduling.createInterferenceModel(),
    eligibleWorkers: () => {
      blockedMs += roundMs
      return [{ description: WORKER, consecutiveFailures: 0 }]
    },
    fillerRank: () => 0,
    mayDisturb: () => true,
    avoids: () => false,
    start: () => undefined,
  })
  const submit = (id: string, memoryMb: number, filling: boolean): void => {
    const claim = { cpuMillis: 1_000, memoryMb, accelerators: 0 }
    const step = protocol.workflow.Step.create({ taskCount: 1, filling, claim })
    const spec = { ...protocol.workflow.JobSpec.fromPartial({ id }), steps: [step] }
    const queue = protocol.workflow.Queue.fromPartial({ service: 'desk', maxAttempts: 3 })
    state.apply({ nowMs: 0, body: { $case: 'submit', value: { spec, queue, callerDomain: '' } } })
    rounds.dispatch()
  }
  submit('filler', 1_000, true)
  return {
    rounds,
    submit,
    work,
    isAssigned: (id: string) =>
      state.view.jobs.get(id)?.occurrences.get(0)?.steps[0]?.assignedCount === 1,
    elapsedMs: nowMs,
  }
}

describe('rounds under a backlog', () => {
  it.each([
    { name: 'best-effort tasks that fit on no worker', filling: true },
    { name: 'latency-critical tasks that fit on no worker', filling: false },
  ])('guards against planning that takes most of the event loop for $name', async ({ filling }) => {
    const { rounds, submit, work, elapsedMs } = createCell(ROUND_MS)
    submit('other', 1_000, filling)
    const startedMs = elapsedMs()
    for (let passedMs = 0; passedMs < SPAN_MS; passedMs += 10) {
      rounds.dispatch()
      await vitest.vi.advanceTimersByTimeAsync(10)
    }
    const share = work.totals().spentMs.plan / (elapsedMs() - startedMs)
    expect(share).toBeGreaterThan(0.05)
    expect(share).toBeLessThan(0.45)
    rounds.stop()
  })

  it('guards against a latency-critical task that waits for the pause after a round of all steps', async () => {
    const { rounds, submit, isAssigned } = createCell(ROUND_MS)
    await vitest.vi.advanceTimersByTimeAsync(20)
    submit('serving', 10, false)
    await vitest.vi.advanceTimersByTimeAsync(10)
    expect(isAssigned('serving')).toBe(true)
    rounds.stop()
  })

  it('guards against a best-effort task that no round follows after the pause', async () => {
    const { rounds, submit, isAssigned } = createCell(ROUND_MS)
    await vitest.vi.advanceTimersByTimeAsync(20)
    submit('small', 10, true)
    await vitest.vi.advanceTimersByTimeAsync(200)
    expect(isAssigned('small')).toBe(true)
    rounds.stop()
  })

  it('guards against an unbounded pause after a round during which the process was stopped', async () => {
    const { rounds, submit, isAssigned } = createCell(10_000)
    await vitest.vi.advanceTimersByTimeAsync(20)
    submit('small', 10, true)
    await vitest.vi.advanceTimersByTimeAsync(500)
    expect(isAssigned('small')).toBe(true)
    rounds.stop()
  })
})

describe('rounds at the end of a wait', () => {
  /** Rounds of which the first ones begin waits with these ends; `roundsAtMs` holds the time of each round. */
  const createWaitingCell = (endsMs: readonly (number | undefined)[]) => {
    const state = workflowState.createWorkflowState()
    const spec = {
      ...protocol.workflow.JobSpec.fromPartial({ id: 'j' }),
      steps: [protocol.workflow.Step.fromPartial({ taskCount: 1 })],
    }
    const queue = protocol.workflow.Queue.fromPartial({ service: 'desk', maxAttempts: 3 })
    state.apply({ nowMs: 0, body: { $case: 'submit', value: { spec, queue, callerDomain: '' } } })
    const startedMs = performance.now()
    const nowMs = (): number => performance.now() - startedMs
    const roundsAtMs: number[] = []
    const ctx: context.TermContext = {
      options: { logger: telemetry.createSilentLogger() } as context.TermContext['options'],
      view: state.view,
      nowMs,
      leadingTerm: () => TERM,
      propose: (body) => Promise.resolve(results.Ok(state.apply({ nowMs: 0, body }))),
      work: workStatistics.createWorkStatistics(nowMs),
    }
    const rounds = assignmentRounds.createAssignmentRounds({
      ctx,
      term: TERM,
      expected: scheduling.createDurations(),
      disturbance: scheduling.createInterferenceModel(),
      eligibleWorkers: () => [],
      fillerRank: () => 0,
      mayDisturb: () => true,
      avoids: () => false,
      locality: scheduling.createLocalityWaits({ remoteFactor: 2, remainingMs: () => 0, nowMs }),
      planAssignments: () => {
        const firstWaitEndMs = endsMs[roundsAtMs.length]
        roundsAtMs.push(Math.round(nowMs()))
        const plan = { workers: [], assignments: [], tasksLookedAt: 0, workersLookedAt: 0 }
        return firstWaitEndMs === undefined ? plan : { ...plan, firstWaitEndMs }
      },
      start: () => undefined,
    })
    return { rounds, roundsAtMs }
  }

  it('guards against a wait whose end no round follows, and against busy rounds', async () => {
    const { rounds, roundsAtMs } = createWaitingCell([500])
    rounds.dispatch()
    await vitest.vi.advanceTimersByTimeAsync(SPAN_MS)
    expect(roundsAtMs).toHaveLength(2)
    expect(roundsAtMs[1]).toBeGreaterThanOrEqual(500)
    expect(roundsAtMs[1]).toBeLessThan(520)
    rounds.stop()
  })

  it('guards against several timers when each round names the end of a wait', async () => {
    const { rounds, roundsAtMs } = createWaitingCell([500, 700, 900])
    for (let round = 0; round < 3; round += 1) {
      rounds.dispatch()
      await vitest.vi.advanceTimersByTimeAsync(50)
    }
    await vitest.vi.advanceTimersByTimeAsync(SPAN_MS)
    expect(roundsAtMs).toHaveLength(4)
    rounds.stop()
  })

  it('guards against a timer that is left after the end of the term', async () => {
    const { rounds, roundsAtMs } = createWaitingCell([500])
    rounds.dispatch()
    await vitest.vi.advanceTimersByTimeAsync(50)
    rounds.stop()
    expect(vitest.vi.getTimerCount()).toBe(0)
    await vitest.vi.advanceTimersByTimeAsync(SPAN_MS)
    expect(roundsAtMs).toHaveLength(1)
  })
})
