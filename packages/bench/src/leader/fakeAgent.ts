/**
 * Agent of a simulated worker: applies start and pace orders (pace is the share of full speed of a best-effort task)
 * and reports its tasks with progress, measured figures and ends.
 */
import * as protocol from '@ebonyweir/protocol'
import type * as workflowControl from '@ebonyweir/workflow-control'
import * as workflowState from '@ebonyweir/workflow-state'

/** Tail latency of a latency-critical task without load. */
const UNLOADED_TAIL_MS = 10

/** Utilization of a latency-critical task by its own requests: mean, and relative amplitude of its swing. */
const MEAN_OWN_LOAD = 0.45
const OWN_LOAD_SWING_SHARE = 0.5
const SWING_PERIOD_MS = 14_000

/** Utilization above which a tail latency does not grow further. */
const MAX_UTILIZATION = 0.98

/** Utilization that a best-effort task adds at full pace: minimum, and range over the pairs of images. */
const MIN_INTERFERENCE = 0.05
const INTERFERENCE_RANGE = 0.15
const INTERFERENCE_CLASS_COUNT = 7

const FULL_PERCENT = 100

interface SimulatedRun {
  readonly run: protocol.workflow.TaskRun
  readonly step: protocol.workflow.Step
  donePercent: number
  pacePercent: number
}

export interface FakeAgent {
  /** Starts a run that was assigned without a start order. */
  readonly startAssigned: (run: protocol.workflow.TaskRun, step: protocol.workflow.Step) => void
  /** Takes a new sample of the running tasks and reports it. */
  readonly reportSample: (nowMs: number) => void
  /** Reports the last sample again. */
  readonly repeatSample: (nowMs: number) => void
}

export interface FakeAgentOptions {
  readonly term: workflowControl.LeaderTerm
  readonly worker: protocol.workflow.WorkerDescription
  readonly name: string
  readonly stepOf: (run: protocol.workflow.TaskRun) => protocol.workflow.Step | undefined
}

/** Interference of a pair of images; the same in each run of the benchmark. */
const interferenceOf = (latencyCriticalImage: string, bestEffortImage: string): number => {
  const sum = Array.from(`${latencyCriticalImage}${bestEffortImage}`, (char) =>
    char.charCodeAt(0),
  ).reduce((a, b) => a + b, 0)
  return (
    MIN_INTERFERENCE +
    ((sum % INTERFERENCE_CLASS_COUNT) / INTERFERENCE_CLASS_COUNT) * INTERFERENCE_RANGE
  )
}

export const createFakeAgent = ({ term, worker, name, stepOf }: FakeAgentOptions): FakeAgent => {
  const runs = new Map<string, SimulatedRun>()
  let ended: { readonly number: number; readonly end: protocol.workflow.RunEnd }[] = []
  let sampledTasks: readonly protocol.workflow.RunningTask[] = []
  let endNumber = 0
  let sequence = 0
  let sample = 0
  let sampledAtMs = 0

  const session = term.attach(name, {
    send: ({ acknowledgedEnd, starts, paces }) => {
      ended = ended.filter(({ number }) => number > acknowledgedEnd)
      for (const { run, pacePercent } of starts) {
        const step = run && stepOf(run)
        if (run === undefined || step === undefined || runs.has(workflowState.runKey(run))) continue
        runs.set(workflowState.runKey(run), { run, step, donePercent: 0, pacePercent })
      }
      for (const { run, percent } of paces) {
        const known = run && runs.get(workflowState.runKey(run))
        if (known !== undefined) known.pacePercent = percent
      }
    },
    end: () => undefined,
  })

  const figureOf = (step: protocol.workflow.Step, nowMs: number): number => {
    if (step.tailTargetMs === 0) return 0
    const swing = Math.sin((2 * Math.PI * (nowMs + name.length * 997)) / SWING_PERIOD_MS)
    let utilization = MEAN_OWN_LOAD * (1 + OWN_LOAD_SWING_SHARE * swing)
    for (const { step: other, pacePercent } of runs.values()) {
      if (!other.filling) continue
      utilization += interferenceOf(step.image, other.image) * (pacePercent / FULL_PERCENT)
    }
    return Math.round(UNLOADED_TAIL_MS / (1 - Math.min(MAX_UTILIZATION, utilization)))
  }

  const advanceRuns = (nowMs: number): void => {
    const elapsedMs = nowMs - sampledAtMs
    for (const [key, run] of runs) {
      if (run.step.lasting) continue
      run.donePercent += (elapsedMs * run.pacePercent) / run.step.estimatedMs
      if (run.donePercent < FULL_PERCENT) continue
      runs.delete(key)
      endNumber += 1
      const end = { run: run.run, kind: protocol.workflow.EndKind.COMPLETED, checkpoint: '' }
      ended.push({ number: endNumber, end })
    }
    sampledAtMs = nowMs
  }

  const sendReport = (nowMs: number): void => {
    sequence += 1
    term.handleReport(session, {
      cell: 'bench',
      agent: name,
      sequence,
      worker,
      draining: false,
      drainRemainingMs: 0,
      clockMs: nowMs,
      sample,
      running: [...sampledTasks],
      ended: [...ended],
      rejected: [],
      hasMoreEnds: false,
    })
  }

  return {
    startAssigned: (run, step) => {
      runs.set(workflowState.runKey(run), { run, step, donePercent: 0, pacePercent: FULL_PERCENT })
    },
    reportSample: (nowMs) => {
      advanceRuns(nowMs)
      sample += 1
      sampledTasks = [...runs.values()].map(({ run, step, donePercent, pacePercent }) => ({
        run: { ...run },
        checkpoint: step.checkpointing ? String(Math.floor(donePercent)) : '',
        progressPercent: Math.floor(donePercent),
        figure: figureOf(step, nowMs),
        pacePercent,
      }))
      sendReport(nowMs)
    },
    repeatSample: sendReport,
  }
}
