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
type WorkerIdentity = protocol.workflow.WorkerIdentity

export interface EndIntakeOptions {
  readonly logger: telemetry.Logger
  readonly monitor: endMonitors.EndMonitor
  /** Incarnation that holds a run which `session` says ended; undefined for none. */
  readonly holderOf: (session: sessions.WorkerSession, run: TaskRun) => WorkerIdentity | undefined
  /** Whether an end without a holder is recorded, under the identity that lists it. */
  readonly isLateEnd: (end: RunEnd) => boolean
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
  /** Whether an end of a run was taken and is not settled. */
  readonly holds: (run: TaskRun) => boolean
  /**
   * Says whether an end of a run that `holder` holds is in hand, and tries its commit again if that failed. The worker may
   * be gone, so that no list repeats it.
   */
  readonly resume: (holder: WorkerIdentity, run: TaskRun) => boolean
}

/** End that was taken and is not settled. */
interface OpenEnd {
  readonly number: number
  readonly reporter: WorkerIdentity
  readonly end: RunEnd
}

/** Ends of one list that are recorded under one identity. */
interface Batch {
  readonly holder: WorkerIdentity
  readonly ends: OpenEnd[]
  /** Whether an end is in it whose commit is tried for the first time. */
  isNew: boolean
}

/** Key of an end; ends of one run may have several numbers, and several incarnations of a worker may list them. */
const endKey = (reporterKey: string, number: number): string => `${reporterKey} ${number}`

export const createEndIntake = (options: EndIntakeOptions): EndIntake => {
  const { logger, monitor } = options
  /** By `workerKey` of the incarnation that lists the ends. */
  const numbersByWorker = new Map<string, endNumbers.EndNumbers>()
  /** By `endKey`. */
  const open = new Map<string, OpenEnd>()

  const numbersOf = (key: string): endNumbers.EndNumbers => {
    const numbers = numbersByWorker.get(key) ?? endNumbers.createEndNumbers()
    numbersByWorker.set(key, numbers)
    return numbers
  }

  const hold = (holder: WorkerIdentity, run: TaskRun, { end, ...listed }: OpenEnd): OpenEnd => {
    const checkpoint = end.checkpoint === '' ? options.checkpointOf(run) : end.checkpoint
    const held = { ...listed, end: { ...end, checkpoint } }
    open.set(endKey(workflowState.workerKey(listed.reporter), listed.number), held)
    options.noteEnd(holder, held.end)
    return held
  }

  const drop = (reporterKey: string, numbers: readonly number[]): void => {
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
    drop(key, numbers)
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
      batch.ends.push(known ?? hold(holder, end.run, { number, reporter: identity, end }))
      batch.isNew ||= known === undefined
      batches.set(holderKey, batch)
    }
    monitor.noteWithoutHolder(identity, withoutHolder)
    drop(key, withoutEffect)
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

  const resume: EndIntake['resume'] = (holder, run) => {
    const ends = openEndsOf(run)
    for (const held of ends) {
      const { number, reporter } = held
      const taken = numbersOf(workflowState.workerKey(reporter)).take([number])
      if (taken.has(number)) void record(reporter, { holder, ends: [held], isNew: false })
    }
    return ends.length > 0
  }

  return { handle, holds: (run) => openEndsOf(run).length > 0, resume }
}
