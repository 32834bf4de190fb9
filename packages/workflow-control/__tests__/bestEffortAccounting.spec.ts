import * as protocol from '@ebonyweir/protocol'
import type * as telemetry from '@ebonyweir/telemetry/logger'
import * as workflowState from '@ebonyweir/workflow-state'
import * as vitest from 'vitest'
import * as bestEffortAccounting from '../src/bestEffortAccounting.js'
import * as workStatistics from '../src/workStatistics.js'

const { describe, expect, it } = vitest
const { EndKind } = protocol.workflow

const WORKER: protocol.workflow.WorkerDescription = {
  identity: { id: 'w', bornMs: 1, agent: 'a' },
  service: 'desk',
  failureDomain: 'rennes',
  rack: 'r1',
  labels: [],
  capacity: { cpuMillis: 8_000, memoryMb: 1_000, accelerators: 0 },
}
const RUN: protocol.workflow.TaskRun = { job: 'j', occurrence: 0, step: 0, index: 0, run: 1 }
const CLAIM_MILLIS = 2_000
const LIST_MS = 400

/** One job with one best-effort task, and the accounting of its time. */
const createCell = () => {
  const state = workflowState.createWorkflowState()
  let nowMs = 0
  const work = workStatistics.createWorkStatistics(() => nowMs)
  const lines: telemetry.LogFields[] = []
  const log = (message: string, fields: telemetry.LogFields = {}): void => {
    lines.push({ message, ...fields })
  }
  const logger: telemetry.Logger = { debug: log, info: log, warn: log, error: log }
  const accounting = bestEffortAccounting.createBestEffortAccounting({
    view: state.view,
    nowMs: () => nowMs,
    work,
    logger,
  })
  const claim = { cpuMillis: CLAIM_MILLIS, memoryMb: 10, accelerators: 0 }
  const steps = [protocol.workflow.Step.fromPartial({ taskCount: 1, claim, filling: true })]
  const spec = { ...protocol.workflow.JobSpec.fromPartial({ id: 'j' }), steps }
  const queue = protocol.workflow.Queue.fromPartial({ name: 'q', service: 'desk', maxAttempts: 3 })
  state.apply({ nowMs: 0, body: { $case: 'submit', value: { spec, queue, callerDomain: '' } } })
  const assign = (): void => {
    const assignments = [{ task: { ...RUN, run: 0 }, worker: WORKER.identity }]
    state.apply({
      nowMs: 0,
      body: { $case: 'assign', value: { workers: [WORKER], assignments } },
    })
  }
  const list = (fields: Partial<protocol.workflow.RunningTask>): void => {
    const step = state.view.jobs.get('j')?.occurrences.get(0)?.steps[0]
    const task = step?.tasks[0]
    if (step === undefined || task === undefined) throw new Error('no task')
    nowMs += LIST_MS
    const listed = protocol.workflow.RunningTask.fromPartial({ run: RUN, ...fields })
    accounting.recordRunning({ step, task }, listed, workflowState.runKey(RUN))
  }
  const sweepAfter = (ms: number): void => {
    nowMs += ms
    accounting.sweep()
  }
  const end = (kind: protocol.workflow.EndKind, checkpoint: string): void => {
    const ended = { run: RUN, kind, checkpoint }
    accounting.recordEnd(ended)
    const value = { worker: WORKER.identity, ends: [ended] }
    state.apply({ nowMs, body: { $case: 'ends', value } })
  }
  const cancel = (): void => {
    state.apply({ nowMs, body: { $case: 'cancel', value: { job: 'j' } } })
  }
  return { assign, cancel, list, sweepAfter, end, lines, totals: () => work.totals().bestEffortMs }
}

describe('time accounting of best-effort tasks', () => {
  it('guards against time of a best-effort task that no log line accounts for', () => {
    const cell = createCell()
    cell.sweepAfter(1_000)
    cell.assign()
    cell.sweepAfter(100)
    cell.list({ pacePercent: 50, figure: 0 })
    cell.list({ pacePercent: 0, figure: CLAIM_MILLIS / 2 })
    cell.list({ pacePercent: 100, figure: 0 })
    cell.list({ pacePercent: 100, figure: CLAIM_MILLIS / 4 })
    cell.end(EndKind.COMPLETED, '')
    cell.sweepAfter(0)
    const spent = { waitingMs: 1_000, startingMs: 100, pausedMs: 400 }
    const worked = { slowedMs: 200, sharedMs: 300, workingMs: 300, lostMs: 0 }
    const counts = { runs: 1, stops: 0, failures: 0, paceChanges: 2 }
    const message = 'filling job ended'
    expect(cell.lines).toEqual([
      expect.objectContaining({
        message,
        outcome: 'completed',
        ...spent,
        ...worked,
        ...counts,
      }),
    ])
    expect(cell.totals()).toMatchObject({ waiting: 1_000, paused: 400, working: 300 })
  })

  it('guards against a second log line for a job whose runs are still listed after its end', () => {
    const cell = createCell()
    cell.assign()
    cell.list({ pacePercent: 100, figure: CLAIM_MILLIS })
    cell.cancel()
    cell.sweepAfter(0)
    cell.list({ pacePercent: 100, figure: CLAIM_MILLIS })
    cell.sweepAfter(0)
    expect(cell.lines).toEqual([expect.objectContaining({ outcome: 'cancelled', workingMs: 0 })])
  })

  it.each([
    { name: 'lost without a checkpoint', kind: EndKind.LOST, checkpoint: '', lost: 800 },
    { name: 'kept by a stop', kind: EndKind.STOPPED, checkpoint: 'c2', lost: 0 },
    { name: 'lost since the last checkpoint', kind: EndKind.LOST, checkpoint: 'c1', lost: 400 },
  ])('guards against lost work that is not counted: $name', ({ kind, checkpoint, lost }) => {
    const cell = createCell()
    cell.assign()
    const working = { pacePercent: 100, figure: CLAIM_MILLIS }
    cell.list(working)
    cell.list(checkpoint === 'c1' ? { ...working, checkpoint } : working)
    cell.list(checkpoint === 'c1' ? { ...working, checkpoint } : working)
    cell.end(kind, checkpoint)
    expect(cell.totals().lost).toBe(lost)
  })
})
