import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as fc from 'fast-check'
import * as vitest from 'vitest'

const { describe, expect, it } = vitest

/** Tasks that could work at full speed; 9.6 of them are planned with. A job of the cases below needs 8 at a time. */
const SUPPLY = 16

const job = (key: string, fields: Partial<scheduling.FillingJob> = {}): scheduling.FillingJob => ({
  key,
  totalMs: 40_000,
  remainingMs: 40_000,
  chainMs: 5_000,
  untilDueMs: 10_000,
  untilWorthlessMs: 30_000,
  ...fields,
})

const order = (jobs: readonly scheduling.FillingJob[], supply: number): readonly string[] =>
  [...scheduling.rankFillingJobs(jobs, supply).ranks]
    .sort(([, a], [, b]) => a - b)
    .map(([key]) => key)

describe('ranks of jobs that fill', () => {
  // Each case guards against an order in which jobs share what only some of them could use in time.
  const cases: readonly {
    readonly name: string
    readonly jobs: readonly scheduling.FillingJob[]
    readonly supply: number
    readonly expected: readonly string[]
  }[] = [
    {
      name: 'with enough supply the earliest due time goes first',
      jobs: [job('a', { untilDueMs: 20_000 }), job('b', { untilDueMs: 9_000 })],
      supply: 20,
      expected: ['b', 'a'],
    },
    {
      name: 'a job that cannot be in time beside the others goes last, although it is due first',
      jobs: [
        job('large', { totalMs: 200_000, remainingMs: 200_000 }),
        job('b', { untilDueMs: 11_000 }),
        job('c', { untilDueMs: 12_000 }),
      ],
      supply: 10,
      expected: ['b', 'c', 'large'],
    },
    {
      name: 'a job that is nearly done is kept among those in time',
      jobs: [
        job('fresh', { untilDueMs: 10_000 }),
        job('begun', { remainingMs: 8_000, untilDueMs: 10_500 }),
      ],
      supply: 4,
      expected: ['begun', 'fresh'],
    },
    {
      name: 'a job whose chain is too long for its due time does not hold others up',
      jobs: [job('late', { chainMs: 11_000 }), job('b', { untilDueMs: 11_000 })],
      supply: 6,
      expected: ['b', 'late'],
    },
    {
      name: 'late jobs go by what is left of them, and worthless ones last',
      jobs: [
        job('worthless', { untilDueMs: -30_000, untilWorthlessMs: 0, remainingMs: 1_000 }),
        job('long', { untilDueMs: -1_000, untilWorthlessMs: 10_000 }),
        job('short', { untilDueMs: -2_000, untilWorthlessMs: 10_000, remainingMs: 2_000 }),
      ],
      supply: 6,
      expected: ['short', 'long', 'worthless'],
    },
    {
      name: 'without supply there still is an order',
      jobs: [job('a')],
      supply: 0,
      expected: ['a'],
    },
  ]

  it.each(cases)('$name', ({ jobs, supply, expected }) => {
    expect(order(jobs, supply)).toEqual(expected)
  })

  it('guards against ranks that are missing or shared, and an order that depends on that of the input', () => {
    const jobs = fc.uniqueArray(
      fc.record({
        key: fc.integer({ min: 0, max: 1_000 }).map(String),
        totalMs: fc.integer({ min: 1_000, max: 100_000 }),
        remainingMs: fc.integer({ min: 0, max: 100_000 }),
        chainMs: fc.integer({ min: 0, max: 20_000 }),
        untilDueMs: fc.integer({ min: -10_000, max: 30_000 }),
        untilWorthlessMs: fc.integer({ min: -10_000, max: 90_000 }),
      }),
      { selector: ({ key }) => key, maxLength: 40 },
    )
    fc.assert(
      fc.property(jobs, fc.double({ min: 0, max: 60, noNaN: true }), (given, supply) => {
        const ranks = [...scheduling.rankFillingJobs(given, supply).ranks.values()]
        expect(ranks.sort((a, b) => a - b)).toEqual(given.map((_, index) => index))
      }),
    )
  })

  // Each case guards against jobs that disturb serving tasks, or each other, for nothing.
  const choices: readonly {
    readonly name: string
    readonly jobs: readonly scheduling.FillingJob[]
    readonly inHand?: readonly string[]
    readonly chosen: readonly string[]
  }[] = [
    {
      name: 'a job that does not fit beside those that are chosen is not chosen',
      jobs: [job('small', { remainingMs: 20_000 }), job('large')],
      chosen: ['small'],
    },
    {
      name: 'a job in hand stays chosen when one comes that earns more for what is left of it',
      jobs: [job('begun'), job('fresh', { remainingMs: 20_000 })],
      inHand: ['begun'],
      chosen: ['begun'],
    },
    {
      name: 'a job in hand that is a little late by what is expected of it stays chosen',
      jobs: [job('begun', { chainMs: 12_000 }), job('fresh')],
      inHand: ['begun'],
      chosen: ['begun'],
    },
    {
      name: 'a job in hand that is late for certain makes way',
      jobs: [job('begun', { chainMs: 20_000 }), job('fresh')],
      inHand: ['begun'],
      chosen: ['fresh'],
    },
    {
      name: 'late jobs get the supply that is left',
      jobs: [
        job('late', { remainingMs: 10_000, untilDueMs: -1_000 }),
        job('b', { remainingMs: 20_000 }),
      ],
      chosen: ['b', 'late'],
    },
    {
      name: 'one job is chosen however large it is',
      jobs: [job('large', { remainingMs: 900_000 })],
      chosen: ['large'],
    },
  ]

  it.each(choices)('$name', ({ jobs, inHand = [], chosen }) => {
    const order = scheduling.rankFillingJobs(jobs, SUPPLY, new Set(inHand))
    expect([...order.chosen].sort()).toEqual(chosen)
  })

  it('guards against a set of jobs in time whose tasks cannot all work at a time', () => {
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

  it('guards against a job left out although nothing stands in its way', () => {
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
