/** After the agents in an evacuated zone were killed and started again, sound tasks that last are stopped. */
import * as path from 'node:path'
import * as url from 'node:url'
import { runCase, require } from './lib/case.mjs'
import { sleep } from './lib/http.mjs'
import { jobId } from './lib/system.mjs'

const COUNT = 3
const MISS_ALLOWED = 1
const OBSERVE_MS = 5_500

/** Kinds of the runners in rennes; one job runs on each of them. */
const KINDS = ['b', 'c', 'd', 'e']

const jobFor = (kind) => ({
  Spec: JSON.stringify({ lasting: true, cpu: 500 }),
  Steps: [
    {
      Count: COUNT,
      Cpu: 500,
      MemMb: 100,
      EstimatedMs: 1_000,
      LongRunning: true,
      RequiredLabel: kind,
      MissAllowed: MISS_ALLOWED,
    },
  ],
})

const play = async ({ system, record, trouble }) => {
  await system.start()
  require(await system.configure(1), 'no configuration')
  for (const [index, kind] of KINDS.entries()) {
    require(await system.submit(jobId(index + 1), jobFor(kind)), 'a job was not accepted')
  }
  const inRennes = system.runners.slice(0, KINDS.length)
  const areRunning = () => inRennes.every((runner) => runner.runningCount() === COUNT)
  for (let waitedMs = 0; !areRunning() && waitedMs < 20_000; waitedMs += 50) await sleep(50)
  require(areRunning(), 'the tasks did not start')
  await sleep(4_000)
  require(await system.order('/-/evacuations/rennes/begin'), 'no evacuation')
  await sleep(2_000)
  const sinceMs = Date.now()
  if (trouble) for (const index of KINDS.keys()) system.signal(`agent-${index + 1}`, 'SIGKILL')
  await sleep(OBSERVE_MS)
  require(await system.order('/-/evacuations/rennes/finish'), 'not taken back')
  const stops = system.runnerLog.filter(({ kind, atMs }) => kind === 'stop' && atMs >= sinceMs)
  const others = system.runnerLog.filter(({ kind, how }) => kind === 'end' && how !== 'stopped')
  record('case', `ends that no order caused: ${others.length}`)
  // Tasks that earlier orders ended are still away: nothing starts in the evacuated zone.
  return KINDS.flatMap((_, index) =>
    stops
      .filter(({ task, percent }) => task.startsWith(jobId(index + 1)) && percent === 100)
      .slice(MISS_ALLOWED)
      .map(({ task }) => `AVAIL: ${task} was stopped at work while others of its step were away`),
  )
}

await runCase({
  folder: path.dirname(url.fileURLToPath(import.meta.url)),
  options: {
    workers: [
      ...KINDS.map((kind) => ({ zone: 'rennes', kind })),
      { zone: 'brest', kind: 'a' },
      { zone: 'vannes', kind: 'a' },
    ],
  },
  play,
})
