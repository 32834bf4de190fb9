import type * as protocol from '@ebonyweir/protocol'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as fc from 'fast-check'
import * as vitest from 'vitest'
import * as localityPlay from './localityPlay.js'
import * as support from './support.js'

const { describe, expect, it } = vitest
const { createCell, queue, step, worker } = support

/** Worker with room for `slots` tasks of one core. */
const workerIn = (
  rack: string,
  id: string,
  slots: number,
  fields: Partial<protocol.workflow.WorkerDescription> = {},
) =>
  worker(id, {
    rack,
    capacity: { cpuMillis: slots * 1_000, memoryMb: 10_000, accelerators: 0 },
    ...fields,
  })

const POLICIES = {
  expected: scheduling.createExpectedTimePolicy(),
  never: scheduling.createNeverWaitPolicy(),
  delayed: scheduling.createFixedWaitPolicy(1_000),
} as const

type PolicyName = keyof typeof POLICIES

interface Case {
  readonly name: string
  readonly workers: readonly ReturnType<typeof worker>[]
  readonly jobs: readonly localityPlay.PlayedJob[]
  readonly remoteFactor: number
  readonly lostDomain?: localityPlay.PlayOptions['lostDomain']
  /** What each job gets by policy: "in time" or "late", completion, time until its last start, and remote tasks. */
  readonly gets: Readonly<Record<string, Readonly<Record<PolicyName, string>>>>
}

const jobOf = (
  id: string,
  atMs: number,
  durationsMs: readonly number[],
  fields: Partial<protocol.workflow.Step> = {},
  latencyTargetMs = 300,
): localityPlay.PlayedJob => ({
  id,
  atMs,
  step: { dataRack: 'near', estimatedMs: durationsMs[0] ?? 1_000, ...fields },
  durationsMs,
  latencyTargetMs,
})

const describeResult = ({
  inTime,
  completionMs,
  waitedMs,
  remoteTasks,
}: localityPlay.JobResult): string =>
  `${inTime ? 'in time' : 'late'} after ${Math.round(completionMs)}, waited ${Math.round(waitedMs)}, ${remoteTasks} remote`

const same = (text: string): Readonly<Record<PolicyName, string>> => ({
  expected: text,
  never: text,
  delayed: text,
})

const ONE_NEAR_ONE_FAR = [workerIn('near', 'n', 1), workerIn('far', 'f', 8)]

const CASES: readonly Case[] = [
  {
    name: 'a free near worker',
    workers: ONE_NEAR_ONE_FAR,
    remoteFactor: 3,
    jobs: [jobOf('j', 0, [1_000])],
    gets: {
      j: same('in time after 1000, waited 0, 0 remote'),
    },
  },
  {
    name: 'a busy near worker that is free soon',
    workers: ONE_NEAR_ONE_FAR,
    remoteFactor: 3,
    jobs: [jobOf('first', 0, [500]), jobOf('j', 100, [1_000])],
    gets: {
      first: same('in time after 500, waited 0, 0 remote'),
      j: {
        expected: 'in time after 1400, waited 400, 0 remote',
        never: 'late after 3000, waited 0, 1 remote',
        delayed: 'in time after 1400, waited 400, 0 remote',
      },
    },
  },
  {
    name: 'a busy near worker that is free late',
    workers: ONE_NEAR_ONE_FAR,
    remoteFactor: 1.5,
    jobs: [jobOf('first', 0, [5_000]), jobOf('j', 100, [1_000])],
    gets: {
      first: same('in time after 5000, waited 0, 0 remote'),
      j: {
        expected: 'in time after 1500, waited 0, 1 remote',
        never: 'in time after 1500, waited 0, 1 remote',
        delayed: 'in time after 2500, waited 1000, 1 remote',
      },
    },
  },
  {
    name: 'a hot rack: only as many wait as it serves within the loss',
    workers: [workerIn('near', 'n', 2), workerIn('far', 'f', 20)],
    remoteFactor: 3,
    jobs: ['a', 'b', 'c', 'd', 'e'].map((id) => jobOf(id, 0, [1_000, 1_000])),
    gets: {
      a: same('in time after 1000, waited 0, 0 remote'),
      b: {
        expected: 'in time after 2000, waited 1000, 0 remote',
        never: 'late after 3000, waited 0, 2 remote',
        delayed: 'in time after 2000, waited 1000, 0 remote',
      },
      c: {
        expected: 'late after 3000, waited 0, 2 remote',
        never: 'late after 3000, waited 0, 2 remote',
        delayed: 'late after 4000, waited 1000, 2 remote',
      },
      d: {
        expected: 'late after 3000, waited 0, 2 remote',
        never: 'late after 3000, waited 0, 2 remote',
        delayed: 'late after 4000, waited 1000, 2 remote',
      },
      e: {
        expected: 'late after 3000, waited 0, 2 remote',
        never: 'late after 3000, waited 0, 2 remote',
        delayed: 'late after 4000, waited 1000, 2 remote',
      },
    },
  },
  {
    name: 'uneven workers: a task that only fits on the larger near worker',
    workers: [workerIn('near', 'small', 2), workerIn('near', 'large', 3), workerIn('far', 'f', 8)],
    remoteFactor: 3,
    jobs: [
      jobOf('small', 0, [400, 400]),
      jobOf('large', 0, [800, 800, 800]),
      jobOf('j', 100, [1_000], { claim: { cpuMillis: 3_000, memoryMb: 10, accelerators: 0 } }),
    ],
    gets: {
      j: {
        expected: 'in time after 1700, waited 700, 0 remote',
        never: 'late after 3000, waited 0, 1 remote',
        delayed: 'in time after 1700, waited 700, 0 remote',
      },
      large: same('in time after 800, waited 0, 0 remote'),
      small: same('in time after 400, waited 0, 0 remote'),
    },
  },
  {
    name: 'the loss of the near failure domain during the wait',
    workers: [
      workerIn('near', 'n', 1, { failureDomain: 'lost' }),
      workerIn('far', 'f', 8, { failureDomain: 'kept' }),
    ],
    remoteFactor: 3,
    lostDomain: { atMs: 300, failureDomain: 'lost' },
    jobs: [jobOf('first', 0, [800]), jobOf('j', 100, [1_000])],
    gets: {
      first: {
        expected: 'late after 2700, waited 300, 1 remote',
        never: 'late after 2700, waited 300, 1 remote',
        delayed: 'late after 3700, waited 1300, 1 remote',
      },
      j: {
        expected: 'late after 3200, waited 200, 1 remote',
        never: 'late after 3000, waited 0, 1 remote',
        delayed: 'late after 4000, waited 1000, 1 remote',
      },
    },
  },
  {
    name: 'a gang that waits as a whole',
    workers: [workerIn('near', 'n', 2), workerIn('far', 'f', 8)],
    remoteFactor: 3,
    jobs: [jobOf('first', 0, [500]), jobOf('gang', 100, [1_000, 1_000], { gang: true })],
    gets: {
      first: same('in time after 500, waited 0, 0 remote'),
      gang: {
        expected: 'in time after 1400, waited 400, 0 remote',
        never: 'late after 3000, waited 0, 1 remote',
        delayed: 'in time after 1400, waited 400, 0 remote',
      },
    },
  },
  {
    name: 'a step that stays on one rack',
    workers: [workerIn('r1', 'a', 1), workerIn('r2', 'b', 2), workerIn('r3', 'c', 1)],
    remoteFactor: 3,
    jobs: [
      jobOf('first', 0, [400], { dataRack: 'r2' }),
      jobOf('j', 100, [1_000, 1_000], { dataRack: '', sameRack: true }),
    ],
    gets: {
      first: same('in time after 400, waited 0, 0 remote'),
      j: {
        expected: 'in time after 1300, waited 300, 0 remote',
        never: 'late after 3000, waited 0, 1 remote',
        delayed: 'in time after 1300, waited 300, 0 remote',
      },
    },
  },
  {
    name: 'a step that would be late with the wait but not with a remote run',
    workers: ONE_NEAR_ONE_FAR,
    remoteFactor: 2.5,
    jobs: [jobOf('first', 0, [2_000]), jobOf('j', 100, [1_000])],
    gets: {
      first: same('in time after 2000, waited 0, 0 remote'),
      j: {
        expected: 'in time after 2500, waited 0, 1 remote',
        never: 'in time after 2500, waited 0, 1 remote',
        delayed: 'late after 3500, waited 1000, 1 remote',
      },
    },
  },
  {
    name: 'a step that would be late with the wait and with a remote run',
    workers: ONE_NEAR_ONE_FAR,
    remoteFactor: 3,
    jobs: [jobOf('first', 0, [2_000]), jobOf('j', 100, [1_000])],
    gets: {
      first: same('in time after 2000, waited 0, 0 remote'),
      j: {
        expected: 'late after 3000, waited 0, 1 remote',
        never: 'late after 3000, waited 0, 1 remote',
        delayed: 'late after 4000, waited 1000, 1 remote',
      },
    },
  },
]

describe('what each job gets', () => {
  it.each(CASES)('with $name', ({ workers, jobs, remoteFactor, lostDomain, gets }) => {
    const found: Record<string, Record<string, string>> = {}
    for (const [name, policy] of Object.entries(POLICIES)) {
      const played = localityPlay.play({
        workers,
        jobs,
        policy,
        remoteFactor,
        ...(lostDomain && { lostDomain }),
      })
      for (const { id } of jobs) {
        const result = played.jobs.get(id)
        found[id] = { ...found[id], [name]: result ? describeResult(result) : 'not completed' }
      }
    }
    expect(found).toEqual(gets)
  })
})

const REMOTE_FACTOR = 3

/** Queue whose objective leaves more time than a remote run loses. */
const LATE_QUEUE = queue({ latencyTargetMs: 9_000 })

/** Plan of a cell with waits on a clock of the test; `remainingMs` is the same for all runs. */
const createWaitingCell = (
  workers: readonly ReturnType<typeof worker>[],
  { remainingMs = 500, remoteFactor = REMOTE_FACTOR } = {},
) => {
  const cell = createCell(workers)
  const clock = { nowMs: 0 }
  const started: scheduling.StartedWait[] = []
  const locality = scheduling.createLocalityWaits({
    remoteFactor,
    remainingMs: () => remainingMs,
    nowMs: () => clock.nowMs,
    onWait: (wait) => started.push(wait),
  })
  const planAt = (nowMs: number, fields: Partial<scheduling.PlacementInput> = {}) => {
    clock.nowMs = nowMs
    return cell.plan({ nowMs, locality, ...fields })
  }
  return { ...cell, locality, started, planAt }
}

const occupy = (cell: ReturnType<typeof createWaitingCell>, taskCount: number): void => {
  cell.submit('busy', [step({ taskCount, dataRack: 'near' })])
  cell.planAt(0)
}

describe('a plan with waits', () => {
  it('is the same as a plan without them for steps that name no rack', () => {
    const workers = [workerIn('near', 'n', 2), workerIn('far', 'f', 3)]
    const plans = [false, true].map((isOn) => {
      const cell = createWaitingCell(workers)
      cell.submit('a', [step({ taskCount: 3 })])
      cell.submit('g', [step({ taskCount: 3, gang: true })])
      cell.submit('b', [step({ taskCount: 1, filling: true })])
      return cell.plan(isOn ? { locality: cell.locality } : {})
    })
    expect(plans[1]).toEqual(plans[0])
  })

  it('guards against waits and changed costs with the part off', () => {
    const cell = createCell([workerIn('near', 'n', 1), workerIn('far', 'f', 2)])
    cell.submit('a', [step({ taskCount: 3, dataRack: 'near' })])
    const plan = scheduling.planAssignments(cell.input())
    expect(plan.assignments.map(({ worker: to }) => to?.id)).toEqual(['n', 'f', 'f'])
    expect(plan).not.toHaveProperty('firstWaitEndMs')
  })

  it('names the end of the first wait, and reports the wait of a step once', () => {
    const cell = createWaitingCell([workerIn('near', 'n', 1), workerIn('far', 'f', 4)])
    occupy(cell, 1)
    cell.submit('j', [step({ dataRack: 'near' })], LATE_QUEUE)
    const made = scheduling.planAssignments({ ...cell.input(0), locality: cell.locality })
    expect(made.firstWaitEndMs).toBe(2_000)
    expect(cell.planAt(50)).toEqual([])
    expect(cell.started).toMatchObject([
      { racks: ['near'], expectedWaitMs: 500, lossMs: 2_000, boundMs: 2_000 },
    ])
    expect(cell.locality.totals()).toMatchObject({ waits: 1, decisions: { near: 1, wait: 1 } })
  })

  it('guards against a packed remote worker that is cheaper than a free near one', () => {
    const far = workerIn('far', 'f', 16, { labels: ['far'] })
    const cell = createWaitingCell([workerIn('near', 'n', 16), far], { remoteFactor: 1.1 })
    cell.submit('fill', [step({ taskCount: 15, requiredLabel: 'far' })])
    expect(cell.planAt(0)).toHaveLength(15)
    cell.submit('j', [step({ dataRack: 'near' })])
    expect(cell.planAt(0)).toEqual(['j.0.0 n'])
  })

  it('guards against more waiting tasks than the rack serves within the loss', () => {
    const cell = createWaitingCell([workerIn('near', 'n', 2), workerIn('far', 'f', 30)])
    occupy(cell, 2)
    for (const id of ['a', 'b', 'c', 'd', 'e', 'f']) {
      cell.submit(id, [step({ taskCount: 2, dataRack: 'near' })], LATE_QUEUE)
    }
    // Two tasks start after 500 ms and two after 1,500 ms; the next would start after the loss of 2,000 ms.
    expect(cell.planAt(0)).toHaveLength(8)
    expect(cell.locality.totals()).toMatchObject({ decisions: { near: 2, remote: 8, wait: 4 } })
  })

  it.each([
    { name: 'is evacuated', evacuated: true, workersLeft: ['n', 'f'] },
    { name: 'drains, is lost or in quarantine', evacuated: false, workersLeft: ['f'] },
  ])('places remotely at once when the near worker $name', ({ evacuated, workersLeft }) => {
    const near = workerIn('near', 'n', 1, { failureDomain: 'other' })
    const workers = [near, workerIn('far', 'f', 4)]
    const cell = createWaitingCell(workers)
    occupy(cell, 1)
    cell.submit('j', [step({ dataRack: 'near' })])
    expect(cell.planAt(10)).toEqual([])
    const value = { failureDomain: 'other', evacuated: true, ticket: undefined }
    if (evacuated) cell.state.apply({ nowMs: 0, body: { $case: 'evacuation', value } })
    const left = workers
      .filter(({ identity }) => workersLeft.includes(identity.id))
      .map((description) => ({ description, consecutiveFailures: 0 }))
    expect(cell.planAt(20, { workers: left })).toEqual(['j.0.0 f'])
  })

  it('guards against a wait beside a free near worker on which the task failed', () => {
    const cell = createWaitingCell([workerIn('near', 'n', 2), workerIn('far', 'f', 4)])
    cell.submit('j', [step({ dataRack: 'near' })])
    expect(cell.planAt(0, { avoids: (_, id) => id === 'n' })).toEqual(['j.0.0 f'])
  })

  it('guards against best-effort tasks that start slowly while they wait', () => {
    const cell = createWaitingCell([
      workerIn('near', 'n', 1, { capacity: { cpuMillis: 9_000, memoryMb: 10, accelerators: 0 } }),
      workerIn('far', 'f', 4),
    ])
    cell.submit('busy', [step({ dataRack: 'near', filling: true })])
    cell.planAt(0)
    cell.submit('j', [step({ dataRack: 'near', filling: true })])
    expect(cell.planAt(10, { waitedMs: () => 9_000 })).toEqual([])
    expect(cell.planAt(2_010, { waitedMs: () => 9_000 })).toEqual(['j.0.0 f'])
  })

  it.each([
    { name: 'from its start', waitedMs: 0 },
    { name: 'after the longest wait for full speed', waitedMs: 9_000 },
  ])(
    'guards against a waiting step that keeps an equivalent one from a free worker $name',
    ({ waitedMs }) => {
      const capacity = { cpuMillis: 9_000, memoryMb: 10, accelerators: 0 }
      const cell = createWaitingCell([
        workerIn('near', 'n', 1, { capacity }),
        workerIn('far', 'f', 1, { capacity }),
      ])
      cell.submit('busy', [step({ dataRack: 'near', filling: true })])
      cell.planAt(0)
      cell.submit('j', [step({ dataRack: 'near', filling: true })])
      cell.submit('other', [step({ filling: true })])
      expect(cell.planAt(10, { waitedMs: () => waitedMs })).toEqual(['other.0.0 f'])
    },
  )

  it('starts every step by its bound if a worker is free, and never waits beside a free near worker', () => {
    fc.assert(
      fc.property(
        fc.record({
          nearSlots: fc.integer({ min: 1, max: 4 }),
          busy: fc.integer({ min: 0, max: 4 }),
          taskCount: fc.integer({ min: 1, max: 5 }),
          remainingMs: fc.integer({ min: 0, max: 4_000 }),
          remoteFactor: fc.double({ min: 1.05, max: 8, noNaN: true }),
          gang: fc.boolean(),
          intervalMs: fc.integer({ min: 20, max: 400 }),
        }),
        ({ nearSlots, busy, taskCount, remainingMs, remoteFactor, gang, intervalMs }) => {
          const workers = [workerIn('near', 'n', nearSlots), workerIn('far', 'f', 20)]
          const cell = createWaitingCell(workers, { remainingMs, remoteFactor })
          const busyCount = Math.min(busy, nearSlots)
          if (busyCount > 0) occupy(cell, busyCount)
          const fields = { slackFactor: 3, latencyTargetMs: 300 }
          cell.submit('j', [step({ taskCount, dataRack: 'near', gang })], queue(fields), 0)
          const firstPlan = cell.planAt(0)
          const free = nearSlots - busyCount
          // A gang waits as a whole; of other steps, the tasks that find a near worker start.
          const startable = gang && free < taskCount ? 0 : Math.min(free, taskCount)
          expect(firstPlan.filter((line) => line.endsWith(' n'))).toHaveLength(
            firstPlan.length === 0 && gang ? 0 : Math.min(free, taskCount),
          )
          expect(firstPlan.length).toBeGreaterThanOrEqual(startable)
          // The busy near worker never becomes free, so all tasks start remotely by the bound.
          const boundMs = Math.min((remoteFactor - 1) * 1_000, 2_000, 2_300)
          let startedCount = firstPlan.length
          for (let nowMs = intervalMs; nowMs < boundMs; nowMs += intervalMs)
            startedCount += cell.planAt(nowMs).length
          startedCount += cell.planAt(boundMs + 1).length
          expect(startedCount).toBe(taskCount)
        },
      ),
      { numRuns: 200 },
    )
  })
})
