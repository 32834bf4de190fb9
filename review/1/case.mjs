/** A frozen control machine carries out an old order to evacuate a zone after the evacuation was taken back. */
import * as path from 'node:path'
import * as url from 'node:url'
import { runCase, require } from './lib/case.mjs'
import { sleep } from './lib/http.mjs'
import { jobId } from './lib/system.mjs'

const FREEZE_MS = 4_000
const EVACUATION_MS = 1_000
const CONTACT_MS = 3_000
/** `finish_s`, and 3 s in which nothing of the job runs. */
const WAIT_MS = 17_000

const JOB = {
  Spec: JSON.stringify({ workMs: 800, cpu: 500 }),
  Steps: [{ Count: 1, Cpu: 500, MemMb: 100, EstimatedMs: 800, RequiredLabel: 'b' }],
}

const play = async ({ system, record, trouble }) => {
  await system.start()
  require(await system.configure(1), 'no configuration')
  require(await system.submit(jobId(1), JOB), 'the first job was not accepted')
  require((await system.waitForState(jobId(1), ['completed'], 20_000)) ===
    'completed', 'the first job did not complete')
  const [frozen, healthy] = system.followers()
  record('case', `leader ${system.leader()}, machine that freezes: ${frozen}`)
  const freezeMs = Date.now()
  if (trouble) system.signal(frozen, 'SIGSTOP')
  await sleep(100)
  require(await system.order('/-/evacuations/rennes/begin', undefined, frozen), 'no evacuation')
  await sleep(EVACUATION_MS)
  require(await system.order('/-/evacuations/rennes/finish', undefined, healthy), 'not taken back')
  require(Date.now() - freezeMs < FREEZE_MS, 'the evacuation was not taken back in time')
  await sleep(FREEZE_MS - (Date.now() - freezeMs))
  if (trouble) system.signal(frozen, 'SIGCONT')
  await sleep(CONTACT_MS)
  require(await system.submit(jobId(2), JOB), 'the second job was not accepted')
  const state = await system.waitForState(jobId(2), ['completed'], WAIT_MS)
  const started = system.runnerLog.some(({ task }) => task?.startsWith(jobId(2)))
  const problems = []
  if (!started) {
    problems.push(
      `LOST: job ${jobId(2)} was accepted and nothing of it ran for ${WAIT_MS / 1_000} s, with its runner empty`,
    )
  } else if (state !== 'completed') problems.push(`LOST: job ${jobId(2)} is ${state}`)
  return problems
}

await runCase({
  folder: path.dirname(url.fileURLToPath(import.meta.url)),
  options: {
    workers: [
      { zone: 'rennes', kind: 'b' },
      { zone: 'brest', kind: 'a' },
      { zone: 'vannes', kind: 'a' },
    ],
  },
  play,
})
