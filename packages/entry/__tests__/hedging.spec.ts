import * as vitest from 'vitest'
import * as cells from './cell.js'

const { afterAll, beforeAll, describe, expect, test } = vitest

const QUICK_RULE = {
  ...cells.SERVICE_RULE,
  body: cells.SERVICE_RULE.body.replace('{', '{ quick = true,'),
}

describe('hedging', () => {
  let cell: cells.Cell
  let address: string
  const endpoints: cells.TestEndpoint[] = []

  beforeAll(async () => {
    cell = await cells.startCell([QUICK_RULE])
    for (const name of ['counter-1', 'counter-2', 'counter-3']) {
      endpoints.push(await cell.addEndpoint(name))
    }
    address = await cell.addEntry('entry-1')
    await cells.waitUntilServing(address)
    for (let i = 0; i < 60; i++) await cells.call(address, { method: 'GET' })
  })

  afterAll(async () => {
    await cell.close()
  })

  /** Executions per request, with all attempts of a request added up. */
  const runs = (): ReadonlyMap<string, number> => {
    const counts = new Map<string, number>()
    for (const id of endpoints.flatMap((e) => e.ran)) {
      const request = id.split('~')[0] ?? ''
      counts.set(request, (counts.get(request) ?? 0) + 1)
    }
    return counts
  }

  // Guards against requests to a quick service that wait for a slow endpoint, and against further
  // attempts after the hedge has answered.
  test('a second endpoint answers, and nothing runs after the answer', async () => {
    // Slows down the endpoint that was chosen most often, since it will be chosen again.
    const [slow] = [...endpoints].sort((a, b) => b.ran.length - a.ran.length)
    if (slow === undefined) throw new Error('no endpoint')
    slow.delayMs = 3_000
    const replies: cells.Reply[] = []
    for (let i = 0; i < 60; i++) replies.push(await cells.call(address, { method: 'GET' }))
    expect(slow.running).toBeGreaterThan(0)
    await cells.pause(300)
    expect(replies.every((reply) => reply.outcome === 'answered')).toBe(true)
    expect(Math.max(...runs().values())).toBe(2)
  })
})
