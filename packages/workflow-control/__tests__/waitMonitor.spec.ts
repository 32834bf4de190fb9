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

const waits = () => harness.logs.filter(({ message }) => message === 'step waits for room')

const claim = (cpuMillis: number, memoryMb: number) => ({ cpuMillis, memoryMb, accelerators: 0 })

/** Workers have 4,000 CPU millis and 1,000 MB. */
const cases = [
  {
    name: 'CPU that latency-critical tasks use',
    first: { claim: claim(3_500, 100) },
    lacks: { workers: 1, excluded: 0, cpu: 1, memory: 0, memoryOfFillers: 0 },
  },
  {
    name: 'memory that best-effort tasks use',
    first: { claim: claim(1_000, 700), filling: true },
    lacks: { workers: 1, excluded: 0, cpu: 0, memory: 1, memoryOfFillers: 1 },
  },
  {
    name: 'memory that latency-critical tasks use',
    first: { claim: claim(1_000, 700) },
    lacks: { workers: 1, excluded: 0, cpu: 0, memory: 1, memoryOfFillers: 0 },
  },
  {
    name: 'a label that no worker has',
    first: {},
    second: { requiredLabel: 'b' },
    lacks: { workers: 1, excluded: 1, cpu: 0, memory: 0, memoryOfFillers: 0 },
  },
] as const

describe('log lines of waiting steps', () => {
  it.each(cases)(
    'guards against a log line that does not show the cause of a wait: $name',
    async (given) => {
      const agent = harness.attach('w')
      agent.report()
      harness.submit('first', [given.first])
      await harness.pass(20)
      expect(agent.starts()).toEqual(['first.0.0.0#1'])
      const second = 'second' in given ? given.second : {}
      harness.submit('late', [{ claim: claim(1_000, 500), ...second }])
      for (let passedMs = 0; passedMs < 800; passedMs += 400) {
        agent.report({ running: ['first.0.0.0#1'] })
        await harness.pass(400)
      }
      expect(waits()).toEqual([])
      for (let passedMs = 0; passedMs < 800; passedMs += 400) {
        agent.report({ running: ['first.0.0.0#1'] })
        await harness.pass(400)
      }
      expect(waits()).toMatchObject([{ step: 'late.0.0', tasks: 1, ...given.lacks }])
    },
  )

  it('guards against a log line at each sweep for a step that keeps waiting', async () => {
    const agent = harness.attach('w')
    agent.report()
    harness.submit('large', [{ claim: claim(9_000, 10) }])
    await harness.pass(12_000)
    expect(waits()).toHaveLength(3)
  })
})
