import * as daemon from '@ebonyweir/daemon'
import * as telemetry from '@ebonyweir/telemetry/logger'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as stream from 'node:stream'
import * as results from 'ts-results-es'
import * as vitest from 'vitest'

const { afterEach, describe, expect, test } = vitest

const temporaryFolder = fs.mkdtempSync(path.join(os.tmpdir(), 'ebonyweir-daemon-'))

vitest.afterAll(() => {
  fs.rmSync(temporaryFolder, { recursive: true })
})

const ENTRY =
  'role = "entry"\ncell = "c"\nname = "n"\nfailureDomain = "d"\nhttpAddress = "127.0.0.1:0"\ncontrolAddresses = ["127.0.0.1:7000"]\n'

function writeSettings(name: string, text: string): string {
  const file = path.join(temporaryFolder, name)
  fs.writeFileSync(file, text)
  return file
}

function createSink() {
  const chunks: string[] = []
  const sink = new stream.Writable({
    write: (chunk: Buffer, _encoding, done) => {
      chunks.push(chunk.toString())
      done()
    },
  })
  return { sink, read: () => chunks.join('') }
}

interface Run {
  readonly exits: readonly number[]
  readonly stdout: string
  readonly stderr: string
  readonly signal: (name: 'SIGTERM' | 'SIGINT') => void
}

async function runDaemon(args: readonly string[], role?: daemon.Role): Promise<Run> {
  const exits: number[] = []
  const handlers = new Map<string, () => void>()
  const [stdout, stderr] = [createSink(), createSink()]
  await daemon.runDaemon({
    args,
    stdout: stdout.sink,
    stderr: stderr.sink,
    exit: (code) => exits.push(code),
    onSignal: (signal, handler) => handlers.set(signal, handler),
    ...(role && { loadRole: () => Promise.resolve(role) }),
  })
  return {
    exits,
    stdout: stdout.read(),
    stderr: stderr.read(),
    signal: (name) => handlers.get(name)?.(),
  }
}

describe('runDaemon', () => {
  const valid = writeSettings('valid.toml', ENTRY)
  const broken = writeSettings('broken.toml', ENTRY.replace('"c"', '"C"'))
  const cases: readonly (readonly [string, readonly string[], number, string])[] = [
    ['help', ['--help'], 0, 'Usage: ebonyweird'],
    ['a check of valid settings', ['--settings', valid, '--check'], 0, 'settings are valid'],
    ['no settings', [], 2, '--settings FILE is missing'],
    ['an unknown option', ['--setings', valid], 2, "Unknown option '--setings'"],
    [
      'settings with a mistake',
      ['--settings', broken],
      2,
      'broken.toml:2: cell: "C" is not a name',
    ],
    ['a file that is missing', ['--settings', '/nowhere.toml'], 2, '/nowhere.toml: cannot be read'],
  ]

  // Guards against a process that starts or hangs although the operator made a mistake.
  test.each(cases)('exits after %s', async (_name, args, code, output) => {
    const run = await runDaemon(args)
    expect(run.exits).toEqual([code])
    expect(run.stdout + run.stderr).toContain(output)
  })

  const addresses = { httpAddress: '127.0.0.1:8080' }

  // Guards against a missing "started" line or addresses, which scripts wait for.
  test('logs "started" with the addresses that the role listens on', async () => {
    const started = () => Promise.resolve(results.Ok(addresses))
    const run = await runDaemon(['--settings', valid], {
      start: started,
      stop: () => Promise.resolve(),
    })
    expect(run.exits).toEqual([])
    const line: unknown = JSON.parse(run.stdout)
    expect(line).toMatchObject({ message: 'started', role: 'entry', name: 'n', ...addresses })
  })

  // Guards against a process that stays alive without serving.
  test('exits when the role fails to start', async () => {
    const failed = { reason: 'address-in-use', detail: '127.0.0.1:8080' }
    const start = () => Promise.resolve(results.Err(failed))
    const run = await runDaemon(['--settings', valid], { start, stop: () => Promise.resolve() })
    expect(run.exits).toEqual([1])
    expect(run.stdout).toContain('address-in-use')
  })

  // Guards against a relative data folder that depends on the working directory of the process.
  test('resolves a relative data folder against the folder of the settings file', () => {
    const text = `role = "control"\ncell = "c"\nname = "n"\nfailureDomain = "d"\ngrpcAddress = "127.0.0.1:1"\nhttpAddress = "127.0.0.1:2"\ndataFolder = "data"\nrack = "r"\n`
    const resolved = daemon.readSettings(writeSettings('control.toml', text)).unwrap()
    expect(resolved).toMatchObject({ dataFolder: path.join(temporaryFolder, 'data') })
  })
})

describe('createShutdown', () => {
  let finish: (error?: Error) => void = () => undefined
  const exits: number[] = []
  afterEach(() => {
    exits.length = 0
  })

  const cases: readonly (readonly [
    string,
    readonly ('SIGTERM' | 'SIGINT')[],
    'finish' | 'fail' | 'hang',
    readonly number[],
  ])[] = [
    ['one signal, work finished', ['SIGTERM'], 'finish', [0]],
    ['one signal, work not finished', ['SIGTERM'], 'hang', []],
    ['one signal, stop failed', ['SIGINT'], 'fail', [1]],
    ['a second signal', ['SIGTERM', 'SIGINT'], 'hang', [130]],
    ['two SIGTERM', ['SIGTERM', 'SIGTERM'], 'hang', [143]],
  ]

  // Guards against a signal that interrupts work in progress, or a process that cannot be stopped.
  test.each(cases)('gives the right exit codes after %s', async (_name, signals, end, expected) => {
    const handle = daemon.createShutdown({
      logger: telemetry.createSilentLogger(),
      exit: (code) => exits.push(code),
      stop: () =>
        new Promise((resolve, reject) => {
          finish = (error) => {
            if (error) reject(error)
            else resolve()
          }
        }),
    })
    for (const signal of signals) handle(signal)
    if (end !== 'hang') finish(end === 'fail' ? new Error('no') : undefined)
    await new Promise(setImmediate)
    expect(exits).toEqual(expected)
  })
})
