import * as vitest from 'vitest'
import * as protocol from '@ebonyweir/protocol'
import type * as controlState from '../src/index.js'
import * as support from './support.js'

const { describe, expect, test } = vitest
const { TaskOutcome } = protocol.command

type Log = ReturnType<typeof support.createLog>

describe('assignment', () => {
  const cases: readonly (readonly [
    string,
    (log: Log) => controlState.AssignRefusal | undefined,
    controlState.AssignRefusal | undefined,
  ])[] = [
    ['a free worker', (log) => log.assign('j/0', 'w'), undefined],
    ['an unknown worker', (log) => log.assign('j/0', 'x'), 'unknown worker'],
    ['an unknown task', (log) => log.assign('j/9', 'w'), 'unknown task'],
    ['a later attempt', (log) => log.assign('j/0', 'w', 2), 'stale attempt'],
    ['an older incarnation', (log) => log.assign('j/0', 'w', 1, 0), 'stale worker incarnation'],
    [
      'an assigned task',
      (log) => (log.assign('j/0', 'w'), log.assign('j/0', 'w')),
      'task is not waiting',
    ],
    [
      'a full worker',
      (log) => (
        log.submit('big', { resources: { cpuMillis: 4001, memoryMb: 1, accelerators: 0 } }),
        log.assign('big/0', 'w')
      ),
      'capacity',
    ],
    [
      'too little memory',
      (log) => (
        log.submit('big', { resources: { cpuMillis: 1, memoryMb: 8001, accelerators: 0 } }),
        log.assign('big/0', 'w')
      ),
      'capacity',
    ],
    [
      'too few accelerators',
      (log) => (
        log.submit('big', { resources: { cpuMillis: 1, memoryMb: 1, accelerators: 2 } }),
        log.assign('big/0', 'w')
      ),
      'capacity',
    ],
    [
      'a failure domain that is out',
      (log) => (log.rules(0, { out: ['brest'] }), log.assign('j/0', 'w')),
      'failure domain is out',
    ],
    [
      'a placement rule',
      (log) => (log.rules(0, { fitting: ['rennes'] }), log.assign('j/0', 'w')),
      'placement rule',
    ],
    [
      'a used up quota',
      (log) => (
        log.rules(0, { teams: { workshop: 1500 } }),
        log.assign('j/0', 'w'),
        log.assign('j/1', 'w')
      ),
      'team quota',
    ],
    [
      'a team without a rule',
      (log) => (log.rules(0, { teams: { wards: 1500 } }), log.assign('j/0', 'w')),
      'team has no rule',
    ],
    [
      'a cancelled job',
      (log) => (
        log.run({ $case: 'cancelJobs', value: { jobs: ['j'], operator: '' } }),
        log.assign('j/0', 'w')
      ),
      'task is not waiting',
    ],
    [
      'a runner of a service',
      (log) => (log.rules(0, { services: { desk: 1 } }), log.assign('service/desk/0', 'w')),
      undefined,
    ],
    [
      'one runner too many',
      (log) => (
        log.rules(0, { services: { desk: 1 } }),
        log.assign('service/desk/0', 'w'),
        log.assign('service/desk/1', 'w')
      ),
      'enough runners',
    ],
  ]

  // Guards against an assignment that bypasses a capacity, fencing or rule check.
  test.each(cases)('is accepted or refused as expected: %s', (_name, act, refusal) => {
    const log = support.createLog()
    log.worker('w')
    log.submit('j', { tasks: 5 })
    expect(act(log)).toBe(refusal)
  })
})

describe('end of an attempt', () => {
  const cases: readonly (readonly [string, protocol.command.TaskOutcome, number, string])[] = [
    ['evicted', TaskOutcome.EVICTED, 2, 'cp'],
    ['lost', TaskOutcome.LOST, 2, 'cp'],
    ['failed', TaskOutcome.FAILED, 2, 'cp'],
    ['cancelled before it ran', TaskOutcome.CANCELLED, 2, 'cp'],
  ]

  // Guards against a task that runs twice because the same attempt ended twice.
  test.each(cases)(
    '%s: creates exactly one next attempt, with the checkpoint',
    (_name, outcome, attempt, cp) => {
      const log = support.createLog()
      log.worker('w')
      log.submit('j')
      log.assign('j/0', 'w')
      expect(log.end('j/0', 1, outcome, cp)).toBe('ended')
      expect(log.end('j/0', 1, outcome, 'other')).toBe('stale')
      expect(log.state.view.task('j/0')).toMatchObject({ attempt, checkpoint: cp, worker: '' })
      expect(log.assign('j/0', 'w', 1)).toBe('stale attempt')
      expect(log.assign('j/0', 'w', attempt)).toBeUndefined()
      expect(log.end('j/0', 1, TaskOutcome.COMPLETED)).toBe('stale')
      expect(log.end('j/0', attempt, TaskOutcome.COMPLETED)).toBe('ended')
      expect(log.state.view.job('j')?.state).toBe('completed')
      expect(log.assign('j/0', 'w', attempt + 1)).toBe('task is not waiting')
    },
  )

  // Guards against attempts of an older incarnation that keep capacity committed or stay assigned.
  test('a newer incarnation of the worker ends its old attempts and frees their capacity', () => {
    const log = support.createLog()
    log.worker('w')
    log.submit('j')
    log.assign('j/0', 'w')
    expect(log.worker('w', { incarnation: 2 })).toEqual({
      kind: 'workerRegistered',
      lost: [{ task: 'j/0', attempt: 1 }],
    })
    expect(log.worker('w', { incarnation: 1 }).kind).toBe('refused')
    expect(log.state.view.worker('w')?.free.cpuMillis).toBe(4000)
    expect(log.assign('j/0', 'w', 2, 2)).toBeUndefined()
  })
})

describe('a resend after 400 rule changes and a restore', () => {
  // Guards against applying a change again when it is resent after a lost reply.
  test('gets the original outcome', () => {
    const first = support.createLog()
    first.rules(0, { out: ['a'] }, 'Maëlle Kerjean')
    first.submit('j')
    for (let revision = 1; revision < 400; revision += 1)
      first.rules(revision, { out: [`d${revision}`] })
    const log = first.restart()
    expect(log.rules(0, { out: ['a'] }, 'Maëlle Kerjean')).toEqual({
      kind: 'rulesAccepted',
      revision: 1,
      resent: true,
    })
    expect(log.rules(0, { out: ['b'] })).toEqual({
      kind: 'rulesConflict',
      revision: 1,
      operator: 'Maëlle Kerjean',
    })
    expect(log.submit('j')).toMatchObject({ kind: 'jobAccepted', resent: true })
    expect(log.submit('j', { tasks: 2 }).kind).toBe('jobConflict')
    expect(log.state.view.revision()).toBe(400)
  })
})

describe('teams', () => {
  // Guards against a table that grows with every team name ever submitted.
  test('are deleted when their last task has ended', () => {
    const log = support.createLog()
    log.worker('w')
    for (const team of ['a', 'b', 'c']) log.submit(`j-${team}`, { team })
    log.assign('j-a/0', 'w')
    log.assign('j-b/0', 'w')
    log.end('j-a/0', 1, TaskOutcome.COMPLETED)
    log.run({ $case: 'cancelJobs', value: { jobs: ['j-b', 'j-c'], operator: '' } })
    expect([...log.state.view.teams().keys()]).toEqual(['b'])
    log.end('j-b/0', 1, TaskOutcome.CANCELLED)
    expect([...log.state.view.teams().keys()]).toEqual([])
  })
})

describe('claims', () => {
  const { ClaimState } = protocol.control
  const { ClaimOutcome } = protocol.command
  const key = { service: 's', caller: 'c', key: 'k' }
  const agent = { agent: 'a', agentAddress: '127.0.0.1:1', agentIncarnation: 1 }
  const claim = (log: Log, requestId: string, digest = 'd') => {
    const value = { ...key, requestId, digest, entry: 'e' }
    const outcome = log.run({ $case: 'claimRequest', value })
    return outcome.kind === 'claim' ? outcome.state : outcome.kind
  }
  const settle = (log: Log, requestId: string, outcome: protocol.command.ClaimOutcome) =>
    log.run({
      $case: 'settleClaim',
      value: { ...key, ...agent, requestId, outcome, answerStatus: 200 },
    })
  const cases: readonly (readonly [string, (log: Log) => unknown, string])[] = [
    ['another request', (log) => claim(log, 'r2'), ClaimState.IN_PROGRESS],
    ['the same request', (log) => claim(log, 'r1'), ClaimState.GRANTED],
    ['another digest', (log) => claim(log, 'r2', 'x'), ClaimState.MISMATCH],
    [
      'an answered request',
      (log) => (settle(log, 'r1', ClaimOutcome.ANSWERED), claim(log, 'r2')),
      ClaimState.SETTLED,
    ],
    [
      'an undecided request',
      (log) => (settle(log, 'r1', ClaimOutcome.UNKNOWN), claim(log, 'r2')),
      ClaimState.SETTLED,
    ],
    [
      'a request proven not run',
      (log) => (settle(log, 'r1', ClaimOutcome.NOT_RUN), claim(log, 'r2')),
      ClaimState.GRANTED,
    ],
    [
      'a settlement by another request',
      (log) => (settle(log, 'r2', ClaimOutcome.NOT_RUN), claim(log, 'r2')),
      ClaimState.IN_PROGRESS,
    ],
    [
      'a settlement without an outcome',
      (log) => (settle(log, 'r1', ClaimOutcome.CLAIM_OUTCOME_UNSPECIFIED), claim(log, 'r2')),
      ClaimState.IN_PROGRESS,
    ],
    [
      '"not run" after an answer',
      (log) => (
        settle(log, 'r1', ClaimOutcome.ANSWERED),
        settle(log, 'r1', ClaimOutcome.NOT_RUN),
        claim(log, 'r2')
      ),
      ClaimState.SETTLED,
    ],
  ]

  // Guards against a claim that is granted to two requests at once.
  test.each(cases)('have the expected state after %s', (_name, act, state) => {
    const log = support.createLog()
    claim(log, 'r1')
    const restarted = log.restart()
    expect(act(log)).toBe(state)
    expect(act(restarted)).toBe(state)
  })

  // Guards against expiring all claims on one command of a leader with a wrong clock.
  test('survive a jump of the leader clock', () => {
    const log = support.createLog()
    claim(log, 'r1')
    settle(log, 'r1', ClaimOutcome.ANSWERED)
    const year = 365 * 24 * 3_600_000
    log.run({ $case: 'cancelJobs', value: { jobs: [], operator: '' } }, year)
    expect(claim(log, 'r2')).toBe(ClaimState.SETTLED)
  })
})

describe('restore', () => {
  const cases: readonly (readonly [string, (bytes: Uint8Array) => Uint8Array, string])[] = [
    [
      'a newer version',
      (bytes) => Buffer.from(Buffer.from(bytes).toString().replace('"version":1', '"version":2')),
      'newer version',
    ],
    ['another format', () => Buffer.from('{}'), 'unknown format'],
    ['a truncated snapshot', (bytes) => bytes.slice(0, bytes.length - 1), 'damaged'],
  ]

  // Guards against restoring state from data in an unknown or damaged format.
  test.each(cases)('refuses %s and keeps the state', (_name, change, kind) => {
    const log = support.createLog()
    log.submit('j')
    const restored = log.state.restore(change(log.state.snapshot()))
    expect(restored.isErr() && restored.error.kind).toBe(kind)
    expect(log.state.view.job('j')).toBeDefined()
  })
})
