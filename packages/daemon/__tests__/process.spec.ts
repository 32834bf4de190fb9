import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import * as readline from 'node:readline'
import * as vitest from 'vitest'

const { describe, expect, test } = vitest

const temporaryFolder = fs.mkdtempSync(path.join(os.tmpdir(), 'ebonyweir-process-'))
const BIN = path.resolve(import.meta.dirname, '../dist/bin.js')
const COMMON_SETTINGS = 'cell = "c"\nname = "n"\nfailureDomain = "d"\n'
const FREE_HTTP_ADDRESS = 'httpAddress = "127.0.0.1:0"\n'
const UNREACHABLE_CONTROL = 'controlAddresses = ["127.0.0.1:1"]\n'

vitest.afterAll(() => {
  fs.rmSync(temporaryFolder, { recursive: true })
})

interface DaemonRun {
  readonly code: number
  readonly lines: readonly Readonly<Record<string, unknown>>[]
}

/** Runs the built daemon until it logs "started", then sends SIGTERM and collects its output. */
async function runUntilStarted(name: string, text: string): Promise<DaemonRun> {
  const file = path.join(temporaryFolder, `${name}.toml`)
  fs.writeFileSync(file, text)
  const child = childProcess.spawn(process.execPath, [BIN, '--settings', file])
  const exited = new Promise<number>((resolve) => child.once('exit', resolve))
  const lines: Readonly<Record<string, unknown>>[] = []
  for await (const line of readline.createInterface({ input: child.stdout })) {
    const fields = JSON.parse(line) as Readonly<Record<string, unknown>>
    lines.push(fields)
    if (fields.message === 'started') child.kill('SIGTERM')
  }
  return { code: await exited, lines }
}

async function findFreePort(): Promise<number> {
  const server = net.createServer()
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as net.AddressInfo
  await new Promise((resolve) => server.close(resolve))
  return port
}

const [grpcPort, httpPort] = [await findFreePort(), await findFreePort()]

describe('ebonyweird', () => {
  const cases: readonly (readonly [string, string, readonly string[]])[] = [
    [
      'control',
      `role = "control"\n${COMMON_SETTINGS}grpcAddress = "127.0.0.1:${grpcPort}"\nhttpAddress = "127.0.0.1:${httpPort}"\ndataFolder = "data"\nrack = "r"\n`,
      ['grpcAddress', 'httpAddress'],
    ],
    [
      'entry',
      `role = "entry"\n${COMMON_SETTINGS}${FREE_HTTP_ADDRESS}${UNREACHABLE_CONTROL}shutdownGraceMs = 0\n`,
      ['httpAddress'],
    ],
    [
      'agent',
      `role = "agent"\n${COMMON_SETTINGS}${FREE_HTTP_ADDRESS}${UNREACHABLE_CONTROL}grpcAddress = "127.0.0.1:0"\nworker = "w"\n`,
      ['grpcAddress', 'httpAddress'],
    ],
  ]

  // Guards against a role that does not start with its settings, or does not stop on SIGTERM.
  test.each(cases)(
    'starts the role %s, logs its addresses and stops',
    async (role, text, names) => {
      const { code, lines } = await runUntilStarted(role, text)
      const started = lines.find((line) => line.message === 'started')
      expect(started).toMatchObject({ role, cell: 'c', name: 'n', failureDomain: 'd' })
      for (const name of names) expect(started?.[name]).toMatch(/^127\.0\.0\.1:[1-9]\d*$/u)
      expect(lines.at(-1)).toMatchObject({ message: 'stopped', level: 'info' })
      expect(code).toBe(0)
    },
  )
})
