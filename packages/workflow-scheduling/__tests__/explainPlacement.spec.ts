import * as protocol from '@ebonyweir/protocol'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as vitest from 'vitest'
import * as support from './support.js'

const { describe, expect, it } = vitest
const { createCell, queue, step, worker } = support

const CLAIM = { cpuMillis: 4_000, memoryMb: 10, accelerators: 0 }

const specOf = (steps: readonly protocol.workflow.Step[]): protocol.workflow.JobSpec => ({
  ...protocol.workflow.JobSpec.fromPartial({ id: 'asked' }),
  steps: [...steps],
})

const createBusyCell = () => {
  const cell = createCell([
    worker('n', { rack: 'near', capacity: { cpuMillis: 4_000, memoryMb: 99, accelerators: 0 } }),
    worker('f', { rack: 'far', capacity: { cpuMillis: 8_000, memoryMb: 99, accelerators: 0 } }),
  ])
  cell.submit('busy', [step({ dataRack: 'near', claim: CLAIM })])
  cell.plan()
  return cell
}

const explain = (
  cell: ReturnType<typeof createBusyCell>,
  steps: readonly protocol.workflow.Step[],
  fields: Partial<scheduling.PlacementInput> = {},
): readonly string[] => {
  const spec = specOf(steps)
  const input = { ...cell.input(), ...fields }
  const job = scheduling.viewSubmission(spec, queue(), input.nowMs)
  if (job === undefined) return []
  return scheduling
    .explainPlacement(input, job)
    .flatMap((explained) => scheduling.describeStep(explained, input.nowMs))
}

describe('explanation of a job that is not submitted', () => {
  it.each([
    {
      name: 'tasks that find a worker, one of them remote from its data',
      before: [],
      steps: [step({ taskCount: 2, dataRack: 'near', claim: CLAIM })],
      lines: [
        'step 0: 2 tasks of 1.0 s expected; in time if it starts within 1.5 s; 0 steps with 0 tasks are placed before it',
        'step 0: 2 tasks on f (rack far, rennes), remote from its data in rack near',
      ],
    },
    {
      name: 'tasks behind those of another job',
      before: [step({ taskCount: 2, claim: CLAIM })],
      steps: [step({ claim: CLAIM }), step({ after: [0] })],
      lines: [
        'step 0: 1 tasks of 1.0 s expected; in time if it starts within 2.5 s; 1 steps with 2 tasks are placed before it',
        'step 0: 1 tasks find no worker: of 2 workers of its service, 1 lack CPU, 0 lack memory (0 of them through best-effort tasks), 0 are excluded by label, limit or evacuation',
        'step 1: 1 tasks of 1.0 s expected; starts after step 0',
      ],
    },
    {
      name: 'tasks that no worker can run',
      before: [],
      steps: [step({ requiredLabel: 'none' })],
      lines: [
        'step 0: 1 tasks of 1.0 s expected; in time if it starts within 1.5 s; 0 steps with 0 tasks are placed before it',
        'step 0: 1 tasks find no worker: of 2 workers of its service, 0 lack CPU, 0 lack memory (0 of them through best-effort tasks), 2 are excluded by label, limit or evacuation',
      ],
    },
  ])('names $name', ({ before, steps, lines }) => {
    const cell = createBusyCell()
    if (before.length > 0) cell.submit('other', before)
    expect(explain(cell, steps)).toEqual(lines)
  })

  it('names the wait for a rack, with the expected wait and the loss', () => {
    const locality = scheduling.createLocalityWaits({
      remoteFactor: 3,
      remainingMs: () => 400,
      nowMs: () => 0,
    })
    const lines = explain(createBusyCell(), [step({ dataRack: 'near', claim: CLAIM })], {
      locality,
    })
    expect(lines.at(-1)).toBe(
      'step 0: 1 tasks wait for rack near, free in 0.4 s; a remote run loses 2.0 s',
    )
    expect(locality.totals()).toMatchObject({ waits: 0, decisions: { wait: 0 } })
  })

  it('guards against an explanation that changes the state or the next plan', () => {
    const asked = createBusyCell()
    const other = createBusyCell()
    for (const cell of [asked, other]) cell.submit('other', [step({ taskCount: 3, claim: CLAIM })])
    const before = asked.state.snapshot()
    explain(asked, [step({ taskCount: 9, claim: CLAIM })])
    expect(asked.state.snapshot()).toEqual(before)
    expect(asked.plan()).toEqual(other.plan())
  })

  it('is what the next round does with the job', () => {
    const cell = createBusyCell()
    const steps = [step({ taskCount: 3, claim: CLAIM })]
    const spec = specOf(steps)
    const job = scheduling.viewSubmission(spec, queue(), 0)
    const placed = job && scheduling.explainPlacement(cell.input(), job)[0]?.placed
    cell.submit('asked', steps)
    const planned = cell.plan()
    expect(placed).toEqual([{ worker: 'f', rack: 'far', failureDomain: 'rennes', tasks: 2 }])
    expect(planned).toEqual(['asked.0.0 f', 'asked.0.1 f'])
  })
})
