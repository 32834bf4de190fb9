import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import * as readline from 'node:readline'
import * as vitest from 'vitest'

const { describe, expect, test } = vitest

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'ebonyweir-process-'))
const BIN = path.resolve(import.meta.dirname, '../dist/bin.js')
const COMMON = 'cell = "c"\nname = "n"\nfailureDomain = "d"\n'
const FREE = 'httpAddress = "127.0.0.1:0"\n'
const CONTROL = 'controlAddresses = ["127.0.0.1:1"]\n'

vitest.afterAll(() => {
  fs.rmSync(folder, { recursive: true })
})

interface Ended {
  readonly code: number
  readonly lines: readonly Readonly<Record<string, unknown>>[]
}

/** Runs the built daemon until it says "started", then sends SIGTERM and collects its output. */
async function runUntilStarted(name: string, text: string): Promise<Ended> {
  const file = path.join(folder, `${name}.toml`)
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
      `role = "control"\n${COMMON}grpcAddress = "127.0.0.1:${grpcPort}"\nhttpAddress = "127.0.0.1:${httpPort}"\ndataFolder = "data"\nrack = "r"\n`,
      ['grpcAddress', 'httpAddress'],
    ],
    ['entry', `role = "entry"\n${COMMON}${FREE}${CONTROL}shutdownGraceMs = 0\n`, ['httpAddress']],
    [
      'agent',
      `role = "agent"\n${COMMON}${FREE}${CONTROL}grpcAddress = "127.0.0.1:0"\nworker = "w"\n`,
      ['grpcAddress', 'httpAddress'],
    ],
  ]

  // Guards against a role that does not start from its settings, or does not end on SIGTERM.
  test.each(cases)(
    'starts the role %s, says where it serves and stops',
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
