/** A job that lasts and whose tasks fail soon after each start, on a service with free runners. */
import * as path from 'node:path'
import { performance } from 'node:perf_hooks'
import * as url from 'node:url'
import * as records from '../stand-ins-2/record.mjs'
import * as systems from '../stand-ins-2/system.mjs'

const FOLDER = path.dirname(url.fileURLToPath(import.meta.url))
const RUNNER = { capacity: { Cpu: 16_000, MemMb: 62_500, Gpu: 0 }, labels: ['a', 'r1-1'] }

const FAILING_JOB = '00000000000000f1'
const LASTING_JOB = '00000000000000a1'
const BATCH_JOB = '00000000000000b1'

/** The rule on a task that lasts holds from 6 s after its last run, and asks for 3 s without a run. */
const LASTING_FROM_MS = 6_000
const WITHOUT_RUN_MS = 3_000
/** `finish_s`: jobs are asked for 14 s after the end of the traffic. */
const FINISH_MS = 14_000
/** A pause between two starts of the failing job after which its next failures are waited for. */
const LONG_PAUSE_MS = 7_000

const record = records.createRecord(path.join(FOLDER, 'record.txt'))
const trouble = process.env.TROUBLE !== '0'

const starts = []

const run = async () => {
  const system = await systems.createSystem({
    record,
    agentCount: 3,
    onStart: ({ id, task }) => starts.push({ atMs: performance.now(), worker: id, task }),
  })
  const startsOf = (job) => starts.filter(({ task }) => task.startsWith(job))
  const runningOf = (job) =>
    system.workers.flatMap((worker) => worker.running()).filter(({ task }) => task.startsWith(job))
  try {
    for (const worker of system.workers) await worker.start(RUNNER)
    for (const name of [...system.names.controls, ...system.names.agents, system.names.entry]) {
      system.start(name, { bootstrap: true })
    }
    if ((await system.configure({ version: 1 })).status !== 200) return 2
    await systems.wait(3_000)
    const step = { Cpu: 500, MemMb: 10, EstimatedMs: 1_000 }
    const spec = trouble ? { failMs: 300 } : { lasts: true }
    const failing = {
      Spec: JSON.stringify(spec),
      Steps: [{ ...step, Count: 6, LongRunning: true }],
    }
    if ((await system.submit(FAILING_JOB, failing)).status !== 200) return 2
    if (trouble) {
      const hadLongPause = () =>
        startsOf(FAILING_JOB).some(({ atMs }, index, all) => {
          return index > 0 && atMs - all[index - 1].atMs > LONG_PAUSE_MS
        })
      if (!(await systems.waitUntil(hadLongPause, 60_000))) {
        record('check', 'the failing job was never held back for long')
        return 0
      }
      await systems.wait(1_500)
    } else await systems.wait(17_000)

    const lasting = { Spec: '{"lasts":true}', Steps: [{ ...step, Count: 1, LongRunning: true }] }
    const batch = { Spec: '{"ms":1000}', Steps: [{ ...step, Count: 1 }] }
    const accepted = await Promise.all([
      system.submit(LASTING_JOB, lasting),
      system.submit(BATCH_JOB, batch),
    ])
    if (accepted.some(({ status }) => status !== 200)) return 2
    const ackMs = performance.now()
    let lastingRan = false
    let batchRan = false
    while (performance.now() - ackMs < FINISH_MS) {
      const sinceMs = performance.now() - ackMs
      const isLastingDue = sinceMs >= LASTING_FROM_MS && sinceMs < LASTING_FROM_MS + WITHOUT_RUN_MS
      if (isLastingDue && runningOf(LASTING_JOB).length > 0) lastingRan = true
      if (startsOf(BATCH_JOB).length > 0) batchRan = true
      await systems.wait(20)
    }
    for (const id of [LASTING_JOB, BATCH_JOB]) await system.client({ method: 'GET', id })
    const busy = system.workers.flatMap((worker) => worker.running()).length
    record('check', `tasks running on the three runners of 16 cores at the end: ${busy}`)
    record('check', `lasting job ran between 6 s and 9 s after its acknowledgement: ${lastingRan}`)
    record('check', `batch job started within ${FINISH_MS / 1_000} s: ${batchRan}`)
    return lastingRan && batchRan ? 0 : 1
  } finally {
    await system.close()
  }
}

run().then(
  (code) => {
    record('check', `exit ${code}`)
    process.exit(code)
  },
  (error) => {
    record('check', `could not run: ${error.stack}`)
    process.exit(2)
  },
)
