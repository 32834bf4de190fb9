import * as protocol from '@ebonyweir/protocol'
import * as workflowState from '@ebonyweir/workflow-state'
import * as vitest from 'vitest'
import * as disruptionBudgets from '../src/disruptionBudget.js'
import type * as workerSession from '../src/workerSession.js'
import * as harnesses from './termHarness.js'

const { afterEach, beforeEach, describe, expect, it } = vitest
const { EndKind } = protocol.workflow

let harness: ReturnType<typeof harnesses.createTermHarness>

beforeEach(() => {
  harness = harnesses.createTermHarness()
})

afterEach(() => {
  harness.close()
})

const LISTED_MS = 5_000

const runKeyOf = (index: number): string => `j.0.0.${index}#1`

interface TaskState {
  readonly percent?: number
  readonly listAgeMs?: number
  readonly draining?: boolean
  /** Whether the worker has listed its runs as this incarnation. */
  readonly listed?: boolean
  readonly lost?: boolean
}

/** Step with three long-running tasks, each on a worker of its own; `others` describes the second and third. */
const createSubject = async (maxAway: number, others: readonly TaskState[]) => {
  const states: readonly TaskState[] = [{}, ...others]
  for (const index of states.keys()) harness.attach(`w${index}`).report()
  harness.submit('j', [{ taskCount: states.length, lasting: true, maxPerWorker: 1, maxAway }])
  await harness.pass(20)
  const step = harness.view.jobs.get('j')?.occurrences.get(0)?.steps[0]
  if (step === undefined) throw new Error('no step')
  const sessions = new Map<string, workerSession.WorkerSession>()
  for (const [index, state] of states.entries()) {
    const worker = step.tasks[index]?.worker
    if (worker === undefined) throw new Error('not assigned')
    const { percent: progressPercent = 100, listAgeMs = 0, draining = false } = state
    sessions.set(workflowState.workerKey(worker), {
      listedMs: state.listed === false ? undefined : LISTED_MS - listAgeMs,
      draining,
      running: new Map([[runKeyOf(index), { progressPercent }]]),
    } as unknown as workerSession.WorkerSession)
    if (state.lost !== true) continue
    const run = harnesses.parseRun(runKeyOf(index))
    const end = { run, kind: EndKind.LOST, checkpoint: '' }
    harness.apply({ $case: 'ends', value: { worker, ends: [end] } })
  }
  const budget = disruptionBudgets.createDisruptionBudget({
    nowMs: () => LISTED_MS,
    sessionOf: (key) => sessions.get(key),
  })
  const activeOf = (index: number): workflowState.ActiveRun => {
    const task = step.tasks[index]
    if (task === undefined) throw new Error('no task')
    return { step, task }
  }
  return { budget, admit: (index: number) => budget.admit(activeOf(index)) }
}

describe('stops that the leader chooses', () => {
  const cases: readonly {
    readonly name: string
    readonly maxAway?: number
    readonly others: readonly TaskState[]
    readonly admitted: boolean
  }[] = [
    { name: 'are admitted while all others are at work', others: [{}, {}], admitted: true },
    {
      name: 'have no limit without one in the job',
      maxAway: 0,
      others: [{ lost: true }, {}],
      admitted: true,
    },
    {
      name: 'are put off while another task has no run',
      others: [{ lost: true }, {}],
      admitted: false,
    },
    {
      name: 'are put off while another task starts up',
      others: [{ percent: 60 }, {}],
      admitted: false,
    },
    {
      name: 'are put off while a list is too old to tell',
      others: [{ listAgeMs: 2_000 }, {}],
      admitted: false,
    },
    {
      name: 'are put off before the first list of a new agent',
      others: [{ listed: false }, {}],
      admitted: false,
    },
    {
      name: 'are put off while the worker of another task drains',
      others: [{}, { draining: true }],
      admitted: false,
    },
    {
      name: 'are admitted up to the limit',
      maxAway: 2,
      others: [{ lost: true }, {}],
      admitted: true,
    },
    {
      name: 'are put off at a higher limit too',
      maxAway: 2,
      others: [{ lost: true }, { percent: 1 }],
      admitted: false,
    },
  ]

  it.each(cases)('$name', async ({ maxAway = 1, others, admitted }) => {
    const subject = await createSubject(maxAway, others)
    expect(subject.admit(0)).toBe(admitted)
  })

  it('guards against two stops at a time where one task may be away', async () => {
    const subject = await createSubject(1, [{}, {}])
    expect(subject.admit(0)).toBe(true)
    expect(subject.admit(1)).toBe(false)
    expect(subject.admit(0)).toBe(true)
    subject.budget.forget(harnesses.parseRun(runKeyOf(0)))
    expect(subject.admit(1)).toBe(true)
  })
})
