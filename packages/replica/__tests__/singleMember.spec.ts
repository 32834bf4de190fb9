import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as vitest from 'vitest'
import * as replica from '@ebonyweir/replica'

const { afterEach, expect, test } = vitest

const folders: string[] = []

afterEach(() => {
  for (const folder of folders.splice(0)) fs.rmSync(folder, { recursive: true, force: true })
})

// Guards against a group of one member that never elects itself or loses the outcome of `apply`.
test('a single member commits and returns the outcome of apply', async () => {
  const dataFolder = fs.mkdtempSync(path.join(os.tmpdir(), 'ebonyweir-replica-'))
  folders.push(dataFolder)
  const applied: string[] = []
  const created = await replica.createReplica<number>({
    cell: 'test',
    dataFolder,
    stateMachine: {
      apply: (entry) => applied.push(Buffer.from(entry.payload).toString()),
      snapshot: () => Buffer.from(JSON.stringify(applied)),
      restore: (bytes) => {
        const restored = JSON.parse(Buffer.from(bytes).toString()) as string[]
        applied.splice(0, applied.length, ...restored)
      },
    },
    transport: { send: () => undefined },
    onFatal: (error) => expect.fail(error.detail),
  })
  const single = created.unwrap()
  single.start()
  const member = {
    id: single.id,
    address: '127.0.0.1:1',
    httpAddress: '127.0.0.1:2',
    voter: true,
    failureDomain: 'rennes',
  }
  expect((await single.bootstrap([member])).isOk()).toBe(true)
  await vitest.vi.waitUntil(() => single.leadership().leaseValid, { timeout: 20_000 })
  expect((await single.propose(Buffer.from('a'))).unwrap().outcome).toBe(1)
  expect((await single.propose(Buffer.from('b'))).unwrap().outcome).toBe(2)
  expect((await single.bootstrap([member])).isErr()).toBe(true)
  await single.stop()
  expect(applied).toEqual(['a', 'b'])
})
