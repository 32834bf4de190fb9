/** Executable: runs one bounded load against entries, prints its totals as JSON and exits. */
import * as fakeCaller from '../fakeCaller.js'
import * as commandLine from './flags.js'

const flags = commandLine.parseFlags(process.argv.slice(2))
const recorder = commandLine.createFlagRecorder(flags, flags.text('name', 'caller'))
const caller = fakeCaller.createFakeCaller({
  caller: flags.text('name', 'caller'),
  entries: flags.list('entries'),
  recorder,
  giveUpMs: flags.number('giveUpMs', 30_000),
})
commandLine.printReady({})
const method = flags.text('method', 'POST') as 'GET' | 'POST' | 'PUT'
const result = await caller.load({
  service: flags.text('service'),
  method,
  idempotent: flags.has('idempotent') ? flags.text('idempotent') !== 'false' : undefined,
  bodyBytes: flags.number('bodyBytes', 32),
  timeoutMs: flags.has('timeoutMs') ? flags.number('timeoutMs', 2000) : undefined,
  ratePerSecond: flags.number('ratePerSecond', 10),
  durationMs: flags.number('durationMs', 1000),
  keyed: flags.has('keyed'),
})
const { latenciesMs, ...counts } = result
const quantile = (q: number): number =>
  latenciesMs[Math.min(latenciesMs.length - 1, Math.floor(latenciesMs.length * q))] ?? 0
const summary = { ...counts, p50Ms: quantile(0.5), p99Ms: quantile(0.99), maxMs: quantile(1) }
process.stdout.write(`${JSON.stringify(summary)}\n`)
recorder.close()
await caller.close()
