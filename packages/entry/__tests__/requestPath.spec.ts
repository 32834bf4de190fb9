import * as vitest from 'vitest'
import * as cells from './cell.js'

const { afterAll, beforeAll, describe, expect, test } = vitest

describe('request path', () => {
  let cell: cells.Cell
  let address: string

  beforeAll(async () => {
    cell = await cells.startCell()
    await cell.addEndpoint('counter-1')
    address = await cell.addEntry('entry-1')
    await cells.waitUntilServing(address)
  })

  afterAll(async () => {
    await cell.close()
  })

  const bodies: readonly (readonly [string, Buffer])[] = [
    ['an empty body', Buffer.alloc(0)],
    ['a short body', Buffer.from('element 4411')],
    ['a body of 1 MiB', Buffer.alloc(1024 * 1024, 7)],
  ]

  // Guards against bodies that are truncated or returned to the wrong request.
  test.each(bodies)('returns %s unchanged', async (_name, body) => {
    const reply = await cells.call(address, { body })
    expect(reply.status).toBe(200)
    expect(reply.outcome).toBe('answered')
    expect(reply.headers['ebonyweir-request-id']).toMatch(/-/)
    expect(reply.body.equals(body)).toBe(true)
  })
})
