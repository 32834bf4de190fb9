import * as protocol from '@ebonyweir/protocol'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as workflowState from '@ebonyweir/workflow-state'
import * as vitest from 'vitest'
import * as bestEffortPacing from '../src/bestEffortPacing.js'

const { describe, expect, it } = vitest

const QUEUE = protocol.workflow.Queue.fromPartial({ name: 'plans', service: 'desk' })

/** Pacing with one running task of each named job; the rank of a job is its position. */
const createCell = (jobs: readonly string[]) => {
  const state = workflowState.createWorkflowState()
  const identity = { id: 'w', bornMs: 1, agent: 'a' }
  const worker = protocol.workflow.WorkerDescription.create({
    identity,
    service: 'desk',
    capacity: { cpuMillis: 64_000, memoryMb: 64_000, accelerators: 0 },
  })
  for (const id of jobs) {
    const steps = [
      protocol.workflow.Step.create({
        taskCount: 1,
        claim: { cpuMillis: 1_000, memoryMb: 10, accelerators: 0 },
        filling: true,
        checkpointing: true,
      }),
    ]
    const spec = { ...protocol.workflow.JobSpec.fromPartial({ id }), steps }
    state.apply({
      nowMs: 0,
      body: { $case: 'submit', value: { spec, queue: QUEUE, callerDomain: '' } },
    })
    const task = { job: id, occurrence: 0, step: 0, index: 0, run: 0 }
    const assignments = [{ task, worker: identity }]
    state.apply({
      nowMs: 0,
      body: { $case: 'assign', value: { workers: [worker], assignments } },
    })
  }
  let nowMs = 0
  const pacing = bestEffortPacing.createBestEffortPacing({
    disturbance: scheduling.createInterferenceModel(),
    rankOf: ({ job }) => jobs.indexOf(job.spec.id),
    leftCpuMillis: () => 0,
    activeRun: () => undefined,
    nowMs: () => nowMs,
    percentOf: () => 0,
  })
  const runs = [...(state.view.loads.get('w@1')?.runs.values() ?? [])]
  return {
    /** Jobs whose runs move now; `places` is the number of runs for which there is a better worker. */
    movesAfter: (ms: number, workerCount: number, places: number): readonly string[] => {
      nowMs += ms
      let left = places
      const search: scheduling.BestEffortWorkerSearch = {
        reserveAcceptableWorker: () => {
          left -= 1
          return left >= 0
        },
      }
      const movable = runs.map((active) => ({ active })).reverse()
      return pacing
        .chooseMoves(movable, workerCount, search)
        .map(({ active }) => active.step.job.spec.id)
    },
  }
}

describe('moves of slow best-effort tasks', () => {
  const JOBS = ['first', 'second', 'third', 'fourth']

  it('guards against a move of a later-ranked job in place of an earlier one', () => {
    expect(createCell(JOBS).movesAfter(1_000, 11, 4)).toEqual(['first', 'second'])
  })

  it('guards against more moves than there are better workers', () => {
    expect(createCell(JOBS).movesAfter(1_000, 1_000, 3)).toEqual(['first', 'second', 'third'])
  })

  it.each([
    { name: 'a small fleet', workerCount: 11, moves: 20 },
    { name: 'a large fleet', workerCount: 160, moves: 40 },
  ])('guards against moves that do not grow with the fleet: $name', ({ workerCount, moves }) => {
    const cell = createCell(JOBS)
    let count = 0
    for (let sweep = 0; sweep < 30; sweep += 1) {
      count += cell.movesAfter(100, workerCount, 4).length
    }
    if (workerCount === 11) expect(count).toBeLessThanOrEqual(moves)
    else expect(count).toBeGreaterThan(moves)
  })
})
