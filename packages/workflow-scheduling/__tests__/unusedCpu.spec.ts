import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as workflowState from '@ebonyweir/workflow-state'
import * as vitest from 'vitest'
import * as support from './support.js'

const { describe, expect, it } = vitest
const { step, worker, createCell } = support

const CAPACITY_MILLIS = 16_000
const RESERVED_MILLIS = 12_000
const PLAIN_MILLIS = 2_000
const TARGET_MS = 50
const LIST_MS = 500
const FILLERS = 4
const FILLER_MILLIS = 2_000

describe('processors that a worker leaves to fillers', () => {
  /** One worker with a serving and a plain task, and what is left there after `lists` lists. */
  const createWorker = () => {
    const description = worker('v')
    const cell = createCell([description])
    const claimOf = (cpuMillis: number) => ({ cpuMillis, memoryMb: 10, accelerators: 0 })
    cell.submit('serve', [
      step({ lasting: true, tailTargetMs: TARGET_MS, claim: claimOf(RESERVED_MILLIS) }),
    ])
    cell.submit('plain', [step({ claim: claimOf(PLAIN_MILLIS) })])
    expect(cell.plan()).toHaveLength(2)
    const left = (): number => {
      const load = cell.state.view.loads.get('v@1')
      const capacity = { cpuMillis: CAPACITY_MILLIS, memoryMb: 1_000, accelerators: 0 }
      return scheduling.leftToFillers('v@1', capacity, load, cell.disturbance)
    }
    const key = workflowState.runKey({ job: 'serve', occurrence: 0, step: 0, index: 0, run: 1 })
    const observe = (
      tailMs: number,
      filling: readonly scheduling.FillingTask[],
      nowMs: number,
    ): void => {
      const serving = [{ key, image: 's', tailMs, targetMs: TARGET_MS }]
      cell.disturbance.observe('v@1', { serving, filling, leftCpuMillis: left() }, nowMs)
    }
    return { left, observe }
  }

  it.each([
    {
      name: 'an average load before the first figures',
      tailMs: undefined,
      least: 5_000,
      most: 8_000,
    },
    { name: 'an average load while its tail is low', tailMs: 10, least: 8_000, most: 9_000 },
    { name: 'a high load while its tail is high', tailMs: 35, least: 4_000, most: 6_500 },
  ])('counts a serving task with $name', ({ tailMs, least, most }) => {
    const { left, observe } = createWorker()
    if (tailMs !== undefined) {
      observe(10, [], 0)
      for (let list = 1; list < 20; list += 1) observe(tailMs, [], list * LIST_MS)
    }
    expect(left()).toBeGreaterThan(least)
    expect(left()).toBeLessThan(most)
  })

  it.each([
    {
      name: 'follows what fillers get when they are short',
      usedMillis: 500,
      least: 1_500,
      most: 3_500,
    },
    {
      name: 'keeps the estimate while they get what they ask for',
      usedMillis: 2_000,
      least: 8_000,
      most: 9_000,
    },
  ])('$name', ({ usedMillis, least, most }) => {
    const { left, observe } = createWorker()
    const filling = Array.from({ length: FILLERS }, (_, index) => ({
      key: `f${index}`,
      image: 'f',
      pacePercent: 100,
      cpuMillis: FILLER_MILLIS,
      usedCpuMillis: usedMillis,
    }))
    for (let list = 0; list < 20; list += 1) observe(10, filling, list * LIST_MS)
    expect(left()).toBeGreaterThan(least)
    expect(left()).toBeLessThan(most)
  })

  it('guards against figures of fillers that have just started', () => {
    const { left, observe } = createWorker()
    observe(10, [], 0)
    observe(10, [], LIST_MS)
    const before = left()
    const filler = { image: 'f', pacePercent: 100, cpuMillis: 2_000, usedCpuMillis: 0 }
    observe(10, [{ key: 'f', ...filler }], 2 * LIST_MS)
    observe(10, [{ key: 'f', ...filler, usedCpuMillis: 900 }], 3 * LIST_MS)
    expect(left()).toBeGreaterThanOrEqual(before)
  })
})
