import * as http from 'node:http'
import type * as net from 'node:net'
import * as agent from '@ebonyweir/agent'
import * as protocol from '@ebonyweir/protocol'
import * as grpc from '@grpc/grpc-js'
import * as vitest from 'vitest'
import * as standInControl from '../../control-client/__tests__/standInControl.js'

const { afterAll, beforeAll, describe, expect, test } = vitest

const probeAgent = async (
  client: protocol.agent.AgentClient,
  cell: string,
): Promise<protocol.agent.LoadReport | undefined> =>
  new Promise((resolve) => {
    client.probe({ cell, entry: 'e', confirmed: [] }, (error, report) => {
      resolve(error === null ? report : undefined)
    })
  })

describe('agent over gRPC', () => {
  let control: standInControl.StandInControl
  let running: agent.agent.Agent
  let client: protocol.agent.AgentClient
  let httpAddress: string
  let ran = 0
  const endpoint = http.createServer((_request, response) => {
    ran++
    response.end('done')
  })

  const announce = async (change: Readonly<Record<string, unknown>> = {}): Promise<number> => {
    const { port } = endpoint.address() as net.AddressInfo
    const body = {
      endpoint: 'a',
      service: 'swap-desk',
      address: `127.0.0.1:${port}`,
      slots: 1,
      connections: 1,
      ...change,
    }
    const url = `http://${httpAddress}/v1/endpoints`
    return (await fetch(url, { method: 'POST', body: JSON.stringify(body) })).status
  }

  const execute = async (
    change: Partial<protocol.agent.ExecuteRequest>,
  ): Promise<protocol.agent.ExecuteReply> => {
    const report = await probeAgent(client, 'rennes-1')
    const request: protocol.agent.ExecuteRequest = {
      cell: 'rennes-1',
      requestId: `r${Math.random()}`,
      agentIncarnation: report?.agentIncarnation ?? 0,
      service: 'swap-desk',
      caller: 'counter',
      idempotent: false,
      timeoutMs: 2_000,
      method: 'GET',
      path: '/',
      headers: [],
      body: Buffer.alloc(0),
      revision: 1,
      agentTimeMs: report?.agentTimeMs ?? 0,
      endpoint: 'a',
      retain: false,
      ...change,
    }
    return new Promise((resolve, reject) => {
      client.execute(request, (error, reply) => {
        if (error === null) resolve(reply)
        else reject(error)
      })
    })
  }

  const reasonOf = (reply: protocol.agent.ExecuteReply): string =>
    reply.result?.$case === 'refusal' ? reply.result.value.reason : 'answered'

  beforeAll(async () => {
    control = await standInControl.startControl([])
    await new Promise<void>((resolve) => {
      endpoint.listen(0, '127.0.0.1', resolve)
    })
    running = agent.createAgent({
      cell: 'rennes-1',
      name: 'agent-1',
      worker: 'worker-1',
      failureDomain: 'rennes',
      grpcAddress: '127.0.0.1:0',
      httpAddress: '127.0.0.1:0',
      controlAddresses: [control.address],
      syncIntervalMs: 50,
      shutdownTimeoutMs: 100,
    })
    const addresses = (await running.start()).unwrap()
    httpAddress = addresses.httpAddress
    client = new protocol.agent.AgentClient(
      addresses.grpcAddress,
      grpc.credentials.createInsecure(),
    )
    expect(await announce()).toBe(200)
    await vitest.vi.waitFor(async () => {
      expect(reasonOf(await execute({}))).toBe('answered')
    }, 10_000)
  })

  afterAll(async () => {
    client.close()
    await running.stop()
    control.close()
    endpoint.close()
    endpoint.closeAllConnections()
  })

  const refusals: readonly (readonly [string, Partial<protocol.agent.ExecuteRequest>, string])[] = [
    ['another cell', { cell: 'brest-1' }, 'OTHER_CELL'],
    ['another incarnation', { agentIncarnation: 1 }, 'OTHER_INCARNATION'],
    ['an unknown endpoint', { endpoint: 'b' }, 'NO_ENDPOINT'],
    ['a service that the endpoint does not serve', { service: 'jingles' }, 'NO_ENDPOINT'],
    ['a timestamp that is too old', { agentTimeMs: -10_000 }, 'STALE'],
    ['an expired deadline', { timeoutMs: 0 }, 'DEADLINE'],
  ]

  // Guards against running requests that were meant for another process or an earlier state of this one.
  test.each(refusals)('refuses a request for %s', async (_name, change, reason) => {
    const before = ran
    expect(reasonOf(await execute(change))).toBe(reason)
    expect(ran).toBe(before)
  })

  // Guards against probe answers that make entries of another cell route requests here.
  test('refuses probes from another cell', async () => {
    expect(await probeAgent(client, 'brest-1')).toBeUndefined()
  })

  const announcements: readonly (readonly [string, Readonly<Record<string, unknown>>])[] = [
    ['no name', { endpoint: '' }],
    ['no slots', { slots: 0 }],
    ['a fractional number of connections', { connections: 0.5 }],
  ]

  // Guards against invalid entries in the endpoint table.
  test.each(announcements)('refuses an announcement with %s', async (_name, change) => {
    expect(await announce(change)).toBe(400)
  })

  // Guards against an agent that relies on entries to enforce that its failure domain is out.
  test('refuses work while its failure domain is out', async () => {
    control.rules = [standInControl.rule('failureDomain.rennes', '{ state = "out" }', 5)]
    control.revision = 2
    await vitest.vi.waitFor(async () => {
      expect(reasonOf(await execute({}))).toBe('FAILURE_DOMAIN_OUT')
    }, 10_000)
    expect((await probeAgent(client, 'rennes-1'))?.endpoints[0]?.leaving).toBe(true)
    control.rules = []
    control.revision = 3
    await vitest.vi.waitFor(async () => {
      await announce()
      expect(reasonOf(await execute({}))).toBe('answered')
    }, 10_000)
  })
})
