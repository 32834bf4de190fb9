import type * as protocol from '@ebonyweir/protocol'
import * as consensus from '@ebonyweir/consensus'
import * as vitest from 'vitest'

const { describe, expect, it } = vitest

const ELECTION_MIN_MS = 600
const STARTED_MS = 5_000
const TERM = 3

const members = ['a', 'b', 'c'].map((id) => ({
  id,
  address: id,
  httpAddress: id,
  voter: true,
  failureDomain: id,
}))

/** Replica that was restarted at `STARTED_MS` from a disk that holds the membership. */
const restart = (id: string, processStartMs?: number): consensus.State => {
  const config = consensus.resolveConfig({
    cell: 'c',
    id,
    electionTimeoutMinMs: ELECTION_MIN_MS,
    electionTimeoutMaxMs: 1_000,
    leaderLeaseMs: 550,
    startupTimeoutMinMs: 150,
    startupTimeoutMaxMs: 450,
  })
  const snapshot = { lastIndex: 4, lastTerm: TERM, membership: { members } }
  const disk = { snapshot, entries: [], hardState: { term: TERM, votedFor: undefined } }
  return consensus.createState(config, disk, STARTED_MS, 0.5, processStartMs)
}

const preVoteRequest = (from: string, to: string): protocol.replication.ReplicationEnvelope => ({
  cell: 'c',
  from,
  to,
  term: TERM + 1,
  fromAddress: from,
  body: {
    $case: 'voteRequest',
    value: { preVote: true, transfer: false, lastIndex: 4, lastTerm: TERM },
  },
})

const heartbeat = (from: string, to: string): protocol.replication.ReplicationEnvelope => ({
  cell: 'c',
  from,
  to,
  term: TERM,
  fromAddress: from,
  body: {
    $case: 'appendRequest',
    value: { previousIndex: 4, previousTerm: TERM, entries: [], commitIndex: 4, round: 1 },
  },
})

const sentKinds = ({ outputs }: consensus.StepResult): readonly string[] =>
  outputs.flatMap((output) => (output.kind === 'send' ? [output.envelope.body?.$case ?? ''] : []))

describe('votes of a restarted replica', () => {
  // The last promise to a leader was made before the process started; its lease is 550 ms.
  it.each([
    { what: 'no process start is known', processStartMs: undefined, atMs: 599, votes: false },
    { what: 'no process start is known', processStartMs: undefined, atMs: 600, votes: true },
    { what: 'the process took 400 ms to start', processStartMs: 4_600, atMs: 199, votes: false },
    { what: 'the process took 400 ms to start', processStartMs: 4_600, atMs: 200, votes: true },
    { what: 'the process took a second to start', processStartMs: 4_000, atMs: 0, votes: true },
  ])(
    'guards against a vote within the lease of an earlier leader: $what, $atMs ms later',
    ({ processStartMs, atMs, votes }) => {
      const envelope = preVoteRequest('b', 'a')
      const input = { kind: 'message', envelope } as const
      const result = consensus.step(restart('a', processStartMs), input, STARTED_MS + atMs)
      expect(sentKinds(result)).toEqual(votes ? ['voteReply'] : [])
    },
  )
})

describe('first election after a start', () => {
  it.each([
    { contact: false, atMs: 299, campaigns: false },
    { contact: false, atMs: 300, campaigns: true },
    { contact: true, atMs: 300, campaigns: false },
    { contact: true, atMs: 899, campaigns: false },
    { contact: true, atMs: 1_000, campaigns: true },
  ])(
    'guards against waiting for the timeout of a failed leader where none was heard: contact $contact, $atMs ms later',
    ({ contact, atMs, campaigns }) => {
      let state = restart('a')
      if (contact) {
        const input = { kind: 'message', envelope: heartbeat('b', 'a') } as const
        state = consensus.step(state, input, STARTED_MS + 100).state
      }
      const result = consensus.step(state, { kind: 'tick', jitter: 0.5 }, STARTED_MS + atMs)
      expect(sentKinds(result).includes('voteRequest')).toBe(campaigns)
    },
  )
})
