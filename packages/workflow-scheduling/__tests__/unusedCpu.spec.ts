import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as workflowState from '@ebonyweir/workflow-state'
import * as vitest from 'vitest'
import * as support from './support.js'

const { describe, expect, it } = vitest
const { step, worker, createCell } = support

const CAPACITY_MILLIS = 16_000
const RESERVED_MILLIS = 12_000
const BATCH_MILLIS = 2_000
const TARGET_MS = 50
const LIST_INTERVAL_MS = 500
const BEST_EFFORT_COUNT = 4
const BEST_EFFORT_MILLIS = 2_000

describe('CPU of a worker available to best-effort tasks', () => {
  /** One worker with a latency-critical and a batch task, and the estimate of its available CPU. */
  const createWorker = () => {
    const description = worker('v')
    const cell = createCell([description])
    const claimOf = (cpuMillis: number) => ({ cpuMillis, memoryMb: 10, accelerators: 0 })
    cell.submit('serve', [
      step({ lasting: true, tailTargetMs: TARGET_MS, claim: claimOf(RESERVED_MILLIS) }),
    ])
    cell.submit('plain', [step({ claim: claimOf(BATCH_MILLIS) })])
    expect(cell.plan()).toHaveLength(2)
    const available = (): number => {
      const load = cell.state.view.loads.get('v@1')
      const capacity = { cpuMillis: CAPACITY_MILLIS, memoryMb: 1_000, accelerators: 0 }
      return scheduling.bestEffortCpuMillis('v@1', capacity, load, cell.disturbance)
    }
    const key = workflowState.runKey({ job: 'serve', occurrence: 0, step: 0, index: 0, run: 1 })
    const observe = (
      tailMs: number,
      filling: readonly scheduling.BestEffortTask[],
      nowMs: number,
    ): void => {
      const serving = [{ key, image: 's', tailMs, targetMs: TARGET_MS }]
      cell.disturbance.observe('v@1', { serving, filling, leftCpuMillis: available() }, nowMs)
    }
    return { available, observe }
  }

  it.each([
    {
      name: 'an average load before the first samples',
      tailMs: undefined,
      least: 5_000,
      most: 8_000,
    },
    {
      name: 'an average load while its tail latency is low',
      tailMs: 10,
      least: 8_000,
      most: 9_000,
    },
    { name: 'a high load while its tail latency is high', tailMs: 35, least: 4_000, most: 6_500 },
  ])('counts a latency-critical task with $name', ({ tailMs, least, most }) => {
    const { available, observe } = createWorker()
    if (tailMs !== undefined) {
      observe(10, [], 0)
      for (let list = 1; list < 20; list += 1) observe(tailMs, [], list * LIST_INTERVAL_MS)
    }
    expect(available()).toBeGreaterThan(least)
    expect(available()).toBeLessThan(most)
  })

  it.each([
    {
      name: 'follows the CPU that best-effort tasks get when they are short of it',
      usedMillis: 500,
      least: 1_500,
      most: 3_500,
    },
    {
      name: 'keeps the estimate while best-effort tasks get the CPU they request',
      usedMillis: 2_000,
      least: 8_000,
      most: 9_000,
    },
  ])('$name', ({ usedMillis, least, most }) => {
    const { available, observe } = createWorker()
    const filling = Array.from({ length: BEST_EFFORT_COUNT }, (_, index) => ({
      key: `f${index}`,
      image: 'f',
      pacePercent: 100,
      cpuMillis: BEST_EFFORT_MILLIS,
      usedCpuMillis: usedMillis,
    }))
    for (let list = 0; list < 20; list += 1) observe(10, filling, list * LIST_INTERVAL_MS)
    expect(available()).toBeGreaterThan(least)
    expect(available()).toBeLessThan(most)
  })

  it('ignores the CPU use of best-effort tasks that have just started', () => {
    const { available, observe } = createWorker()
    observe(10, [], 0)
    observe(10, [], LIST_INTERVAL_MS)
    const before = available()
    const started = { image: 'f', pacePercent: 100, cpuMillis: 2_000, usedCpuMillis: 0 }
    observe(10, [{ key: 'f', ...started }], 2 * LIST_INTERVAL_MS)
    observe(10, [{ key: 'f', ...started, usedCpuMillis: 900 }], 3 * LIST_INTERVAL_MS)
    expect(available()).toBeGreaterThanOrEqual(before)
  })
})
