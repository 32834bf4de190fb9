/**
 * Processes the run ends that workers report: commits those that have an effect, and acknowledges settled ones. Ends stay
 * known when a worker attaches again in the same term, so a pending commit is not proposed twice.
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
type WorkerIdentity = protocol.workflow.WorkerIdentity

export interface EndProcessorOptions {
  readonly logger: telemetry.Logger
  readonly monitor: endMonitors.EndMonitor
  /** Worker incarnation that holds a run whose end `session` reports, if any. */
  readonly holderOf: (session: sessions.WorkerSession, run: TaskRun) => WorkerIdentity | undefined
  /** Whether an end without a holder is still recorded, under the identity of the reporter. */
  readonly isLateEnd: (end: RunEnd) => boolean
  /** Newest known checkpoint of a run. */
  readonly checkpointOf: (run: TaskRun) => string
  /** Called once for each new end. */
  readonly observeEnd: (worker: WorkerIdentity, end: RunEnd) => void
  readonly commit: (worker: WorkerIdentity, ends: readonly RunEnd[]) => context.Proposed
  /** Current session of an agent; the agent may have attached again since it reported an end. */
  readonly sessionOf: (agent: string) => sessions.WorkerSession | undefined
}

export interface EndProcessor {
  /** Processes the listed ends that are neither settled nor being committed. */
  readonly handle: (
    session: sessions.WorkerSession,
    listed: protocol.workflow.WorkerReport['ended'],
  ) => void
  /** Whether an end of a run was reported and is not settled. */
  readonly hasOpenEnd: (run: TaskRun) => boolean
  /**
   * Returns whether a run of `holder` has an end that is not settled, and retries its commit if that failed. The worker
   * may be gone, so no later list would repeat the end.
   */
  readonly retryOpenEnds: (holder: WorkerIdentity, run: TaskRun) => boolean
}

/** Reported end that is not settled. */
interface OpenEnd {
  readonly number: number
  readonly reporter: WorkerIdentity
  readonly end: RunEnd
}

/** Ends of one list that are recorded under one identity. */
interface Batch {
  readonly holder: WorkerIdentity
  readonly ends: OpenEnd[]
  /** Whether it contains an end whose commit is tried for the first time. */
  isNew: boolean
}

/** Key of an end: ends of one run may have several numbers and be reported by several incarnations of a worker. */
const endKey = (reporterKey: string, number: number): string => `${reporterKey} ${number}`

export const createEndProcessor = (options: EndProcessorOptions): EndProcessor => {
  const { logger, monitor } = options
  /** By `workerKey` of the reporting incarnation. */
  const numbersByWorker = new Map<string, endNumbers.EndNumbers>()
  /** By `endKey`. */
  const open = new Map<string, OpenEnd>()

  const numbersOf = (key: string): endNumbers.EndNumbers => {
    const numbers = numbersByWorker.get(key) ?? endNumbers.createEndNumbers()
    numbersByWorker.set(key, numbers)
    return numbers
  }

  const addOpen = (holder: WorkerIdentity, run: TaskRun, { end, ...listed }: OpenEnd): OpenEnd => {
    const checkpoint = end.checkpoint === '' ? options.checkpointOf(run) : end.checkpoint
    const held = { ...listed, end: { ...end, checkpoint } }
    open.set(endKey(workflowState.workerKey(listed.reporter), listed.number), held)
    options.observeEnd(holder, held.end)
    return held
  }

  const removeOpen = (reporterKey: string, numbers: readonly number[]): void => {
    for (const number of numbers) open.delete(endKey(reporterKey, number))
  }

  const record = async (
    reporter: WorkerIdentity,
    { holder, ends: batch, isNew }: Batch,
  ): Promise<void> => {
    const key = workflowState.workerKey(reporter)
    const known = numbersOf(key)
    const numbers = batch.map(({ number }) => number)
    const ends = batch.map(({ end }) => end)
    const finishWait = monitor.trackWait(reporter, Math.max(...numbers))
    const result = await options.commit(holder, ends)
    finishWait()
    if (result.isErr()) {
      known.release(numbers)
      // Only first tries are logged: a worker repeats its list several times a second while ends are open.
      const { kind: reason } = result.error
      if (isNew) logger.warn('ends not committed', { worker: holder.id, reason })
      return
    }
    removeOpen(key, numbers)
    known.settle(numbers)
    monitor.recordCommitted(holder, ends, known.acknowledged)
    options.sessionOf(reporter.agent)?.acknowledge(key, known.acknowledged)
  }

  const handle: EndProcessor['handle'] = (session, listed) => {
    const { identity, key } = session
    if (identity === undefined || listed.length === 0) return
    const numbers = numbersOf(key)
    const taken = numbers.take(listed.map(({ number }) => number))
    const batches = new Map<string, Batch>()
    const withoutHolder: RunEnd[] = []
    const withoutEffect: number[] = []
    for (const { number, end } of listed.filter((entry) => taken.has(entry.number))) {
      if (end?.run === undefined) {
        withoutEffect.push(number)
        continue
      }
      const current = options.holderOf(session, end.run)
      if (current === undefined) withoutHolder.push(end)
      const holder = current ?? (options.isLateEnd(end) ? identity : undefined)
      if (holder === undefined) {
        withoutEffect.push(number)
        continue
      }
      const holderKey = workflowState.workerKey(holder)
      const batch = batches.get(holderKey) ?? { holder, ends: [], isNew: false }
      const known = open.get(endKey(key, number))
      batch.ends.push(known ?? addOpen(holder, end.run, { number, reporter: identity, end }))
      batch.isNew ||= known === undefined
      batches.set(holderKey, batch)
    }
    monitor.recordWithoutHolder(identity, withoutHolder)
    removeOpen(key, withoutEffect)
    numbers.settle(withoutEffect)
    for (const batch of batches.values()) void record(identity, batch)
    session.acknowledge(key, numbers.acknowledged)
  }

  const openEndsOf = (run: TaskRun): readonly OpenEnd[] => {
    const key = workflowState.runKey(run)
    return [...open.values()].filter(({ end }) => {
      return end.run !== undefined && workflowState.runKey(end.run) === key
    })
  }

  const retryOpenEnds: EndProcessor['retryOpenEnds'] = (holder, run) => {
    const ends = openEndsOf(run)
    for (const held of ends) {
      const { number, reporter } = held
      const taken = numbersOf(workflowState.workerKey(reporter)).take([number])
      if (taken.has(number)) void record(reporter, { holder, ends: [held], isNew: false })
    }
    return ends.length > 0
  }

  return { handle, hasOpenEnd: (run) => openEndsOf(run).length > 0, retryOpenEnds }
}
