import * as vitest from 'vitest'
import * as controlClient from '@ebonyweir/control-client'
import type * as protocol from '@ebonyweir/protocol'
import * as standInControl from './standInControl.js'

const { describe, expect, test } = vitest

const SERVICE =
  '{ runners = 1, slots = 4, connections = 8, timeoutMs = 1000, targetMs = 50, objective = 0.9, ' +
  'cpuMillis = 100, memoryMb = 64 }'

const delta = (change: Partial<protocol.control.ConfigDelta>): protocol.control.ConfigDelta => ({
  epoch: 2,
  revision: 5,
  full: true,
  rules: [standInControl.rule('service.a', SERVICE)],
  removed: [],
  ...change,
})

describe('configuration in force', () => {
  const cases: readonly (readonly [string, Partial<protocol.control.ConfigDelta>, string])[] = [
    ['a lower revision', { revision: 4 }, 'older-revision'],
    ['a lower epoch', { epoch: 1, revision: 9 }, 'older-epoch'],
    ['the same revision', {}, 'accepted'],
    ['a higher revision of a later epoch', { epoch: 3, revision: 6 }, 'accepted'],
  ]

  // Guards against a configuration that reverts and against a lease that a deposed leader renews.
  test.each(cases)('%s', (_name, change, expected) => {
    const view = controlClient.configView.createConfigView(4_000)
    view.apply(delta({}), 0)
    const applied = view.apply(delta({ ...change, rules: [] }), 3_000)
    expect(applied.isOk() ? 'accepted' : applied.error.reason).toBe(expected)
    expect(view.inForce(4_500)).toBe(expected === 'accepted')
    expect(view.service('a') === undefined).toBe(expected === 'accepted')
  })

  // Guards against a lease that starts at the reply instead of at the send time.
  test('starts the lease at the send time', () => {
    const view = controlClient.configView.createConfigView(4_000)
    expect(view.inForce(0)).toBe(false)
    view.apply(delta({}), 1_000)
    expect([view.inForce(4_999), view.inForce(5_000)]).toEqual([true, false])
  })

  // Guards against stale rules after a delta removed or changed them.
  test('changes and removes single rules with a delta', () => {
    const view = controlClient.configView.createConfigView()
    view.apply(delta({}), 0)
    const out = standInControl.rule('failureDomain.brest', '{ state = "out" }', 9)
    const back = standInControl.rule('failureDomain.brest', '{ state = "in" }', 9)
    view.apply(delta({ full: false, revision: 6, rules: [out] }), 0)
    expect([view.service('a')?.slots, view.outOfServiceRule('brest')?.line]).toEqual([4, 9])
    view.apply(delta({ full: false, revision: 7, rules: [back], removed: ['service.a'] }), 0)
    expect([view.service('a'), view.outOfServiceRule('brest')]).toEqual([undefined, undefined])
  })
})
