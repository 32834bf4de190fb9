/** Scheduling rounds: commits the assignments of the scheduler and ends attempts of lost workers. */
import type * as controlState from '@ebonyweir/control-state'
import * as protocol from '@ebonyweir/protocol'
import type * as scheduling from '@ebonyweir/scheduling'
import type * as context from './context.js'
import type * as leaderTerm from './leaderTerm.js'

const collectDirectives = (
  decision: scheduling.Decision,
): ReadonlyMap<string, leaderTerm.Directive> => {
  const directives = new Map<string, leaderTerm.Directive>()
  for (const { task, attempt, cpuPercent } of decision.throttles)
    directives.set(task, { kind: 'throttle', attempt, cpuPercent })
  for (const { task, attempt } of decision.withheld)
    directives.set(task, { kind: 'withhold', attempt })
  for (const { task, attempt } of decision.evictions)
    directives.set(task, { kind: 'checkpoint', attempt })
  for (const { task, attempt } of decision.stops) directives.set(task, { kind: 'stop', attempt })
  return directives
}

const explainDecision = (term: leaderTerm.LeaderTerm, decision: scheduling.Decision): void => {
  const atMs = Date.now()
  for (const { subject, reason, never, rule } of decision.unplaced) {
    const text = never ? `can never run: ${reason}` : reason
    term.decisions.add(subject, { atMs, text, rule })
  }
  for (const { task, worker, reason, rule } of decision.evictions)
    term.decisions.add(task, { atMs, text: `evicted from ${worker}: ${reason}`, rule })
  for (const { task, worker, reason } of decision.stops)
    term.decisions.add(task, { atMs, text: `stopped on ${worker}: ${reason}` })
  for (const { task, worker, cpuPercent } of decision.throttles)
    term.decisions.add(task, { atMs, text: `throttled to ${cpuPercent} % on ${worker}` })
}

const explainAssignments = (
  term: leaderTerm.LeaderTerm,
  outcome: controlState.Outcome,
  assignments: readonly protocol.command.Assignment[],
): void => {
  if (outcome.kind !== 'tasksAssigned') return
  const atMs = Date.now()
  for (const [index, { task, refusal, rule }] of outcome.results.entries()) {
    const worker = assignments[index]?.worker ?? ''
    const text =
      refusal === undefined ? `assigned to ${worker}` : `not assigned to ${worker}: ${refusal}`
    term.decisions.add(task, { atMs, text, rule })
  }
}

const proposeAssignments = async (
  ctx: context.ControlContext,
  term: leaderTerm.LeaderTerm,
  assignments: readonly protocol.command.Assignment[],
): Promise<void> => {
  if (assignments.length === 0 || term.assigning) return
  term.assigning = true
  const result = await ctx.propose({ $case: 'assignTasks', value: { assignments } })
  term.assigning = false
  if (result.isOk()) explainAssignments(term, result.value, assignments)
}

const endLostAttempts = async (
  ctx: context.ControlContext,
  term: leaderTerm.LeaderTerm,
  worker: controlState.WorkerView,
): Promise<void> => {
  term.endingLost.add(worker.worker)
  const ends = [...worker.tasks.values()].map(({ task, attempt }) => ({
    task,
    attempt,
    outcome: protocol.command.TaskOutcome.LOST,
    checkpoint: '',
    reason: `worker ${worker.worker} did not sync within its lease`,
  }))
  const result = await ctx.propose({ $case: 'endTasks', value: { ends } })
  term.endingLost.delete(worker.worker)
  if (result.isErr()) return
  ctx.options.logger.warn('worker lost', { worker: worker.worker, tasks: ends.length })
  for (const { task, reason } of ends)
    term.decisions.add(task, { atMs: Date.now(), text: `lost: ${reason}` })
}

const endAttemptsOfLostWorkers = (
  ctx: context.ControlContext,
  term: leaderTerm.LeaderTerm,
  nowMs: number,
): void => {
  for (const worker of ctx.view.workers()) {
    if (worker.tasks.size === 0 || term.endingLost.has(worker.worker)) continue
    if (term.sessions.isLost(worker.worker, nowMs)) void endLostAttempts(ctx, term, worker)
  }
}

/** Runs one scheduling round if this replica leads. */
export const runSchedulingRound = (ctx: context.ControlContext): void => {
  const term = ctx.term()
  if (!term) return
  const nowMs = ctx.nowMs()
  endAttemptsOfLostWorkers(ctx, term, nowMs)
  const reports = term.reports.splice(0)
  const decision = term.scheduler.decide(ctx.view, { reports, assigning: term.assigning }, nowMs)
  term.decision = decision
  term.directives = collectDirectives(decision)
  explainDecision(term, decision)
  void proposeAssignments(ctx, term, decision.assignments)
}
