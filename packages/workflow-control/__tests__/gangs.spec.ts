import * as protocol from '@ebonyweir/protocol'
import * as vitest from 'vitest'
import * as harnesses from './termHarness.js'

const { afterEach, beforeEach, describe, expect, it } = vitest
const { EndKind } = protocol.workflow

let harness: ReturnType<typeof harnesses.createTermHarness>

beforeEach(() => {
  harness = harnesses.createTermHarness()
})

afterEach(() => {
  harness.close()
})

const settle = (): Promise<unknown> => harness.pass(20)

const MEMBERS = [0, 1, 2]

describe('failed runs of gangs', () => {
  it('guards against a worker in quarantine after one failed run of a gang', async () => {
    const agent = harness.attach('w')
    agent.report()
    harness.submit('j', [{ taskCount: MEMBERS.length, gang: true }])
    await settle()
    agent.report({
      ended: MEMBERS.map((member) => [member + 1, `j.0.0.${member}#1`, EndKind.FAILED] as const),
    })
    await settle()
    expect(agent.starts()).toContain('j.0.0.0#2')
  })

  it('puts a worker into quarantine after three failed runs of a gang', async () => {
    const agent = harness.attach('w')
    agent.report()
    harness.submit('j', [{ taskCount: MEMBERS.length, gang: true }], 9)
    for (const run of [1, 2, 3]) {
      await settle()
      expect(agent.starts()).toContain(`j.0.0.0#${run}`)
      agent.report({
        ended: MEMBERS.map((member) => {
          return [run * 10 + member, `j.0.0.${member}#${run}`, EndKind.FAILED] as const
        }),
      })
    }
    await settle()
    expect(agent.starts()).not.toContain('j.0.0.0#4')
  })
})
