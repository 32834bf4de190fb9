/** One heartbeat of another writer, whose id holds a byte that cannot be read, reaches an agent. */
import * as path from 'node:path'
import { performance } from 'node:perf_hooks'
import * as url from 'node:url'
import * as calls from './lib/http.mjs'
import * as records from './lib/record.mjs'
import * as systems from './lib/system.mjs'

const FOLDER = path.dirname(url.fileURLToPath(import.meta.url))
const RUNNER = { capacity: { Cpu: 16_000, MemMb: 62_500, Gpu: 0 }, labels: ['a', 'r1-1'] }
const RUNNER_COUNT = 3
const JOB = '00000000000000a1'

/** Id of the heartbeat, as it stands in the path. */
const ODD_ID = process.env.ODD_ID ?? '%00'

/** The rule on a task that lasts holds from 6 s after its last run, and asks for 3 s without a run. */
const AFTER_RUN_MS = 6_000
const WITHOUT_RUN_MS = 3_000
const OBSERVED_MS = 40_000

const record = records.createRecord(path.join(FOLDER, 'record.txt'))
const trouble = process.env.TROUBLE !== '0'

const run = async () => {
  const system = await systems.createSystem({ record, agentCount: RUNNER_COUNT })
  const runningCount = () => system.workers.flatMap((worker) => worker.running()).length
  try {
    for (const worker of system.workers) await worker.start(RUNNER)
    for (const name of [...system.names.controls, ...system.names.agents, system.names.entry]) {
      system.start(name, { bootstrap: true })
    }
    if ((await system.configure({ version: 1 })).status !== 200) return 2
    await systems.wait(3_000)
    const step = { Count: RUNNER_COUNT, Cpu: 500, MemMb: 10, EstimatedMs: 1_000 }
    const job = {
      Spec: '{"lasts":true}',
      Steps: [{ ...step, LongRunning: true, AntiAffinity: 1 }],
    }
    if ((await system.submit(JOB, job)).status !== 200) return 2
    const areAllAtWork = () => runningCount() === RUNNER_COUNT
    if (!(await systems.waitUntil(areAllAtWork, 10_000))) return 2
    await systems.wait(2_000)
    if (trouble) {
      const body = {
        Service: systems.SERVICE,
        Address: '127.0.0.1:9',
        Zone: 'rennes',
        Version: 'v1',
        Slots: 8,
        State: 'ready',
        ColdRemainingMs: 0,
        Capacity: RUNNER.capacity,
        Labels: RUNNER.labels,
        ClockMs: 1,
        Sequence: 1,
        born: Date.now(),
      }
      const address = system.agentAddresses[0]
      const target = `/-/instances/${ODD_ID}/heartbeat`
      const reply = await calls.call({ address, method: 'POST', path: target, body })
      record('other writer', `POST ${target} at ${address} answered ${reply.status}`)
    }
    const fromMs = performance.now()
    let missingSinceMs
    let longestMissingMs = 0
    while (performance.now() - fromMs < OBSERVED_MS) {
      const nowMs = performance.now()
      if (areAllAtWork()) missingSinceMs = undefined
      else {
        missingSinceMs ??= nowMs
        longestMissingMs = Math.max(longestMissingMs, nowMs - missingSinceMs)
      }
      await systems.wait(20)
    }
    await system.client({ method: 'GET', id: JOB })
    record('check', `tasks at work at the end: ${runningCount()} of ${RUNNER_COUNT}`)
    record('check', `longest time with a task missing: ${Math.round(longestMissingMs)} ms`)
    return longestMissingMs >= AFTER_RUN_MS + WITHOUT_RUN_MS ? 1 : 0
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
