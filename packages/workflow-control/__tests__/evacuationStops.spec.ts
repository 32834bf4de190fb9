import * as protocol from '@ebonyweir/protocol'
import * as vitest from 'vitest'
import * as harnesses from './termHarness.js'

const { afterEach, beforeEach, describe, expect, it } = vitest
const { RejectionReason } = protocol.workflow

let harness: ReturnType<typeof harnesses.createTermHarness>

beforeEach(() => {
  harness = harnesses.createTermHarness()
})

afterEach(() => {
  harness.close()
})

const settle = (): Promise<unknown> => harness.pass(20)

const RUNS = ['j.0.0.0#1', 'j.0.0.1#1', 'j.0.0.2#1']

const evacuate = (): void => {
  const value = { failureDomain: 'rennes', evacuated: true, ticket: undefined }
  harness.apply({ $case: 'evacuation', value })
}

/** Worker with three long-running tasks at work in a failure domain that is evacuated. */
const startWork = async (): Promise<harnesses.Agent> => {
  const agent = harness.attach('w')
  agent.report()
  harness.submit('j', [{ taskCount: RUNS.length, lasting: true, maxAway: 1 }])
  await settle()
  agent.live(800, { running: RUNS, percent: 100 })
  evacuate()
  agent.live(800, { running: RUNS, percent: 100 })
  return agent
}

describe('tasks at work in an evacuated failure domain', () => {
  it('go on while their agent lists them', async () => {
    const agent = await startWork()
    await harness.pass(400)
    expect([...agent.stops(), ...agent.withdrawals()]).toEqual([])
  })

  it.each([
    { name: 'has not listed its runs yet', reports: [{ unlisted: true }] },
    { name: 'lists them at last', reports: [{ unlisted: true }, { running: RUNS, percent: 100 }] },
  ])('guards against a stop when a new agent $name', async ({ reports }) => {
    await startWork()
    const next = harness.attach('w')
    for (const report of reports) {
      next.report(report)
      await harness.pass(300)
    }
    expect(next.stops()).toEqual([])
  })

  it('guards against a stop of runs that started after the latest list', async () => {
    const agent = harness.attach('w')
    agent.report()
    harness.submit('j', [{ taskCount: RUNS.length, lasting: true }])
    await settle()
    evacuate()
    await harness.pass(1_000)
    expect(agent.stops()).toEqual([])
    expect([...new Set(agent.withdrawals())].sort()).toEqual(RUNS)
  })

  it('assigns a withdrawn run elsewhere once the agent has rejected it', async () => {
    const agent = harness.attach('w')
    agent.report()
    harness.submit('j', [{}])
    await settle()
    evacuate()
    await harness.pass(200)
    agent.report({ rejected: [['j.0.0.0#1', RejectionReason.ABSENT]] })
    await settle()
    expect(harness.task('j.0.0.0')).toMatchObject({ phase: 'waiting', run: 1 })
  })
})
