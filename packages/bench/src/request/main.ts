/** `npm run bench:request`: latency added by entry and agent, requests per second and core, use of an idle agent. */
import * as path from 'node:path'
import * as util from 'node:util'
import * as load from './load.js'
import * as processStats from './processStats.js'
import * as benchSystem from './system.js'

const { values } = util.parseArgs({
  options: {
    rounds: { type: 'string', default: '5' },
    seconds: { type: 'string', default: '4' },
    rate: { type: 'string', default: '200' },
    idleSeconds: { type: 'string', default: '20' },
    nodeFlags: { type: 'string', default: '' },
  },
})
const rounds = Number(values.rounds)
const durationMs = Number(values.seconds) * 1_000
const rate = Number(values.rate)
const CONCURRENCY = 32

const print = (line: string): void => {
  process.stdout.write(`${line}\n`)
}

const pause = async (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms)
  })

const spreadOf = (numbers: readonly number[], digits: number): string => {
  const sorted = [...numbers].sort((a, b) => a - b)
  const median = sorted[Math.floor(sorted.length / 2)] ?? NaN
  const text = (value: number | undefined): string => (value ?? NaN).toFixed(digits)
  return `${text(median)} (${text(sorted[0])} to ${text(sorted.at(-1))})`
}

const waitUntilServing = async (send: load.Send): Promise<void> => {
  for (let tries = 0; tries < 300; tries++) {
    if ((await send().catch(() => 0)) === 200) return
    await pause(100)
  }
  throw new Error('no successful response through the entry after 300 tries')
}

const measureIdle = async (pid: number, seconds: number): Promise<string> => {
  const before = processStats.readCpuSeconds(pid)
  await pause(seconds * 1_000)
  const used = processStats.readCpuSeconds(pid) - before
  const { residentMb, anonymousMb } = processStats.readMemory(pid)
  const memory = `resident ${residentMb.toFixed(1)} MB, anonymous ${anonymousMb.toFixed(1)} MB`
  return `${memory}, CPU ${((100 * used) / seconds).toFixed(2)} % of a core`
}

const repository = path.resolve(import.meta.dirname, '../../../..')
const nodeFlags = values.nodeFlags.split(' ').filter((flag) => flag !== '')
const system = await benchSystem.startBenchSystem(repository, nodeFlags)
const direct = load.openTarget(system.endpointAddress, '/x')
const routed = load.openTarget(system.entryAddress, '/services/bench/x')
try {
  await waitUntilServing(routed.send)
  print(`idle agent: ${await measureIdle(system.agentPid, Number(values.idleSeconds))}`)
  await load.measureThroughput(direct.send, CONCURRENCY, 1_000)
  await load.measureThroughput(routed.send, CONCURRENCY, 2_000)

  const addedMs: Record<'p50Ms' | 'p99Ms' | 'p999Ms', number[]> = {
    p50Ms: [],
    p99Ms: [],
    p999Ms: [],
  }
  let failed = 0
  for (let round = 0; round < rounds; round++) {
    const sends = [direct.send, routed.send]
    const [directLatencies, routedLatencies] = await load.measureLatencies(
      sends,
      2 * rate,
      durationMs,
    )
    if (directLatencies === undefined || routedLatencies === undefined) continue
    failed += routedLatencies.failed
    for (const name of ['p50Ms', 'p99Ms', 'p999Ms'] as const) {
      addedMs[name].push(routedLatencies[name] - directLatencies[name])
      print(
        `round ${round} ${name}: direct ${directLatencies[name].toFixed(3)}, through entry and agent ${routedLatencies[name].toFixed(3)}`,
      )
    }
  }
  for (const name of ['p50Ms', 'p99Ms', 'p999Ms'] as const) {
    print(`added ${name} at ${rate}/s: ${spreadOf(addedMs[name], 3)}`)
  }
  print(`failed: ${failed}`)

  const perCore: Record<'entry' | 'agent', number[]> = { entry: [], agent: [] }
  const perSecond: number[] = []
  for (let round = 0; round < rounds; round++) {
    const before = [system.entryPid, system.agentPid].map(processStats.readCpuSeconds)
    const throughput = await load.measureThroughput(routed.send, CONCURRENCY, durationMs)
    const after = [system.entryPid, system.agentPid].map(processStats.readCpuSeconds)
    const used = after.map((seconds, i) => seconds - (before[i] ?? 0))
    const answered = (throughput * durationMs) / 1_000
    perSecond.push(throughput)
    perCore.entry.push(answered / (used[0] ?? NaN))
    perCore.agent.push(answered / (used[1] ?? NaN))
  }
  print(`requests per second through entry and agent: ${spreadOf(perSecond, 0)}`)
  print(`requests per second and core of the entry: ${spreadOf(perCore.entry, 0)}`)
  print(`requests per second and core of the agent: ${spreadOf(perCore.agent, 0)}`)
  print(`agent after load: ${await measureIdle(system.agentPid, 5)}`)
  print(`entry after load: ${await measureIdle(system.entryPid, 5)}`)
} finally {
  await Promise.all([direct.close(), routed.close()])
  await system.stop()
}
