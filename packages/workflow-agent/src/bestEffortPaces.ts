/** Paces of the best-effort runs of one incarnation: those that the leader orders, and a pause while the alarm is raised. */
import type * as protocol from '@ebonyweir/protocol'
import type * as telemetry from '@ebonyweir/telemetry/logger'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import type * as runners from './runner.js'
import type * as runTables from './runTable.js'

/**
 * Time after an unanswered call for a pace in which the pace is set again with each list: the worker may carry out such a
 * call seconds later, after newer ones. That delay has no known bound; the delay of a start is bounded by its lease of up
 * to 10 s.
 */
const PACE_REPEAT_MS = 10_000

export interface BestEffortPacesOptions {
  readonly identity: protocol.workflow.WorkerIdentity
  readonly runner: Pick<runners.Runner, 'pace'>
  readonly logger: telemetry.Logger
  readonly nowMs: () => number
  /** Fencing token of the next call; 0 if there is none. */
  readonly fence: () => number
  readonly entryOf: runTables.RunTable['entryOf']
}

export interface BestEffortPaces {
  /** Sets the pace of one run, if it differs from the confirmed one. */
  readonly set: (entry: runTables.RunEntry) => Promise<void>
  /** Applies the ordered paces; pauses all best-effort tasks while a latency target is missed for long. */
  readonly apply: (list: runners.WorkerList) => Promise<void>
}

export const createBestEffortPaces = (options: BestEffortPacesOptions): BestEffortPaces => {
  const { nowMs } = options
  let alarm = scheduling.NO_ALARM

  const set: BestEffortPaces['set'] = async (entry) => {
    const percent = alarm.raised ? 0 : entry.orderedPercent
    const isPaceCertain = entry.isPaceKnown && nowMs() >= entry.paceCertainAtMs
    if (!entry.order.filling || (isPaceCertain && percent === entry.pacePercent)) return
    const { identity, runner, fence } = options
    const answer = await runner.pace(identity, entry.run, percent, fence())
    if (answer === 'unanswered') entry.paceCertainAtMs = nowMs() + PACE_REPEAT_MS
    if (answer !== 'done') return
    entry.pacePercent = percent
    entry.isPaceKnown = true
  }

  const apply: BestEffortPaces['apply'] = async (list) => {
    // Latencies of latency-critical tasks; the name is that of the logged field.
    const serving: { readonly tailMs: number; readonly targetMs: number }[] = []
    const bestEffortRuns: runTables.RunEntry[] = []
    for (const { run, figure } of list.running) {
      const entry = run && options.entryOf(run)
      if (entry === undefined) continue
      const { tailTargetMs, filling } = entry.order
      if (tailTargetMs > 0) serving.push({ tailMs: figure, targetMs: tailTargetMs })
      else if (filling) bestEffortRuns.push(entry)
    }
    const before = alarm
    alarm = scheduling.nextAlarm(before, serving, nowMs())
    if (alarm.raised !== before.raised) {
      options.logger.info('fillers paused by alarm', { raised: alarm.raised, serving })
    }
    await Promise.all(bestEffortRuns.map(set))
  }

  return { set, apply }
}
