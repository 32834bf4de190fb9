import * as net from 'node:net'
import * as vitest from 'vitest'
import * as cells from './cell.js'

const { afterAll, beforeAll, beforeEach, describe, expect, test } = vitest

/** Sends raw bytes over a new connection and returns everything received until it closes. */
const sendRaw = async (address: string, text: string, closeAfterMs: number): Promise<string> => {
  const [host, port] = address.split(':')
  const socket = net.connect(Number(port), host)
  let received = ''
  socket.on('data', (chunk: Buffer) => {
    received += chunk.toString()
  })
  socket.on('error', () => undefined)
  socket.write(text)
  const closed = new Promise<void>((resolve) => {
    socket.on('close', () => {
      resolve()
    })
  })
  if (closeAfterMs > 0) {
    await cells.pause(closeAfterMs)
    socket.destroy()
  }
  await closed
  return received
}

describe('limits and refusals', () => {
  let cell: cells.Cell
  let endpoint: cells.TestEndpoint
  let address: string

  beforeAll(async () => {
    cell = await cells.startCell()
    endpoint = await cell.addEndpoint('counter-1', { maxAnswerBytes: 64 * 1024 })
    address = await cell.addEntry('entry-1')
    await cells.waitUntilServing(address)
  })

  beforeEach(() => {
    endpoint.ran.length = 0
  })

  afterAll(async () => {
    await cell.close()
  })

  type Call = Parameters<typeof cells.call>[1]
  const cases: readonly (readonly [string, Call, number, string])[] = [
    ['a body above the limit', { body: Buffer.alloc(1024 * 1024 + 1) }, 413, 'body-too-large'],
    ['an unknown service', { path: '/services/none/x' }, 404, 'unknown-service'],
    ['a path outside /services', { path: '/x' }, 404, 'bad-request'],
    ['an invalid timeout', { headers: { 'ebonyweir-timeout-ms': '0' } }, 400, 'bad-request'],
    [
      'an invalid idempotency flag',
      { headers: { 'ebonyweir-idempotent': 'yes' } },
      400,
      'bad-request',
    ],
    [
      'an idempotency key that is too long',
      { headers: { 'idempotency-key': 'k'.repeat(256) } },
      400,
      'bad-request',
    ],
    ['headers above the limit', { headers: { x: 'x'.repeat(17_000) } }, 431, 'bad-request'],
  ]

  // Guards against dispatching requests that are reported to the caller as refused.
  test.each(cases)('%s is refused and does not run', async (_name, options, status, error) => {
    const reply = await cells.call(address, options)
    expect([reply.status, reply.error.error, reply.outcome]).toEqual([status, error, 'not-run'])
    expect(endpoint.ran).toEqual([])
  })

  // Guards against passing a truncated request to the endpoint as complete.
  test('a request with a truncated body does not run', async () => {
    const head = 'POST /services/swap-desk/quote HTTP/1.1\r\nhost: a\r\n'
    await sendRaw(address, `${head}content-length: 100\r\n\r\nhalf`, 100)
    await sendRaw(address, `${head}transfer-encoding: chunked\r\n\r\n64\r\nhalf`, 100)
    expect(endpoint.ran).toEqual([])
  })

  const badAnswers: readonly (readonly [string, cells.TestEndpoint['respond'], string])[] = [
    [
      'truncated after its headers',
      (_request, response) => {
        response.writeHead(200, { 'content-length': 100 })
        response.write('half')
        setTimeout(() => response.destroy(), 20)
      },
      'the answer was cut',
    ],
    [
      'truncated between chunks',
      (_request, response) => {
        response.writeHead(200)
        response.write('half')
        setTimeout(() => response.destroy(), 20)
      },
      'the answer was cut',
    ],
    [
      'without content-length or chunked encoding',
      (_request, response) => {
        response.socket?.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf')
      },
      'neither content-length',
    ],
    [
      'too large',
      (_request, response) => {
        response.end(Buffer.alloc(65 * 1024))
      },
      'larger than',
    ],
    [
      'that is missing because the endpoint closed the connection',
      (_request, response) => {
        response.destroy()
      },
      'endpoint failed',
    ],
  ]

  // Guards against passing a truncated answer to the caller as complete.
  test.each(badAnswers)('an answer %s is reported as unknown', async (_name, respond, detail) => {
    const before = endpoint.respond
    endpoint.respond = respond
    const reply = await cells.call(address, { body: 'x' })
    endpoint.respond = before
    expect([reply.status, reply.outcome]).toEqual([502, 'unknown'])
    expect(reply.error.detail).toContain(detail)
    expect(endpoint.ran.length).toBe(1)
  })

  // Guards against exceeding the slots and connections that the endpoint announced.
  test('slots and connections of the endpoint are not exceeded', async () => {
    // Long enough to occupy all slots at once on a slow machine.
    endpoint.delayMs = 1_000
    const second = await cell.addEntry('entry-2')
    await cells.waitUntilServing(second)
    endpoint.maxRunning = 0
    const headers = { 'ebonyweir-timeout-ms': '20000' }
    const calls = Array.from({ length: 48 }, async (_, i) =>
      cells.call(i % 2 === 0 ? address : second, { body: `${i}`, headers }),
    )
    await cells.waitUntil(() => endpoint.running === 8)
    endpoint.delayMs = 30
    const replies = await Promise.all(calls)
    endpoint.delayMs = 0
    expect(replies.filter((r) => r.outcome === 'answered').length).toBeGreaterThan(24)
    expect(replies.filter((r) => r.outcome === 'unknown')).toEqual([])
    expect(endpoint.maxRunning).toBe(8)
    expect(endpoint.maxConnections).toBeLessThanOrEqual(64)
  })

  // Guards against a deadline that is not propagated to the agent.
  test('a deadline that passes at the endpoint is answered in time', async () => {
    endpoint.delayMs = 600
    const headers = { 'ebonyweir-timeout-ms': '150' }
    const reply = await cells.call(address, { body: 'x', headers })
    const stillRunning = endpoint.running
    await cells.pause(600)
    endpoint.delayMs = 0
    expect([reply.status, reply.outcome]).toEqual([504, 'unknown'])
    expect(reply.error.rule).toEqual({ line: 3, requestedBy: 'Maëlle Kerjean' })
    expect(stillRunning).toBe(1)
  })

  // Guards against work for callers that have disconnected.
  test('a queued request of a caller that disconnected does not run', async () => {
    endpoint.delayMs = 300
    const running = Array.from({ length: 20 }, async () => cells.call(address, { body: 'x' }))
    await cells.waitUntil(() => endpoint.running === 8)
    const controller = new AbortController()
    const disconnectedCall = cells.call(address, { body: 'gone', signal: controller.signal })
    const bodies: string[] = []
    endpoint.respond = (_request, response, body) => {
      bodies.push(body.toString())
      response.end(body)
    }
    await cells.pause(50)
    controller.abort()
    await expect(disconnectedCall).rejects.toThrow()
    await Promise.all(running)
    endpoint.delayMs = 0
    expect(bodies).not.toContain('gone')
  })
})
