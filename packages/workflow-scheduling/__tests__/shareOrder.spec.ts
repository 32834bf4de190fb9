import * as protocol from '@ebonyweir/protocol'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import type * as workflowState from '@ebonyweir/workflow-state'
import * as vitest from 'vitest'
import * as support from './support.js'

const { describe, expect, it } = vitest
const { EndKind } = protocol.workflow

describe('size classes', () => {
  const createSizes = (sizes: readonly number[]): scheduling.SizeClasses => {
    const classes = scheduling.createSizeClasses()
    for (const size of sizes) classes.observe('quotes', size)
    return classes
  }
  const countTo = (count: number): readonly number[] =>
    Array.from({ length: count }, (_, index) => index + 1)

  it.each([
    {
      name: 'guards against classes of a queue without jobs',
      sizes: [],
      size: 100,
      expected: 'small',
    },
    {
      name: 'guards against classes of too few jobs',
      sizes: countTo(19),
      size: 100,
      expected: 'small',
    },
    {
      name: 'guards against a class for jobs of one size',
      sizes: countTo(64).map(() => 5),
      size: 5,
      expected: 'small',
    },
    {
      name: 'guards against a largest tenth of another size',
      sizes: countTo(320),
      size: 289,
      expected: 'large',
    },
    {
      name: 'guards against a fifth below it of another size',
      sizes: countTo(320),
      size: 288,
      expected: 'medium',
    },
    {
      name: 'guards against a rest of another size',
      sizes: countTo(320),
      size: 224,
      expected: 'small',
    },
  ])('$name', ({ sizes, size, expected }) => {
    expect(createSizes(sizes).classOf('quotes', size)).toBe(expected)
  })

  it('guards against a burst of large jobs that raises the part of large jobs without bound', () => {
    const sizes = countTo(480).map((index) => (index % 20 === 0 ? 40 + index / 1_000 : 4))
    const burst = countTo(160).map((index) => 41 + index / 1_000)
    const before = createSizes(sizes).partOf('quotes', 'large')
    const after = createSizes([...sizes, ...burst]).partOf('quotes', 'large')
    // 1 of 20 jobs is large before, and more than 1 of 4 during the burst; the class has at most 1 of 10.
    expect(before).toBeCloseTo(40 / (40 + 19 * 4), 1)
    expect(after).toBeLessThanOrEqual(40 / (40 + 9 * 4))
  })
})

describe('a new leader', () => {
  const WORKER = support.worker('w', {
    capacity: { cpuMillis: 100_000, memoryMb: 100_000, accelerators: 0 },
  })

  /** State in which the callers of "rennes" have started much more than those of "nantes". */
  const createBurst = () => {
    const cell = support.createCell([WORKER])
    const { view } = cell.state
    const before = scheduling.createShareOrder({ expected: cell.expected, weights: new Map() })
    const assign = (nowMs: number): void => {
      const value = scheduling.planAssignments({ ...cell.input(nowMs), maxAssignments: 1_000 })
      const outcome = cell.state.apply({ nowMs, body: { $case: 'assign', value } })
      if (outcome.kind !== 'assigned') throw new Error('not an assignment')
      for (const { task: run } of outcome.accepted) {
        const step = view.jobs.get(run?.job ?? '')?.occurrences.get(0)?.steps[0]
        const task = step?.tasks[run?.index ?? 0]
        if (step !== undefined && task !== undefined) before.recordStart({ step, task }, nowMs)
      }
    }
    for (let job = 0; job < 20; job += 1) {
      const nowMs = job * 100
      cell.submit(`r${job}`, [support.step({ taskCount: 4 })], undefined, nowMs, 'rennes')
      assign(nowMs)
    }
    cell.submit('n', [support.step({ taskCount: 4 })], undefined, 2_000, 'nantes')
    assign(2_000)
    const ends = Array.from({ length: 10 }, (_, job) => ({
      run: { job: `r${job}`, occurrence: 0, step: 0, index: 0, run: 1 },
      kind: EndKind.COMPLETED,
      checkpoint: '',
    }))
    const value = { worker: WORKER.identity, ends }
    cell.state.apply({ nowMs: 2_100, body: { $case: 'ends', value } })
    for (const domain of ['rennes', 'nantes']) {
      cell.submit(`w-${domain}`, [support.step({ taskCount: 4 })], undefined, 2_100, domain)
    }
    return { cell, view, before }
  }

  const classesOf = (
    order: scheduling.ShareOrder,
    view: workflowState.WorkflowView,
    nowMs: number,
  ): ReadonlyMap<string, string> => {
    const steps = [...view.readySteps].map((step) => ({
      step,
      urgency: { priority: 0, outlook: 'in-time' as const, latestStartMs: 0 },
      slackMs: 0,
    }))
    const standings = order.standingsOfSteps(steps, view, () => 0, nowMs)
    return new Map([...standings].map(([step, { shareClass }]) => [step.job.spec.id, shareClass]))
  }

  it('guards against a leader change after which a burst counts as unused share', () => {
    const { cell, view, before } = createBurst()
    const expected = { expected: cell.expected, weights: new Map<string, number>() }
    const classes = new Map([
      ['w-rennes', 'above'],
      ['w-nantes', 'within'],
    ])
    expect(classesOf(before, view, 2_100)).toEqual(classes)
    // The clock of the new leader's process starts elsewhere.
    const nowMs = 77
    const after = scheduling.createShareOrder(expected)
    after.rebuild(view, nowMs, 2_100)
    expect(classesOf(after, view, nowMs)).toEqual(classes)
    const usageBefore = before.usage(2_100, 10)
    const usageAfter = after.usage(nowMs, 10)
    expect([...usageAfter.keys()].sort()).toEqual([...usageBefore.keys()].sort())
    for (const [key, coreMs] of usageAfter) {
      // Runs take 1 s, a fifth of the half-life, so their unknown start changes the usage by less than a quarter.
      expect(coreMs / (usageBefore.get(key) ?? 0)).toBeGreaterThan(0.75)
      expect(coreMs / (usageBefore.get(key) ?? 0)).toBeLessThan(1.33)
    }
    const empty = scheduling.createShareOrder(expected)
    expect(classesOf(empty, view, nowMs)).not.toEqual(classes)
  })

  it('guards against charging a caller again for a run that was lost', () => {
    const { view, before } = createBurst()
    const step = view.jobs.get('n')?.occurrences.get(0)?.steps[0]
    const task = step?.tasks[0]
    if (step === undefined || task === undefined) throw new Error('no task')
    const usage = before.usage(2_000, 10)
    before.recordStart({ step, task: { ...task, run: 2 } }, 2_000)
    expect(before.usage(2_000, 10)).toEqual(usage)
  })
})

describe('long-running steps', () => {
  it('guards against a deferral of long-running steps, and against a charge for their start', () => {
    const cell = support.createCell([support.worker('w')])
    const order = scheduling.createShareOrder({ expected: cell.expected, weights: new Map() })
    const { view } = cell.state
    cell.submit('long', [support.step({ lasting: true, taskCount: 9 })], undefined, 0, 'rennes')
    cell.submit('other', [support.step()], undefined, 0, 'nantes')
    const ready = [...view.readySteps]
    const long = ready.find(({ spec }) => spec.lasting)
    const task = long?.tasks[0]
    if (long === undefined || task === undefined) throw new Error('no step')
    order.recordStart({ step: long, task }, 0)
    expect([...order.usage(0, 10).values()]).toEqual([])
    const urgency = { priority: 0, outlook: 'in-time' as const, latestStartMs: 0 }
    const steps = ready.map((step) => ({ step, urgency, slackMs: 0 }))
    const standings = order.standingsOfSteps(steps, view, () => 0, 0)
    expect(standings.get(long)?.shareClass).toBe('within')
  })
})

describe('without fair shares', () => {
  it('guards against a plan that depends on callers, queues or sizes', () => {
    const plans = ['', 'rennes'].map((domain) => {
      const cell = support.createCell([support.worker('w')])
      for (let job = 0; job < 30; job += 1) {
        const steps = [support.step({ taskCount: 1 + (job % 3), estimatedMs: 500 + job })]
        const inQueue = support.queue({ name: `q${job % 2}`, priority: job % 2 })
        cell.submit(`j${job}`, steps, inQueue, job, job % 3 === 0 ? domain : '')
      }
      return cell.plan()
    })
    expect(plans[1]).toEqual(plans[0])
  })

  it('guards against an order that one key alone changes', () => {
    const planWith = (isOn: boolean): readonly string[] => {
      const cell = support.createCell([support.worker('w')])
      const order = scheduling.createShareOrder({ expected: cell.expected, weights: new Map() })
      for (let job = 0; job < 30; job += 1) {
        cell.submit(`j${job}`, [support.step()], undefined, 3_000 - 50 * job)
      }
      const shares: scheduling.PlacementInput['shares'] = (steps, freeCores) =>
        order.standingsOfSteps(steps, cell.state.view, freeCores, 0)
      return cell.plan({ shares: isOn ? shares : undefined })
    }
    expect(planWith(true)).toEqual(planWith(false))
  })
})
