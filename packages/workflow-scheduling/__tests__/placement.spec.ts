import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as workflowState from '@ebonyweir/workflow-state'
import * as vitest from 'vitest'
import * as support from './support.js'

const { describe, expect, it } = vitest
const { step, queue, worker, createCell } = support

const workersOf = (plan: readonly string[]): readonly string[] =>
  plan.map((line) => line.split(' ')[1] ?? '')

describe('order of waiting steps', () => {
  it.each([
    {
      name: 'places a high priority before a low one',
      jobs: [
        { id: 'low', priority: 2, submittedMs: 0 },
        { id: 'high', priority: 0, submittedMs: 5 },
      ],
      nowMs: 10,
      first: 'high',
    },
    {
      name: 'places the earlier deadline first',
      jobs: [
        { id: 'late', priority: 0, submittedMs: 900 },
        { id: 'early', priority: 0, submittedMs: 0 },
      ],
      nowMs: 1_000,
      first: 'early',
    },
    {
      name: 'places a job whose value has expired after one that has value',
      jobs: [
        { id: 'expired', priority: 0, submittedMs: 0 },
        { id: 'fresh', priority: 2, submittedMs: 99_000 },
      ],
      nowMs: 100_000,
      first: 'fresh',
    },
  ])('$name', ({ jobs, nowMs, first }) => {
    const cell = createCell([worker('w')])
    for (const { id, priority, submittedMs } of jobs) {
      cell.submit(id, [step()], queue({ priority }), submittedMs)
    }
    expect(cell.plan({ nowMs })[0]).toBe(`${first}.0.0 w`)
  })
})

describe('choice of a worker', () => {
  it('packs latency-critical tasks, so that other workers stay free of them', () => {
    const cell = createCell([worker('v'), worker('w'), worker('x')])
    const claim = { cpuMillis: 4_000, memoryMb: 10, accelerators: 0 }
    cell.submit('serve', [step({ taskCount: 4, lasting: true, tailTargetMs: 50, claim })])
    expect(new Set(workersOf(cell.plan())).size).toBe(1)
  })

  it('places best-effort tasks where their neighbours tolerate them', () => {
    const cell = createCell([worker('v'), worker('w')])
    cell.disturbance.observe(
      'v@1',
      { serving: [{ key: 's', image: 'i', tailMs: 34, targetMs: 50 }], filling: [] },
      0,
    )
    cell.submit('fill', [step({ taskCount: 3, filling: true, image: 'f' })])
    expect(workersOf(cell.plan())).toEqual(['w', 'w', 'w'])
  })

  it('prefers the worker that tolerates the most best-effort tasks', () => {
    const cell = createCell([worker('v'), worker('w')])
    const observe = (id: string, tails: readonly number[]): void => {
      for (const [list, tailMs] of tails.entries()) {
        const serving = [{ key: `${id}-s`, image: 'i', tailMs, targetMs: 50 }]
        cell.disturbance.observe(`${id}@1`, { serving, filling: [] }, list * 400)
      }
    }
    observe('v', [10, 12])
    observe('w', [10, 11])
    cell.submit('fill', [step({ filling: true, image: 'f' })])
    expect(workersOf(cell.plan())).toEqual(['w'])
  })

  it.each([
    {
      name: 'avoids a worker with recent failures while others have free capacity',
      fields: { consecutiveFailures: 2 },
      steps: [step()],
      chosen: 'w',
    },
    {
      name: 'prefers the rack of the data',
      fields: { consecutiveFailures: 0 },
      steps: [step({ dataRack: 'r2' })],
      chosen: 'w',
    },
  ])('$name', ({ fields, steps, chosen }) => {
    const far = worker('v', {
      rack: 'r1',
      capacity: { cpuMillis: 9_000, memoryMb: 99, accelerators: 0 },
    })
    const near = worker('w', { rack: 'r2' })
    const cell = createCell([far, near])
    cell.submit('j', steps)
    const workers = [
      { description: far, ...fields },
      { description: near, consecutiveFailures: 0 },
    ]
    expect(workersOf(cell.plan({ workers }))).toEqual([chosen])
  })

  it('does not retry a task on the worker where it failed', () => {
    const cell = createCell([worker('v'), worker('w')])
    cell.submit('j', [step()])
    expect(workersOf(cell.plan({ avoids: (_, id) => id === 'v' }))).toEqual(['w'])
  })

  it('does not place part of a gang, and releases its reservations', () => {
    const cell = createCell([worker('v')])
    const claim = { cpuMillis: 6_000, memoryMb: 10, accelerators: 0 }
    cell.submit('gang', [step({ taskCount: 3, gang: true, claim })])
    cell.submit('other', [step({ taskCount: 2, claim })], queue({ priority: 1 }))
    expect(cell.plan()).toEqual(['other.0.0 v', 'other.0.1 v'])
  })

  it.each([
    {
      name: 'of a job without supply only where it does not interfere',
      mayDisturb: false,
      workers: ['w', 'w', 'w', 'w'],
    },
    {
      name: 'of a job with supply on any worker',
      mayDisturb: true,
      workers: ['v', 'v', 'w', 'w', 'w', 'w'],
    },
  ])('places a best-effort task $name', ({ mayDisturb, workers }) => {
    const capacityForFour = { cpuMillis: 16_000, memoryMb: 40, accelerators: 0 }
    const cell = createCell([worker('v'), worker('w', { capacity: capacityForFour })])
    for (const [list, tailMs] of [10, 11].entries()) {
      const serving = [{ key: 's', image: 'i', tailMs, targetMs: 50 }]
      cell.disturbance.observe('v@1', { serving, filling: [] }, list * 400)
    }
    cell.submit('fill', [step({ taskCount: 6, filling: true, image: 'f' })])
    const disturbance = { ...cell.disturbance, mayExplore: () => false }
    const plan = cell.plan({ mayDisturb: () => mayDisturb, waitedMs: () => 10_000, disturbance })
    expect([...workersOf(plan)].sort()).toEqual(workers)
  })

  it.each([
    {
      name: 'guards against a job without supply that makes no progress beside free CPU',
      reservedMillis: 7_000,
      planned: 1,
    },
    {
      name: 'lets a job without supply wait while most CPU is reserved',
      reservedMillis: 9_000,
      planned: 0,
    },
  ])('$name', ({ reservedMillis, planned }) => {
    const cell = createCell([worker('v')])
    const claim = { cpuMillis: reservedMillis, memoryMb: 10, accelerators: 0 }
    cell.submit('serve', [step({ lasting: true, tailTargetMs: 50, claim, image: 'i' })])
    cell.plan()
    const serving = [{ key: 's', image: 'i', tailMs: 10, targetMs: 50 }]
    cell.disturbance.observe('v@1', { serving, filling: [] }, 0)
    cell.submit('fill', [step({ taskCount: 6, filling: true, image: 'f' })])
    const disturbance = { ...cell.disturbance, mayExplore: () => false }
    const plan = cell.plan({ mayDisturb: () => false, waitedMs: () => 10_000, disturbance })
    expect(plan).toHaveLength(planned)
  })

  it.each([
    { name: 'waits for a better worker at first', waitedMs: 0, planned: 0 },
    { name: 'starts one task on a bad worker after a while', waitedMs: 10_000, planned: 1 },
  ])('a best-effort step that would interfere on every worker $name', ({ waitedMs, planned }) => {
    const cell = createCell([worker('v')])
    cell.disturbance.observe(
      'v@1',
      { serving: [{ key: 's', image: 'i', tailMs: 10, targetMs: 50 }], filling: [] },
      0,
    )
    cell.disturbance.observe(
      'v@1',
      { serving: [{ key: 's', image: 'i', tailMs: 48, targetMs: 50 }], filling: [] },
      400,
    )
    cell.submit('fill', [step({ taskCount: 6, filling: true, image: 'f' })])
    const [ready] = [...cell.state.view.readySteps]
    if (ready === undefined) throw new Error('no ready step')
    expect(
      scheduling.createBestEffortWorkerSearch(cell.input()).reserveAcceptableWorker(ready),
    ).toBe(false)
    expect(cell.plan({ waitedMs: () => waitedMs })).toHaveLength(planned)
  })

  it('returns the highest rate that a best-effort task could reach', () => {
    const cell = createCell([worker('v')])
    cell.submit('fill', [step({ filling: true, image: 'f' })])
    const [ready] = [...cell.state.view.readySteps]
    if (ready === undefined) throw new Error('no ready step')
    expect(scheduling.maxBestEffortRate(cell.input(), ready)).toBe(1)
    expect(scheduling.maxBestEffortRate({ ...cell.input(), workers: [] }, ready)).toBe(0)
  })

  const observeTail = (cell: ReturnType<typeof createCell>, tailMs: number): void => {
    const serving = { key: 's', image: 'i', targetMs: 50 }
    cell.disturbance.observe('v@1', { serving: [{ ...serving, tailMs: 10 }], filling: [] }, 0)
    cell.disturbance.observe('v@1', { serving: [{ ...serving, tailMs }], filling: [] }, 400)
  }

  it('guards against a worker that gets best-effort tasks in each round until its next list', () => {
    const cell = createCell([worker('v')])
    observeTail(cell, 13)
    cell.submit('fill', [step({ taskCount: 12, filling: true, image: 'f' })])
    const first = cell.plan()
    expect(first.length).toBeGreaterThan(0)
    expect(cell.plan()).toEqual([])
    expect(cell.plan()).toEqual([])
  })

  it('guards against CPU that tasks of later-ranked jobs withhold from an earlier one', () => {
    const cell = createCell([
      worker('v', { capacity: { cpuMillis: 4_000, memoryMb: 1_000, accelerators: 0 } }),
    ])
    const ranks: Readonly<Record<string, number>> = { early: 0, late: 1 }
    const fillerRank: scheduling.PlacementInput['fillerRank'] = ({ job }) => ranks[job.spec.id] ?? 0
    const claim = { cpuMillis: 2_000, memoryMb: 10, accelerators: 0 }
    cell.submit('late', [step({ taskCount: 4, filling: true, image: 'f', claim })])
    expect(cell.plan({ fillerRank })).toEqual(['late.0.0 v', 'late.0.1 v'])
    cell.submit('early', [step({ taskCount: 4, filling: true, image: 'f', claim })])
    expect(cell.plan({ fillerRank })).toEqual(['early.0.0 v', 'early.0.1 v'])
  })

  it('returns how many best-effort tasks could run at full speed', () => {
    const cell = createCell([worker('v'), worker('u')])
    cell.submit('fill', [step({ taskCount: 4, filling: true, image: 'f' })])
    const steps = [...cell.state.view.readySteps]
    expect(scheduling.createBestEffortSupply()(cell.input(), steps)).toBe(32)
    observeTail(cell, 20)
    expect(scheduling.createBestEffortSupply()(cell.input(), steps)).toBeLessThan(20)
  })
})

describe('best-effort tasks beside latency-critical tasks that use part of their claim', () => {
  const TARGET_MS = 50
  const FLOOR_MS = 10
  const LATENCY_CRITICAL_COUNT = 4

  /** One worker whose CPU is fully reserved by latency-critical tasks with the given tail latency. */
  const createReservedCell = (tailMs: number) => {
    const cell = createCell([worker('v')])
    const claim = { cpuMillis: 4_000, memoryMb: 10, accelerators: 0 }
    const fields = { lasting: true, tailTargetMs: TARGET_MS, image: 'serve', claim }
    cell.submit('serve', [step({ taskCount: LATENCY_CRITICAL_COUNT, ...fields })])
    expect(cell.plan()).toHaveLength(LATENCY_CRITICAL_COUNT)
    const servingAt = (atTailMs: number) =>
      Array.from({ length: LATENCY_CRITICAL_COUNT }, (_, index) => ({
        key: workflowState.runKey({ job: 'serve', occurrence: 0, step: 0, index, run: 1 }),
        image: 'serve',
        tailMs: atTailMs,
        targetMs: TARGET_MS,
      }))
    cell.disturbance.observe('v@1', { serving: servingAt(FLOOR_MS), filling: [] }, 0)
    for (let list = 1; list < 10; list += 1) {
      cell.disturbance.observe('v@1', { serving: servingAt(tailMs), filling: [] }, list * 500)
    }
    cell.submit('fill', [step({ taskCount: 12, filling: true, image: 'f' })])
    return cell
  }

  it('guards against best-effort tasks that wait beside CPU that is reserved but unused', () => {
    const cell = createReservedCell(15)
    const steps = [...cell.state.view.readySteps]
    expect(scheduling.createBestEffortSupply()(cell.input(), steps)).toBeGreaterThan(1)
    expect(cell.plan().length).toBeGreaterThan(0)
  })

  it('guards against more tasks of an unknown image than the tail latencies may tolerate', () => {
    expect(createReservedCell(20).plan()).toEqual(['fill.0.0 v'])
  })

  it('guards against best-effort tasks beside tail latencies that are near their target', () => {
    expect(createReservedCell(45).plan()).toEqual([])
  })
})

describe('exploration of unknown interference', () => {
  const WORKERS = 6

  /** Workers with one latency-critical task each of the same image, whose tail latency is far below its target. */
  const createLoadedCell = (tailMs: number) => {
    const names = Array.from({ length: WORKERS }, (_, index) => `w${index}`)
    const cell = createCell(names.map((name) => worker(name)))
    let atMs = 0
    const observe = (): void => {
      atMs += 400
      for (const name of names) {
        for (const tail of atMs === 400 ? [10, tailMs] : [tailMs]) {
          const serving = [{ key: `${name}-s`, image: 'i', tailMs: tail, targetMs: 50 }]
          cell.disturbance.observe(`${name}@1`, { serving, filling: [] }, atMs)
        }
      }
    }
    observe()
    cell.submit('fill', [step({ taskCount: 12, filling: true, image: 'f' })])
    const plan = (): readonly string[] => cell.plan({ mayDisturb: () => false })
    return { observe, plan }
  }

  it('guards against pairs that stay unknown, so that idle CPU beside them is never used', () => {
    expect(createLoadedCell(12).plan()).toHaveLength(1)
  })

  it('guards against a second task on an unknown pair while the first one is observed', () => {
    const cell = createLoadedCell(12)
    cell.plan()
    cell.observe()
    expect(cell.plan()).toEqual([])
  })

  it('guards against an exploration beside a tail latency near its target', () => {
    expect(createLoadedCell(40).plan()).toEqual([])
  })
})

describe('work of a plan on a large fleet', () => {
  const TASKS = 40
  const MAX_SHARE_OF_PAIRS = 0.1

  it.each([
    { name: 'tasks that reserve CPU', fields: {} },
    { name: 'best-effort tasks', fields: { filling: true, image: 'f' } },
    { name: 'best-effort tasks of which each failed on some worker', fields: { filling: true } },
  ])('guards against a look at every worker for every task: $name', ({ fields }) => {
    const workers = Array.from({ length: 200 }, (_, index) => worker(`w${index}`))
    const cell = createCell(workers)
    cell.submit('wide', [step({ taskCount: TASKS, ...fields })])
    const avoids: scheduling.PlacementInput['avoids'] = ({ index }, id) => id === `w${index}`
    const plan = scheduling.planAssignments({ ...cell.input(), avoids })
    expect(plan.assignments).toHaveLength(TASKS)
    expect(plan.workersLookedAt).toBeLessThan(TASKS * workers.length * MAX_SHARE_OF_PAIRS)
    const failedAgain = plan.assignments.filter(
      ({ task, worker: to }) => task !== undefined && avoids(task, to?.id ?? ''),
    )
    expect(failedAgain).toEqual([])
  })

  it('guards against a task that waits because it failed on the only worker', () => {
    const cell = createCell([worker('v')])
    cell.submit('again', [step({ taskCount: 2 })])
    expect(cell.plan({ avoids: () => true })).toEqual(['again.0.0 v', 'again.0.1 v'])
  })

  it('guards against a supply that is computed for every worker at every ranking', () => {
    const WORKERS = 40
    const workers = Array.from({ length: WORKERS }, (_, index) => worker(`w${index}`))
    const cell = createCell(workers)
    cell.submit('fill', [step({ taskCount: 4, filling: true, image: 'f' })])
    const toleratedCount = vitest.vi.fn(cell.disturbance.toleratedCount)
    const input = { ...cell.input(), disturbance: { ...cell.disturbance, toleratedCount } }
    const steps = [...cell.state.view.readySteps]
    const supply = scheduling.createBestEffortSupply()
    expect(supply(input, steps)).toBe(16 * WORKERS)
    expect(toleratedCount).toHaveBeenCalledTimes(WORKERS)
    toleratedCount.mockImplementation(() => 1)
    const later = Array.from({ length: 4 }, () => supply(input, steps))
    expect(toleratedCount).toHaveBeenCalledTimes(2 * WORKERS)
    expect(later).toEqual([490, 340, 190, 40])
    expect(supply({ ...input, workers: input.workers.slice(0, 3) }, steps)).toBe(3)
  })
})

describe('search without a suitable worker', () => {
  const WORKERS = 10
  const WAITING_JOBS = 40

  /** Workers that tolerate no best-effort task, waiting jobs, and a spy on the queries of the counts used for placement. */
  const createFullCell = () => {
    const names = Array.from({ length: WORKERS }, (_, index) => `w${index}`)
    const cell = createCell(names.map((name) => worker(name)))
    for (const name of names) {
      const serving = [{ key: `${name}-s`, image: 'i', tailMs: 49, targetMs: 50 }]
      cell.disturbance.observe(`${name}@1`, { serving, filling: [] }, 0)
    }
    for (let job = 0; job < WAITING_JOBS; job += 1) {
      cell.submit(`job${job}`, [step({ taskCount: 3, filling: true, image: 'f' })])
    }
    const safeToleratedCount = vitest.vi.fn(cell.disturbance.safeToleratedCount)
    const input = { ...cell.input(), disturbance: { ...cell.disturbance, safeToleratedCount } }
    return { input, safeToleratedCount, steps: [...cell.state.view.readySteps] }
  }

  it.each<{ name: string; search: (cell: ReturnType<typeof createFullCell>) => void }>([
    {
      name: 'guards against a plan that queries every worker for every waiting job',
      search: ({ input }) => {
        expect(scheduling.planAssignments(input).assignments).toEqual([])
      },
    },
    {
      name: 'guards against a sweep that queries every worker for every slow best-effort task',
      search: ({ input, steps }) => {
        const places = scheduling.createBestEffortWorkerSearch(input)
        for (const slow of steps) expect(places.reserveAcceptableWorker(slow)).toBe(false)
      },
    },
  ])('$name', ({ search }) => {
    const cell = createFullCell()
    search(cell)
    expect(cell.safeToleratedCount).toHaveBeenCalled()
    expect(cell.safeToleratedCount.mock.calls.length).toBeLessThanOrEqual(WORKERS)
  })
})
