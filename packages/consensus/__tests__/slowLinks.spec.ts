import * as vitest from 'vitest'
import * as slowLinks from './slowLinks.js'

const { describe, expect, it } = vitest

const IDS = ['a', 'b', 'c', 'd', 'e']
const PEER_COUNT = IDS.length - 1

/** 200 Mbit/s, with the message timeout of the transport. */
const LINKS: slowLinks.Links = { bytesPerMs: 25_000, latencyMs: 1.4, timeoutMs: 800 }

const startGroup = (links: slowLinks.Links) => {
  const group = slowLinks.createSlowGroup(IDS, links)
  group.runUntil(3_000)
  expect(group.leader()).toBeDefined()
  return group
}

describe('replication over slow links', () => {
  const cases: readonly {
    readonly name: string
    readonly links?: Partial<slowLinks.Links>
    readonly entries: number
    readonly entryBytes: number
  }[] = [
    { name: 'one large entry', entries: 1, entryBytes: 600_000 },
    { name: 'several large entries', entries: 6, entryBytes: 600_000 },
    { name: 'many small entries', entries: 2_000, entryBytes: 1_500 },
    {
      name: 'a large entry on a slower link',
      links: { bytesPerMs: 5_000 },
      entries: 1,
      entryBytes: 600_000,
    },
  ]

  it.each(cases)(
    'does not resend entries that are still in flight: $name',
    ({ links, entries, entryBytes }) => {
      const group = startGroup({ ...LINKS, ...links })
      const before = group.sentBytes()
      group.propose(Array.from({ length: entries }, () => Buffer.alloc(entryBytes)))
      group.runUntil(group.nowMs() + 4_000)
      expect(group.isFullyCommitted()).toBe(true)
      expect(
        (group.sentBytes() - before) / (PEER_COUNT * entries * entryBytes),
      ).toBeLessThanOrEqual(1)
    },
  )

  it('commits small entries that are queued behind large ones', () => {
    const group = startGroup(LINKS)
    for (let round = 0; round < 300; round += 1) {
      const isLarge = round % 50 === 0
      group.propose([Buffer.alloc(isLarge ? 600_000 : 2_000)])
      group.runUntil(group.nowMs() + 10)
    }
    group.runUntil(group.nowMs() + 2_000)
    expect(group.isFullyCommitted()).toBe(true)
  })

  it('resends lost entries', () => {
    const group = startGroup(LINKS)
    const leader = group.leader()?.config.id ?? ''
    const lagging = IDS.find((id) => id !== leader) ?? ''
    group.dropMessages(leader, lagging)
    for (let round = 0; round < 10; round += 1) {
      group.propose([Buffer.alloc(100_000)])
      group.runUntil(group.nowMs() + 30)
    }
    expect(group.isFullyCommitted()).toBe(false)
    group.restoreLinks()
    group.runUntil(group.nowMs() + 2_500)
    expect(group.leader()?.config.id).toBe(leader)
    expect(group.isFullyCommitted()).toBe(true)
  })
})
