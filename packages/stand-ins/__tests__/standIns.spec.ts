import * as net from 'node:net'
import * as vitest from 'vitest'
import * as standIns from '@ebonyweir/stand-ins'

const { describe, expect, test } = vitest

const noRecorder = standIns.record.createRecorder('', 'test')

const openPath = async (behaviour: standIns.fakeEndpoint.EndpointBehaviour) => {
  const endpoint = await standIns.fakeEndpoint.createFakeEndpoint({
    endpoint: 'e1',
    service: 'desk',
    failureDomain: 'a',
    agentAddress: '',
    recorder: noRecorder,
    ...behaviour,
  })
  const relay = await standIns.relay.createRelay({ target: `127.0.0.1:${endpoint.port}` })
  const caller = standIns.fakeCaller.createFakeCaller({
    caller: 'c1',
    entries: [relay.address],
    recorder: noRecorder,
    giveUpMs: 1500,
    connections: 1,
  })
  const close = async () => {
    await caller.close()
    relay.close()
    endpoint.close()
  }
  return { endpoint, relay, caller, close }
}

describe('caller, relay and endpoint', () => {
  interface Case {
    readonly name: string
    readonly behaviour: standIns.fakeEndpoint.EndpointBehaviour
    readonly mode: standIns.relay.RelayMode
    readonly expected: { readonly status: number; readonly executions: number }
  }
  const cases: readonly Case[] = [
    {
      name: 'a complete answer',
      behaviour: { paddingBytes: 100_000 },
      mode: { action: 'pass' },
      expected: { status: 200, executions: 2 },
    },
    {
      name: 'an answer truncated by the endpoint',
      behaviour: { paddingBytes: 1000, cutEvery: 2 },
      mode: { action: 'pass' },
      expected: { status: 0, executions: 2 },
    },
    {
      name: 'an existing connection that drops all data',
      behaviour: {},
      mode: { action: 'drop', scope: 'old' },
      expected: { status: 0, executions: 1 },
    },
    {
      name: 'dropped answers',
      behaviour: {},
      mode: { action: 'drop', direction: 'toClient' },
      expected: { status: 0, executions: 2 },
    },
  ]

  // Guards against a cut or lost answer reported as complete, and a relay that closes instead of dropping.
  test.each(cases)('$name', async ({ behaviour, mode, expected }) => {
    const path = await openPath(behaviour)
    const first = await path.caller.send({ service: 'desk' })
    expect(first).toMatchObject({ status: 200, whole: true, matched: true })
    path.relay.setMode(mode)
    const second = await path.caller.send({ service: 'desk' })
    const { executions } = path.endpoint.status()
    expect({ status: second.status, executions }).toEqual(expected)
    await path.close()
  })

  // Guards against a relay that loses held bytes, or whose dropped connections block new ones.
  test('held bytes are forwarded when the relay passes again', async () => {
    const path = await openPath({})
    path.relay.setMode({ action: 'hold' })
    const pending = path.caller.send({ service: 'desk' })
    await new Promise((resolve) => setTimeout(resolve, 200))
    expect(path.endpoint.status().executions).toBe(0)
    path.relay.setMode({ action: 'pass' })
    expect(await pending).toMatchObject({ status: 200, matched: true })
    await path.close()
  })
})

describe('a relay that drops the data of one client', () => {
  const CLIENT = 7
  const cases: readonly {
    readonly name: string
    readonly clients: readonly number[]
    readonly expected: string
  }[] = [
    { name: 'drops data sent before the client was identified', clients: [CLIENT], expected: '' },
    { name: 'forwards data of another client', clients: [CLIENT + 1], expected: 'hello' },
  ]

  // Guards against a mode that misses a new connection because its process is not found at once.
  test.each(cases)('$name', async ({ clients, expected }) => {
    let received = ''
    const server = net.createServer((socket) => {
      socket.on('error', () => undefined)
      socket.on('data', (chunk: Buffer) => {
        received += chunk.toString()
      })
    })
    const port = await standIns.json.listen(server, 0)
    let known = false
    let lookups = 0
    const relay = await standIns.relay.createRelay({
      target: `127.0.0.1:${port}`,
      clientOf: () => {
        lookups += 1
        return known ? CLIENT : undefined
      },
    })
    relay.setMode({ action: 'drop', clients })
    const socket = net.connect(relay.port, '127.0.0.1')
    socket.on('error', () => undefined)
    socket.write('hello')
    await standIns.waiting.waitFor('a few look-ups', () => lookups > 20 || undefined)
    expect(received).toBe('')
    known = true
    await standIns.waiting.sleep(300)
    expect(received).toBe(expected)
    socket.destroy()
    relay.close()
    server.close()
  })
})
