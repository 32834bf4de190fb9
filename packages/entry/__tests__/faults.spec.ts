import * as vitest from 'vitest'
import * as standInControl from '../../control-client/__tests__/standInControl.js'
import * as cells from './cell.js'

const { afterEach, beforeEach, describe, expect, test } = vitest

const DOMAIN_OUT = standInControl.rule('failureDomain.rennes', '{ state = "out" }', 5, 'Operations')

describe('faults on the request path', () => {
  let cell: cells.Cell

  beforeEach(async () => {
    cell = await cells.startCell()
  })

  afterEach(async () => {
    cell.control.isUnresponsive = false
    await cell.close()
  })

  const start = async (name = 'entry-1'): Promise<string> => {
    const address = await cell.addEntry(name)
    await cells.waitUntilServing(address)
    return address
  }

  type Direction = 'toTarget' | 'toClient'
  const stalls: readonly (readonly [string, Direction])[] = [
    ['before the request reaches the agent', 'toTarget'],
    ['before the answer reaches the entry', 'toClient'],
  ]

  // Guards against a request that hangs, is lost or runs twice when a connection becomes unresponsive.
  test.each(stalls)('a connection that becomes unresponsive %s', async (_name, direction) => {
    const { endpoint, relay } = await cell.addBehindRelay('counter-1')
    const address = await start()
    endpoint.ran.length = 0
    relay.setMode({ action: 'drop', direction, scope: 'old' })
    const headers = { 'ebonyweir-timeout-ms': '10000' }
    const first = await cells.call(address, { body: 'swap', headers })
    const later = await cells.call(address, { body: 'later', headers })
    expect([first.outcome, first.body.toString()]).toEqual(['answered', 'swap'])
    expect([later.outcome, later.body.toString()]).toEqual(['answered', 'later'])
    expect(endpoint.ran.length).toBe(2)
  })

  // Guards against a delayed request that runs after it was reported to the caller as not run.
  test('a request that is delayed in the network and arrives late does not run', async () => {
    const { endpoint, relay } = await cell.addBehindRelay('counter-1')
    const address = await start()
    endpoint.ran.length = 0
    relay.setMode({ action: 'hold', direction: 'toTarget', scope: 'old' })
    const headers = { 'ebonyweir-timeout-ms': '600' }
    const reply = await cells.call(address, { body: 'swap', headers })
    relay.setMode({ action: 'pass' })
    await cells.pause(300)
    expect([reply.outcome, endpoint.ran.length]).toEqual(
      reply.outcome === 'answered' ? ['answered', 1] : ['not-run', 0],
    )
  })

  // Guards against new work in a process that cannot obtain the configuration in force.
  test('control is unavailable: new requests are refused as not run, those in progress finish', async () => {
    const endpoint = await cell.addEndpoint('counter-1')
    const address = await start()
    endpoint.delayMs = 5_500
    const headers = { 'ebonyweir-timeout-ms': '9000' }
    cell.control.isUnresponsive = true
    const inProgress = cells.call(address, { body: 'early', headers })
    await cells.pause(4_600)
    const ranBefore = endpoint.ran.length
    const reply = await cells.call(address, { body: 'x', headers })
    expect([reply.status, reply.error.error, reply.outcome]).toEqual([
      503,
      'config-expired',
      'not-run',
    ])
    expect((await inProgress).outcome).toBe('answered')
    expect(endpoint.ran.length).toBe(ranBefore)
    endpoint.delayMs = 0
    cell.control.isUnresponsive = false
    await cells.waitUntilServing(address)
  })

  const reverts: readonly (readonly [string, (control: standInControl.StandInControl) => void])[] =
    [
      ['an older revision', (control) => (control.revision = 1)],
      ['an older epoch', (control) => (control.epoch = 0)],
    ]

  // Guards against a configuration that reverts. The lease must expire instead.
  test.each(reverts)('a leader with %s is not followed', async (_name, revert) => {
    cell.control.revision = 2
    await cell.addEndpoint('counter-1')
    const address = await start()
    revert(cell.control)
    cell.control.rules = []
    await cells.pause(4_600)
    const reply = await cells.call(address, { body: 'x' })
    expect(reply.error.error).toBe('config-expired')
  })

  const leaveCases: readonly (readonly [string, (agent: cells.TestAgent) => Promise<unknown>])[] = [
    ['announces that it is leaving', async (agent) => agent.announce(true)],
    [
      'stops announcing itself',
      async (agent) => {
        agent.stopAnnouncing()
        await cells.pause(3_600)
      },
    ],
  ]

  // Guards against new work at a leaving endpoint while the directory is out of date.
  test.each(leaveCases)('an endpoint that %s gets no new work', async (_name, leave) => {
    const leaving = await cell.addEndpoint('counter-1')
    const staying = await cell.addEndpoint('counter-2')
    const address = await start()
    const agent = cell.agents.get('counter-1')
    if (agent === undefined) throw new Error('agent of counter-1 not found')
    cell.control.hideDirectory = true
    agent.stopAnnouncing()
    await leave(agent)
    leaving.ran.length = 0
    const replies = await Promise.all(
      Array.from({ length: 20 }, async () => cells.call(address, { body: 'x' })),
    )
    expect(replies.map(cells.summaryOf)).toEqual(replies.map(() => 'answered'))
    expect([leaving.ran.length, staying.ran.length >= 20]).toEqual([0, true])
  })

  // Guards against work in a failure domain that operators have taken out of service.
  test('a failure domain is out: its agents refuse work and the entry is not ready', async () => {
    const endpoint = await cell.addEndpoint('counter-1')
    const other = await cell.addEndpoint('counter-2', { failureDomain: 'brest' })
    const address = await start()
    cell.control.rules = [cells.SERVICE_RULE, DOMAIN_OUT]
    cell.control.revision = 2
    let ready = await cells.call(address, { method: 'GET', path: '/readyz' })
    await cells.waitUntil(() => {
      void cells.call(address, { method: 'GET', path: '/readyz' }).then((r) => (ready = r))
      return ready.status === 503
    })
    expect(String(ready.error.reason)).toContain('line 5 (requested by Operations)')
    await cells.pause(300)
    endpoint.ran.length = 0
    const reply = await cells.call(address, { body: 'x' })
    expect([reply.outcome, endpoint.ran.length]).toEqual(['answered', 0])
    expect(other.ran.length).toBeGreaterThan(0)
  })

  // Guards against requests that are interrupted by the shutdown of their entry or agent.
  test('graceful shutdown of entry and agent interrupts no request', async () => {
    const endpoint = await cell.addEndpoint('counter-1')
    const address = await start()
    endpoint.delayMs = 400
    const inProgress = Array.from({ length: 8 }, async (_, i) =>
      cells.call(address, { body: `${i}` }),
    )
    await cells.waitUntil(() => endpoint.running === 8)
    const stopping = cell.agents.get('counter-1')?.agent.stop()
    const entryStopping = cell.entries[0]?.stop()
    const health = await cells.call(address, { method: 'GET', path: '/healthz' })
    const refused = await cells.call(address, { body: 'late' })
    const replies = await Promise.all(inProgress)
    await Promise.all([stopping, entryStopping])
    expect(health.status).toBe(503)
    expect(refused.outcome).toBe('not-run')
    expect(replies.map((r) => r.body.toString())).toEqual(replies.map((_, i) => `${i}`))
    await expect(cells.call(address, { body: 'x' })).rejects.toThrow()
    cell.entries.length = 0
  })

  // Guards against reporting "not run" for work that a stopped agent may have started, and against
  // a second run.
  test('an agent stops: non-idempotent requests are unknown, idempotent ones are retried', async () => {
    const first = await cell.addEndpoint('counter-1', { shutdownTimeoutMs: 0 })
    const address = await start()
    first.delayMs = 1_000
    const headers = { 'ebonyweir-timeout-ms': '5000' }
    const post = cells.call(address, { body: 'swap', headers })
    const get = cells.call(address, { method: 'GET', headers })
    await cells.waitUntil(() => first.running === 2)
    const second = await cell.addEndpoint('counter-2')
    await cells.pause(400)
    await cell.agents.get('counter-1')?.agent.stop()
    const replies = await Promise.all([post, get])
    expect(replies.map((r) => r.outcome)).toEqual(['unknown', 'answered'])
    expect(second.ran.length).toBe(1)
  })

  // Guards against reporting "unknown" for a request that was never sent.
  test('an agent whose port is closed: a non-idempotent request is refused as not run', async () => {
    const endpoint = await cell.addEndpoint('counter-1', { shutdownTimeoutMs: 0 })
    const address = await start()
    await cell.agents.get('counter-1')?.agent.stop()
    endpoint.ran.length = 0
    // Leaves the entry time to notice the closed connection.
    await cells.pause(200)
    const reply = await cells.call(address, { body: 'swap' })
    expect([reply.outcome, endpoint.ran.length]).toEqual(['not-run', 0])
  })

  // Guards against one caller whose load starves the requests of another.
  test('a flood by one caller does not starve another', async () => {
    const endpoint = await cell.addEndpoint('counter-1')
    const address = await start()
    endpoint.delayMs = 20
    const headers = (caller: string) => ({
      'ebonyweir-caller': caller,
      'ebonyweir-timeout-ms': '30000',
    })
    let stopped = false
    const floodLoop = async (): Promise<readonly cells.Reply[]> => {
      const replies: cells.Reply[] = []
      while (!stopped && replies.length < 200) {
        replies.push(await cells.call(address, { body: 'f', headers: headers('flood') }))
      }
      return replies
    }
    const flood = Array.from({ length: 150 }, floodLoop)
    await cells.waitUntil(() => endpoint.running === 8)
    await cells.pause(100)
    const outcomes: string[] = []
    for (let i = 0; i < 10; i++) {
      const reply = await cells.call(address, { body: 'v', headers: headers('counter') })
      outcomes.push(cells.summaryOf(reply))
    }
    stopped = true
    const flooded = (await Promise.all(flood)).flat()
    expect(outcomes).toEqual(outcomes.map(() => 'answered'))
    const refused = flooded.filter((r) => r.outcome === 'not-run')
    expect(refused.length).toBeGreaterThan(0)
    expect(refused[0]?.error.rule).toEqual({ line: 3, requestedBy: 'Maëlle Kerjean' })
  })
})
