import * as protocol from '@ebonyweir/protocol'
import * as vitest from 'vitest'
import * as harnesses from './termHarness.js'

const { afterEach, beforeEach, describe, expect, it } = vitest

let harness: ReturnType<typeof harnesses.createTermHarness>

beforeEach(() => {
  harness = harnesses.createTermHarness()
})

afterEach(() => {
  harness.close()
})

describe('answers to reports', () => {
  it.each([
    { name: 'says nothing before there is a configuration', services: undefined, unknown: false },
    { name: 'guards against a doubt about a named service', services: ['desk'], unknown: false },
    { name: 'tells the agent that no pool has the service', services: ['x'], unknown: true },
  ])('$name', ({ services, unknown }) => {
    if (services !== undefined) {
      const pools = services.map((service) => protocol.workflow.WorkerPool.fromPartial({ service }))
      const none = protocol.workflow.QueueConfiguration.fromPartial({ version: 1 })
      harness.apply({ $case: 'configure', value: { ...none, pools } })
    }
    const agent = harness.attach('w')
    agent.report()
    expect(agent.orders.at(-1)?.unknownService).toBe(unknown)
  })
})
