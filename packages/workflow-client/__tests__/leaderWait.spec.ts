import * as workflowClient from '@ebonyweir/workflow-client'
import * as vitest from 'vitest'

const { describe, expect, it } = vitest

/** Half of the 3 s that callers typically allow for a submission. */
const HALF_OF_CALLER_TIME_MS = 1_500

describe('wait of a submission for a leader', () => {
  const cases: readonly {
    readonly name: string
    readonly wait: workflowClient.LeaderWait
    readonly minMs: number
    readonly maxMs: number
  }[] = [
    {
      name: 'waits for an election after a recent loss of the leader',
      wait: { leftMs: 2_850, sinceLeaderMs: 100 },
      // The longest election timeout and a vote.
      minMs: 1_200,
      maxMs: HALF_OF_CALLER_TIME_MS,
    },
    {
      name: 'refuses early without a leader for seconds',
      wait: { leftMs: 2_850, sinceLeaderMs: 5_000 },
      minMs: 300,
      maxMs: 500,
    },
    {
      name: 'refuses early if there never was a leader',
      wait: { leftMs: 2_850, sinceLeaderMs: Number.POSITIVE_INFINITY },
      minMs: 300,
      maxMs: 500,
    },
    {
      name: 'does not exceed the deadline of the caller',
      wait: { leftMs: 200, sinceLeaderMs: 100 },
      minMs: 200,
      maxMs: 200,
    },
    {
      name: 'waits at least 1 ms for a caller past its deadline',
      wait: { leftMs: -5, sinceLeaderMs: 0 },
      minMs: 1,
      maxMs: 1,
    },
  ]

  // Guards against callers that are held until their deadline although there is no leader to accept their job.
  it.each(cases)('$name', ({ wait, minMs: leastMs, maxMs: mostMs }) => {
    const waitMs = workflowClient.leaderWaitMs(wait)
    expect(waitMs).toBeGreaterThanOrEqual(leastMs)
    expect(waitMs).toBeLessThanOrEqual(mostMs)
  })
})

describe('wait at an entry that has just started', () => {
  // Guards against refusals right after a loss of all power, while the replicas elect their first leader.
  it.each([
    { sinceStartMs: 0, minMs: 1_200, maxMs: HALF_OF_CALLER_TIME_MS },
    { sinceStartMs: 900, minMs: 1_200, maxMs: HALF_OF_CALLER_TIME_MS },
    { sinceStartMs: 2_500, minMs: 300, maxMs: 500 },
  ])('$sinceStartMs ms after the start', ({ sinceStartMs, minMs, maxMs }) => {
    let nowMs = 10_000
    const client = workflowClient.createLeaderClient({ seeds: () => [], nowMs: () => nowMs })
    nowMs += sinceStartMs
    const sinceLeaderMs = client.sinceLeaderMs()
    const waitMs = workflowClient.leaderWaitMs({ leftMs: 2_850, sinceLeaderMs })
    expect(waitMs).toBeGreaterThanOrEqual(minMs)
    expect(waitMs).toBeLessThanOrEqual(maxMs)
    client.close()
  })
})
