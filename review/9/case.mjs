/** A runner carries out a start order late, after it has crashed and started again under its id. */
import * as path from 'node:path'
import * as url from 'node:url'
import * as records from './lib/record.mjs'
import * as systems from './lib/system.mjs'

const FOLDER = path.dirname(url.fileURLToPath(import.meta.url))
const CAPACITY = { Cpu: 16_000, MemMb: 62_500, Gpu: 0 }
const SPECIAL = { capacity: CAPACITY, labels: ['b', 'r1-1'] }
const ORDINARY = { capacity: CAPACITY, labels: ['a', 'r1-1'] }

/** One of them crashes: a share of 0.125. */
const RUNNER_COUNT = 8
/** Orders beside the late one, of which there is one: a share below 0.05. */
const OTHER_TASKS = 24
/** Late orders are carried out 2 s to 12 s later. */
const LATE_MS = 9_000
const DOWN_MS = 2_000
const AFTER_LATE_MS = 4_000

const JOB = '00000000000000b1'
const OTHER_JOB = '00000000000000a1'

const record = records.createRecord(path.join(FOLDER, 'record.txt'))
const trouble = process.env.TROUBLE !== '0'

const run = async () => {
  let isKept = false
  const noted = []
  const again = []
  const system = await systems.createSystem({
    record,
    agentCount: RUNNER_COUNT,
    late: {
      delayMs: LATE_MS,
      isLate: (path_, body) => {
        const isFirst = trouble && !isKept && path_ === '/-/run-start' && body.includes(JOB)
        if (isFirst) isKept = true
        return isFirst
      },
    },
    onNoted: ({ task }) => noted.push(task),
    onStart: ({ id, task, run: number }) => {
      if (noted.includes(task)) again.push(`${task}#${number} on ${id}`)
    },
  })
  const isCompleted = async (id) =>
    (await system.client({ method: 'GET', id })).body?.State === 'completed'
  try {
    const [special, ...others] = system.workers
    await special.start(SPECIAL)
    for (const worker of others) await worker.start(ORDINARY)
    for (const name of [...system.names.controls, ...system.names.agents, system.names.entry]) {
      system.start(name, { bootstrap: true })
    }
    if ((await system.configure({ version: 1 })).status !== 200) return 2
    await systems.wait(3_000)
    const step = { Cpu: 500, MemMb: 10, EstimatedMs: 300 }
    const spec = '{"ms":300}'
    const other = { Spec: spec, Steps: [{ ...step, Count: OTHER_TASKS }] }
    const job = { Spec: spec, Steps: [{ ...step, Count: 1, RequiredLabel: 'b' }] }
    if ((await system.submit(OTHER_JOB, other)).status !== 200) return 2
    if ((await system.submit(JOB, job)).status !== 200) return 2
    const areDone = async () => (await isCompleted(JOB)) && (await isCompleted(OTHER_JOB))
    if (!(await systems.waitUntil(areDone, 5_000, 200))) return 2
    if (trouble) {
      special.crash()
      await systems.wait(DOWN_MS)
      await special.start(SPECIAL)
    }
    await systems.wait(LATE_MS - DOWN_MS + AFTER_LATE_MS)
    await isCompleted(JOB)
    if (trouble && !isKept) return 2
    for (const start of again) record('check', `started after its end was taken note of: ${start}`)
    return again.length === 0 ? 0 : 1
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
