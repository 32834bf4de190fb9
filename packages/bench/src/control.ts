import * as fs from 'node:fs'
import * as hdr from 'hdr-histogram-js'
import * as groups from './replicaGroup.js'

const print = (text: string): void => {
  process.stdout.write(`${text}\n`)
}

const payloadBytes = 200
const stateBytes = 8 * 1024 * 1024

/** Formats percentiles of latencies in milliseconds. */
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

const totalCpuMs = async (group: groups.ReplicaGroup): Promise<number> => {
  let total = 0
  for (const child of group.children) {
    total += (await groups.ask(child, { kind: 'status' }, 'status')).cpuMs
  }
  return total
}

const totalWrittenBytes = (group: groups.ReplicaGroup): number =>
  group.children.reduce((sum, child) => sum + writtenBytes(child.pid), 0)

/** Measures throughput, latency, bytes and CPU time at several numbers of submitters, interleaved over rounds. */
const measureLoad = async (rounds: number): Promise<void> => {
  const group = await groups.startGroup(stateBytes)
  for (let round = 1; round <= rounds; round += 1) {
    for (const submitters of [1, 8, 64, 512]) {
      const leader = await group.leader()
      const cpuBefore = await totalCpuMs(group)
      const bytesBefore = totalWrittenBytes(group)
      const request = { kind: 'load' as const, submitters, durationMs: 3_000, payloadBytes }
      const result = await groups.ask(leader, request, 'loaded')
      const perSecond = (result.committed / result.elapsedMs) * 1_000
      const cpuUs = (((await totalCpuMs(group)) - cpuBefore) * 1_000) / result.committed
      const bytes = (totalWrittenBytes(group) - bytesBefore) / result.committed
      print(
        `round ${round}, ${submitters} submitters: ${perSecond.toFixed(0)} commits/s, ${percentiles(result.latenciesUs)}, ` +
          `${cpuUs.toFixed(0)} us CPU time and ${bytes.toFixed(0)} bytes written (disk and network) per commit in all three replicas, ` +
          `${result.failed} failed, longest snapshot copy ${result.snapshotMs.toFixed(1)} ms`,
      )
    }
  }
  await group.stop()
}

/** Measures the restart time after increasing numbers of commits. */
const measureRestart = async (): Promise<void> => {
  const group = await groups.startGroup(0)
  let commits = 0
  for (const target of [300, 3_000, 9_000, 30_000, 100_000]) {
    while (commits < target) {
      const leader = await group.leader()
      // A single submitter does not overshoot a small target by much.
      const submitters = target > 10_000 ? 256 : 1
      const durationMs = Math.min(500, (target - commits) / 4)
      const request = { kind: 'load' as const, submitters, durationMs, payloadBytes }
      commits += (await groups.ask(leader, request, 'loaded')).committed
    }
    const leader = await group.leader()
    const follower = group.children.find((child) => child !== leader)
    if (follower === undefined) throw new Error('replica group has no follower to restart')
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

/** Measures the time from a SIGKILL of the leader to the next committed command. */
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
    // A restarted replica refuses to vote for a while, which would delay the next failover.
    await new Promise((resolve) => setTimeout(resolve, 1_200))
  }
  print(`time from leader kill to next commit, ${kills} kills: ${percentiles(timesUs)}`)
  await group.stop()
}

const selectedParts = process.argv.slice(2)
const isSelected = (part: string) => selectedParts.length === 0 || selectedParts.includes(part)

if (isSelected('load')) await measureLoad(3)
if (isSelected('restart')) await measureRestart()
if (isSelected('failover')) await measureFailover(30)
