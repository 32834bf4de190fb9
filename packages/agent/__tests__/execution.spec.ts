import * as vitest from 'vitest'
import * as agent from '@ebonyweir/agent'
import * as protocol from '@ebonyweir/protocol'

const { describe, expect, test } = vitest

const INCARNATION = 7
const answer = (body = ''): agent.executionState.ExecutionResult => ({
  $case: 'answer',
  value: { status: 200, headers: [], body: Buffer.from(body), endpoint: 'a' },
})

/** Drives the state of one agent and records which request ids were dispatched to the endpoint. */
const drive = (
  guards: Partial<agent.executionState.ExecutionGuards> = {},
  limits: Partial<agent.executionState.ExecutionLimits> = {},
) => {
  const state = agent.executionState.createState(
    INCARNATION,
    { ...agent.executionState.DEFAULT_LIMITS, ...limits },
    { ...agent.executionState.ALL_GUARDS, ...guards },
  )
  const ran: string[] = []
  const replies = new Map<string, agent.executionState.ExecutionResult>()
  const aborted: string[] = []
  let maxRunning = 0
  let nowMs = 1_000
  const input = (next: agent.execution.Input): readonly agent.execution.Effect[] => {
    const effects = agent.execution.step(state, next, nowMs)
    for (const effect of effects) {
      if (effect.kind === 'dispatch') ran.push(effect.requestId)
      if (effect.kind === 'reply') replies.set(effect.requestId, effect.result)
      if (effect.kind === 'abort') aborted.push(effect.requestId)
    }
    const running = [...state.active.values()].filter((r) => r.phase === 'running').length
    maxRunning = Math.max(maxRunning, running)
    return effects
  }
  const announce = (leaving = false): void => {
    input({
      kind: 'announce',
      announcement: {
        endpoint: 'a',
        service: 'swap-desk',
        address: '127.0.0.1:1',
        slots: 2,
        connections: 4,
        leaving,
      },
    })
  }
  const execute = (requestId: string, change: Partial<agent.execution.ExecuteInput> = {}): void => {
    input({
      kind: 'execute',
      request: {
        requestId,
        agentIncarnation: INCARNATION,
        agentTimeMs: nowMs,
        service: 'swap-desk',
        endpoint: 'a',
        caller: 'counter',
        timeoutMs: 2_000,
        retain: false,
        ...change,
      },
    })
  }
  const resolve = (requestId: string, peek = false): protocol.agent.ResolveState | undefined =>
    input({ kind: 'resolve', requestId, incarnation: INCARNATION, peek }).find(
      (effect) => effect.kind === 'resolved',
    )?.state
  const end = (requestId: string, result = answer()): void => {
    input({ kind: 'ended', requestId, result })
  }
  const wait = (ms: number): void => {
    nowMs += ms
    input({ kind: 'tick' })
  }
  const refusal = (requestId: string): string => {
    const result = replies.get(requestId)
    if (result?.$case !== 'refusal') return result === undefined ? 'none' : 'answer'
    return `${result.value.reason} ${result.value.outcome}`
  }
  input({ kind: 'config', untilMs: Infinity, outDetail: '' })
  announce()
  const peakRunning = (): number => maxRunning
  return { input, announce, execute, resolve, end, wait, refusal, ran, aborted, peakRunning, state }
}

type Driven = ReturnType<typeof drive>
type Guard = keyof agent.executionState.ExecutionGuards

const NOT_RUN = protocol.agent.ResolveState.RESOLVED_NOT_RUN
const runCount = (driven: Driven, requestId: string): number =>
  driven.ran.filter((id) => id === requestId).length

describe('guards of the agent', () => {
  const cases: readonly (readonly [Guard, string, (d: Driven) => boolean])[] = [
    [
      'tombstones',
      'a request that arrives after Resolve reported "not run" does not run',
      (d) => {
        const resolved = d.resolve('r')
        d.execute('r')
        return resolved === NOT_RUN && runCount(d, 'r') === 0
      },
    ],
    [
      'timestamps',
      'a request that arrives after its tombstone was evicted does not run',
      (d) => {
        d.resolve('r')
        d.wait(4_000)
        d.announce()
        d.execute('r', { agentTimeMs: 1_000 })
        return runCount(d, 'r') === 0
      },
    ],
    [
      'dedup',
      'a request that arrives twice runs once',
      (d) => {
        d.execute('r')
        d.execute('r')
        d.end('r')
        d.execute('r')
        return runCount(d, 'r') === 1
      },
    ],
    [
      'incarnation',
      'a request for an older incarnation does not run',
      (d) => {
        d.execute('r', { agentIncarnation: INCARNATION - 1 })
        return runCount(d, 'r') === 0
      },
    ],
    [
      'slots',
      'running requests do not exceed the slots of the endpoint',
      (d) => {
        for (const id of ['r1', 'r2', 'r3', 'r4']) d.execute(id)
        return d.peakRunning() === 2
      },
    ],
  ]

  // Guards against an ineffective mechanism: without it, the property must not hold.
  test.each(cases)('%s: %s', (guard, _property, holds) => {
    expect(holds(drive())).toBe(true)
    expect(holds(drive({ [guard]: false }))).toBe(false)
  })
})

describe('refusals of the agent', () => {
  const cases: readonly (readonly [string, string, (d: Driven) => void])[] = [
    [
      'a leaving endpoint',
      'LEAVING OUTCOME_NOT_RUN',
      (d) => {
        d.announce(true)
        d.execute('r')
      },
    ],
    [
      'an endpoint that starts leaving while the request waits',
      'LEAVING OUTCOME_NOT_RUN',
      (d) => {
        for (const id of ['x', 'y', 'r']) d.execute(id)
        d.announce(true)
      },
    ],
    [
      'an endpoint whose announcement expired',
      'NO_ENDPOINT OUTCOME_NOT_RUN',
      (d) => {
        d.wait(3_000)
        d.execute('r')
      },
    ],
    [
      'a config lease that ended while the request waits',
      'CONFIG_EXPIRED OUTCOME_NOT_RUN',
      (d) => {
        for (const id of ['x', 'y', 'r']) d.execute(id, { timeoutMs: 9_000 })
        d.state.configUntilMs = 1_500
        d.wait(600)
      },
    ],
    [
      'a failure domain that is out',
      'FAILURE_DOMAIN_OUT OUTCOME_NOT_RUN',
      (d) => {
        d.input({ kind: 'config', untilMs: Infinity, outDetail: 'rennes is out' })
        d.execute('r')
      },
    ],
    [
      'a full queue',
      'QUEUE_FULL OUTCOME_NOT_RUN',
      (d) => {
        for (let i = 0; i < 10; i++) d.execute(`x${i}`)
        d.execute('r')
      },
    ],
    [
      'a deadline that passes in the queue',
      'DEADLINE OUTCOME_NOT_RUN',
      (d) => {
        for (const id of ['x', 'y']) d.execute(id, { timeoutMs: 9_000 })
        d.execute('r', { timeoutMs: 100 })
        d.wait(100)
      },
    ],
    [
      'a deadline that passes at the endpoint',
      'DEADLINE OUTCOME_UNKNOWN',
      (d) => {
        d.execute('r', { timeoutMs: 100 })
        d.wait(100)
      },
    ],
    [
      'an agent that shuts down',
      'SHUTTING_DOWN OUTCOME_NOT_RUN',
      (d) => {
        d.input({ kind: 'close' })
        d.execute('r')
      },
    ],
  ]

  // Guards against a refusal with a wrong or missing outcome.
  test.each(cases)('%s', (_name, expected, act) => {
    const driven = drive()
    act(driven)
    expect(driven.refusal('r')).toBe(expected)
  })
})

describe('stored records', () => {
  const idsOf = (count: number): readonly string[] =>
    Array.from({ length: count }, (_, i) => `r${i}`)

  // Guards against unbounded growth of the tables.
  test('all records and answers are evicted eventually', () => {
    const driven = drive({}, { retainedBytes: 100 })
    for (const [i, id] of idsOf(50).entries()) {
      driven.execute(id, { retain: i % 2 === 0 })
      driven.end(id, answer('0123456789'))
    }
    expect(driven.state.answerBytes).toBeLessThanOrEqual(100)
    driven.wait(400_000)
    expect(driven.state.settled.size + driven.state.retained.size).toBe(0)
    expect(driven.state.answerBytes).toBe(0)
  })

  // Guards against evicting the answer of a keyed request while resends may need it.
  test('the answer of a keyed request is kept for five minutes', () => {
    const driven = drive()
    driven.execute('keyed', { retain: true })
    driven.execute('plain')
    driven.end('keyed', answer('kept'))
    driven.end('plain', answer('dropped'))
    driven.wait(290_000)
    expect(driven.resolve('keyed')).toBe(protocol.agent.ResolveState.RESOLVED_FINISHED)
    expect(driven.resolve('plain')).toBe(NOT_RUN)
  })

  // Guards against a slot that is lost permanently to an endpoint that never answers.
  test('a request that is never answered releases its slot', () => {
    const driven = drive()
    for (const id of ['x', 'y']) driven.execute(id, { timeoutMs: 100 })
    driven.wait(10_100)
    driven.announce()
    driven.execute('r')
    expect(driven.aborted).toEqual(['x', 'y'])
    expect(driven.ran).toContain('r')
  })

  // Guards against one caller whose queued requests delay those of another.
  test('the caller with the fewest running requests is served next', () => {
    const driven = drive()
    for (const id of ['f1', 'f2', 'f3', 'f4']) driven.execute(id, { caller: 'flood' })
    driven.execute('r')
    driven.end('f1')
    expect(driven.ran).toEqual(['f1', 'f2', 'r'])
  })
})

describe('peek', () => {
  const { ResolveState } = protocol.agent
  const cases: readonly (readonly [
    string,
    (d: Driven) => void,
    protocol.agent.ResolveState,
    number,
  ])[] = [
    ['an unknown request', () => undefined, ResolveState.RESOLVED_UNKNOWN, 1],
    [
      'a running request',
      (d) => {
        d.execute('r')
      },
      ResolveState.RESOLVED_RUNNING,
      1,
    ],
  ]

  // Guards against a query for a resend that fences the request itself.
  test.each(cases)('%s is not fenced', (_name, before, expected, runs) => {
    const driven = drive()
    before(driven)
    expect(driven.resolve('r', true)).toBe(expected)
    driven.execute('r')
    expect(runCount(driven, 'r')).toBe(runs)
  })
})
