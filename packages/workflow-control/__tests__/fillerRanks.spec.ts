import * as protocol from '@ebonyweir/protocol'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as workflowState from '@ebonyweir/workflow-state'
import * as vitest from 'vitest'
import * as fillerRanks from '../src/fillerRanks.js'
import * as runProgress from '../src/runProgress.js'
import * as workMeter from '../src/workMeter.js'

const { describe, expect, it } = vitest

const QUEUE = protocol.workflow.Queue.fromPartial({
  name: 'plans',
  service: 'desk',
  maxAttempts: 3,
  slackFactor: 2,
  latencyTargetMs: 1_000,
})
const CLAIM = { cpuMillis: 2_000, memoryMb: 10, accelerators: 0 }
const CAPACITY = { cpuMillis: 8_000, memoryMb: 1_000, accelerators: 0 }
const WORKER: protocol.workflow.WorkerDescription = {
  identity: { id: 'w', bornMs: 1, agent: 'a' },
  service: 'desk',
  failureDomain: 'rennes',
  rack: 'r1',
  labels: [],
  capacity: CAPACITY,
}

/** One worker that bears four fillers, and the ranks of what is submitted. */
const createCell = () => {
  const state = workflowState.createWorkflowState()
  const expected = scheduling.createDurations()
  const progress = runProgress.createRunProgress(expected)
  const submittedMs = Date.now()
  let nowMs = 0
  let rankings = 0
  let rankingMs = 0
  const ranks = fillerRanks.createFillerRanks({
    view: state.view,
    expected,
    disturbance: scheduling.createDisturbance(),
    nowMs: () => nowMs,
    percentOf: progress.percentOf,
    work: workMeter.createWorkMeter(() => nowMs),
    eligibleWorkers: () => {
      rankings += 1
      nowMs += rankingMs
      return [{ description: WORKER, badEnds: 0 }]
    },
  })
  const submit = (id: string, taskCount: number, ageMs = 0): workflowState.StepView => {
    const steps = [
      protocol.workflow.Step.create({
        taskCount,
        claim: CLAIM,
        estimatedMs: 4_000,
        filling: true,
        image: 'f',
        checkpointing: true,
      }),
    ]
    const spec = { ...protocol.workflow.JobSpec.fromPartial({ id }), steps }
    const body = { $case: 'submit' as const, value: { spec, queue: QUEUE } }
    state.apply({ nowMs: submittedMs - ageMs, body })
    const step = state.view.jobs.get(id)?.occurrences.get(0)?.steps[0]
    if (step === undefined) throw new Error(`no step of ${id}`)
    return step
  }
  /** Shows the progress of a run to the ranks, and that it went back to wait with a checkpoint. */
  const stopAt = (step: workflowState.StepView, index: number, progressPercent: number): void => {
    const run = { job: step.job.spec.id, occurrence: 0, step: 0, index, run: 1 }
    const task = step.tasks[index]
    if (task === undefined) throw new Error('no task')
    const listed = protocol.workflow.RunningTask.fromPartial({ run, progressPercent })
    progress.note({ step, task }, listed, run, nowMs)
    progress.end(run, true)
  }
  return {
    ranks,
    submit,
    stopAt,
    /** Shows that a task of the step takes `taskMs` at full speed. */
    learn: (step: workflowState.StepView, taskMs: number) => {
      expected.observeProgress(step, taskMs, 1)
    },
    cancel: (job: string) => {
      state.apply({ nowMs: submittedMs, body: { $case: 'cancel', value: { job } } })
    },
    rankings: () => rankings,
    /** Lets each ranking take some time from now on. */
    slowDown: (ms: number) => {
      rankingMs = ms
    },
    pass: (elapsedMs: number) => {
      nowMs += elapsedMs
    },
  }
}

describe('ranks of jobs that fill', () => {
  it('guards against a large job that takes the time in which two small ones would be done', () => {
    const { ranks, submit } = createCell()
    const large = submit('large', 40, 100)
    const small = submit('small', 4)
    expect(ranks.rankOf(small)).toBeLessThan(ranks.rankOf(large))
  })

  it('guards against a job that loses its place though most of its work is saved', () => {
    const { ranks, submit, stopAt, pass } = createCell()
    const begun = submit('begun', 6, 3_000)
    const fresh = submit('fresh', 5, 3_000)
    expect(ranks.rankOf(fresh)).toBeLessThan(ranks.rankOf(begun))
    for (let index = 0; index < 6; index += 1) stopAt(begun, index, 80)
    pass(1_000)
    expect(ranks.rankOf(begun)).toBeLessThan(ranks.rankOf(fresh))
  })

  // A step that turns out slower has a later due time, which interrupted jobs in the middle of their work.
  it('guards against a running job that makes way to a new one when its tasks are seen to be slow', () => {
    const { ranks, submit, learn, pass } = createCell()
    const running = submit('running', 2, 2_000)
    const fresh = submit('fresh', 2)
    expect(ranks.rankOf(running)).toBe(0)
    learn(running, 6_000)
    pass(1_000)
    expect(ranks.rankOf(running)).toBe(0)
    expect(ranks.rankOf(fresh)).toBe(1)
  })

  it('guards against rankings that follow each other when each takes longer than its result is used', () => {
    const { ranks, submit, rankings, slowDown } = createCell()
    const step = submit('first', 2)
    slowDown(300)
    for (let look = 0; look < 20; look += 1) ranks.rankOf(step)
    expect(rankings()).toBe(1)
  })

  it('guards against jobs beyond the supply that are chosen as well', () => {
    const { ranks, submit } = createCell()
    const first = submit('first', 4)
    const second = submit('second', 4)
    expect([first, second].map(ranks.isChosen)).toEqual([true, false])
  })

  it('guards against a new ranking at each look at a job that was cancelled', () => {
    const { ranks, submit, cancel, rankings } = createCell()
    const cancelled = submit('cancelled', 4)
    const other = submit('other', 4)
    cancel('cancelled')
    for (let look = 0; look < 100; look += 1) {
      expect(ranks.rankOf(other)).toBe(0)
      expect(ranks.rankOf(cancelled)).toBeGreaterThan(0)
    }
    expect(rankings()).toBe(1)
  })

  it('ranks a job at once that came after the last ranking', () => {
    const { ranks, submit } = createCell()
    const first = submit('first', 2)
    expect(ranks.rankOf(first)).toBe(0)
    // The first one is in hand.
    expect(ranks.rankOf(submit('second', 2, 3_000))).toBe(1)
    expect(ranks.rankOf(first)).toBe(0)
  })
})
