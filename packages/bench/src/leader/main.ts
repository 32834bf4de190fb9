/** `npm run bench:leader`: processor time of the leader's work per second of simulated time, by part. */
import * as nodeTest from 'node:test'
import * as timers from 'node:timers/promises'
import * as worlds from './world.js'

const SIZES: readonly number[] = [11, 72, 300]
const WARM_UP_MS = 3_000
const MEASURED_MS = 6_000
const MICROS_PER_MS = 1_000
const SECOND_MS = 1_000

const PARTS = ['plan', 'report', 'sweep', 'rank'] as const
const COUNTS = ['rounds', 'tasksLookedAt', 'reports', 'proposals'] as const

const print = (line: string): void => void process.stdout.write(`${line}\n`)

// Kept before the clock is mocked: lets promises settle between two simulated milliseconds.
const settle = (): Promise<unknown> => timers.setImmediate()

/** Simulates `forMs` milliseconds; timers and promises of each one run before the next. */
const simulate = async (world: worlds.World, forMs: number): Promise<void> => {
  for (let passedMs = 0; passedMs < forMs; passedMs += 1) {
    nodeTest.mock.timers.tick(1)
    world.advance(Date.now())
    await settle()
  }
}

const measure = async (workers: number): Promise<void> => {
  const world = worlds.createWorld(workers)
  await simulate(world, WARM_UP_MS)
  const before = world.work.totals()
  const cpuBefore = process.cpuUsage()
  await simulate(world, MEASURED_MS)
  const { user, system } = process.cpuUsage(cpuBefore)
  const after = world.work.totals()
  const perSecond = (total: number): string => ((total * SECOND_MS) / MEASURED_MS).toFixed(0)
  const parts = PARTS.map((part) => {
    return `${part} ${perSecond(after.spentMs[part] - before.spentMs[part])}`
  })
  const counts = COUNTS.map((count) => {
    return `${count} ${perSecond(after.counts[count] - before.counts[count])}`
  })
  print(
    `${workers} workers, ${world.runCount()} runs, ${world.readyCount()} ready steps; ms per s: ` +
      `${parts.join(', ')}, process ${perSecond((user + system) / MICROS_PER_MS)}; ` +
      `per s: ${counts.join(', ')}`,
  )
  world.stop()
}

const sizes = process.argv.slice(2).map(Number)
nodeTest.mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'], now: SECOND_MS })
for (const workers of sizes.length > 0 ? sizes : SIZES) await measure(workers)
nodeTest.mock.timers.reset()
