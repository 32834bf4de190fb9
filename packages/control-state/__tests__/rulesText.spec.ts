import * as vitest from 'vitest'
import * as controlState from '../src/index.js'

const { describe, expect, test } = vitest

const TEXT = `
service.swap-desk = { runners = 10, slots = 8, connections = 64, queue = 64, timeoutMs = 2000, targetMs = 80, objective = 0.995, cpuMillis = 4000, memoryMb = 8192 } # Maëlle Kerjean, counter desk
team.workshop = { cpuMillis = 96000, memoryMb = 393216, accelerators = 0, weight = 3 } # Yann Le Goff, workshop
placement.fitting = { match = "fitting-*", failureDomains = ["rennes", "brest"], spread = "rack" } # Yann Le Goff
failureDomain.brest = { state = "out" } # Operations, ticket 4411
failureDomain.rennes = { state = "in" } # Operations
guard.swap-desk = { maxSlowdown = 1.2, throttleFloorPercent = 25 } # Maëlle Kerjean
weighting.default = { throughput = 0.7, evictions = 0.7, tail = 0.3 } # Yann Le Goff
`

describe('rules text', () => {
  const set = controlState.parseRulesText(TEXT).unwrap()
  const cases: readonly (readonly [string, unknown, unknown])[] = [
    ['service', set.services.get('swap-desk'), { line: 2, runners: 10, targetMs: 80 }],
    ['team', set.teams.get('workshop'), { weight: 3, quota: { cpuMillis: 96000 } }],
    ['placement', set.placements[0], { requestedBy: 'Yann Le Goff', spread: 'rack' }],
    ['failure domain', set.failureDomains.get('brest'), { state: 'out', line: 5 }],
    ['guard', set.guards.get('swap-desk'), { throttleFloorPercent: 25 }],
    ['weighting', set.weighting, { throughput: 0.7, evictions: 0.7, tail: 0.3 }],
    ['record', set.records[0], { key: 'service.swap-desk', line: 2 }],
  ]

  // Guards against a rule that is accepted but has no effect.
  test.each(cases)('gives the %s rule to the control state', (_name, actual, expected) => {
    expect(actual).toMatchObject(expected as object)
  })

  // Guards against a parse error that does not identify its line.
  test('reports the line of an error', () => {
    const parsed = controlState.parseRulesText('\nteam.workshop = { weight = 3 } # Yann Le Goff')
    expect(parsed.isErr() && parsed.error[0]?.line).toBe(2)
  })
})
