/**
 * Takes the ends of the workers' lists: commits those that have an effect, and acknowledges to a worker what is settled.
 * Ends of a worker that attaches again in the same term are known, so that open commits are not made twice.
 */
import type * as protocol from '@ebonyweir/protocol'
import type * as telemetry from '@ebonyweir/telemetry/logger'
import * as workflowState from '@ebonyweir/workflow-state'
import type * as context from './context.js'
import type * as endMonitors from './endMonitor.js'
import * as endNumbers from './endNumbers.js'
import type * as sessions from './workerSession.js'

type TaskRun = protocol.workflow.TaskRun
type RunEnd = protocol.workflow.RunEnd
type ListedEnd = protocol.workflow.ListedEnd
type WorkerIdentity = protocol.workflow.WorkerIdentity

export interface EndIntakeOptions {
  readonly logger: telemetry.Logger
  readonly monitor: endMonitors.EndMonitor
  /** Incarnation that holds a run which `session` says ended; undefined for none. */
  readonly holderOf: (session: sessions.WorkerSession, run: TaskRun) => WorkerIdentity | undefined
  /** Whether an end without a holder is recorded, under the identity that lists it. */
  readonly isLateCompletion: (end: RunEnd) => boolean
  /** Newest checkpoint that is known of a run. */
  readonly checkpointOf: (run: TaskRun) => string
  /** Learns from an end, once for each. */
  readonly noteEnd: (worker: WorkerIdentity, end: RunEnd) => void
  readonly commit: (worker: WorkerIdentity, ends: readonly RunEnd[]) => context.Proposed
  /** Session of an agent as of now; it may have attached again since an end was taken. */
  readonly sessionOf: (agent: string) => sessions.WorkerSession | undefined
}

export interface EndIntake {
  /** Takes the listed ends that are neither settled nor being committed. */
  readonly handle: (
    session: sessions.WorkerSession,
    listed: protocol.workflow.WorkerReport['ended'],
  ) => void
}

/** Ends of one list that are recorded under one identity. */
interface Batch {
  readonly holder: WorkerIdentity
  readonly ends: RunEnd[]
  readonly numbers: number[]
  /** Whether an end is in it whose commit is tried for the first time. */
  isNew: boolean
}

/** Key of an end; two incarnations of a worker may list ends of one run. */
const endKey = (reporterKey: string, run: TaskRun): string =>
  `${reporterKey} ${workflowState.runKey(run)}`

export const createEndIntake = (options: EndIntakeOptions): EndIntake => {
  const { logger, monitor } = options
  /** By `workerKey` of the incarnation that lists the ends. */
  const numbersByWorker = new Map<string, endNumbers.EndNumbers>()
  /** Ends that were taken and are not settled, by `endKey`. */
  const open = new Map<string, RunEnd>()

  const numbersOf = (key: string): endNumbers.EndNumbers => {
    const numbers = numbersByWorker.get(key) ?? endNumbers.createEndNumbers()
    numbersByWorker.set(key, numbers)
    return numbers
  }

  const hold = (key: string, holder: WorkerIdentity, run: TaskRun, end: RunEnd): RunEnd => {
    const checkpoint = end.checkpoint === '' ? options.checkpointOf(run) : end.checkpoint
    const held = { ...end, checkpoint }
    open.set(key, held)
    options.noteEnd(holder, held)
    return held
  }

  const drop = (reporterKey: string, ends: readonly RunEnd[]): void => {
    for (const { run } of ends) if (run !== undefined) open.delete(endKey(reporterKey, run))
  }

  const record = async (
    reporter: WorkerIdentity,
    { holder, ends, numbers, isNew }: Batch,
  ): Promise<void> => {
    const key = workflowState.workerKey(reporter)
    const known = numbersOf(key)
    const waitIsOver = monitor.noteWait(reporter, Math.max(...numbers))
    const result = await options.commit(holder, ends)
    waitIsOver()
    if (result.isErr()) {
      known.release(numbers)
      // A worker repeats its list several times a second while ends are open.
      const { kind: reason } = result.error
      if (isNew) logger.warn('ends not committed', { worker: holder.id, reason })
      return
    }
    drop(key, ends)
    known.settle(numbers)
    monitor.noteCommitted(holder, ends, known.acknowledged)
    options.sessionOf(reporter.agent)?.acknowledge(key, known.acknowledged)
  }

  const handle: EndIntake['handle'] = (session, listed) => {
    const { identity, key } = session
    if (identity === undefined || listed.length === 0) return
    const numbers = numbersOf(key)
    const taken = numbers.take(listed.map(({ number }) => number))
    const batches = new Map<string, Batch>()
    const withoutHolder: RunEnd[] = []
    const withoutEffect: ListedEnd[] = []
    for (const { number, end } of listed.filter((entry) => taken.has(entry.number))) {
      if (end?.run === undefined) {
        withoutEffect.push({ number, end })
        continue
      }
      const current = options.holderOf(session, end.run)
      if (current === undefined) withoutHolder.push(end)
      const holder = current ?? (options.isLateCompletion(end) ? identity : undefined)
      if (holder === undefined) {
        withoutEffect.push({ number, end })
        continue
      }
      const holderKey = workflowState.workerKey(holder)
      const batch = batches.get(holderKey) ?? { holder, ends: [], numbers: [], isNew: false }
      const openKey = endKey(key, end.run)
      const known = open.get(openKey)
      batch.ends.push(known ?? hold(openKey, holder, end.run, end))
      batch.numbers.push(number)
      batch.isNew ||= known === undefined
      batches.set(holderKey, batch)
    }
    monitor.noteWithoutHolder(identity, withoutHolder)
    for (const { end } of withoutEffect) if (end !== undefined) drop(key, [end])
    numbers.settle(withoutEffect.map(({ number }) => number))
    for (const batch of batches.values()) void record(identity, batch)
    session.acknowledge(key, numbers.acknowledged)
  }

  return { handle }
}
