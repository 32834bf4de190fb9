/** Worker protocol: processes reports and ended attempts, renews leases and replies with directives. */
import type * as controlState from '@ebonyweir/control-state'
import * as protocol from '@ebonyweir/protocol'
import type * as context from './context.js'
import type * as httpRouter from './httpRouter.js'
import type * as leaderTerm from './leaderTerm.js'
import * as replies from './replies.js'
import * as schemas from './schemas.js'

type SyncRequest = protocol.workerApi.WorkerSyncRequest
type SyncReply = protocol.workerApi.WorkerSyncReply

const { TaskOutcome } = protocol.command

const FULL_CPU_PERCENT = 100

const isRegistered = (worker: controlState.WorkerView | undefined, sync: SyncRequest): boolean =>
  worker?.incarnation === sync.incarnation &&
  worker.failureDomain === sync.failureDomain &&
  worker.rack === sync.rack &&
  worker.capacity.cpuMillis === sync.capacity.cpuMillis &&
  worker.capacity.memoryMb === sync.capacity.memoryMb &&
  worker.capacity.accelerators === sync.capacity.accelerators

/** Registers a new or changed worker. Returns a reply only if that failed. */
const register = async (
  ctx: context.ControlContext,
  sync: SyncRequest,
): Promise<httpRouter.HttpReply | undefined> => {
  if (isRegistered(ctx.view.worker(sync.worker), sync)) return undefined
  const { worker, incarnation, capacity, rack, failureDomain } = sync
  const value = { worker, incarnation, capacity, rack, failureDomain }
  const result = await ctx.propose({ $case: 'registerWorker', value })
  if (result.isErr()) return replies.proposeFailure(ctx, result.error)
  const outcome = result.value
  if (outcome.kind !== 'refused') return undefined
  return replies.refusal(409, { error: 'refused', detail: outcome.reason, outcome: 'not-run' })
}

const outcomeOf = (
  ended: protocol.workerApi.EndedTaskJson,
  isStopping: boolean,
): protocol.command.TaskOutcome => {
  switch (ended.outcome) {
    case 'completed':
      return TaskOutcome.COMPLETED
    case 'failed':
      return TaskOutcome.FAILED
    case 'evicted':
      return TaskOutcome.EVICTED
    case 'cancelled':
      // If the task itself does not have to stop, the stop only moves it to another worker.
      return isStopping ? TaskOutcome.CANCELLED : TaskOutcome.EVICTED
  }
}

/** Commits the ends of current attempts. Returns true if all reported ends may be acknowledged. */
const commitEnds = async (ctx: context.ControlContext, sync: SyncRequest): Promise<boolean> => {
  const ends = sync.ended.flatMap((ended) => {
    const task = ctx.view.task(ended.task)
    if (task?.worker !== sync.worker || task.attempt !== ended.attempt) return []
    const outcome = outcomeOf(ended, ctx.view.stopping().has(task))
    const { attempt, checkpoint, reason } = ended
    return [{ task: ended.task, attempt, outcome, checkpoint, reason }]
  })
  if (ends.length === 0) return true
  const result = await ctx.propose({ $case: 'endTasks', value: { ends } })
  return result.isOk()
}

const reportOf = (
  sync: SyncRequest,
  term: leaderTerm.LeaderTerm,
  receivedAtMs: number,
): leaderTerm.LeaderTerm['reports'][number] => {
  // Converts wall-clock timestamps of the worker, via their age, to the leader's monotonic clock.
  const ageMs = (atMs: number): number => Math.max(0, Date.now() - atMs)
  const percentOf = (task: string): number => {
    const directive = term.directives.get(task)
    return directive?.kind === 'throttle' ? directive.cpuPercent : FULL_CPU_PERCENT
  }
  return {
    worker: sync.worker,
    incarnation: sync.incarnation,
    receivedAtMs,
    running: sync.running.map((running) => ({
      task: running.task,
      attempt: running.attempt,
      usage: running.usage,
      usageAtMs: receivedAtMs - ageMs(running.usage.atMs),
      cpuPercent: running.throttled ? percentOf(running.task) : FULL_CPU_PERCENT,
      progressUnits: running.progressUnits,
    })),
    services: sync.services.map(({ service, p99Ms, atMs }) => ({
      service,
      p99Ms,
      atMs: receivedAtMs - ageMs(atMs),
    })),
  }
}

const startOf = (
  view: controlState.ControlView,
  task: controlState.TaskView,
): protocol.workerApi.StartTaskJson => {
  const job = task.kind === 'batch' ? view.job(task.owner) : undefined
  return {
    task: task.task,
    attempt: task.attempt,
    kind: job?.kind ?? 'service',
    service: task.kind === 'service' ? task.owner : '',
    checkpoint: task.checkpoint,
    command: job?.command ?? '',
    cpuMillis: task.resources.cpuMillis,
    memoryMb: task.resources.memoryMb,
    accelerators: task.resources.accelerators,
  }
}

type Instruction = 'start' | 'stop' | 'checkpoint' | 'throttle' | 'none'

const instructionFor = (
  ctx: context.ControlContext,
  task: controlState.TaskView,
  directive: leaderTerm.Directive | undefined,
  isRunning: boolean,
  isOut: boolean,
): Instruction => {
  if (ctx.view.stopping().has(task) || directive?.kind === 'stop') return 'stop'
  const isLeaving = directive?.kind === 'checkpoint' || directive?.kind === 'withhold'
  // An earlier start directive may still arrive, so the worker must confirm that it will not start.
  if (!isRunning && (isOut || isLeaving)) return 'stop'
  if (!isRunning) return 'start'
  if (directive?.kind === 'checkpoint') return 'checkpoint'
  return directive?.kind === 'throttle' ? 'throttle' : 'none'
}

const directivesFor = (
  ctx: context.ControlContext,
  term: leaderTerm.LeaderTerm,
  sync: SyncRequest,
): Pick<SyncReply, 'start' | 'stop' | 'checkpoint' | 'throttle'> => {
  const start: protocol.workerApi.StartTaskJson[] = []
  const stop: protocol.workerApi.AttemptJson[] = []
  const checkpoint: protocol.workerApi.AttemptJson[] = []
  const throttle: protocol.workerApi.ThrottleTaskJson[] = []
  const running = new Map(sync.running.map((task) => [task.task, task]))
  const assigned = ctx.view.worker(sync.worker)?.tasks ?? new Map<string, controlState.TaskView>()
  const isOut = ctx.view.isOut(sync.failureDomain)

  for (const { task, attempt } of sync.running) {
    if (assigned.get(task)?.attempt !== attempt) stop.push({ task, attempt })
  }
  for (const task of assigned.values()) {
    const { attempt } = task
    const known = term.directives.get(task.task)
    const directive = known?.attempt === attempt ? known : undefined
    const reported = running.get(task.task)
    const isRunning = reported?.attempt === attempt
    switch (instructionFor(ctx, task, directive, isRunning, isOut)) {
      case 'start':
        start.push(startOf(ctx.view, task))
        break
      case 'stop':
        stop.push({ task: task.task, attempt })
        break
      case 'checkpoint':
        checkpoint.push({ task: task.task, attempt })
        break
      case 'throttle':
        if (directive?.kind === 'throttle')
          throttle.push({ task: task.task, attempt, cpuPercent: directive.cpuPercent })
        break
      case 'none':
        if (reported?.throttled)
          throttle.push({ task: task.task, attempt, cpuPercent: FULL_CPU_PERCENT })
        break
    }
  }
  return { start, stop, checkpoint, throttle }
}

const wrongCell = (ctx: context.ControlContext, sync: SyncRequest): httpRouter.HttpReply =>
  replies.refusal(409, {
    error: 'other-cell',
    detail: `this replica serves cell ${ctx.options.cell}, not ${sync.cell}`,
    outcome: 'not-run',
  })

/** Handles one sync of a worker. */
export const syncWorker = async (
  ctx: context.ControlContext,
  worker: string,
  body: unknown,
): Promise<httpRouter.HttpReply> => {
  const receivedAtMs = ctx.nowMs()
  if (!ctx.term()) return replies.redirect(ctx)
  const parsed = schemas.parseBody(schemas.workerSync, body)
  if (parsed.isErr()) return parsed.error
  const sync: SyncRequest = parsed.value
  if (sync.cell !== ctx.options.cell) return wrongCell(ctx, sync)
  if (sync.worker !== worker)
    return replies.refusal(400, { error: 'invalid', detail: 'worker differs from the path' })

  const refused = await register(ctx, sync)
  if (refused) return refused
  const mayAcknowledge = await commitEnds(ctx, sync)

  // Leadership may have been lost while the commands were committed.
  const term = ctx.term()
  if (!term) return replies.redirect(ctx)
  const report = reportOf(sync, term, receivedAtMs)
  if (!term.sessions.record(worker, { ...report, sequence: sync.sequence }, receivedAtMs))
    return replies.refusal(409, { error: 'stale', detail: 'a newer sync arrived before this one' })
  term.reports.push(report)
  const reply: SyncReply = {
    sequence: sync.sequence,
    epoch: term.term,
    leaseMs: protocol.limits.WORKER_LEASE_MS,
    startValidMs: protocol.limits.START_VALID_MS,
    nextSyncMs: ctx.options.workerSyncIntervalMs,
    ...directivesFor(ctx, term, sync),
    ackEnded: mayAcknowledge ? sync.ended.map(({ task, attempt }) => ({ task, attempt })) : [],
  }
  return replies.ok(reply)
}
