import * as http from 'node:http'
import * as vitest from 'vitest'
import * as standIns from '@ebonyweir/stand-ins'
import type * as protocol from '@ebonyweir/protocol'

const { describe, expect, test } = vitest

type Reply = Partial<protocol.workerApi.WorkerSyncReply> & { readonly delayMs?: number }

const start = (task: string, attempt: number, overrides: object = {}) => ({
  task,
  attempt,
  kind: 'fitting-plan',
  service: '',
  cpuMillis: 1000,
  memoryMb: 100,
  accelerators: 0,
  checkpoint: '',
  command: 'run=60000',
  ...overrides,
})

/** Starts a leader that answers the n-th sync with the n-th reply and does not answer further syncs. */
const openLeader = async (replies: readonly Reply[]) => {
  const syncs: protocol.workerApi.WorkerSyncRequest[] = []
  const server = http.createServer((request, response) => {
    void standIns.json.readBody(request).then((body) => {
      const sync = JSON.parse(String(body)) as protocol.workerApi.WorkerSyncRequest
      const reply = replies[syncs.length]
      syncs.push(sync)
      if (reply === undefined) return
      const { delayMs, ...fields } = reply
      const full = {
        sequence: sync.sequence,
        epoch: 1,
        leaseMs: 1500,
        startValidMs: 800,
        nextSyncMs: 50,
        start: [],
        stop: [],
        checkpoint: [],
        throttle: [],
        ackEnded: [],
        ...fields,
      }
      setTimeout(() => {
        standIns.json.sendJson(response, 200, full)
      }, delayMs ?? 0)
    })
  })
  const port = await standIns.json.listen(server, 0)
  const close = () => {
    server.close()
    server.closeAllConnections()
  }
  return { address: `127.0.0.1:${port}`, syncs, close }
}

interface Case {
  readonly name: string
  readonly replies: readonly Reply[]
  readonly guardsOff?: readonly standIns.fakeWorker.WorkerGuard[]
  /** Expected observations in order, as "kind task attempt outcome-or-reason". */
  readonly expected: readonly string[]
}

const cases: readonly Case[] = [
  {
    name: 'a repeated start',
    replies: [{ start: [start('t', 1)] }, { start: [start('t', 1)] }],
    expected: ['taskStarted t 1', 'leaseEnded', 'taskStopped t 1 evicted'],
  },
  {
    name: 'a reply older than the start validity',
    replies: [{ start: [start('t', 1)], delayMs: 1000 }],
    expected: ['replyIgnored older than the start validity'],
  },
  {
    name: 'a reply older than the start validity, with the guard off',
    replies: [{ start: [start('t', 1)], delayMs: 1000 }],
    guardsOff: ['startValidity'],
    expected: ['taskStarted t 1', 'leaseEnded', 'taskStopped t 1 evicted'],
  },
  {
    name: 'a reply from an earlier leader',
    replies: [{ epoch: 5 }, { epoch: 4, start: [start('t', 1)] }],
    expected: ['replyIgnored older epoch'],
  },
  {
    name: 'a stop that arrives before the start',
    replies: [{ stop: [{ task: 't', attempt: 1 }] }, { start: [start('t', 1)] }],
    expected: [],
  },
  {
    name: 'a checkpoint that is acknowledged later, and a newer attempt',
    replies: [
      { start: [start('t', 1, { checkpoint: 'cp:t:0:7' })] },
      { checkpoint: [{ task: 't', attempt: 1 }] },
      { start: [start('t', 1)] },
      { ackEnded: [{ task: 't', attempt: 1 }], start: [start('t', 2, { command: 'fail' })] },
    ],
    expected: [
      'taskStarted t 1',
      'taskStopped t 1 evicted',
      'endAcknowledged t 1',
      'taskStarted t 2',
      'taskStopped t 2 failed',
    ],
  },
]

const describeObservation = (observation: standIns.record.Observation): readonly string[] => {
  if (observation.kind === 'leaseEnded') return ['leaseEnded']
  if (observation.kind === 'replyIgnored') return [`replyIgnored ${observation.reason}`]
  if (observation.kind === 'taskStarted')
    return [`taskStarted ${observation.task} ${observation.attempt}`]
  if (observation.kind === 'endAcknowledged')
    return [`endAcknowledged ${observation.task} ${observation.attempt}`]
  if (observation.kind === 'taskStopped')
    return [`taskStopped ${observation.task} ${observation.attempt} ${observation.outcome}`]
  return []
}

describe('fake worker', () => {
  // Guards against a fake worker that violates the worker protocol or hides a fault from the tests.
  test.each(cases)('$name', async ({ replies, guardsOff, expected }) => {
    const leader = await openLeader(replies)
    const observations: standIns.record.Observation[] = []
    const worker = standIns.fakeWorker.createFakeWorker({
      cell: 'test',
      worker: 'w1',
      failureDomain: 'a',
      rack: 'r',
      controlAddresses: [leader.address],
      capacity: { cpuMillis: 4000, memoryMb: 1000, accelerators: 0 },
      recorder: { record: (observation) => observations.push(observation), close: () => undefined },
      guardsOff,
      syncTimeoutMs: 2500,
      tickMs: 20,
    })
    await standIns.waiting.waitFor('all replies', () => leader.syncs.length > replies.length)
    await standIns.waiting.waitFor('the lease to end', () => worker.status().leaseLeftMs < -100)
    expect(observations.flatMap(describeObservation)).toEqual(expected)
    worker.close()
    leader.close()
  })
})
