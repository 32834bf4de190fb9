import type * as replica from '@ebonyweir/replica'
import * as vitest from 'vitest'
import * as commitStallMonitor from '../src/commitStallMonitor.js'

const { describe, expect, it } = vitest

const memberAt = (name: string, acknowledgedIndex: number | undefined): replica.MemberStatus => ({
  id: name,
  address: name,
  httpAddress: '',
  voter: true,
  failureDomain: name,
  acknowledgedIndex,
  lastContactMs: 20,
  inFlightBytes: 600_000,
  resets: 2,
  refused: false,
})

/** Status of a leader that has synced up to `synced`. */
const statusOf = (commitIndex: number, synced: number): replica.MembersStatus => ({
  members: [memberAt('a', synced), memberAt('b', commitIndex)],
  commitIndex,
  repaired: false,
  reason: '',
})

describe('commit stall monitor', () => {
  const cases: readonly {
    readonly name: string
    readonly isLeader: boolean
    readonly commitPerS: number
    readonly waiting: number
    readonly lines: number
  }[] = [
    { name: 'an idle leader', isLeader: true, commitPerS: 0, waiting: 0, lines: 0 },
    { name: 'a leader that commits', isLeader: true, commitPerS: 10, waiting: 5, lines: 0 },
    {
      name: 'a leader whose commits are stalled',
      isLeader: true,
      commitPerS: 0,
      waiting: 5,
      lines: 2,
    },
    { name: 'a follower', isLeader: false, commitPerS: 0, waiting: 5, lines: 0 },
  ]

  it.each(cases)(
    'guards against a commit stall without a log line: $name',
    ({ isLeader, commitPerS, waiting, lines }) => {
      let nowMs = 0
      const logged: unknown[] = []
      const discard = (): void => undefined
      const monitor = commitStallMonitor.createCommitStallMonitor({
        nowMs: () => nowMs,
        logger: {
          debug: discard,
          info: discard,
          error: discard,
          warn: (message, fields) => logged.push({ message, ...fields }),
        },
      })
      for (; nowMs <= 2_500; nowMs += 50) {
        const commitIndex = 100 + Math.floor((nowMs / 1_000) * commitPerS)
        monitor.check(isLeader, statusOf(commitIndex, commitIndex + waiting))
      }
      expect(logged).toHaveLength(lines)
      if (lines > 0) {
        expect(monitor.stalledMs()).toBeGreaterThanOrEqual(2_400)
        expect(logged[0]).toMatchObject({
          message: 'commits stand still',
          commitIndex: 100,
          members: [{}, { address: 'b', inFlightBytes: 600_000, resets: 2 }],
        })
      }
    },
  )
})
