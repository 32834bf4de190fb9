/** Plays jobs against a locality policy: the real state machine and placement on simulated time, without a network. */
import * as protocol from '@ebonyweir/protocol'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as workflowState from '@ebonyweir/workflow-state'
import * as support from './support.js'

const { EndKind } = protocol.workflow

/** Interval of the leader's sweeps, which schedule rounds. */
const SWEEP_MS = 100

/** End of a play whose jobs do not complete. */
const LIMIT_MS = 120_000

export interface PlayedJob {
  readonly id: string
  readonly atMs: number
  readonly step: Partial<protocol.workflow.Step>
  /** Duration of each task on a near worker. */
  readonly durationsMs: readonly number[]
  /** @default 300 */
  readonly latencyTargetMs?: number
}

export interface PlayOptions {
  readonly workers: readonly ReturnType<typeof support.worker>[]
  readonly jobs: readonly PlayedJob[]
  /** @default the placement with the part off */
  readonly policy?: scheduling.LocalityPolicy | undefined
  readonly remoteFactor: number
  readonly lostDomain?: { readonly atMs: number; readonly failureDomain: string }
}

export interface JobResult {
  readonly completionMs: number
  readonly inTime: boolean
  /** Time from the submission to the start of the last task. */
  readonly waitedMs: number
  /** Workers of the tasks, by index. */
  readonly workers: readonly string[]
  readonly remoteTasks: number
}

export interface PlayResult {
  readonly jobs: ReadonlyMap<string, JobResult>
  readonly totals: scheduling.LocalityTotals | undefined
  readonly rounds: number
}

interface Running {
  readonly run: protocol.workflow.TaskRun
  readonly worker: protocol.workflow.WorkerIdentity
  readonly step: workflowState.StepView
  readonly startedMs: number
  readonly endMs: number
  readonly slowdown: number
}

interface Started {
  readonly startedMs: number
  readonly worker: string
  readonly isRemote: boolean
}

export const play = (options: PlayOptions): PlayResult => {
  const { policy, remoteFactor, lostDomain } = options
  const jobs = [...options.jobs].sort((a, b) => a.atMs - b.atMs)
  const byWorker = new Map(options.workers.map((worker) => [worker.identity.id, worker]))
  const byId = new Map(jobs.map((job) => [job.id, job]))
  const cell = support.createCell(options.workers)
  const running = new Map<string, Running>()
  /** Latest start of each task, by job. */
  const started = new Map<string, Map<number, Started>>()
  const results = new Map<string, JobResult>()
  let now = 0
  let rounds = 0
  let waitEndMs = Number.POSITIVE_INFINITY
  let submitted = 0
  const lostDomains = new Set<string>()

  const remainingMs = ({ step, task }: workflowState.ActiveRun): number => {
    const { job, occurrence, index } = step
    const identity = { job: job.spec.id, occurrence, step: index, index: task.index }
    const run = running.get(workflowState.taskKey(identity))
    if (run === undefined) return cell.expected.expect(step)
    const workedMs = now - run.startedMs
    const percent = (100 * workedMs) / (run.endMs - run.startedMs)
    return cell.expected.remainingMs(step, workedMs, percent)
  }
  const locality =
    policy &&
    scheduling.createLocalityWaits({ policy, remoteFactor, remainingMs, nowMs: () => now })

  const isRemote = (step: workflowState.StepView, worker: string): boolean => {
    const rack = byWorker.get(worker)?.rack
    if (step.spec.dataRack !== '') return rack !== step.spec.dataRack
    if (!step.spec.sameRack) return false
    const others = [...running.values()].filter((other) => other.step === step)
    return others.some((other) => byWorker.get(other.worker.id)?.rack !== rack)
  }

  const start = ({ task, worker }: protocol.workflow.Assignment): void => {
    const step = task && cell.state.view.jobs.get(task.job)?.occurrences.get(0)?.steps[0]
    const runNumber = task && step?.tasks[task.index]?.run
    if (task === undefined || worker === undefined || step === undefined) return
    const remote = isRemote(step, worker.id)
    const slowdown = remote ? remoteFactor : 1
    const durationMs = (byId.get(task.job)?.durationsMs[task.index] ?? Number.NaN) * slowdown
    const ofJob = started.get(task.job) ?? new Map<number, Started>()
    started.set(task.job, ofJob)
    ofJob.set(task.index, { startedMs: now, worker: worker.id, isRemote: remote })
    running.set(workflowState.taskKey(task), {
      run: { ...task, run: runNumber ?? 1 },
      worker,
      step,
      startedMs: now,
      endMs: now + durationMs,
      slowdown,
    })
  }

  /** The members of a gang advance together, as fast as the slowest of them. */
  const alignGangs = (): void => {
    for (const [key, each] of running) {
      if (!each.step.spec.gang) continue
      const members = [...running.values()].filter(({ step }) => step === each.step)
      const endMs = Math.max(...members.map((member) => member.endMs))
      running.set(key, { ...each, endMs })
    }
  }

  const plan = (): void => {
    rounds += 1
    const input = cell.input(now)
    const made = scheduling.planAssignments({
      ...input,
      workers: input.workers.filter(
        ({ description }) => !lostDomains.has(description.failureDomain),
      ),
      maxAssignments: 200,
      ...(locality && { locality }),
    })
    waitEndMs = made.firstWaitEndMs ?? Number.POSITIVE_INFINITY
    cell.state.apply({ nowMs: now, body: { $case: 'assign', value: made } })
    for (const assignment of made.assignments) start(assignment)
    alignGangs()
  }

  const recordEnd = ({ run, worker }: Running, kind: protocol.workflow.EndKind): void => {
    running.delete(workflowState.taskKey(run))
    const ends = [{ run, kind, checkpoint: '' }]
    cell.state.apply({ nowMs: now, body: { $case: 'ends', value: { worker, ends } } })
  }

  const recordResult = (step: workflowState.StepView): void => {
    const { id } = step.job.spec
    const starts = [...(started.get(id) ?? [])].sort(([a], [b]) => a - b).map(([, each]) => each)
    const completionMs = now - step.job.submittedMs
    results.set(id, {
      completionMs,
      inTime: completionMs <= scheduling.objectiveMs([step], step.job.queue, cell.expected),
      waitedMs: Math.max(...starts.map(({ startedMs }) => startedMs)) - step.job.submittedMs,
      workers: starts.map(({ worker }) => worker),
      remoteTasks: starts.filter((each) => each.isRemote).length,
    })
  }

  const complete = (each: Running): void => {
    recordEnd(each, EndKind.COMPLETED)
    // The end of one member completes the gang.
    if (each.step.spec.gang)
      for (const [key, { step }] of running) if (step === each.step) running.delete(key)
    cell.expected.observe(each.step, (now - each.startedMs) / each.slowdown)
    if (each.step.job.phase === 'completed') recordResult(each.step)
  }

  const loseDomain = (): void => {
    if (lostDomain !== undefined) lostDomains.add(lostDomain.failureDomain)
    for (const each of [...running.values()]) {
      const domain = byWorker.get(each.worker.id)?.failureDomain
      if (domain === lostDomain?.failureDomain) recordEnd(each, EndKind.LOST)
    }
  }

  const submitDue = (): void => {
    for (let job = jobs[submitted]; job !== undefined && job.atMs <= now; job = jobs[submitted]) {
      const { id, durationsMs, latencyTargetMs = 300 } = job
      const step = support.step({ taskCount: durationsMs.length, ...job.step })
      cell.submit(id, [step], support.queue({ slackFactor: 2.5, latencyTargetMs }), now)
      submitted += 1
    }
  }

  while (results.size < jobs.length && now < LIMIT_MS) {
    const sweepMs = cell.state.view.readySteps.size > 0 ? now + SWEEP_MS : Infinity
    const ends = [...running.values()].map(({ endMs }) => endMs)
    const lossMs = lostDomains.size > 0 ? Infinity : (lostDomain?.atMs ?? Infinity)
    const arrivalMs = jobs[submitted]?.atMs ?? Infinity
    now = Math.max(now, Math.min(sweepMs, waitEndMs, arrivalMs, lossMs, ...ends))
    for (const [key, each] of [...running])
      if (each.endMs <= now && running.has(key)) complete(each)
    if (lossMs <= now) loseDomain()
    submitDue()
    waitEndMs = Infinity
    if (cell.state.view.readySteps.size > 0) plan()
  }
  return { jobs: results, totals: locality?.totals(), rounds }
}
