/** One runner fails one run of a gang; the job is shown as failed although the gang has one attempt left. */
import * as path from 'node:path'
import * as url from 'node:url'
import { runCase, require } from './lib/case.mjs'
import { sleep } from './lib/http.mjs'
import { jobId } from './lib/system.mjs'

const MAX_ATTEMPTS = 2
const FAIL_AFTER_MS = 300
const GREY_LIMIT_MS = 6_500
const RUNNERS = 12

const JOB = {
  Spec: JSON.stringify({ workMs: 800, cpu: 2_000, gang: 2 }),
  // Only the first runner is of this kind.
  Steps: [{ Count: 2, Cpu: 2_000, MemMb: 100, EstimatedMs: 800, Gang: true, RequiredLabel: 'b' }],
}

const play = async ({ system, record, trouble }) => {
  await system.start()
  require(await system.configure(1), 'no configuration')
  require(await system.submit(jobId(1), JOB), 'the first job was not accepted')
  require((await system.waitForState(jobId(1), ['completed'], 20_000)) ===
    'completed', 'the first job did not complete')
  // The runner fails all that it starts until the first run of the gang has ended.
  const [runner] = system.runners
  if (trouble) {
    record('platform', `${runner.id} of ${system.runners.length} runners fails all that it starts`)
    runner.setFailAfterMs(FAIL_AFTER_MS)
  }
  const greyMs = Date.now()
  require(await system.submit(jobId(2), JOB), 'the second job was not accepted')
  const ends = () =>
    system.runnerLog.filter(({ kind, task }) => kind === 'end' && task.startsWith(jobId(2)))
  while (ends().length < 2 && Date.now() - greyMs < GREY_LIMIT_MS) await sleep(5)
  runner.setFailAfterMs(undefined)
  if (trouble) record('platform', `${runner.id} is sound again after ${Date.now() - greyMs} ms`)
  require(Date.now() - greyMs <= GREY_LIMIT_MS, 'the first run did not end in time')
  const state = await system.waitForState(jobId(2), ['completed', 'failed'], 20_000)
  const failedRuns = new Set(
    ends()
      .filter(({ how }) => how === 'failed')
      .map(({ run }) => run),
  )
  record(
    'case',
    `job ${jobId(2)} is ${state}; runs of its gang that ended failed: ${[...failedRuns].join(' ')}`,
  )
  if (state === 'failed' && failedRuns.size < MAX_ATTEMPTS) {
    return [`LOST: the job is shown as failed after ${failedRuns.size} of ${MAX_ATTEMPTS} attempts`]
  }
  return state === 'completed' ? [] : [`LOST: the job is ${state}`]
}

await runCase({
  folder: path.dirname(url.fileURLToPath(import.meta.url)),
  options: {
    maxAttempts: MAX_ATTEMPTS,
    workers: Array.from({ length: RUNNERS }, (_, index) => ({
      zone: ['rennes', 'brest', 'vannes'][index % 3],
      kind: index === 0 ? 'b' : 'a',
    })),
  },
  play,
})
