import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as fc from 'fast-check'
import * as vitest from 'vitest'

const { describe, expect, it } = vitest

/** Tasks that could run at full speed; plans use 9.6 of them. A job of the cases below needs 8 concurrently. */
const SUPPLY = 16

const job = (
  key: string,
  fields: Partial<scheduling.BestEffortJob> = {},
): scheduling.BestEffortJob => ({
  key,
  totalMs: 40_000,
  remainingMs: 40_000,
  chainMs: 5_000,
  untilDueMs: 10_000,
  untilExpiryMs: 30_000,
  ...fields,
})

const order = (jobs: readonly scheduling.BestEffortJob[], supply: number): readonly string[] =>
  [...scheduling.rankBestEffortJobs(jobs, supply).ranks]
    .sort(([, a], [, b]) => a - b)
    .map(([key]) => key)

describe('fair shares of best-effort jobs', () => {
  const standing = (shareClass: scheduling.ShareClass): scheduling.ShareStanding => ({
    shareClass,
    sinceMs: 0,
  })
  // Plans use 9.6 tasks, or 14.4 for selected and starving jobs; a job needs 8.
  const cases: readonly {
    readonly name: string
    readonly jobs: readonly scheduling.BestEffortJob[]
    readonly selected?: readonly string[]
    readonly chosen: readonly string[]
    readonly ranked: readonly string[]
  }[] = [
    {
      name: 'guards against a job above its share before one within',
      jobs: [
        job('above', { remainingMs: 20_000, share: standing('above') }),
        job('within', { share: standing('within') }),
      ],
      chosen: ['within'],
      ranked: ['within', 'above'],
    },
    {
      name: 'guards against a starving job that does not go first',
      jobs: [
        job('within', { remainingMs: 20_000, share: standing('within') }),
        job('large', { remainingMs: 120_000, share: standing('starving') }),
      ],
      chosen: ['large'],
      ranked: ['large', 'within'],
    },
    {
      name: 'guards against a starving job that displaces a selected one, whose work would be wasted',
      jobs: [
        job('selected', { share: standing('above') }),
        job('starving', { share: standing('starving') }),
      ],
      selected: ['selected'],
      chosen: ['selected'],
      ranked: ['selected', 'starving'],
    },
    {
      name: 'guards against smaller jobs that take the supply for which a starving job waits',
      jobs: [
        job('selected', { remainingMs: 20_000, share: standing('within') }),
        job('starving', { remainingMs: 60_000, share: standing('starving') }),
        job('small', { remainingMs: 10_000, share: standing('within') }),
      ],
      selected: ['selected'],
      chosen: ['selected'],
      ranked: ['selected', 'starving', 'small'],
    },
  ]

  it.each(cases)('$name', ({ jobs, selected = [], chosen, ranked }) => {
    const result = scheduling.rankBestEffortJobs(jobs, SUPPLY, new Set(selected))
    expect([...result.chosen]).toEqual(chosen)
    expect([...result.ranks.keys()]).toEqual(ranked)
  })
})

describe('ranking of best-effort jobs', () => {
  // Each case guards against an order in which jobs share a supply that lets only some of them end in time.
  const cases: readonly {
    readonly name: string
    readonly jobs: readonly scheduling.BestEffortJob[]
    readonly supply: number
    readonly expected: readonly string[]
  }[] = [
    {
      name: 'ranks by due time with enough supply',
      jobs: [job('a', { untilDueMs: 20_000 }), job('b', { untilDueMs: 9_000 })],
      supply: 20,
      expected: ['b', 'a'],
    },
    {
      name: 'ranks a job last that cannot be in time beside the others, although it is due first',
      jobs: [
        job('large', { totalMs: 200_000, remainingMs: 200_000 }),
        job('b', { untilDueMs: 11_000 }),
        job('c', { untilDueMs: 12_000 }),
      ],
      supply: 10,
      expected: ['b', 'c', 'large'],
    },
    {
      name: 'keeps a job that is nearly done among those in time',
      jobs: [
        job('fresh', { untilDueMs: 10_000 }),
        job('begun', { remainingMs: 8_000, untilDueMs: 10_500 }),
      ],
      supply: 4,
      expected: ['begun', 'fresh'],
    },
    {
      name: 'ranks a job last whose critical path is too long for its due time',
      jobs: [job('late', { chainMs: 11_000 }), job('b', { untilDueMs: 11_000 })],
      supply: 6,
      expected: ['b', 'late'],
    },
    {
      name: 'ranks late jobs by remaining work and expired ones last',
      jobs: [
        job('worthless', { untilDueMs: -30_000, untilExpiryMs: 0, remainingMs: 1_000 }),
        job('long', { untilDueMs: -1_000, untilExpiryMs: 10_000 }),
        job('short', { untilDueMs: -2_000, untilExpiryMs: 10_000, remainingMs: 2_000 }),
      ],
      supply: 6,
      expected: ['short', 'long', 'worthless'],
    },
    {
      name: 'ranks a late job that is nearly done before one in time that has hardly begun',
      jobs: [
        job('fresh'),
        job('nearly done', { remainingMs: 500, chainMs: 500, untilDueMs: -4_000 }),
        job('late', { untilDueMs: -4_000, untilExpiryMs: 20_000 }),
      ],
      supply: 20,
      expected: ['nearly done', 'fresh', 'late'],
    },
    {
      name: 'returns an order without supply',
      jobs: [job('a')],
      supply: 0,
      expected: ['a'],
    },
  ]

  it.each(cases)('$name', ({ jobs, supply, expected }) => {
    expect(order(jobs, supply)).toEqual(expected)
  })

  it('assigns each job exactly one rank without gaps', () => {
    const jobs = fc.uniqueArray(
      fc.record({
        key: fc.integer({ min: 0, max: 1_000 }).map(String),
        totalMs: fc.integer({ min: 1_000, max: 100_000 }),
        remainingMs: fc.integer({ min: 0, max: 100_000 }),
        chainMs: fc.integer({ min: 0, max: 20_000 }),
        untilDueMs: fc.integer({ min: -10_000, max: 30_000 }),
        untilExpiryMs: fc.integer({ min: -10_000, max: 90_000 }),
      }),
      { selector: ({ key }) => key, maxLength: 40 },
    )
    fc.assert(
      fc.property(jobs, fc.double({ min: 0, max: 60, noNaN: true }), (given, supply) => {
        const ranks = [...scheduling.rankBestEffortJobs(given, supply).ranks.values()]
        expect(ranks.sort((a, b) => a - b)).toEqual(given.map((_, index) => index))
      }),
    )
  })

  // Each case guards against jobs that interfere with latency-critical tasks, or with each other, without benefit.
  const choices: readonly {
    readonly name: string
    readonly jobs: readonly scheduling.BestEffortJob[]
    readonly alreadySelected?: readonly string[]
    readonly chosen: readonly string[]
  }[] = [
    {
      name: 'does not select a job that does not fit beside the selected ones',
      jobs: [job('small', { remainingMs: 20_000 }), job('large')],
      chosen: ['small'],
    },
    {
      name: 'keeps a selected job when one with more value per remaining work arrives',
      jobs: [job('begun'), job('fresh', { remainingMs: 20_000 })],
      alreadySelected: ['begun'],
      chosen: ['begun'],
    },
    {
      name: 'keeps a selected job that is expected to be slightly late',
      jobs: [job('begun', { chainMs: 12_000 }), job('fresh')],
      alreadySelected: ['begun'],
      chosen: ['begun'],
    },
    {
      name: 'keeps a selected job while the estimate of the supply fluctuates',
      jobs: [job('begun', { remainingMs: 30_000 }), job('other', { remainingMs: 40_000 })],
      alreadySelected: ['begun', 'other'],
      chosen: ['begun', 'other'],
    },
    {
      name: 'deselects a job that is certainly late',
      jobs: [job('begun', { chainMs: 20_000 }), job('fresh')],
      alreadySelected: ['begun'],
      chosen: ['fresh'],
    },
    {
      name: 'gives late jobs the supply that is left',
      jobs: [
        job('late', { remainingMs: 10_000, untilDueMs: -1_000 }),
        job('b', { remainingMs: 20_000 }),
      ],
      chosen: ['b', 'late'],
    },
    {
      name: 'selects at least one job, however large it is',
      jobs: [job('large', { remainingMs: 900_000 })],
      chosen: ['large'],
    },
  ]

  it.each(choices)('$name', ({ jobs, alreadySelected = [], chosen }) => {
    const order = scheduling.rankBestEffortJobs(jobs, SUPPLY, new Set(alreadySelected))
    expect([...order.chosen].sort()).toEqual(chosen)
  })

  it('guards against a set of jobs in time whose tasks exceed the planned supply', () => {
    const jobs = fc.array(
      fc.record({
        remainingMs: fc.integer({ min: 1_000, max: 50_000 }),
        chainMs: fc.integer({ min: 500, max: 20_000 }),
        untilDueMs: fc.integer({ min: 1, max: 30_000 }),
      }),
      { minLength: 1, maxLength: 30 },
    )
    fc.assert(
      fc.property(jobs, fc.integer({ min: 1, max: 30 }), (given, supply) => {
        const all = given.map((fields, index) =>
          job(String(index), { ...fields, totalMs: fields.remainingMs }),
        )
        const chosen = scheduling.chooseJobsInTime(all, supply)
        let width = 0
        for (const { remainingMs, chainMs, untilDueMs } of chosen) {
          width += remainingMs / chainMs
          expect(chainMs).toBeLessThanOrEqual(untilDueMs)
        }
        const planned = supply * scheduling.PLANNED_SUPPLY_SHARE
        if (chosen.length > 1) expect(width).toBeLessThanOrEqual(planned)
      }),
    )
  })

  it('selects every job when supply is ample', () => {
    const due = fc.array(fc.integer({ min: 1, max: 30_000 }), { minLength: 1, maxLength: 30 })
    fc.assert(
      fc.property(due, (given) => {
        const all = given.map((untilDueMs, index) =>
          job(String(index), { untilDueMs, chainMs: 0, remainingMs: 10 }),
        )
        expect(scheduling.chooseJobsInTime(all, 1_000)).toHaveLength(all.length)
      }),
    )
  })
})
