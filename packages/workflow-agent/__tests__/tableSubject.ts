/** Run table of an agent over a worker whose answers are preset. */
import * as timers from 'node:timers/promises'
import * as protocol from '@ebonyweir/protocol'
import * as telemetry from '@ebonyweir/telemetry/logger'
import type * as workflowState from '@ebonyweir/workflow-state'
import type * as runners from '../src/runner.js'
import * as runTables from '../src/runTable.js'

export const RUN: protocol.workflow.TaskRun = { job: 'j', occurrence: 0, step: 0, index: 0, run: 1 }

type Answer = runners.StartAnswer

export const started: Answer = { kind: 'started' }
export const unanswered: Answer = { kind: 'unanswered' }
export const notSent: Answer = { kind: 'not-sent' }
export const refused = (reason: runners.StartRefusal): Answer => ({ kind: 'refused', reason })

/** Table with a worker whose answers are preset; the last one is repeated. */
export const createSubject = (options: {
  /** Whether the order may have been given before. */
  readonly repeated?: boolean
  readonly answers?: readonly Answer[]
  readonly stops?: readonly runners.OrderAnswer[]
  readonly lists?: readonly workflowState.ListedState[]
  readonly mayStart?: () => boolean
  readonly fence?: () => number
  readonly leaseUntilMs?: () => number
  /** Reading of the worker's clock in each list, in milliseconds. */
  readonly listClockMs?: () => number
}) => {
  const calls: string[] = []
  const rejections: protocol.workflow.Rejection[] = []
  let fenced = 0
  const answers = [...(options.answers ?? [started])]
  const stops = [...(options.stops ?? ['done' as const])]
  const lists = [...(options.lists ?? ['absent' as const])]
  const next = <T>(queue: T[]): T => {
    const first = queue.length > 1 ? queue.shift() : queue[0]
    if (first === undefined) throw new Error('no answer left')
    return first
  }
  const runner: runners.Runner = {
    start: (_, { leaseUntilMs }) => {
      calls.push(`start until ${leaseUntilMs}`)
      return Promise.resolve(next(answers))
    },
    stop: () => {
      calls.push('stop')
      return Promise.resolve(next(stops))
    },
    list: () => Promise.resolve({ kind: 'unanswered' }),
    pace: () => Promise.resolve('done'),
  }
  const listOf = (state: workflowState.ListedState): runTables.TableList => ({
    clockMs: options.listClockMs?.() ?? 0,
    stateOf: () => state,
  })
  const table = runTables.createRunTable({
    identity: { id: 'w', bornMs: 1, agent: 'a' },
    runner,
    logger: telemetry.createSilentLogger(),
    fence: options.fence ?? (() => 3),
    leaseUntilMs: options.leaseUntilMs ?? (() => 6_000),
    mayStart: options.mayStart ?? (() => true),
    isResponsive: () => true,
    nextList: () => Promise.resolve(listOf(next(lists))),
    onRejected: (rejection) => rejections.push(rejection),
    onStarted: () => undefined,
    onUnanswered: () => undefined,
    onFenced: () => {
      fenced += 1
    },
  })
  const order: protocol.workflow.StartOrder = {
    run: RUN,
    command: 'x',
    checkpoint: '',
    tailTargetMs: 0,
    filling: false,
    pacePercent: 100,
    repeated: options.repeated ?? false,
  }
  return {
    table,
    calls,
    rejections,
    start: () => {
      table.start(order)
    },
    note: (state: workflowState.ListedState) => {
      table.applyList(listOf(state))
    },
    fenced: () => fenced,
  }
}

export type Subject = ReturnType<typeof createSubject>

/** Longer than the delay between two attempts, so that an attempt that is due has happened. */
const SETTLE_MS = 300

/** Waits until nothing has been called or rejected for a while. */
export const waitUntilQuiet = async (subject: Subject): Promise<void> => {
  let seen = -1
  for (;;) {
    const now = subject.calls.length + subject.rejections.length
    if (now === seen) return
    seen = now
    await timers.setTimeout(SETTLE_MS)
  }
}
