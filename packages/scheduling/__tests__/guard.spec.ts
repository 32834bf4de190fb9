import * as vitest from 'vitest'
import * as interference from '../src/interference.js'
import * as support from './support.js'

const { describe, expect, test } = vitest

const TRUE_COEFFICIENT = 2

/** Tail latency of a runner, which grows with the share of the machine used by "noisy" tasks. */
const tailLatencyOf =
  (world: support.World, percents: ReadonlyMap<string, number>) =>
  (worker: { readonly worker: string }) => {
    const view = world.view.worker(worker.worker)
    let share = 0
    for (const task of view?.tasks.values() ?? [])
      if (world.view.job(task.owner)?.kind === 'noisy')
        share += (task.resources.cpuMillis / 4000) * ((percents.get(task.task) ?? 100) / 100)
    return 10 * Math.exp(TRUE_COEFFICIENT * share)
  }

const runScenario = (guard: boolean) => {
  const world = support.createWorld({ guard, deferral: false })
  for (let n = 0; n < 4; n += 1) world.worker(`w${n}`, { rack: `r${n}` })
  world.rules(0, { services: { desk: 4 }, guarded: 'desk' })
  for (let n = 0; n < 30; n += 1) world.tick()
  world.submit('noise', { kind: 'noisy', tasks: 8 })
  let percents: ReadonlyMap<string, number> = new Map()
  let throttled = 0
  for (let n = 0; n < 60; n += 1) {
    const decision = world.tick({ p99Ms: tailLatencyOf(world, percents) })
    percents = new Map(decision.throttles.map((t) => [t.task, t.cpuPercent]))
    throttled = Math.max(throttled, decision.throttles.length)
  }
  const tails = [...world.view.workers()].map((worker) => tailLatencyOf(world, percents)(worker))
  return {
    worst: Math.max(...tails) / 10,
    throttled,
    evictions: world.view.job('noise')?.evictions,
  }
}

describe('guard', () => {
  // Without the guard, interfering tasks on the same workers keep the service's tail latency above
  // twice its undisturbed value.
  test('limits tail latency by throttling and evicting', () => {
    const guarded = runScenario(true)
    expect(guarded.throttled).toBeGreaterThan(0)
    expect(guarded.worst).toBeLessThan(runScenario(false).worst / 1.5)
    expect(runScenario(false).worst).toBeGreaterThan(2)
  })
})

describe('interference', () => {
  const learnMany = (samples: number) => {
    const model = interference.createInterferenceModel()
    for (let n = 0; n < samples; n += 1) {
      const share = (n % 5) / 5
      model.learn('service/desk', 0.5, new Map([['noisy', share]]), 3 + 1.5 * share)
    }
    return model
  }
  const cases: readonly (readonly [string, number, number, number, number])[] = [
    ['without samples the estimate is the prior', 0, 0.5, 0.1, 0.2],
    ['many samples converge to the true value', 200, 0.5, 1.4, 1.6],
    ['a new load bucket starts from the neighbouring bucket', 200, 0.75, 1.4, 1.6],
  ]

  // Guards against estimates that jump after few samples or discard what was learned.
  test.each(cases)('%s', (_name, samples, load, least, most) => {
    const { mean } = learnMany(samples).coefficient('service/desk', load, 'noisy')
    expect(mean).toBeGreaterThanOrEqual(least)
    expect(mean).toBeLessThanOrEqual(most)
  })
})
