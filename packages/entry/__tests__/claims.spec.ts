import * as undici from 'undici'
import * as vitest from 'vitest'
import * as cells from './cell.js'

const { afterEach, beforeEach, describe, expect, test } = vitest

/** Longer than the configuration lease of 4 s, with a margin for slow machines. */
const READINESS_DEADLINE_MS = 30_000

const keyed = (key: string, body = 'swap', timeoutMs = 5_000) => ({
  body,
  headers: {
    'idempotency-key': key,
    'ebonyweir-caller': 'counter',
    'ebonyweir-timeout-ms': `${timeoutMs}`,
  },
})

describe('requests with an idempotency key', () => {
  let cell: cells.Cell
  let endpoint: cells.TestEndpoint
  let first: string
  let second: string

  beforeEach(async () => {
    cell = await cells.startCell()
    endpoint = await cell.addEndpoint('counter-1', { retainedBytes: 1_000 })
    first = await cell.addEntry('entry-1')
    second = await cell.addEntry('entry-2')
    await cells.waitUntilServing(first)
    await cells.waitUntilServing(second)
    endpoint.ran.length = 0
  })

  afterEach(async () => {
    await cell.close()
  })

  const settled = async (): Promise<void> =>
    cells.waitUntil(() => [...cell.control.claims.values()].every((c) => c.settled !== undefined))

  // Guards against a second run when a caller resends through another entry instance.
  test('a resend gets the finished answer from the agent', async () => {
    const answered = await cells.call(first, keyed('k'))
    await settled()
    const resent = await cells.call(second, keyed('k'))
    expect([answered.outcome, resent.outcome]).toEqual(['answered', 'answered'])
    expect(resent.body.toString()).toBe('swap')
    expect(endpoint.ran.length).toBe(1)
  })

  // Guards against a fabricated answer after the real one was evicted.
  test('a resend after the answer was evicted gets the recorded status', async () => {
    await cells.call(first, keyed('k', 'x'.repeat(900)))
    await cells.call(first, keyed('other', 'x'.repeat(900)))
    await settled()
    const resent = await cells.call(second, keyed('k', 'x'.repeat(900)))
    expect([resent.status, resent.outcome, resent.error.status]).toEqual([409, 'answered', 200])
    expect(endpoint.ran.length).toBe(2)
  })

  // Guards against concurrent runs of one key, and against reuse of a key for a different request.
  test('a resend during the first run gets its answer; a different body is a mismatch', async () => {
    endpoint.delayMs = 300
    const running = cells.call(first, keyed('k'))
    await cells.waitUntil(() => endpoint.running === 1)
    const resent = await cells.call(second, keyed('k'))
    const other = await cells.call(second, keyed('k', 'other'))
    expect([resent.status, resent.outcome]).toEqual([200, 'answered'])
    expect([other.status, other.outcome]).toEqual([422, 'not-run'])
    expect((await running).outcome).toBe('answered')
    expect(endpoint.ran.length).toBe(1)
  })

  // Guards against a key that stays claimed after the reply to its claim was lost.
  test('a claim whose reply is lost is released', async () => {
    cell.control.loseClaimReplies = true
    const refused = await cells.call(first, keyed('k'))
    cell.control.loseClaimReplies = false
    await settled()
    const resent = await cells.call(second, keyed('k'))
    expect([refused.status, refused.outcome]).toEqual([502, 'unknown'])
    expect(resent.outcome).toBe('answered')
    expect(endpoint.ran.length).toBe(1)
  })

  // Guards against cancelling a keyed request when its caller disconnects, so that a resend gets no answer.
  test('a caller that disconnects gets the answer by resending', async () => {
    endpoint.delayMs = 300
    const controller = new AbortController()
    const disconnectedCall = cells.call(first, { ...keyed('k'), signal: controller.signal })
    await cells.waitUntil(() => endpoint.running === 1)
    controller.abort()
    await expect(disconnectedCall).rejects.toThrow()
    await settled()
    const resent = await cells.call(second, keyed('k'))
    expect(resent.body.toString()).toBe('swap')
    expect(endpoint.ran.length).toBe(1)
  })

  const waitForReadiness = async (address: string, status: 200 | 503): Promise<string> => {
    const untilMs = performance.now() + READINESS_DEADLINE_MS
    for (;;) {
      const reply = await undici.request(`http://${address}/readyz`)
      await reply.body.dump()
      if (reply.statusCode === status) return address
      if (performance.now() > untilMs) throw new Error(`/readyz did not answer ${status}`)
      await cells.pause(20)
    }
  }

  const refusingEntries: readonly (readonly [string, string, () => Promise<string>])[] = [
    [
      'without a configuration',
      'config-expired',
      async () => {
        cell.control.isUnresponsive = true
        return waitForReadiness(second, 503)
      },
    ],
    [
      'at its request limit',
      'overloaded',
      async () => waitForReadiness(await cell.addEntry('entry-3', { maxRequests: 0 }), 200),
    ],
    [
      'at its buffer limit',
      'body-overloaded',
      async () => waitForReadiness(await cell.addEntry('entry-3', { maxBufferedBytes: 0 }), 200),
    ],
  ]
  test.each(refusingEntries)(
    'a resend at an entry %s is not reported as "not run"',
    async (_name, error, createRefusingEntry) => {
      await cells.call(first, keyed('k'))
      const resent = await cells.call(await createRefusingEntry(), keyed('k'))
      expect([resent.status, resent.error.error, resent.outcome]).toEqual([502, error, 'unknown'])
      expect(endpoint.ran.length).toBe(1)
    },
  )
})
