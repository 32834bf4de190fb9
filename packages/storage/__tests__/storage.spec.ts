import * as vitest from 'vitest'
import * as protocol from '@ebonyweir/protocol'
import * as storage from '@ebonyweir/storage'

const { describe, expect, test } = vitest

const entry = (index: number, term = 1): protocol.replication.LogEntry => ({
  term,
  index,
  kind: protocol.replication.EntryKind.COMMAND,
  payload: Buffer.from(`entry ${index} of term ${term}`),
})

const write = (...entries: protocol.replication.LogEntry[]): storage.LogWrite => ({
  hardState: { term: 1, votedFor: 'a' },
  truncateFrom: undefined,
  entries,
})

const open = (fileSystem: storage.FileSystem, maxSegmentBytes?: number) =>
  storage.openStorage({ folder: '/data', cell: 'test', fileSystem, maxSegmentBytes })

const indexes = (opened: storage.OpenedStorage) =>
  opened.recovered.entries.map((item) => item.index)

const meta = (lastIndex: number): storage.SnapshotMeta => ({
  lastIndex,
  lastTerm: 1,
  membership: { members: [] },
})

/** Creates a disk with entries 1 to 3, one sync each. */
const prepare = async (maxSegmentBytes?: number) => {
  const disk = new storage.FaultFileSystem()
  const opened = (await open(disk, maxSegmentBytes)).unwrap()
  for (const index of [1, 2, 3]) (await opened.storage.append([write(entry(index))])).unwrap()
  return { disk, opened }
}

const activeSegment = async (disk: storage.FaultFileSystem) => {
  const names = await disk.list('/data')
  return `/data/${names.filter((name) => name.endsWith('.seg')).at(-1) ?? ''}`
}

describe('a crash', () => {
  const tails: readonly (readonly [string, storage.UnsyncedBytes])[] = [
    ['nothing of the last write', { kind: 'lost' }],
    ['one byte of the last write', { kind: 'prefix', bytes: 1 }],
    ['a header without its payload', { kind: 'prefix', bytes: 20 }],
    ['all but the last part of the write', { kind: 'prefix', bytes: 40 }],
    ['the full length with zeros in front', { kind: 'zeroed', bytes: 30 }],
  ]

  // Guards against a torn tail that stops the replica or is replayed as an entry.
  test.each(tails)('that leaves %s keeps every synced entry', async (_name, unsynced) => {
    const { disk, opened } = await prepare()
    disk.faults.syncsUntilFailure = 0
    expect((await opened.storage.append([write(entry(4))])).isErr()).toBe(true)
    disk.faults.syncsUntilFailure = Number.POSITIVE_INFINITY
    disk.crash(unsynced)
    const again = (await open(disk)).unwrap()
    expect(indexes(again)).toEqual([1, 2, 3])
    expect(again.storage.id).toBe(opened.storage.id)
    expect(again.recovered.hardState).toEqual({ term: 1, votedFor: 'a' })
    ;(await again.storage.append([write(entry(4))])).unwrap()
    disk.crash()
    expect(indexes((await open(disk)).unwrap())).toEqual([1, 2, 3, 4])
  })

  // Guards against a recovered but unsynced record that is acknowledged and lost in the next crash.
  test('followed by another one keeps what the first recovery returned', async () => {
    const { disk, opened } = await prepare()
    disk.faults.syncsUntilFailure = 0
    await opened.storage.append([write(entry(4))])
    disk.faults.syncsUntilFailure = Number.POSITIVE_INFINITY
    const again = (await open(disk)).unwrap()
    expect(indexes(again)).toEqual([1, 2, 3, 4])
    disk.crash()
    expect(indexes((await open(disk)).unwrap())).toEqual([1, 2, 3, 4])
  })

  // Guards against replaying entries of a replaced tail.
  test('after a replaced tail keeps the replacement', async () => {
    const { disk, opened } = await prepare()
    const replaced = { ...write(entry(2, 2)), truncateFrom: 2 }
    ;(await opened.storage.append([replaced])).unwrap()
    disk.crash()
    const { entries } = (await open(disk)).unwrap().recovered
    expect(entries.map((item) => [item.index, item.term])).toEqual([
      [1, 1],
      [2, 2],
    ])
  })

  // Guards against a gap or a conflicting tail in the log after a received snapshot.
  test('after a snapshot that replaced the log does not restore the old tail', async () => {
    const { disk, opened } = await prepare()
    const snapshot = { ...meta(2), lastTerm: 9 }
    ;(await opened.storage.saveSnapshot(snapshot, Buffer.from('state'))).unwrap()
    disk.crash()
    const again = (await open(disk)).unwrap()
    expect(again.recovered.snapshot?.data.toString()).toBe('state')
    expect(indexes(again)).toEqual([])
    ;(await again.storage.append([write(entry(3, 9))])).unwrap()
    disk.crash()
    expect((await open(disk)).unwrap().recovered.entries.map((item) => item.term)).toEqual([9])
  })
})

describe('a damaged folder', () => {
  type Damage = (disk: storage.FaultFileSystem) => Promise<void>
  const damages: readonly (readonly [string, string, Damage])[] = [
    [
      'a flipped bit in an older segment',
      'damaged',
      async (disk) => {
        const names = await disk.list('/data')
        disk.damage(`/data/${names.filter((name) => name.endsWith('.seg'))[1] ?? ''}`, 60)
      },
    ],
    [
      'a newer log format',
      'newer-version',
      async (disk) => {
        disk.damage(await activeSegment(disk), 6)
      },
    ],
    [
      'a missing identity',
      'damaged',
      async (disk) => {
        await disk.remove('/data/identity.json')
      },
    ],
    [
      'a newer identity format',
      'newer-version',
      async (disk) => {
        await disk.remove('/data/identity.json')
        const file = await disk.open('/data/identity.json')
        await file.append([Buffer.from('{"formatVersion": 2, "id": "x", "cell": "test"}')])
      },
    ],
    [
      'a missing segment in the middle',
      'damaged',
      async (disk) => {
        const names = await disk.list('/data')
        await disk.remove(`/data/${names.filter((name) => name.endsWith('.seg'))[1] ?? ''}`)
      },
    ],
  ]

  // Guards against a replica that starts with fewer entries than it acknowledged.
  test.each(damages)('with %s is refused as %s', async (_name, kind, damage) => {
    const { disk, opened } = await prepare(1)
    await opened.storage.close()
    await damage(disk)
    const again = await open(disk)
    expect(again.isErr() && again.error.kind).toBe(kind)
    expect(again.isErr() && again.error.detail).toMatch(/\.seg|identity\.json/)
  })

  // Guards against treating damage in the last segment as a torn tail although intact records follow.
  test('with damage before an intact record of the last segment is refused', async () => {
    const { disk } = await prepare()
    disk.damage(await activeSegment(disk), 60)
    const again = await open(disk)
    expect(again.isErr() && again.error.kind).toBe('damaged')
  })

  // Guards against loading a snapshot whose bytes changed on disk.
  test('with a damaged snapshot is refused', async () => {
    const { disk, opened } = await prepare()
    ;(await opened.storage.saveSnapshot(meta(2), Buffer.from('state'))).unwrap()
    const name = (await disk.list('/data')).find((file) => file.endsWith('.snap')) ?? ''
    disk.damage(`/data/${name}`, 40)
    const again = await open(disk)
    expect(again.isErr() && again.error.kind).toBe('damaged')
  })
})

describe('space and syncs', () => {
  // Guards against a sync per entry for entries that arrive together.
  test('one sync covers many writes', async () => {
    const { disk, opened } = await prepare()
    const before = disk.syncCount
    const writes = Array.from({ length: 100 }, (_, offset) => write(entry(4 + offset)))
    ;(await opened.storage.append(writes)).unwrap()
    expect(disk.syncCount - before).toBe(1)
  })

  // Guards against a full disk that is reported as success.
  test('a full disk fails the append and keeps what was synced', async () => {
    const { disk, opened } = await prepare()
    disk.faults.freeBytes = 10
    const result = await opened.storage.append([write(entry(4))])
    expect(result.isErr() && result.error.detail).toContain('ENOSPC')
    disk.crash({ kind: 'kept' })
    disk.faults.freeBytes = Number.POSITIVE_INFINITY
    expect(indexes((await open(disk)).unwrap())).toEqual([1, 2, 3])
  })

  // Guards against unbounded growth of the folder and against losing the vote with the removed segments.
  test('a snapshot removes the log before it and keeps term and vote', async () => {
    const { disk, opened } = await prepare(1)
    ;(await opened.storage.saveSnapshot(meta(3), Buffer.from('state'))).unwrap()
    ;(await opened.storage.append([{ ...write(entry(4)), hardState: undefined }])).unwrap()
    const names = await disk.list('/data')
    expect(names.filter((name) => name.endsWith('.seg')).length).toBeLessThanOrEqual(2)
    disk.crash()
    const again = (await open(disk)).unwrap()
    expect(again.recovered.hardState).toEqual({ term: 1, votedFor: 'a' })
    expect(indexes(again)).toEqual([4])
  })
})
