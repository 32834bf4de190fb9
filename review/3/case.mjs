/** A heartbeat of another writer, with a service that no configuration names, makes the agent give up its own runner. */
import * as path from 'node:path'
import * as url from 'node:url'
import { runCase, require } from './lib/case.mjs'
import * as calls from './lib/http.mjs'
import { jobId } from './lib/system.mjs'

const WAIT_MS = 25_000

const JOB = {
  Spec: JSON.stringify({ workMs: 800, cpu: 500 }),
  // Only the first runner is of this kind.
  Steps: [{ Count: 2, Cpu: 500, MemMb: 100, EstimatedMs: 800, RequiredLabel: 'b' }],
}

const play = async ({ system, record, trouble }) => {
  await system.start()
  require(await system.configure(1), 'no configuration')
  require(await system.submit(jobId(1), JOB), 'the first job was not accepted')
  require((await system.waitForState(jobId(1), ['completed'], 20_000)) ===
    'completed', 'the first job did not complete')
  const [runner] = system.runners
  if (trouble) {
    const { status } = await calls.call({
      address: `${system.block}.31:${system.controlPort}`,
      method: 'POST',
      path: '/-/instances/i-other/heartbeat',
      timeoutMs: 1_000,
      body: {
        Service: 'other',
        Address: `${system.block}.99:8080`,
        Zone: runner.zone,
        Version: 'v1',
        Slots: 8,
        State: 'ready',
        ColdRemainingMs: 0,
        Capacity: runner.capacity,
        Labels: ['a', 'r1-other'],
        ClockMs: 5_000,
        Sequence: 3,
        born: Date.now() - 1_000,
      },
    })
    record('other writer', `heartbeat of i-other, service "other", at agent-1: ${status}`)
  }
  await calls.sleep(2_000)
  require(await system.submit(jobId(2), JOB), 'the second job was not accepted')
  const state = await system.waitForState(jobId(2), ['completed'], WAIT_MS)
  const started = system.runnerLog.some(({ task }) => task.startsWith(jobId(2)))
  if (!started)
    return [
      `LOST: job ${jobId(2)} was accepted and nothing of it ran for ${WAIT_MS / 1_000} s, with its runner empty and sending heartbeats`,
    ]
  return state === 'completed' ? [] : [`LOST: job ${jobId(2)} is ${state}`]
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
