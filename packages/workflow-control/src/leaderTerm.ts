/**
 * Work of the leader during one term: agent sessions, run ends, lost workers, stops and assignments. Its soft state is
 * rebuilt from reports in the next term; durable state is in the replicated state machine.
 */
import * as protocol from '@ebonyweir/protocol'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as workflowState from '@ebonyweir/workflow-state'
import * as admissionCounters from './admissionCounter.js'
import * as assignmentRounds from './assignmentRounds.js'
import * as clocks from './clock.js'
import type * as context from './context.js'
import * as disruptionBudgets from './disruptionBudget.js'
import * as durationLogs from './durationLog.js'
import * as endProcessors from './endProcessor.js'
import * as endMonitors from './endMonitor.js'
import * as jobAdmission from './jobAdmission.js'
import * as pendingEndCommits from './pendingEndCommits.js'
import * as bestEffortAccounting from './bestEffortAccounting.js'
import * as localityDecisions from './localityDecisions.js'
import type * as bestEffortPacing from './bestEffortPacing.js'
import * as proposalBatch from './proposalBatch.js'
import * as runLabels from './runLabels.js'
import * as runProgress from './runProgress.js'
import * as runStops from './runStops.js'
import * as termPolicies from './termPolicies.js'
import * as termShares from './termShares.js'
import * as waitMonitors from './waitMonitor.js'
import * as schedulingOptions from './schedulingOptions.js'
import * as sessions from './workerSession.js'

const { EndKind, RejectionReason } = protocol.workflow
const { MAX_STREAM_NUMBER } = protocol.fencing

/** Maximum age of a worker's newest run list for it to get new runs, in milliseconds: three lists were missed. */
const MAX_LIST_AGE_MS = 1_600

/** Interval of the checks for lost workers and for runs to stop, in milliseconds. */
const SWEEP_INTERVAL_MS = 100

/**
 * Gap between two sweeps after which the time without reports counts from the later sweep, in milliseconds. A longer gap
 * means that this process was frozen or its lease void, so reports are unread or were dropped; a busy event loop
 * delays a sweep by at most two turns of 0.5 s.
 */
const MAX_SWEEP_GAP_MS = 1_000

/** Time after which a worker's runs are checked without a new list, in milliseconds: the interval of the lists. */
const MAX_CHECK_AGE_MS = 400

/** Interval at which the time of best-effort tasks that no list contains is added up, in milliseconds. */
const ACCOUNTING_INTERVAL_MS = 400

interface RunCheck {
  readonly atMs: number
  /** Arrival time of the list that was checked. */
  readonly listedMs: number | undefined
}

/** Best-effort run that may move from the worker of a session. */
interface MovableRun extends bestEffortPacing.MoveCandidate {
  readonly run: TaskRun
  readonly session: sessions.WorkerSession
}

const NEVER_CHECKED: RunCheck = { atMs: Number.NEGATIVE_INFINITY, listedMs: undefined }

const FULL_PERCENT = 100

const MEDIAN = 0.5

/** Share of the tolerable pace at which a best-effort run starts: its neighbours' load may rise before the next list. */
const INITIAL_PACE_SHARE = 0.6

type TaskRun = protocol.workflow.TaskRun
type WorkerIdentity = protocol.workflow.WorkerIdentity

export interface LeaderTerm {
  readonly term: number
  /** Opens a session for an agent and ends an older session of the same agent. */
  readonly attach: (agent: string, stream: sessions.OrderStream) => sessions.WorkerSession
  readonly detach: (session: sessions.WorkerSession) => void
  readonly handleReport: (
    session: sessions.WorkerSession,
    report: protocol.workflow.WorkerReport,
  ) => void
  /** Schedules a round of assignments. */
  readonly dispatch: () => void
  /** Decides on the submission of a job that is not open; only a leader with a valid lease may ask. */
  readonly admit: jobAdmission.JobAdmission['admit']
  readonly hasStarted: (job: string) => boolean
  /** Lines that say where the waiting tasks of a job would be placed now, and why. */
  readonly explain: (job: workflowState.JobView) => readonly string[]
  readonly sessionCount: () => number
  /** What the model of task durations has learned in this term. */
  readonly learnedDurations: () => scheduling.LearnedCounts
  /** Fair shares of the term; undefined if they are off. */
  readonly shares: termShares.TermShares | undefined
  readonly stop: () => void
}

/** Key of the attempt that a run is part of: the members of a gang share one. */
const attemptOf = (run: TaskRun, isGang: boolean): string =>
  workflowState.runKey(isGang ? { ...run, index: 0 } : run)

/** What the end of a run says about its task. A stalled run says as little as a failed one. */
const taskEndOf = (
  kind: protocol.workflow.EndKind,
  wasStalled: boolean,
): scheduling.TaskEndKind => {
  if (kind === EndKind.COMPLETED) return 'completed'
  return kind === EndKind.FAILED || wasStalled ? 'failed' : 'interrupted'
}

const withShares = (
  policy: scheduling.AdmissionPolicy,
  shares: termShares.TermShares,
): scheduling.AdmissionPolicy =>
  scheduling.createFairShareAdmission({ policy, shares: () => shares })

export const createLeaderTerm = (
  ctx: context.TermContext,
  term: number,
  endCounter = endMonitors.createEndCounter(),
  policies: termPolicies.TermPolicies = termPolicies.DEFAULT_TERM_POLICIES,
  admissionCounter = admissionCounters.createAdmissionCounter(),
): LeaderTerm => {
  const { logger, timing } = ctx.options
  const { view, nowMs, clock = clocks.SYSTEM_CLOCK } = ctx
  /** Time since which this term has received reports without a gap. */
  let listeningSinceMs = nowMs()
  let sweptMs = listeningSinceMs
  let accountedMs = listeningSinceMs
  const byAgent = new Map<string, sessions.WorkerSession>()
  /** Streams of each agent in this term so far. */
  const streamCounts = new Map<string, number>()
  /** Sessions of `byAgent` by the key of the worker that they report. */
  const byWorker = new Map<string, sessions.WorkerSession>()
  /** Arrival time of the newest run list of each worker incarnation. */
  const listedMs = new Map<string, number>()
  const checkpoints = new Map<string, string>()
  const startedJobs = new Set<string>()
  const failedWorkers = new Map<string, Set<string>>()
  const pendingLostWorkers = new Set<string>()
  /** Latest check for runs to stop of each session. */
  const checked = new WeakMap<sessions.WorkerSession, RunCheck>()
  const stalledRuns = new Set<string>()
  const health = policies.createHealth()
  const durationModel = ctx.options.scheduling?.durationModel ?? 'mean'
  const durations = policies.createDurations(durationModel)
  const durationLog = durationLogs.createDurationLog({ logger, durations, nowMs })
  const slowWorkers = durationModel === 'quantile' ? scheduling.createSlowWorkers() : undefined
  const progress = runProgress.createRunProgress(durations)
  const shares = termShares.createTermShares({
    ctx,
    expected: durations,
    timeOfDayMs: clock.timeOfDayMs,
  })
  const disturbance = policies.createInterferenceModel()
  const endCommits = pendingEndCommits.createPendingEndCommits()
  const proposeBatched = proposalBatch.createProposalBatch(ctx)
  const accounting = bestEffortAccounting.createBestEffortAccounting({
    view,
    nowMs,
    work: ctx.work,
    logger,
  })
  const endMonitor = endMonitors.createEndMonitor({ logger, view, counter: endCounter, nowMs })

  const activeRun = (run: TaskRun): workflowState.ActiveRun | undefined => {
    const step = view.jobs.get(run.job)?.occurrences.get(run.occurrence)?.steps[run.step]
    const task = step?.tasks[run.index]
    if (step === undefined || task?.phase !== 'assigned' || task.run !== run.run) return undefined
    return { step, task }
  }

  const budget = disruptionBudgets.createDisruptionBudget({
    nowMs,
    sessionOf: (key) => byWorker.get(key),
  })
  const stops = runStops.createRunStops({ logger, budget, activeRun })

  const isGang = ({ job, occurrence, step }: TaskRun): boolean =>
    view.jobs.get(job)?.occurrences.get(occurrence)?.steps[step]?.spec.gang ?? false

  const isHeldBy = (active: workflowState.ActiveRun, key: string): boolean =>
    active.task.worker !== undefined && workflowState.workerKey(active.task.worker) === key

  const checkpointOf = (run: TaskRun): string =>
    checkpoints.get(workflowState.taskKey(run)) ?? activeRun(run)?.task.checkpoint ?? ''

  /** Whether the worker of a completed run is far from what the task wanted, so that the run may be slow for that reason. */
  const isRemote = (worker: WorkerIdentity, { spec }: workflowState.StepView): boolean => {
    const rack = sessionOf(workflowState.workerKey(worker))?.worker?.rack
    return spec.sameRack || (spec.dataRack !== '' && spec.dataRack !== rack)
  }

  const observeDuration = (
    worker: WorkerIdentity,
    step: workflowState.StepView,
    durationMs: number,
  ): void => {
    durations.observe(step, durationMs)
    if (slowWorkers === undefined || isRemote(worker, step)) return
    const isEvidence = slowWorkers.observe({
      worker: worker.id,
      job: step.job.spec.id,
      image: scheduling.imageOf(step),
      relativeDuration: durationMs / Math.max(1, durations.quantileMs(step, MEDIAN)),
      startedMs: nowMs() - durationMs,
      endedMs: nowMs(),
    })
    if (!isEvidence) return
    logger.warn('worker is slow', { worker: worker.id, durationMs: Math.round(durationMs) })
    health.recordSlowness(worker.id, nowMs())
  }

  const observeEnd = (worker: WorkerIdentity, end: protocol.workflow.RunEnd): void => {
    const { run, kind } = end
    if (run === undefined) return
    accounting.recordEnd(end)
    const key = workflowState.taskKey(run)
    const now = nowMs()
    const hasCheckpoint = kind !== EndKind.COMPLETED && checkpointOf(run) !== ''
    const observed = progress.remove(run, hasCheckpoint)
    pacing.forget(workflowState.runKey(run))
    budget.forget(run)
    const wasStalled = stalledRuns.delete(workflowState.runKey(run))
    const step = activeRun(run)?.step
    if (step !== undefined) {
      durations.endTask(step, run.index, taskEndOf(kind, wasStalled), hasCheckpoint)
    }
    if (kind === EndKind.COMPLETED) {
      health.recordSuccess(worker.id)
      failedWorkers.delete(key)
      checkpoints.delete(key)
      if (step !== undefined && observed !== undefined && !step.spec.filling) {
        const rack = byWorker.get(workflowState.workerKey(worker))?.worker?.rack
        const slowdown = localityDecisions.slowdownOf(ctx, step, rack)
        observeDuration(worker, step, (now - observed.startedMs) / slowdown)
      }
    }
    if (kind === EndKind.FAILED || (kind === EndKind.STOPPED && wasStalled)) {
      health.recordFailure(worker.id, now, attemptOf(run, isGang(run)))
      const workers = failedWorkers.get(key) ?? new Set()
      failedWorkers.set(key, workers.add(worker.id))
    }
  }

  const commitEnds = async (
    worker: WorkerIdentity,
    ends: readonly protocol.workflow.RunEnd[],
  ): context.Proposed => {
    endCommits.add(ends)
    const result = await proposeBatched({ $case: 'ends', value: { worker, ends } })
    endCommits.remove(ends)
    if (result.isOk()) rounds.dispatch()
    return result
  }

  /** Commits ends of runs that `worker` holds and did not report as ended. */
  const recordEnds = async (
    worker: WorkerIdentity,
    ends: readonly protocol.workflow.RunEnd[],
  ): Promise<void> => {
    for (const end of ends) observeEnd(worker, end)
    const result = await commitEnds(worker, ends)
    if (result.isOk()) {
      endMonitor.recordCommitted(worker, ends)
      return
    }
    logger.warn('ends not committed', { worker: worker.id, reason: result.error.kind })
    // The runs stay assigned, and `reconcile` may have skipped their orders while the commit was pending.
    const session = sessionOf(workflowState.workerKey(worker))
    const isListed = session?.listedMs !== undefined
    if (result.error.kind === 'overloaded' && isListed) reconcile(session)
  }

  /** Initial pace, the share of full speed: a best-effort run starts at what its neighbours are expected to tolerate. */
  const startPacePercent = ({ step, task }: workflowState.ActiveRun): number => {
    if (!step.spec.filling || task.worker === undefined) return FULL_PERCENT
    const key = workflowState.workerKey(task.worker)
    const load = view.loads.get(key)
    const newCount = Math.max(1, scheduling.unlistedBestEffortCount(key, load, disturbance))
    const toleratedShare =
      disturbance.safeToleratedCount(key, step.spec.image, ranks.rankOf(step)) / newCount
    return Math.round(Math.min(1, toleratedShare * INITIAL_PACE_SHARE) * FULL_PERCENT)
  }

  const startOrder = (
    active: workflowState.ActiveRun,
    repeated: boolean,
  ): protocol.workflow.StartOrder => ({
    run: runLabels.runOf(active),
    command: active.step.job.spec.command,
    checkpoint: active.task.checkpoint,
    tailTargetMs: active.step.spec.tailTargetMs,
    filling: active.step.spec.filling,
    pacePercent: startPacePercent(active),
    repeated,
  })

  /**
   * Repeats orders that an agent may have missed before it attached. A run whose end is being committed gets none, since
   * it could start here while the next run of its task is assigned.
   */
  const reconcile = (session: sessions.WorkerSession): void => {
    const load = view.loads.get(session.key)
    if (load === undefined) return
    const starts: protocol.workflow.StartOrder[] = []
    const ended: TaskRun[] = []
    const withdrawn: TaskRun[] = []
    const domain = session.worker?.failureDomain ?? ''
    for (const active of load.runs.values()) {
      const run = runLabels.runOf(active)
      if (endCommits.has(run) || endProcessor.hasOpenEnd(run)) continue
      const isRunning = session.running.has(workflowState.runKey(run))
      const mayStart = !view.evacuated.has(domain) && !session.draining
      if (active.step.job.phase !== 'active') ended.push(run)
      else if (!isRunning && !mayStart) withdrawn.push(run)
      else starts.push(startOrder(active, true))
    }
    session.start(starts)
    stops.stop(session, ended, 'job ended')
    stops.withdrawStarts(session, withdrawn)
  }

  /** Records the runs of an incarnation that has certainly stopped as lost, except runs whose end is being committed. */
  const declareLost = (load: workflowState.WorkerLoad, why: string): void => {
    const key = workflowState.workerKey(load.identity)
    if (pendingLostWorkers.has(key)) return
    const runs = [...load.runs.values()]
      .map(runLabels.runOf)
      .filter((run) => !endProcessor.retryOpenEnds(load.identity, run))
    if (runs.length === 0) return
    pendingLostWorkers.add(key)
    logger.warn('worker lost', {
      worker: load.identity.id,
      bornMs: load.identity.bornMs,
      why,
      runs: runLabels.describeRuns(runs),
    })
    const ends = runs.map((run) => ({ run, kind: EndKind.LOST, checkpoint: checkpointOf(run) }))
    void recordEnds(load.identity, ends).finally(() => {
      pendingLostWorkers.delete(key)
    })
  }

  /** Declares earlier workers of an instance lost once the instance reports a newer one. */
  const handleIdentity = (session: sessions.WorkerSession): void => {
    const current = session.identity
    if (current === undefined) return
    for (const load of [...view.loads.values()]) {
      const { agent, id, bornMs } = load.identity
      if (agent !== session.agent || id === current.id || bornMs >= current.bornMs) continue
      declareLost(load, 'replaced by another worker')
    }
    stopRunsOfOldIncarnation(session)
  }

  /**
   * An order to an earlier incarnation with the same id may still be carried out by the new one. A stop order prevents
   * that, and its confirmation ends the run.
   */
  const stopRunsOfOldIncarnation = (session: sessions.WorkerSession): void => {
    const { identity } = session
    if (identity === undefined) return
    for (const { identity: held, runs } of view.loads.values()) {
      if (held.id === identity.id && held.bornMs < identity.bornMs) {
        stops.stop(session, [...runs.values()].map(runLabels.runOf), 'earlier incarnation')
      }
    }
  }

  /** The same for all sessions, in one pass over the loads. */
  const stopRunsOfOldIncarnations = (): void => {
    const byWorkerId = new Map<string, sessions.WorkerSession[]>()
    for (const session of byAgent.values()) {
      const id = session.listedMs === undefined ? undefined : session.identity?.id
      if (id !== undefined) byWorkerId.set(id, [...(byWorkerId.get(id) ?? []), session])
    }
    for (const { identity: held, runs } of view.loads.values()) {
      for (const session of byWorkerId.get(held.id) ?? []) {
        const bornMs = session.identity?.bornMs ?? held.bornMs
        if (held.bornMs >= bornMs) continue
        stops.stop(session, [...runs.values()].map(runLabels.runOf), 'earlier incarnation')
      }
    }
  }

  const handleRunning = (session: sessions.WorkerSession): void => {
    const unknown: TaskRun[] = []
    const now = nowMs()
    for (const [key, task] of session.running) {
      if (task.run === undefined) continue
      const active = activeRun(task.run)
      if (active === undefined || !isHeldBy(active, session.key)) {
        unknown.push(task.run)
        continue
      }
      startedJobs.add(task.run.job)
      if (task.checkpoint !== '') {
        checkpoints.set(workflowState.taskKey(task.run), task.checkpoint)
      }
      const slowdown = localityDecisions.slowdownOf(ctx, active.step, session.worker?.rack)
      progress.update(active, task, key, now, slowdown)
      accounting.recordRunning(active, task, key)
    }
    if (unknown.length === 0) return
    logger.info('worker reports runs that are not assigned to it', {
      worker: session.identity?.id,
      runs: runLabels.describeRuns(unknown),
    })
    stops.stop(session, unknown, 'not assigned')
  }

  /**
   * Identity under which an end reported by `session` is recorded. This incarnation may have carried out an order to an
   * earlier one with the same id, and such a completion counts.
   */
  const holderOf = (
    session: sessions.WorkerSession,
    active: workflowState.ActiveRun,
  ): WorkerIdentity | undefined => {
    const holder = active.task.worker
    const reporter = session.identity
    if (reporter === undefined || holder?.id !== reporter.id) return undefined
    return holder.bornMs <= reporter.bornMs ? holder : undefined
  }

  const endProcessor = endProcessors.createEndProcessor({
    logger,
    monitor: endMonitor,
    holderOf: (session, run) => {
      const active = activeRun(run)
      return active && holderOf(session, active)
    },
    isLateEnd: (end) => workflowState.isLateEnd(view.jobs, end),
    checkpointOf,
    observeEnd,
    commit: commitEnds,
    sessionOf: (agent) => byAgent.get(agent),
  })

  const handleEnds = (
    session: sessions.WorkerSession,
    { ended }: protocol.workflow.WorkerReport,
  ): void => {
    for (const { end } of ended) if (end?.run !== undefined) startedJobs.add(end.run.job)
    endProcessor.handle(session, ended)
  }

  const recordLossInOldIncarnation = (session: sessions.WorkerSession, run: TaskRun): void => {
    const active = activeRun(run)
    const holder = active && holderOf(session, active)
    if (holder === undefined || endProcessor.retryOpenEnds(holder, run)) return
    const end = { run, kind: EndKind.LOST, checkpoint: checkpointOf(run) }
    void recordEnds(holder, [end])
  }

  const handleRejections = (
    session: sessions.WorkerSession,
    report: protocol.workflow.WorkerReport,
  ): void => {
    const { identity, key } = session
    if (identity === undefined || report.rejected.length === 0) return
    // A later session has repeated the orders; rejections that still apply are reported there again.
    if (byAgent.get(session.agent) !== session) return
    const ends: protocol.workflow.RunEnd[] = []
    for (const { run, reason } of report.rejected) {
      const active = run && activeRun(run)
      if (run === undefined || active === undefined) continue
      if (!isHeldBy(active, key)) {
        recordLossInOldIncarnation(session, run)
        continue
      }
      if (reason !== RejectionReason.ABSENT) health.recordRefusal(identity.id, nowMs())
      ends.push({ run, kind: EndKind.REJECTED, checkpoint: '' })
    }
    logger.info('runs rejected', {
      worker: identity.id,
      runs: report.rejected
        .slice(0, runLabels.MAX_LOGGED_RUNS)
        .map(({ run, reason }) => `${run ? workflowState.runKey(run) : ''} ${reason}`),
    })
    if (ends.length > 0) void recordEnds(identity, ends)
  }

  const removeFromIndex = (session: sessions.WorkerSession, key: string): void => {
    if (byWorker.get(key) === session) byWorker.delete(key)
  }

  /** Updates the index after the worker of a session changed; a session that was replaced stays out of it. */
  const indexByWorker = (session: sessions.WorkerSession, keyBefore: string): void => {
    removeFromIndex(session, keyBefore)
    if (byAgent.get(session.agent) === session) byWorker.set(session.key, session)
  }

  const processReport: LeaderTerm['handleReport'] = (session, report) => {
    const keyBefore = session.key
    const listed = session.update(report)
    if (session.key !== keyBefore) indexByWorker(session, keyBefore)
    const { identity } = session
    if (identity === undefined) return
    // Only a list shows that the worker itself runs as this incarnation; an announcement may be from another writer.
    if (listed === 'first') handleIdentity(session)
    session.answer(report)
    if (report.sample > 0 && session.listedMs !== undefined) {
      listedMs.set(session.key, session.listedMs)
    }
    handleEnds(session, report)
    handleRejections(session, report)
    if (listed !== 'same') {
      handleRunning(session)
      pacing.pace(session)
    }
    if (listed === 'first') {
      logger.info('worker attached', {
        agent: session.agent,
        worker: identity.id,
        bornMs: identity.bornMs,
        running: session.running.size,
      })
      reconcile(session)
      rounds.dispatch()
    }
  }

  const handleReport: LeaderTerm['handleReport'] = (session, report) => {
    ctx.work.count('reports')
    ctx.work.measure('report', () => {
      processReport(session, report)
    })
  }

  const sessionOf = (key: string): sessions.WorkerSession | undefined => byWorker.get(key)

  /** Whether a run on a draining worker should move now. */
  const shouldLeaveDraining = (
    session: sessions.WorkerSession,
    active: workflowState.ActiveRun,
  ): boolean => {
    if (!session.draining) return false
    const { spec } = active.step
    if (spec.lasting || spec.checkpointing) return true
    const last = progress.get(runLabels.runOf(active))
    const share = durations.remainingShare(active.step, active.task.index, last?.percent ?? 0)
    return durations.expect(active.step) * share > session.drainRemainingMs
  }

  const isStalled = (session: sessions.WorkerSession, active: workflowState.ActiveRun): boolean => {
    const { spec } = active.step
    if (spec.filling || spec.lasting || spec.gang) return false
    const last = progress.get(runLabels.runOf(active))
    // Without a recent list, missing progress says nothing about the run.
    if (last === undefined || session.listedMs === undefined) return false
    // The tail and the own rate of a long task count: it is as long on any worker, and a stop would discard its work.
    const expectedMs = Math.max(
      durations.quantileMs(active.step, scheduling.TAIL_QUANTILE),
      durations.longestMs(active.step),
    )
    if (!scheduling.isStalled(last, expectedMs, session.listedMs)) return false
    const key = workflowState.runKey(runLabels.runOf(active))
    // Lists show no progress of a run that has ended; its end may wait at the worker behind others.
    if (['ended', 'unknown'].includes(session.stateOf(key))) return false
    stalledRuns.add(key)
    return true
  }

  /** Whether the runs of a worker are to be checked: once for each of its lists, and from time to time without one. */
  const isCheckDue = (session: sessions.WorkerSession, now: number): boolean => {
    const { atMs, listedMs: checkedListMs } = checked.get(session) ?? NEVER_CHECKED
    if (session.listedMs === checkedListMs && now - atMs < MAX_CHECK_AGE_MS) return false
    checked.set(session, { atMs: now, listedMs: session.listedMs })
    return true
  }

  /** Stops runs that must not go on where they are, and returns those that may move to a better worker. */
  const sweepStops = (
    session: sessions.WorkerSession,
    load: workflowState.WorkerLoad,
  ): readonly MovableRun[] => {
    const obsolete: TaskRun[] = []
    const leaving: TaskRun[] = []
    const stalled: TaskRun[] = []
    const movable: MovableRun[] = []
    for (const active of load.runs.values()) {
      const run = runLabels.runOf(active)
      if (active.step.job.phase !== 'active') obsolete.push(run)
      else if (shouldLeaveDraining(session, active)) leaving.push(run)
      else if (isStalled(session, active)) stalled.push(run)
      else if (active.step.spec.filling && pacing.mayMove(active, run)) {
        movable.push({ active, run, session })
      }
    }
    stops.stop(session, obsolete, 'job ended')
    stops.stop(session, leaving, 'worker drains')
    stops.stop(session, stalled, 'stalled')
    return movable
  }

  /** Withdraws start orders in an evacuated failure domain whose runs were not confirmed as running. */
  const withdrawEvacuated = (
    session: sessions.WorkerSession,
    load: workflowState.WorkerLoad,
  ): void => {
    if (!view.evacuated.has(session.worker?.failureDomain ?? '')) return
    const unconfirmed = [...load.runs.values()]
      .map(runLabels.runOf)
      .filter((run) => !session.running.has(workflowState.runKey(run)))
    stops.withdrawStarts(session, unconfirmed)
  }

  const sweep = (): void => {
    endMonitor.sweep()
    if (ctx.leadingTerm() !== term) return
    waitMonitor.sweep()
    durationLog.sweep()
    const now = nowMs()
    if (now - accountedMs >= ACCOUNTING_INTERVAL_MS) {
      accountedMs = now
      accounting.sweep()
    }
    if (now - sweptMs > MAX_SWEEP_GAP_MS) listeningSinceMs = now
    sweptMs = now
    const movable: MovableRun[] = []
    const workers = eligibleWorkers()
    const workerSearch = policies.createBestEffortWorkerSearch({
      view,
      workers,
      disturbance,
      fillerRank: ranks.rankOf,
      mayDisturb: ranks.isChosen,
    })
    for (const [key, load] of view.loads) {
      const lastListedMs = Math.max(listedMs.get(key) ?? listeningSinceMs, listeningSinceMs)
      if (now - lastListedMs > timing.workerLostMs) {
        declareLost(load, `no run list for ${Math.round(now - lastListedMs)} ms`)
        const lost = sessionOf(key)
        if (lost !== undefined)
          stops.stop(lost, [...load.runs.values()].map(runLabels.runOf), 'worker lost')
        continue
      }
      const session = sessionOf(key)
      if (session === undefined) continue
      if (isCheckDue(session, now)) movable.push(...sweepStops(session, load))
      withdrawEvacuated(session, load)
    }
    for (const { session, run } of pacing.chooseMoves(movable, workers.length, workerSearch)) {
      stops.stop(session, [run], 'moved')
    }
    stopRunsOfOldIncarnations()
    rounds.dispatch()
  }

  const eligibleWorkers = (): readonly scheduling.PlacementWorker[] => {
    const now = nowMs()
    const eligible: scheduling.PlacementWorker[] = []
    for (const { worker, identity, draining, listedMs: atMs } of byAgent.values()) {
      if (worker === undefined || identity === undefined || draining) continue
      if (atMs === undefined || now - atMs > MAX_LIST_AGE_MS) continue
      if (!health.accepts(identity.id, now)) continue
      eligible.push({
        description: worker,
        consecutiveFailures: health.consecutiveFailures(identity.id),
      })
    }
    return eligible
  }

  const sendStarts = (accepted: readonly protocol.workflow.Assignment[]): void => {
    const byWorker = new Map<string, protocol.workflow.StartOrder[]>()
    // A newer leader may have sent these orders after the commit.
    const repeated = ctx.leadingTerm() !== term
    for (const { task, worker } of accepted) {
      const active = task && activeRun(task)
      if (active !== undefined) shares?.recordStart(active)
      if (worker === undefined || active?.step.job.phase !== 'active') continue
      const key = workflowState.workerKey(worker)
      byWorker.set(key, [...(byWorker.get(key) ?? []), startOrder(active, repeated)])
    }
    for (const [key, orders] of byWorker) sessionOf(key)?.start(orders)
  }

  const ranks = policies.createBestEffortRanks({
    view,
    expected: durations,
    disturbance,
    nowMs,
    timeOfDayMs: clock.timeOfDayMs,
    percentOf: progress.percentOf,
    work: ctx.work,
    eligibleWorkers,
    shares: shares?.standingsOfJobs,
  })

  const { admissionPolicy } = ctx.options.scheduling ?? schedulingOptions.DEFAULT_SCHEDULING_OPTIONS
  const basePolicy = jobAdmission.createAdmissionPolicy(admissionPolicy)
  const admission = jobAdmission.createJobAdmission({
    policy: shares === undefined ? basePolicy : withShares(basePolicy, shares),
    usesLoad: admissionPolicy !== 'accept-all',
    view,
    expected: durations,
    nowMs,
    timeOfDayMs: clock.timeOfDayMs,
    percentOf: progress.percentOf,
    eligibleWorkers,
    sessionCount: () => byAgent.size,
    bestEffortLoadOf: ranks.loadOf,
    work: ctx.work,
    counter: admissionCounter,
  })

  const pacing = policies.createBestEffortPacing({
    disturbance,
    rankOf: ranks.rankOf,
    leftCpuMillis: ({ worker, key }) =>
      worker?.capacity === undefined
        ? 0
        : scheduling.bestEffortCpuMillis(key, worker.capacity, view.loads.get(key), disturbance),
    activeRun,
    nowMs,
    percentOf: progress.percentOf,
  })

  const rounds = assignmentRounds.createAssignmentRounds({
    ctx,
    term,
    expected: durations,
    disturbance,
    eligibleWorkers,
    fillerRank: ranks.rankOf,
    mayDisturb: ranks.isChosen,
    avoids: (task, worker) => failedWorkers.get(workflowState.taskKey(task))?.has(worker) ?? false,
    locality: localityDecisions.createLocalityDecisions({ ctx, durations, progress }),
    planAssignments: policies.planAssignments,
    shares: shares?.standingsOfSteps,
    start: sendStarts,
  })

  const waitMonitor = waitMonitors.createWaitMonitor({ logger, view, nowMs, eligibleWorkers })

  /** Ends a stream that has no number left; its agent gets no orders in this term, since no number may be used twice. */
  const refuse = (agent: string, stream: sessions.OrderStream): sessions.OrderStream => {
    logger.error('agent refused: it has attached too often in this term', { agent })
    stream.end()
    return { send: () => undefined, end: () => undefined }
  }

  const cancelSweeps = clock.every(SWEEP_INTERVAL_MS, () => {
    ctx.work.measure('sweep', sweep)
  })

  return {
    term,
    attach: (agent, stream) => {
      const replaced = byAgent.get(agent)
      replaced?.end()
      if (replaced !== undefined) removeFromIndex(replaced, replaced.key)
      const streamNumber = (streamCounts.get(agent) ?? 0) + 1
      streamCounts.set(agent, streamNumber)
      const session = sessions.createWorkerSession({
        agent,
        stream: streamNumber > MAX_STREAM_NUMBER ? refuse(agent, stream) : stream,
        fence: term,
        streamNumber,
        workerLeaseMs: timing.workerLeaseMs,
        nowMs,
        isKnownService: (service) =>
          view.configuration?.pools.some((pool) => pool.service === service) ?? true,
      })
      byAgent.set(agent, session)
      return session
    },
    detach: (session) => {
      if (byAgent.get(session.agent) !== session) return
      byAgent.delete(session.agent)
      removeFromIndex(session, session.key)
      logger.warn('worker detached', { agent: session.agent, worker: session.identity?.id })
    },
    handleReport,
    dispatch: rounds.dispatch,
    admit: admission.admit,
    hasStarted: (job) => startedJobs.has(job),
    explain: (job) => {
      const input = rounds.currentInput()
      const steps = scheduling.explainPlacement(input, job)
      if (steps.length === 0) return ['no task waits for a worker']
      return steps.flatMap((step) => scheduling.describeStep(step, input.nowMs))
    },
    sessionCount: () => byAgent.size,
    learnedDurations: durations.learned,
    shares,
    stop: () => {
      rounds.stop()
      cancelSweeps()
      for (const session of byAgent.values()) session.end()
      byAgent.clear()
      byWorker.clear()
    },
  }
}
