import * as vitest from 'vitest'
import * as interference from '../src/interference.js'
import * as support from './support.js'

const { describe, expect, test } = vitest

const TRUE_HARM = 2

/** Tail of a runner whose latency grows with the share of the machine that "noisy" tasks get. */
const tailOf =
  (world: support.World, percents: ReadonlyMap<string, number>) =>
  (worker: { readonly worker: string }) => {
    const view = world.view.worker(worker.worker)
    let share = 0
    for (const task of view?.tasks.values() ?? [])
      if (world.view.job(task.owner)?.kind === 'noisy')
        share += (task.resources.cpuMillis / 4000) * ((percents.get(task.task) ?? 100) / 100)
    return 10 * Math.exp(TRUE_HARM * share)
  }

const run = (guard: boolean) => {
  const world = support.createWorld({ guard, deferral: false })
  for (let n = 0; n < 4; n += 1) world.worker(`w${n}`, { rack: `r${n}` })
  world.rules(0, { services: { desk: 4 }, guarded: 'desk' })
  for (let n = 0; n < 30; n += 1) world.tick()
  world.submit('noise', { kind: 'noisy', tasks: 8 })
  let percents: ReadonlyMap<string, number> = new Map()
  let throttled = 0
  for (let n = 0; n < 60; n += 1) {
    const decision = world.tick({ p99Ms: tailOf(world, percents) })
    percents = new Map(decision.throttles.map((t) => [t.task, t.cpuPercent]))
    throttled = Math.max(throttled, decision.throttles.length)
  }
  const tails = [...world.view.workers()].map((worker) => tailOf(world, percents)(worker))
  return {
    worst: Math.max(...tails) / 10,
    throttled,
    evictions: world.view.job('noise')?.evictions,
  }
}

describe('guard', () => {
  // Guards against a service whose tail rises with noisy neighbours. With the guard off the tail
  // stays above twice its undisturbed value.
  test('holds the tail by throttling and evicting', () => {
    const guarded = run(true)
    expect(guarded.throttled).toBeGreaterThan(0)
    expect(guarded.worst).toBeLessThan(run(false).worst / 1.5)
    expect(run(false).worst).toBeGreaterThan(2)
  })
})

describe('interference', () => {
  const learnMany = (samples: number) => {
    const model = interference.createInterference()
    for (let n = 0; n < samples; n += 1) {
      const share = (n % 5) / 5
      model.learn('service/desk', 0.5, new Map([['noisy', share]]), 3 + 1.5 * share)
    }
    return model
  }
  const cases: readonly (readonly [string, number, number, number, number])[] = [
    ['no sample stays at the prior', 0, 0.5, 0.1, 0.2],
    ['many samples reach the truth', 200, 0.5, 1.4, 1.6],
    ['a new load bucket starts from its neighbour', 200, 0.75, 1.4, 1.6],
  ]

  // Guards against estimates that jump on few samples or forget what is known.
  test.each(cases)('%s', (_name, samples, load, least, most) => {
    const { mean } = learnMany(samples).coefficient('service/desk', load, 'noisy')
    expect(mean).toBeGreaterThanOrEqual(least)
    expect(mean).toBeLessThanOrEqual(most)
  })
})
