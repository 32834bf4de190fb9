import * as vitest from 'vitest'
import * as data from '../src/batch/data.js'
import * as policies from '../src/batch/policies.js'
import * as simulation from '../src/batch/simulation.js'
import * as statistics from '../src/report/statistics.js'

const { describe, expect, test } = vitest

const run = (scenarioName: string, policyName: string) => {
  const deployment = data.readDeployments()[0]
  const scenario = data.readScenarios().find(({ name }) => name === scenarioName)
  const policy = policies.POLICIES.find(({ name }) => name === policyName)
  if (!deployment || !scenario || !policy) throw new Error('data file or policy is missing')
  const short = { ...scenario, durationMs: 60_000 }
  return simulation.runSimulation({ deployment, scenario: short, policy, seed: 3 })
}

describe('batch experiment', () => {
  // Otherwise comparisons between policies would include differences that the policy does not cause.
  test.each([
    ['steady', 'ours'],
    ['everything', 'random'],
  ])('%s with policy %s gives the same run for the same seed', (scenario, policy) => {
    expect(run(scenario, policy)).toEqual(run(scenario, policy))
  })

  // The run without batch tasks is the reference for the tail latency of the service.
  test('the reference without batch completes no batch work', () => {
    expect(run('steady', 'no batch').throughput).toBe(0)
    expect(run('steady', 'ours').throughput).toBeGreaterThan(0)
  })

  test('paired comparison gives mean difference and its standard error', () => {
    const { difference, error } = statistics.comparePairs([2, 4, 6], [1, 2, 3])
    expect(difference).toBe(2)
    expect(error).toBeCloseTo(1 / Math.sqrt(3))
  })
})
