import * as protocol from '@ebonyweir/protocol'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as workflowState from '@ebonyweir/workflow-state'
import * as vitest from 'vitest'
import * as bestEffortRanks from '../src/bestEffortRanks.js'
import * as runProgress from '../src/runProgress.js'
import * as workStatistics from '../src/workStatistics.js'

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

/** One worker with CPU for four best-effort tasks, and the ranks of submitted jobs. */
const createCell = (
  model?: scheduling.DurationModel,
  shares?: bestEffortRanks.BestEffortRanksOptions['shares'],
) => {
  const state = workflowState.createWorkflowState()
  const expected = scheduling.createDurations(model)
  const progress = runProgress.createRunProgress(expected)
  const submittedMs = Date.now()
  let nowMs = 0
  let rankings = 0
  let rankingMs = 0
  let timeOfDayMs = submittedMs
  const ranks = bestEffortRanks.createBestEffortRanks({
    view: state.view,
    expected,
    disturbance: scheduling.createInterferenceModel(),
    nowMs: () => nowMs,
    // Each reading is later than the one before, as on a busy machine.
    timeOfDayMs: () => (timeOfDayMs += 1),
    percentOf: progress.percentOf,
    work: workStatistics.createWorkStatistics(() => nowMs),
    eligibleWorkers: () => {
      rankings += 1
      nowMs += rankingMs
      return [{ description: WORKER, consecutiveFailures: 0 }]
    },
    shares,
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
    const body = { $case: 'submit' as const, value: { spec, queue: QUEUE, callerDomain: '' } }
    state.apply({ nowMs: submittedMs - ageMs, body })
    const step = state.view.jobs.get(id)?.occurrences.get(0)?.steps[0]
    if (step === undefined) throw new Error(`no step of ${id}`)
    return step
  }
  /** Reports the progress of a run, and that it was stopped with a checkpoint. */
  const stopAt = (step: workflowState.StepView, index: number, progressPercent: number): void => {
    const run = { job: step.job.spec.id, occurrence: 0, step: 0, index, run: 1 }
    const task = step.tasks[index]
    if (task === undefined) throw new Error('no task')
    const listed = protocol.workflow.RunningTask.fromPartial({ run, progressPercent })
    progress.update({ step, task }, listed, workflowState.runKey(run), nowMs)
    progress.remove(run, true)
  }
  /** Reports the progress of a run that needs `totalMs`, every half second until it is `untilPercent` done. */
  const runTask = (
    step: workflowState.StepView,
    index: number,
    totalMs: number,
    untilPercent: number,
  ): void => {
    const run = { job: step.job.spec.id, occurrence: 0, step: 0, index, run: 1 }
    const task = step.tasks[index]
    if (task === undefined) throw new Error('no task')
    for (let atMs = 0; atMs <= (totalMs * untilPercent) / 100; atMs += 500) {
      const progressPercent = Math.floor((100 * atMs) / totalMs)
      const listed = protocol.workflow.RunningTask.fromPartial({
        run,
        progressPercent,
        pacePercent: 100,
      })
      progress.update({ step, task }, listed, workflowState.runKey(run), 10_000 + atMs)
    }
    // A task that stopped with a checkpoint keeps its progress.
    progress.remove(run, true)
  }
  return {
    ranks,
    submit,
    runTask,
    stopAt,
    /** Observes that a task of the step takes `taskMs` at full speed. */
    observeTask: (step: workflowState.StepView, taskMs: number) => {
      expected.observeProgress(step, taskMs, 1)
    },
    cancel: (job: string) => {
      state.apply({ nowMs: submittedMs, body: { $case: 'cancel', value: { job } } })
    },
    rankings: () => rankings,
    /** Makes each further ranking take `ms` milliseconds. */
    slowDown: (ms: number) => {
      rankingMs = ms
    },
    advance: (elapsedMs: number) => {
      nowMs += elapsedMs
    },
  }
}

describe('ranks of best-effort jobs', () => {
  it('guards against a large job that ranks before a smaller one', () => {
    const { ranks, submit } = createCell()
    const large = submit('large', 40, 100)
    const small = submit('small', 4)
    expect(ranks.rankOf(small)).toBeLessThan(ranks.rankOf(large))
  })

  it('guards against a rank that ignores the work saved in checkpoints', () => {
    const { ranks, submit, stopAt, advance } = createCell()
    const started = submit('begun', 6, 3_000)
    const fresh = submit('fresh', 5, 3_000)
    expect(ranks.rankOf(fresh)).toBeLessThan(ranks.rankOf(started))
    for (let index = 0; index < 6; index += 1) stopAt(started, index, 80)
    advance(1_000)
    expect(ranks.rankOf(started)).toBeLessThan(ranks.rankOf(fresh))
  })

  // A step that turns out to be slower gets a later due time, which must not interrupt a running job.
  it('guards against a running job that a new one displaces because its tasks turn out to be slow', () => {
    const { ranks, submit, observeTask, advance } = createCell()
    const running = submit('running', 2, 2_000)
    const fresh = submit('fresh', 2)
    expect(ranks.rankOf(running)).toBe(0)
    observeTask(running, 6_000)
    advance(1_000)
    expect(ranks.rankOf(running)).toBe(0)
    expect(ranks.rankOf(fresh)).toBe(1)
  })

  it('guards against continuous rankings when a ranking takes longer than its result is valid', () => {
    const { ranks, submit, rankings, slowDown } = createCell()
    const step = submit('first', 2)
    slowDown(300)
    for (let attempt = 0; attempt < 20; attempt += 1) ranks.rankOf(step)
    expect(rankings()).toBe(1)
  })

  // By the mean, less work is left of the first job, one task of which is long by itself.
  it.each([
    { model: 'mean', first: 'long' },
    { model: 'quantile', first: 'usual' },
  ] as const)('ranks by the own speed of a long task: $model, $first first', ({ model, first }) => {
    const { ranks, submit, runTask, observeTask } = createCell(model)
    const long = submit('long', 2, 1_000)
    const usual = submit('usual', 2, 900)
    for (const step of [long, usual])
      for (let seen = 0; seen < 200; seen += 1) observeTask(step, 2_000)
    runTask(long, 0, 28_000, 40)
    runTask(usual, 0, 2_000, 25)
    const rankOf = { long: ranks.rankOf(long), usual: ranks.rankOf(usual) }
    expect(rankOf[first]).toBe(0)
  })

  it('guards against chosen jobs beyond the supply', () => {
    const { ranks, submit } = createCell()
    const first = submit('first', 4)
    const second = submit('second', 4)
    expect([first, second].map(ranks.isChosen)).toEqual([true, false])
  })

  it('guards against shares without effect on the ranks, or that are asked with other work', () => {
    const asked: (readonly scheduling.CompetingJob[])[] = []
    const { ranks, submit } = createCell(undefined, (_service, jobs) => {
      asked.push(jobs)
      return jobs.map(({ job }) => ({
        shareClass: job.spec.id === 'small' ? 'above' : 'within',
        sinceMs: 0,
      }))
    })
    const large = submit('large', 40, 100)
    const small = submit('small', 4)
    expect(ranks.rankOf(large)).toBeLessThan(ranks.rankOf(small))
    const works = asked[0]?.map(({ job, unstartedCores, unstartedCoreMs, isExpired }) => {
      return [job.spec.id, unstartedCores, unstartedCoreMs, isExpired]
    })
    // In the order without shares; tasks of 2 cores and 4 s.
    expect(works).toEqual([
      ['small', 8, 32_000, false],
      ['large', 80, 320_000, false],
    ])
  })

  it('guards against a new ranking at each query for a cancelled job', () => {
    const { ranks, submit, cancel, rankings } = createCell()
    const cancelled = submit('cancelled', 4)
    const other = submit('other', 4)
    cancel('cancelled')
    for (let attempt = 0; attempt < 100; attempt += 1) {
      expect(ranks.rankOf(other)).toBe(0)
      expect(ranks.rankOf(cancelled)).toBeGreaterThan(0)
    }
    expect(rankings()).toBe(1)
  })

  it('ranks a job immediately that was submitted after the last ranking', () => {
    const { ranks, submit } = createCell()
    const first = submit('first', 2)
    expect(ranks.rankOf(first)).toBe(0)
    // The first one is already selected.
    expect(ranks.rankOf(submit('second', 2, 3_000))).toBe(1)
    expect(ranks.rankOf(first)).toBe(0)
  })
})
