/** Agent of a simulated worker: obeys starts and paces, and reports lists with progress, figures and ends. */
import * as protocol from '@ebonyweir/protocol'
import type * as workflowControl from '@ebonyweir/workflow-control'
import * as workflowState from '@ebonyweir/workflow-state'

/** Tail of a serving task without any load, in milliseconds. */
const FLOOR_MS = 10

/** Utilization of a serving task by its own users: the mean, and the part by which it swings. */
const OWN_LOAD = 0.45
const LOAD_SWING = 0.5
const SWING_PERIOD_MS = 14_000

/** Highest utilization that a tail is worked out from. */
const MAX_UTILIZATION = 0.98

/** Utilization that one filler adds at full pace: the smallest amount and the spread of the pairs of images. */
const MIN_AMOUNT = 0.05
const AMOUNT_SPREAD = 0.15
const AMOUNT_CLASSES = 7

const FULL_PERCENT = 100

interface Run {
  readonly run: protocol.workflow.TaskRun
  readonly step: protocol.workflow.Step
  donePercent: number
  pacePercent: number
}

export interface FakeAgent {
  /** Lets a run that was assigned without an order run. */
  readonly adopt: (run: protocol.workflow.TaskRun, step: protocol.workflow.Step) => void
  /** Reports a new list. */
  readonly list: (nowMs: number) => void
  /** Reports without a new list. */
  readonly repeat: (nowMs: number) => void
}

export interface FakeAgentOptions {
  readonly term: workflowControl.LeaderTerm
  readonly worker: protocol.workflow.WorkerDescription
  readonly name: string
  readonly stepOf: (run: protocol.workflow.TaskRun) => protocol.workflow.Step | undefined
}

/** Amount of a pair of images, the same at each run of the bench. */
const amountOf = (serving: string, filling: string): number => {
  const sum = Array.from(`${serving}${filling}`, (char) => char.charCodeAt(0)).reduce(
    (a, b) => a + b,
    0,
  )
  return MIN_AMOUNT + ((sum % AMOUNT_CLASSES) / AMOUNT_CLASSES) * AMOUNT_SPREAD
}

export const createFakeAgent = ({ term, worker, name, stepOf }: FakeAgentOptions): FakeAgent => {
  const runs = new Map<string, Run>()
  let ended: { readonly number: number; readonly end: protocol.workflow.RunEnd }[] = []
  let listed: readonly protocol.workflow.RunningTask[] = []
  let endNumber = 0
  let sequence = 0
  let sample = 0
  let listedMs = 0

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
    let utilization = OWN_LOAD * (1 + LOAD_SWING * swing)
    for (const { step: other, pacePercent } of runs.values()) {
      if (!other.filling) continue
      utilization += amountOf(step.image, other.image) * (pacePercent / FULL_PERCENT)
    }
    return Math.round(FLOOR_MS / (1 - Math.min(MAX_UTILIZATION, utilization)))
  }

  const work = (nowMs: number): void => {
    const elapsedMs = nowMs - listedMs
    for (const [key, run] of runs) {
      if (run.step.lasting) continue
      run.donePercent += (elapsedMs * run.pacePercent) / run.step.estimatedMs
      if (run.donePercent < FULL_PERCENT) continue
      runs.delete(key)
      endNumber += 1
      const end = { run: run.run, kind: protocol.workflow.EndKind.COMPLETED, checkpoint: '' }
      ended.push({ number: endNumber, end })
    }
    listedMs = nowMs
  }

  const report = (nowMs: number): void => {
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
      running: [...listed],
      ended: [...ended],
      rejected: [],
    })
  }

  return {
    adopt: (run, step) => {
      runs.set(workflowState.runKey(run), { run, step, donePercent: 0, pacePercent: FULL_PERCENT })
    },
    list: (nowMs) => {
      work(nowMs)
      sample += 1
      listed = [...runs.values()].map(({ run, step, donePercent, pacePercent }) => ({
        run: { ...run },
        checkpoint: step.checkpointing ? String(Math.floor(donePercent)) : '',
        progressPercent: Math.floor(donePercent),
        figure: figureOf(step, nowMs),
        pacePercent,
      }))
      report(nowMs)
    },
    repeat: report,
  }
}
