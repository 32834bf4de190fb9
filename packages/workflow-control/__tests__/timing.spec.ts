import * as workflowControl from '@ebonyweir/workflow-control'
import * as vitest from 'vitest'
import * as housekeeping from '../src/housekeeping.js'
import * as suspension from '../src/suspension.js'

const { describe, expect, it } = vitest

describe('timing derived from the deployment', () => {
  it.each([2_500, 6_000, 10_000])('lease %i: a lost worker has certainly stopped', (maxLeaseMs) => {
    const timing = workflowControl.resolveTiming({ maxLeaseMs }).unwrap()
    const slowWorkerMs = timing.workerLeaseMs / (1 - workflowControl.CLOCK_DRIFT)
    const fastLeaderMs = slowWorkerMs * (1 + workflowControl.CLOCK_DRIFT)
    expect(timing.workerLostMs).toBeGreaterThan(fastLeaderMs)
    expect(timing.leaderLeaseMs).toBeLessThan(timing.electionTimeoutMinMs * 0.96)
  })

  it('guards against leases that expire during an ordinary leader change', () => {
    const refused = workflowControl.resolveTiming({ maxLeaseMs: 1_000 })
    expect(refused.unwrapErr()).toMatch(/maxLeaseMs/u)
  })
})

describe('suspension of the instance', () => {
  it.each([
    { name: 'no suspension', clock: 5_000, timeOfDay: 5_000, isVoid: false },
    {
      name: 'an ordinary freeze, which both clocks count',
      clock: 9_000,
      timeOfDay: 9_000,
      isVoid: false,
    },
    {
      name: 'a suspension, which the monotonic clock does not count',
      clock: 0,
      timeOfDay: 4_000,
      isVoid: true,
    },
    { name: 'a step of the time of day ahead', clock: 10, timeOfDay: 2_400, isVoid: true },
    { name: 'a step of the time of day back', clock: 10, timeOfDay: -2_400, isVoid: false },
  ])('$name: leases void $isVoid', ({ clock, timeOfDay, isVoid }) => {
    let nowMs = 0
    let timeOfDayMs = 1_000_000
    const guard = suspension.createSuspensionGuard({
      nowMs: () => nowMs,
      timeOfDayMs: () => timeOfDayMs,
      voidMs: 700,
    })
    expect(guard.isVoid()).toBe(false)
    nowMs += clock
    timeOfDayMs += timeOfDay
    expect(guard.isVoid()).toBe(isVoid)
    nowMs += 701
    timeOfDayMs += 701
    expect(guard.isVoid()).toBe(false)
  })
})

describe('housekeeping', () => {
  const job = (fields: object) =>
    ({
      phase: 'active',
      openedCount: 0,
      endedMs: 0,
      submittedMs: 0,
      spec: { id: 'j', repetitions: 3, firstDueMs: 1_000, intervalMs: 500 },
      ...fields,
    }) as unknown as Parameters<typeof housekeeping.dueOccurrences>[0] extends Iterable<infer J>
      ? J
      : never

  it.each([
    { name: 'not before its time', openedCount: 0, nowMs: 999, due: [] },
    { name: 'at its time', openedCount: 0, nowMs: 1_000, due: [0] },
    { name: 'the next one after its interval', openedCount: 1, nowMs: 1_500, due: [1] },
    { name: 'none after the last one', openedCount: 3, nowMs: 9_000, due: [] },
  ])('opens due occurrences: $name', ({ openedCount, nowMs, due }) => {
    const found = housekeeping.dueOccurrences([job({ openedCount })], nowMs)
    expect(found.map(({ occurrence }) => occurrence)).toEqual(due)
  })

  it('forgets an ended job only after its retention time', () => {
    const ended = job({ phase: 'completed', endedMs: 1_000 })
    expect(housekeeping.expiredJobs([ended], 2_000, 1_000)).toEqual([])
    expect(housekeeping.expiredJobs([ended], 2_001, 1_000)).toEqual(['j'])
    expect(housekeeping.expiredJobs([job({})], 99_000, 1_000)).toEqual([])
  })
})
