import * as fs from 'node:fs'
import * as hdr from 'hdr-histogram-js'
import * as groups from './replicaGroup.js'

const print = (text: string): void => {
  process.stdout.write(`${text}\n`)
}

const payloadBytes = 200
const stateBytes = 8 * 1024 * 1024

/** Percentiles of latencies in microseconds, as milliseconds. */
const percentiles = (latenciesUs: readonly number[]): string => {
  const histogram = hdr.build({ lowestDiscernibleValue: 1, numberOfSignificantValueDigits: 3 })
  for (const latency of latenciesUs) histogram.recordValue(latency)
  const at = (percentile: number) => (histogram.getValueAtPercentile(percentile) / 1_000).toFixed(2)
  return `p50 ${at(50)} p90 ${at(90)} p99 ${at(99)} p99.9 ${at(99.9)} max ${at(100)} ms`
}

const writtenBytes = (pid: number): number => {
  const text = fs.readFileSync(`/proc/${pid}/io`, 'utf8')
  return Number(/^wchar: (\d+)/m.exec(text)?.[1] ?? 0)
}

const cpuOf = async (group: groups.ReplicaGroup): Promise<number> => {
  let total = 0
  for (const child of group.children) {
    total += (await groups.ask(child, { kind: 'status' }, 'status')).cpuMs
  }
  return total
}

const bytesOf = (group: groups.ReplicaGroup): number =>
  group.children.reduce((sum, child) => sum + writtenBytes(child.pid), 0)

/** Throughput, latency, bytes and processor time at several numbers of submitters, interleaved over rounds. */
const measureLoad = async (rounds: number): Promise<void> => {
  const group = await groups.startGroup(stateBytes)
  for (let round = 1; round <= rounds; round += 1) {
    for (const submitters of [1, 8, 64, 512]) {
      const leader = await group.leader()
      const cpuBefore = await cpuOf(group)
      const bytesBefore = bytesOf(group)
      const request = { kind: 'load' as const, submitters, durationMs: 3_000, payloadBytes }
      const result = await groups.ask(leader, request, 'loaded')
      const perSecond = (result.committed / result.elapsedMs) * 1_000
      const cpuUs = (((await cpuOf(group)) - cpuBefore) * 1_000) / result.committed
      const bytes = (bytesOf(group) - bytesBefore) / result.committed
      print(
        `round ${round}, ${submitters} submitters: ${perSecond.toFixed(0)} commits/s, ${percentiles(result.latenciesUs)}, ` +
          `${cpuUs.toFixed(0)} us processor and ${bytes.toFixed(0)} bytes written (disk and network) a commit in all three, ` +
          `${result.failed} failed, longest snapshot copy ${result.snapshotMs.toFixed(1)} ms`,
      )
    }
  }
  await group.stop()
}

/** Restart time after growing numbers of commits. */
const measureRestart = async (): Promise<void> => {
  const group = await groups.startGroup(0)
  let commits = 0
  for (const target of [300, 3_000, 9_000, 30_000, 100_000]) {
    while (commits < target) {
      const leader = await group.leader()
      const submitters = Math.min(256, target - commits)
      const durationMs = submitters < 256 ? 50 : 500
      const request = { kind: 'load' as const, submitters, durationMs, payloadBytes }
      commits += (await groups.ask(leader, request, 'loaded')).committed
    }
    const leader = await group.leader()
    const follower = group.children.find((child) => child !== leader)
    if (follower === undefined) throw new Error('no follower')
    await group.kill(follower)
    const restarted = await group.restart(follower)
    print(
      `restart after ${commits} commits: folder opened in ${restarted.ready.openMs.toFixed(0)} ms, ` +
        `process ready in ${restarted.startMs.toFixed(0)} ms`,
    )
  }
  await group.stop()
}

const firstCommit = async (group: groups.ReplicaGroup): Promise<void> => {
  for (;;) {
    const leader = await group.leader()
    const { ok } = await groups.ask(leader, { kind: 'propose' }, 'proposed')
    if (ok) return
  }
}

/** Time from the leader's death by SIGKILL to the next committed command. */
const measureFailover = async (kills: number): Promise<void> => {
  const group = await groups.startGroup(0)
  const timesUs: number[] = []
  for (let count = 0; count < kills; count += 1) {
    await firstCommit(group)
    const leader = await group.leader()
    const killedMs = performance.now()
    await group.kill(leader)
    await firstCommit(group)
    timesUs.push(Math.round((performance.now() - killedMs) * 1_000))
    await group.restart(leader)
    // The next kill must not meet a replica that still refuses to vote after its own restart.
    await new Promise((resolve) => setTimeout(resolve, 1_200))
  }
  print(`leader killed to next commit, ${kills} kills: ${percentiles(timesUs)}`)
  await group.stop()
}

const parts = process.argv.slice(2)
const wants = (part: string) => parts.length === 0 || parts.includes(part)

if (wants('load')) await measureLoad(3)
if (wants('restart')) await measureRestart()
if (wants('failover')) await measureFailover(30)
