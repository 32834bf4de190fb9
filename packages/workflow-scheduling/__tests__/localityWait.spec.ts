import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as fc from 'fast-check'
import * as vitest from 'vitest'

const { describe, expect, it } = vitest

const NOW_MS = 10_000
const FIXED_WAIT_MS = 1_000
const MAX_SKIPPED_OFFERS = 10

const POLICIES = {
  expected: scheduling.createExpectedTimePolicy(),
  never: scheduling.createNeverWaitPolicy(),
  fixed: scheduling.createFixedWaitPolicy(FIXED_WAIT_MS),
  skipped: scheduling.createSkippedOffersPolicy(MAX_SKIPPED_OFFERS),
} as const

const inputOf = (fields: Partial<scheduling.LocalityInput> = {}): scheduling.LocalityInput => ({
  nearInMs: 200,
  lossMs: 1_000,
  slackMs: 3_000,
  waitingSinceMs: undefined,
  delayedSinceMs: undefined,
  skippedOffers: 0,
  ...fields,
})

/** "near", "remote", or the end of the wait in milliseconds from now. */
const decideBy = (
  policy: scheduling.LocalityPolicy,
  fields: Partial<scheduling.LocalityInput>,
): string | number => {
  const decision = policy.decide(inputOf(fields), NOW_MS)
  return decision.kind === 'wait' ? decision.untilMs - NOW_MS : decision.kind
}

describe('decision of one task', () => {
  it.each([
    {
      name: 'a near worker is free',
      fields: { nearInMs: 0 },
      decided: { expected: 'near', never: 'near', fixed: 'near', skipped: 'near' },
    },
    {
      name: 'a near worker is free soon',
      fields: {},
      decided: { expected: 1_000, never: 'remote', fixed: 1_000, skipped: Infinity },
    },
    {
      name: 'a near worker is free later than a remote run loses',
      fields: { nearInMs: 1_100 },
      decided: { expected: 'remote', never: 'remote', fixed: 1_000, skipped: Infinity },
    },
    {
      name: 'no near worker is left',
      fields: { nearInMs: Number.POSITIVE_INFINITY },
      decided: { expected: 'remote', never: 'remote', fixed: 1_000, skipped: Infinity },
    },
    {
      name: 'the latest start is before the near worker is free',
      fields: { slackMs: 150 },
      decided: { expected: 'remote', never: 'remote', fixed: 1_000, skipped: Infinity },
    },
    {
      name: 'the latest start ends the wait',
      fields: { slackMs: 400 },
      decided: { expected: 400, never: 'remote', fixed: 1_000, skipped: Infinity },
    },
    {
      name: 'the latest start has passed',
      fields: { slackMs: -1 },
      decided: { expected: 'remote', never: 'remote', fixed: 1_000, skipped: Infinity },
    },
    {
      name: 'the step has waited for most of the loss',
      fields: { waitingSinceMs: NOW_MS - 850, delayedSinceMs: NOW_MS - 850, skippedOffers: 9 },
      decided: { expected: 'remote', never: 'remote', fixed: 150, skipped: Infinity },
    },
    {
      name: 'the step has waited for the fixed limits',
      fields: {
        lossMs: 3_000,
        waitingSinceMs: NOW_MS - 1_000,
        delayedSinceMs: NOW_MS - 1_000,
        skippedOffers: 10,
      },
      decided: { expected: 1_000, never: 'remote', fixed: 'remote', skipped: 'remote' },
    },
    {
      name: 'the loss and the slack exceed the limit of a step',
      fields: { lossMs: 60_000, slackMs: 60_000, waitingSinceMs: NOW_MS - 1_000 },
      decided: { expected: 1_000, never: 'remote', fixed: 1_000, skipped: Infinity },
    },
    {
      name: 'a remote run loses nothing',
      fields: { lossMs: 0 },
      decided: { expected: 'remote', never: 'remote', fixed: 1_000, skipped: Infinity },
    },
  ])('when $name', ({ fields, decided }) => {
    const names = Object.keys(POLICIES) as (keyof typeof POLICIES)[]
    const found = Object.fromEntries(names.map((name) => [name, decideBy(POLICIES[name], fields)]))
    expect(found).toEqual(decided)
  })
})

describe('properties of every decision', () => {
  const timeMs = fc.double({ min: 0, max: 20_000, noNaN: true })
  const inputs = fc.record({
    nearInMs: fc.oneof(timeMs, fc.constant(Number.POSITIVE_INFINITY)),
    lossMs: timeMs,
    slackMs: fc.double({ min: -20_000, max: 20_000, noNaN: true }),
    waitingSinceMs: fc.option(fc.double({ min: 0, max: NOW_MS, noNaN: true }), { nil: undefined }),
    delayedSinceMs: fc.constant(undefined),
    skippedOffers: fc.nat(100),
  })

  it('guards against a wait beyond the loss, the latest start or the limit of a step', () => {
    fc.assert(
      fc.property(inputs, (input) => {
        const decision = POLICIES.expected.decide(input, NOW_MS)
        if (decision.kind !== 'wait') return
        const sinceMs = input.waitingSinceMs ?? NOW_MS
        const tolerance = 1e-6
        expect(decision.untilMs).toBeLessThanOrEqual(sinceMs + input.lossMs + tolerance)
        expect(decision.untilMs).toBeLessThanOrEqual(NOW_MS + input.slackMs + tolerance)
        expect(decision.untilMs).toBeLessThanOrEqual(sinceMs + 2_000 + tolerance)
        expect(decision.untilMs).toBeGreaterThan(NOW_MS)
      }),
    )
  })

  it('guards against a wait that ends later than a remote run, or that makes a job late', () => {
    fc.assert(
      fc.property(inputs, (input) => {
        if (POLICIES.expected.decide(input, NOW_MS).kind !== 'wait') return
        expect(input.nearInMs).toBeLessThan(input.lossMs)
        expect(input.nearInMs).toBeLessThanOrEqual(input.slackMs)
      }),
    )
  })

  it('guards against a wait while a near worker is free', () => {
    fc.assert(
      fc.property(inputs, fc.constantFrom(...Object.values(POLICIES)), (input, policy) => {
        expect(policy.decide({ ...input, nearInMs: 0 }, NOW_MS).kind).toBe('near')
      }),
    )
  })
})
