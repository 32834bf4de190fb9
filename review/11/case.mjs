// Rule TWICE: more than 500 ends wait at one worker while its agent is killed once and restarted.
import * as timersPromises from 'node:timers/promises'
import * as checks from './lib/checks.mjs'
import * as frame from './lib/play.mjs'
import * as users from './lib/users.mjs'

const withTrouble = process.env.TROUBLE !== '0'

const JOBS = 4
const TASKS = 400
const CPU = 10
const ESTIMATED_MS = 10_000
/** Time within which the tasks end. */
const SPREAD_MS = 2_500
const DOWN_MS = 2_000
/** Time after which a worker answers a `hold` call. */
const LIST_MS = 100

let isOver = false
const behaviourOf = () => ({ ms: isOver ? ESTIMATED_MS : Number.POSITIVE_INFINITY, how: 'done' })

await frame.play(
  import.meta.url,
  {
    worker: {
      capacity: { Cpu: 16_000, MemMb: 64_000, Gpu: 0 },
      listMs: LIST_MS,
      behaviourOf,
      claimOf: () => ({ Cpu: CPU, MemMb: 4, Gpu: 0 }),
    },
  },
  async ({ system, workers, client, record }) => {
    const ids = Array.from({ length: JOBS }, (_, index) => users.jobId(index + 1))
    for (const id of ids) {
      const job = {
        Spec: 'plan',
        Steps: [{ Count: TASKS, Cpu: CPU, MemMb: 4, EstimatedMs: ESTIMATED_MS, Affinity: 'r1-1' }],
      }
      const [answer] = await client.submit(id, job)
      if (answer.status !== 200) throw new frame.CannotRun('the job was not accepted')
      const isRunning = () =>
        workers.reduce(
          (sum, worker) => sum + worker.running().filter(({ task }) => task.startsWith(id)).length,
          0,
        ) === TASKS
      await frame.waitUntil('all tasks run', isRunning, 20_000)
    }
    record(`${workers.map((worker) => worker.running().length).join(' ')} tasks at the workers`)
    isOver = true
    const ended = timersPromises
      .setTimeout(100)
      .then(() => workers.forEach((worker) => worker.finishWithin(SPREAD_MS)))
    if (withTrouble) {
      record(`SIGKILL of ${system.agents[0]}`)
      await system.kill(system.agents[0], DOWN_MS)
    }
    await ended
    for (const id of ids)
      record(`the job is ${await client.waitForState(id, ['completed', 'failed'], 40_000)}`)
    await timersPromises.setTimeout(3_000)
    return checks.findTwice(workers.flatMap(({ runs }) => runs))
  },
)
