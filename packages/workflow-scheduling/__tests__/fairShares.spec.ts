import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as fc from 'fast-check'
import * as vitest from 'vitest'

const { describe, expect, it } = vitest

const SEED = 20_261_207
const RUNS = 60
const POOL = 'desk/reserved'
const TICK_MS = 100

const keyOf = (queue: string): scheduling.ShareKey => scheduling.shareKey(queue, 'rennes', 'small')

const createShares = (weights: ReadonlyMap<string, number> = new Map()): scheduling.FairShares =>
  scheduling.createFairShares({
    weightOf: (queue) => weights.get(queue) ?? 1,
    partOf: () => 1,
  })

const work = (queue: string, cores: number, coreMs = cores * 1_000): scheduling.WaitingWork => ({
  key: keyOf(queue),
  cores,
  coreMs,
  isExpired: false,
  precedence: 0,
})

const NO_SUPPLY: scheduling.PoolSupply = { freeCores: 0, runningCores: 10 }

describe('standings', () => {
  const cases: readonly {
    readonly name: string
    readonly used: Readonly<Record<string, number>>
    readonly waiting: readonly scheduling.WaitingWork[]
    readonly freeCores?: number
    readonly weights?: ReadonlyMap<string, number>
    readonly classes: readonly scheduling.ShareClass[]
  }[] = [
    {
      name: 'guards against deferring a key without competition',
      used: { a: 9_000 },
      waiting: [work('a', 5)],
      freeCores: 5,
      classes: ['within'],
    },
    {
      name: 'guards against deferring while the free CPU suffices for all',
      used: { a: 9_000, b: 0 },
      waiting: [work('a', 5), work('b', 5)],
      freeCores: 10,
      classes: ['within', 'within'],
    },
    {
      name: 'guards against a key above its share that precedes one below it',
      used: { a: 9_000, b: 1_000 },
      waiting: [work('a', 5), work('b', 2)],
      classes: ['above', 'within'],
    },
    {
      name: 'guards against later work of a key that does not count the earlier work',
      used: { a: 2_000, b: 8_000 },
      waiting: [work('a', 4), work('a', 4), work('b', 1)],
      classes: ['within', 'above', 'above'],
    },
    {
      name: 'guards against weights without effect',
      used: { a: 5_000, b: 5_000 },
      waiting: [work('a', 4), work('b', 4)],
      weights: new Map([['a', 3]]),
      classes: ['within', 'above'],
    },
    {
      name: 'guards against starting whole items for the little share that decay leaves',
      used: { a: 7_900, b: 0 },
      waiting: [work('a', 4), work('b', 4)],
      freeCores: 4,
      classes: ['above', 'within'],
    },
    {
      name: 'guards against an item larger than its share that is never within it',
      used: { a: 0, b: 10_000 },
      waiting: [work('a', 40), work('b', 4)],
      classes: ['within', 'above'],
    },
    {
      name: 'guards against charging work that was started before',
      used: { a: 9_000, b: 1_000 },
      waiting: [work('a', 0), work('b', 2)],
      classes: ['within', 'within'],
    },
  ]

  it.each(cases)('$name', ({ used, waiting, freeCores = 0, weights, classes }) => {
    const shares = createShares(weights)
    for (const [queue, coreMs] of Object.entries(used)) shares.charge(POOL, keyOf(queue), coreMs, 0)
    const ranked = shares.rank(POOL, waiting, { freeCores, runningCores: 10 }, 0)
    expect(ranked.map(({ shareClass }) => shareClass)).toEqual(classes)
  })

  it('guards against a part of a queue that goes to other queues while its own callers wait', () => {
    const shares = createShares()
    const busy = scheduling.shareKey('a', 'nantes', 'small')
    const quiet = scheduling.shareKey('a', 'rennes', 'small')
    shares.charge(POOL, busy, 3_000, 0)
    shares.charge(POOL, quiet, 500, 0)
    shares.charge(POOL, keyOf('b'), 6_500, 0)
    shares.rank(POOL, [{ ...work('a', 9), key: busy }, work('b', 9)], NO_SUPPLY, 0)
    const keys = shares.positions(POOL)?.keys
    expect(keys?.get(busy.text)?.shareCoreMs).toBeCloseTo(4_500)
    expect(keys?.get(keyOf('b').text)?.shareCoreMs).toBeCloseTo(5_000)
  })

  it('guards against a burst that is remembered for longer than the half-life says', () => {
    const shares = createShares()
    shares.charge(POOL, keyOf('a'), 8_000, 0)
    expect(shares.usage(2 * scheduling.USAGE_HALF_LIFE_MS, 1).get(keyOf('a').text)).toBeCloseTo(
      2_000,
    )
  })

  it('guards against a time that goes backwards, and negative work', () => {
    const shares = createShares()
    shares.charge(POOL, keyOf('a'), 8_000, 5_000)
    shares.charge(POOL, keyOf('a'), -9_000, 1_000)
    expect(shares.usage(0, 1).get(keyOf('a').text)).toBe(8_000)
  })

  it('guards against keys that are kept without jobs', () => {
    const shares = createShares()
    for (let index = 0; index < 100; index += 1) shares.charge(POOL, keyOf(`q${index}`), 1, 0)
    shares.rank(POOL, [work('a', 1)], NO_SUPPLY, scheduling.KEY_RETENTION_MS + 1)
    expect([...(shares.positions(POOL)?.keys.keys() ?? [])]).toEqual([keyOf('a').text])
    expect(shares.usage(0, 1_000).size).toBe(1)
  })

  it('guards against a starving key that does not go first, or goes first beyond its floor', () => {
    const shares = createShares()
    const waiting = [work('a', 5), work('b', 2), work('b', 2), work('b', 2)]
    const classesAt = (nowMs: number): readonly scheduling.ShareClass[] => {
      shares.charge(POOL, keyOf('a'), 1_000, nowMs)
      return shares.rank(POOL, waiting, NO_SUPPLY, nowMs).map(({ shareClass }) => shareClass)
    }
    shares.charge(POOL, keyOf('a'), 8_000, 0)
    for (let nowMs = 0; nowMs < scheduling.STARVATION_BOUND_MS; nowMs += TICK_MS) {
      expect(classesAt(nowMs)).not.toContain('starving')
    }
    // The pool has used about 25 core seconds; the floor of b is half of its waiting 6.
    expect(classesAt(scheduling.STARVATION_BOUND_MS)).toEqual([
      'above',
      'starving',
      'starving',
      'within',
    ])
  })
})

/** Jobs of a queue that arrive at one time; tasks use one core each. */
interface Batch {
  readonly atMs: number
  readonly queue: number
  readonly jobs: number
  readonly tasks: number
  readonly taskMs: number
}

const SLOTS = 4
const MAX_TASK_MS = 1_000
const MAX_TASKS = 3
const QUEUES = ['a', 'b', 'c']

const batchArbitrary: fc.Arbitrary<Batch> = fc.record({
  atMs: fc.integer({ min: 0, max: 15_000 }),
  queue: fc.integer({ min: 0, max: QUEUES.length - 1 }),
  jobs: fc.integer({ min: 1, max: 30 }),
  tasks: fc.integer({ min: 1, max: MAX_TASKS }),
  taskMs: fc.integer({ min: 100, max: MAX_TASK_MS }),
})

/**
 * Longest time below the floor. After the starvation bound, only starving keys get slots, the longest starving one
 * first. Their floors are together half of the usage, at most half of what the slots deliver in the usage window. Each
 * key may exceed its floor by one job, and a slot is free after one task.
 */
const MAX_BELOW_FLOOR_MS =
  scheduling.STARVATION_BOUND_MS +
  scheduling.FLOOR_SHARE * scheduling.USAGE_WINDOW_MS +
  (QUEUES.length * MAX_TASKS * MAX_TASK_MS) / SLOTS +
  MAX_TASK_MS +
  TICK_MS

interface Waiting {
  readonly queue: number
  readonly atMs: number
  readonly taskMs: number
  tasks: number
}

/** Strict priorities by queue: without shares, the queue "a" starves the others. Returns the longest times below the floor. */
const longestBelowFloorMs = (
  batches: readonly Batch[],
  weights: readonly number[],
  isOn = true,
): number => {
  const shares = createShares(new Map(QUEUES.map((queue, index) => [queue, weights[index] ?? 1])))
  const arrivals = [...batches].sort((a, b) => a.atMs - b.atMs)
  let waiting: Waiting[] = []
  let running: number[] = []
  const belowSinceMs = new Map<string, number>()
  let longestMs = 0
  for (let nowMs = 0; nowMs < 30_000; nowMs += TICK_MS) {
    for (const { atMs, queue, jobs, tasks, taskMs } of arrivals) {
      if (atMs <= nowMs - TICK_MS || atMs > nowMs) continue
      for (let job = 0; job < jobs; job += 1) waiting.push({ queue, atMs, taskMs, tasks })
    }
    running = running.filter((endMs) => endMs > nowMs)
    const urgencyOf = ({ queue, atMs }: Waiting): scheduling.Urgency => ({
      priority: queue,
      outlook: 'in-time',
      latestStartMs: atMs,
    })
    waiting.sort((a, b) => scheduling.compareUrgency(urgencyOf(a), urgencyOf(b)))
    const works = waiting.map(({ queue, tasks, taskMs }) =>
      work(QUEUES[queue] ?? '', tasks, tasks * taskMs),
    )
    const supply = { freeCores: SLOTS - running.length, runningCores: running.length }
    const standings = shares.rank(POOL, works, supply, nowMs)
    const ordered = waiting.map((job, index) => {
      return { job, urgency: { ...urgencyOf(job), share: isOn ? standings[index] : undefined } }
    })
    ordered.sort((a, b) => scheduling.compareUrgency(a.urgency, b.urgency))
    for (const { job } of ordered) {
      while (job.tasks > 0 && running.length < SLOTS) {
        job.tasks -= 1
        running.push(nowMs + job.taskMs)
        shares.charge(POOL, keyOf(QUEUES[job.queue] ?? ''), job.taskMs, nowMs)
      }
    }
    waiting = waiting.filter(({ tasks }) => tasks > 0)
    for (const position of shares.positions(POOL)?.keys.values() ?? []) {
      const { key, usageCoreMs, waitingCoreMs, shareCoreMs } = position
      expect(usageCoreMs).toBeGreaterThanOrEqual(0)
      const isBelow = waitingCoreMs > 0 && usageCoreMs < scheduling.FLOOR_SHARE * shareCoreMs
      if (!isBelow) belowSinceMs.delete(key.text)
      else if (!belowSinceMs.has(key.text)) belowSinceMs.set(key.text, nowMs)
      longestMs = Math.max(longestMs, nowMs - (belowSinceMs.get(key.text) ?? nowMs))
    }
  }
  return longestMs
}

describe('properties', () => {
  it('guards against a key with waiting work below its floor for longer than the bound', () => {
    fc.assert(
      fc.property(
        fc.array(batchArbitrary, { minLength: 1, maxLength: 30 }),
        fc.tuple(...QUEUES.map(() => fc.integer({ min: 1, max: 10 }))),
        (batches, weights) => {
          expect(longestBelowFloorMs(batches, weights)).toBeLessThanOrEqual(MAX_BELOW_FLOOR_MS)
        },
      ),
      { numRuns: RUNS, seed: SEED },
    )
  })

  it('guards against a bound that also holds without shares', () => {
    const flood = Array.from({ length: 30 }, (_, index) => ({
      atMs: index * 500,
      queue: 0,
      jobs: 4,
      tasks: 1,
      taskMs: 1_000,
    }))
    const batches = [...flood, { atMs: 100, queue: 2, jobs: 5, tasks: 1, taskMs: 500 }]
    expect(longestBelowFloorMs(batches, [1, 1, 1], false)).toBeGreaterThan(MAX_BELOW_FLOOR_MS)
    expect(longestBelowFloorMs(batches, [1, 1, 1])).toBeLessThanOrEqual(MAX_BELOW_FLOOR_MS)
  })

  it('guards against negative usage, and shares above the demand or the capacity', () => {
    const chargeArbitrary = fc.record({
      queue: fc.constantFrom(...QUEUES),
      coreMs: fc.integer({ min: -1_000, max: 100_000 }),
      atMs: fc.integer({ min: 0, max: 100_000 }),
      cores: fc.integer({ min: 0, max: 20 }),
    })
    fc.assert(
      fc.property(fc.array(chargeArbitrary, { maxLength: 40 }), (charges) => {
        const shares = createShares()
        for (const { queue, coreMs, atMs, cores } of charges) {
          shares.charge(POOL, keyOf(queue), coreMs, atMs)
          shares.rank(POOL, [work(queue, cores)], NO_SUPPLY, atMs)
          const positions = [...(shares.positions(POOL)?.keys.values() ?? [])]
          let usedCoreMs = 0
          let sharesCoreMs = 0
          for (const { usageCoreMs, waitingCoreMs, shareCoreMs } of positions) {
            expect(usageCoreMs).toBeGreaterThanOrEqual(0)
            expect(shareCoreMs).toBeLessThanOrEqual((usageCoreMs + waitingCoreMs) * 1.000_001)
            usedCoreMs += usageCoreMs
            sharesCoreMs += shareCoreMs
          }
          expect(sharesCoreMs).toBeLessThanOrEqual(usedCoreMs * 1.000_001)
        }
      }),
      { numRuns: RUNS, seed: SEED },
    )
  })

  it('guards against an order that is not total', () => {
    const urgencyArbitrary: fc.Arbitrary<scheduling.Urgency> = fc.record({
      priority: fc.integer({ min: 0, max: 2 }),
      outlook: fc.constantFrom('in-time', 'late', 'expired'),
      latestStartMs: fc.integer({ min: 0, max: 3 }),
      share: fc.oneof(
        fc.constant(undefined),
        fc.constant({ shareClass: 'within' as const, sinceMs: 0 }),
        fc.constant({ shareClass: 'above' as const, sinceMs: 0 }),
        fc.record({
          shareClass: fc.constant('starving' as const),
          sinceMs: fc.integer({ min: 0, max: 2 }),
        }),
      ),
    })
    const isBefore = (a: scheduling.Urgency, b: scheduling.Urgency): boolean =>
      scheduling.compareUrgency(a, b) <= 0
    fc.assert(
      fc.property(urgencyArbitrary, urgencyArbitrary, urgencyArbitrary, (a, b, c) => {
        expect(scheduling.compareUrgency(a, b) + scheduling.compareUrgency(b, a)).toBe(0)
        if (isBefore(a, b) && isBefore(b, c)) expect(isBefore(a, c)).toBe(true)
      }),
      { numRuns: 2_000, seed: SEED },
    )
  })
})

describe('cost of a ranking', () => {
  /** Reads of the waiting work and of weights in one ranking after `history` starts of other queues. */
  const operationsOf = (waitingCount: number, history: number): number => {
    let operations = 0
    const shares = scheduling.createFairShares({
      weightOf: () => {
        operations += 1
        return 1
      },
      partOf: () => {
        operations += 1
        return 1
      },
    })
    for (let index = 0; index < history; index += 1) {
      shares.charge(POOL, keyOf(`old${index % 500}`), 1_000, 0)
    }
    const waiting = Array.from({ length: waitingCount }, (_, index) => {
      const key = keyOf(`q${index % 10}`)
      return {
        get key() {
          operations += 1
          return key
        },
        cores: 1,
        coreMs: 1_000,
        isExpired: false,
        precedence: 0,
      }
    })
    shares.rank(POOL, waiting, NO_SUPPLY, 2 * scheduling.KEY_RETENTION_MS)
    return operations
  }

  it('guards against a cost that grows with the jobs served before', () => {
    expect(operationsOf(100, 20_000)).toBe(operationsOf(100, 0))
  })

  it('guards against a cost per waiting step that grows with their number', () => {
    expect(operationsOf(10_000, 0) / 10_000).toBeLessThanOrEqual(operationsOf(100, 0) / 100)
  })
})
