/** `npm run bench:leader`: CPU time of the leader per second of simulated time, by kind of work. */
import * as nodeTest from 'node:test'
import * as timers from 'node:timers/promises'
import * as leaderSimulation from './simulation.js'

const SIZES: readonly number[] = [11, 72, 300]
const WARM_UP_MS = 3_000
const MEASURED_MS = 6_000
const MICROS_PER_MS = 1_000
const SECOND_MS = 1_000

const PARTS = ['plan', 'report', 'sweep', 'rank'] as const
const COUNTS = ['rounds', 'tasksLookedAt', 'workersLookedAt', 'reports', 'proposals'] as const

const print = (line: string): void => void process.stdout.write(`${line}\n`)

// Not affected by the mocked clock; lets promises settle between two simulated milliseconds.
const settlePromises = (): Promise<unknown> => timers.setImmediate()

/** Simulates `forMs` milliseconds; timers and promises of one millisecond run before the next. */
const simulate = async (
  simulation: leaderSimulation.LeaderSimulation,
  forMs: number,
): Promise<void> => {
  for (let passedMs = 0; passedMs < forMs; passedMs += 1) {
    nodeTest.mock.timers.tick(1)
    simulation.advance(Date.now())
    await settlePromises()
  }
}

const measure = async (workers: number): Promise<void> => {
  const simulation = leaderSimulation.createLeaderSimulation(workers)
  await simulate(simulation, WARM_UP_MS)
  const before = simulation.work.totals()
  const cpuBefore = process.cpuUsage()
  await simulate(simulation, MEASURED_MS)
  const { user, system } = process.cpuUsage(cpuBefore)
  const after = simulation.work.totals()
  const perSecond = (total: number): string => ((total * SECOND_MS) / MEASURED_MS).toFixed(0)
  const parts = PARTS.map((part) => {
    return `${part} ${perSecond(after.spentMs[part] - before.spentMs[part])}`
  })
  const counts = COUNTS.map((count) => {
    return `${count} ${perSecond(after.counts[count] - before.counts[count])}`
  })
  print(
    `${workers} workers, ${simulation.runCount()} runs, ${simulation.readyCount()} ready steps; ms per s: ` +
      `${parts.join(', ')}, process ${perSecond((user + system) / MICROS_PER_MS)}; ` +
      `per s: ${counts.join(', ')}`,
  )
  simulation.stop()
}

const sizes = process.argv.slice(2).map(Number)
nodeTest.mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'], now: SECOND_MS })
for (const workers of sizes.length > 0 ? sizes : SIZES) await measure(workers)
nodeTest.mock.timers.reset()
