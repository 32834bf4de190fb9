import * as protocol from '@ebonyweir/protocol'
import * as telemetry from '@ebonyweir/telemetry/logger'
import * as workflowState from '@ebonyweir/workflow-state'
import * as vitest from 'vitest'
import type * as runners from '../src/runner.js'
import * as runTables from '../src/runTable.js'
import * as subjects from './tableSubject.js'

const { describe, expect, it } = vitest
const { RejectionReason } = protocol.workflow
const { createSubject, notSent, refused, RUN, started, unanswered, waitUntilQuiet } = subjects

describe('an order to start', () => {
  const cases: readonly {
    readonly name: string
    readonly options: Parameters<typeof createSubject>[0]
    readonly calls: readonly string[]
    readonly rejected: readonly protocol.workflow.RejectionReason[]
  }[] = [
    {
      name: 'is given once when it is answered',
      options: {},
      calls: ['start until 6000'],
      rejected: [],
    },
    {
      name: 'is repeated when it is not answered, since the same run starts once',
      options: { answers: [unanswered, started] },
      calls: ['start until 6000', 'start until 6000'],
      rejected: [],
    },
    {
      name: 'guards against a stop of a run that cannot start: the order that failed was never sent',
      options: { answers: [notSent, refused('no-room')] },
      calls: ['start until 6000', 'start until 6000'],
      rejected: [RejectionReason.NO_ROOM],
    },
    {
      name: 'guards against a late start of the one copy that was sent',
      options: { answers: [unanswered, notSent, refused('no-room')] },
      calls: ['start until 6000', 'start until 6000', 'start until 6000', 'stop'],
      rejected: [RejectionReason.NO_ROOM],
    },
    {
      name: 'is rejected at once when the outcome is certain',
      options: { answers: [refused('no-room')] },
      calls: ['start until 6000'],
      rejected: [RejectionReason.NO_ROOM],
    },
    {
      name: 'guards against a late start after a rejection by stopping the run first',
      options: { answers: [unanswered, refused('no-room')], stops: ['unanswered', 'done'] },
      calls: ['start until 6000', 'start until 6000', 'stop', 'stop'],
      rejected: [RejectionReason.NO_ROOM],
    },
    {
      name: 'guards against a rejection of a run that started late',
      options: {
        answers: [unanswered, refused('unavailable')],
        lists: ['running', 'ended'],
      },
      calls: ['start until 6000', 'start until 6000', 'stop'],
      rejected: [],
    },
    {
      name: 'guards against a rejection of a run that has ended on the worker',
      options: { answers: [refused('old')], lists: ['ended'] },
      calls: ['start until 6000'],
      rejected: [],
    },
    {
      name: 'is rejected when the run was stopped before it started',
      options: { answers: [refused('old')] },
      calls: ['start until 6000'],
      rejected: [RejectionReason.REFUSED],
    },
    {
      name: 'is carried out at once when it is repeated',
      options: { repeated: true },
      calls: ['start until 6000'],
      rejected: [],
    },
    {
      name: 'guards against a late start of an order from an earlier agent process',
      options: { repeated: true, answers: [refused('no-room')] },
      calls: ['start until 6000', 'stop'],
      rejected: [RejectionReason.NO_ROOM],
    },
    {
      name: 'guards against a late start on an unhealthy worker',
      options: {
        repeated: true,
        answers: [refused('unavailable')],
        stops: ['unanswered', 'unanswered', 'done'],
      },
      calls: ['start until 6000', 'stop', 'stop', 'stop'],
      rejected: [RejectionReason.UNAVAILABLE],
    },
    {
      name: 'guards against a late start on a leaving worker',
      options: { repeated: true, mayStart: () => false },
      calls: ['stop'],
      rejected: [RejectionReason.UNAVAILABLE],
    },
    {
      name: 'guards against a late start of an order that the worker refuses as invalid',
      options: { repeated: true, answers: [refused('invalid')] },
      calls: ['start until 6000', 'stop'],
      rejected: [RejectionReason.REFUSED],
    },
    {
      name: 'guards against a rejection of a run that an earlier order has started',
      options: {
        repeated: true,
        answers: [refused('unavailable')],
        lists: ['running', 'ended'],
      },
      calls: ['start until 6000', 'stop'],
      rejected: [],
    },
    {
      name: 'is not given while the worker is leaving',
      options: { mayStart: () => false },
      calls: [],
      rejected: [RejectionReason.UNAVAILABLE],
    },
    {
      name: 'is not given without a lease',
      options: { leaseUntilMs: () => 0 },
      calls: [],
      rejected: [],
    },
  ]

  it.each(cases)('$name', async ({ options, calls, rejected }) => {
    const subject = createSubject(options)
    subject.start()
    await waitUntilQuiet(subject)
    subject.table.close()
    expect(subject.calls).toEqual(calls)
    expect(subject.rejections.map(({ reason }) => reason)).toEqual(rejected)
  })

  it('is repeated with a new lease when it came too late', async () => {
    let leaseUntilMs = 6_000
    const subject = createSubject({
      answers: [refused('late'), started],
      leaseUntilMs: () => leaseUntilMs,
    })
    subject.start()
    leaseUntilMs = 7_000
    await waitUntilQuiet(subject)
    expect(subject.calls).toEqual(['start until 6000', 'start until 7000'])
  })

  it('guards against ignoring a repeated order after a withdrawal met a higher fence', async () => {
    const subject = createSubject({
      answers: [unanswered, refused('no-room')],
      stops: ['fence', 'done'],
    })
    subject.start()
    await waitUntilQuiet(subject)
    expect(subject.fenced()).toBe(1)
    expect(subject.rejections).toEqual([])
    subject.start()
    await waitUntilQuiet(subject)
    expect(subject.calls.filter((call) => call !== 'stop')).toHaveLength(3)
  })

  it('guards against carrying out an order of an old leader', async () => {
    const subject = createSubject({ answers: [refused('fence')] })
    subject.start()
    await waitUntilQuiet(subject)
    expect(subject.fenced()).toBe(1)
    expect(subject.rejections).toEqual([])
  })

  // Guards against a new stream, and a lost order, for each call that a newer one of the same agent overtook.
  it.each([
    {
      name: 'a start',
      options: { answers: [refused('fence'), started] },
      calls: ['start until 6000', 'start until 6000'],
    },
    {
      name: 'a stop',
      options: { answers: [unanswered, refused('no-room')], stops: ['fence', 'done'] as const },
      calls: ['start until 6000', 'start until 6000', 'stop', 'stop'],
    },
  ])('goes on after a refusal of $name whose fence this agent has raised', async (row) => {
    let fence = 3
    const subject = createSubject({
      ...row.options,
      // Rises between the reading for a call and its answer.
      fence: () => {
        fence += 1
        return fence
      },
    })
    subject.start()
    await waitUntilQuiet(subject)
    expect(subject.calls).toEqual(row.calls)
    expect(subject.fenced()).toBe(0)
  })

  it('is given once when the leader repeats it', async () => {
    const subject = createSubject({})
    subject.start()
    subject.start()
    await waitUntilQuiet(subject)
    subject.start()
    await waitUntilQuiet(subject)
    expect(subject.calls).toHaveLength(1)
  })
})

describe('an agent that was killed and restarted', () => {
  /** Worker that leaves the first order unanswered and carries it out when `deliverLate` is called. */
  const createWorker = () => {
    let startCalls = 0
    let isStopped = false
    const started: string[] = []
    const runner: runners.Runner = {
      start: () => {
        startCalls += 1
        return Promise.resolve(startCalls === 1 ? unanswered : refused('no-room'))
      },
      stop: () => {
        isStopped = true
        return Promise.resolve('done')
      },
      list: () => Promise.resolve({ kind: 'unanswered' }),
      pace: () => Promise.resolve('done'),
    }
    return {
      runner,
      started,
      startCalls: () => startCalls,
      deliverLate: () => {
        if (!isStopped) started.push(workflowState.runKey(RUN))
      },
    }
  }

  it('guards against a rejection of a run that an order of the killed agent starts later', async () => {
    const worker = createWorker()
    const rejections: protocol.workflow.Rejection[] = []
    const createTable = () =>
      runTables.createRunTable({
        identity: { id: 'w', bornMs: 1, agent: 'a' },
        runner: worker.runner,
        logger: telemetry.createSilentLogger(),
        fence: () => 3,
        leaseUntilMs: () => 6_000,
        mayStart: () => true,
        isResponsive: () => true,
        nextList: () => Promise.resolve({ clockMs: 0, stateOf: () => 'absent' }),
        onRejected: (rejection) => rejections.push(rejection),
        onStarted: () => undefined,
        onUnanswered: () => undefined,
        onFenced: () => undefined,
      })
    const order = { ...protocol.workflow.StartOrder.fromPartial({ command: 'x' }), run: RUN }
    const first = createTable()
    first.start(order)
    await vitest.vi.waitUntil(() => worker.startCalls() === 1)
    first.close()
    const second = createTable()
    second.start({ ...order, repeated: true })
    await vitest.vi.waitUntil(() => rejections.length > 0)
    second.close()
    worker.deliverLate()
    expect(worker.started).toEqual([])
  })

  it('guards against waiting for an unanswered stop after all leases have expired', async () => {
    let clockMs = 5_000
    const subject = createSubject({
      repeated: true,
      answers: [refused('unavailable')],
      stops: ['unanswered'],
      leaseUntilMs: () => clockMs + 6_000,
      listClockMs: () => clockMs,
    })
    subject.start()
    await vitest.vi.waitUntil(() => subject.calls.length >= 3)
    expect(subject.rejections).toEqual([])
    clockMs = 11_001
    subject.note('absent')
    await vitest.vi.waitUntil(() => subject.rejections.length > 0)
    subject.table.close()
    expect(subject.rejections.map(({ reason }) => reason)).toEqual([RejectionReason.UNAVAILABLE])
  })
})

describe('an order to stop', () => {
  it('guards against rejecting a run that still runs with an extended lease', async () => {
    const subject = createSubject({
      stops: ['unanswered'],
      lists: ['running'],
      listClockMs: () => 6_001,
    })
    subject.table.stop(RUN)
    subject.note('running')
    await vitest.vi.waitUntil(() => subject.calls.length >= 4)
    subject.table.close()
    expect(subject.rejections).toEqual([])
  })

  it('guards against rejecting a run of an earlier incarnation by a lease of this one', async () => {
    const stops: runners.OrderAnswer[] = ['unanswered', 'unanswered', 'unanswered', 'done']
    const subject = createSubject({ stops, listClockMs: () => 6_001 })
    subject.note('absent')
    subject.table.stop(RUN)
    await waitUntilQuiet(subject)
    expect(subject.calls).toHaveLength(stops.length)
    expect(subject.rejections).toHaveLength(1)
  })

  it.each([
    {
      name: 'is repeated until it is answered and waits for the end',
      stops: ['unanswered', 'done'] as const,
      lists: ['running', 'ended'] as const,
      calls: 2,
      rejected: [],
    },
    {
      name: 'reports that there was nothing to stop',
      stops: ['done'] as const,
      lists: ['absent'] as const,
      calls: 1,
      rejected: [RejectionReason.ABSENT],
    },
  ])('$name', async ({ stops, lists, calls, rejected }) => {
    const subject = createSubject({ stops, lists })
    subject.table.stop(RUN)
    await waitUntilQuiet(subject)
    expect(subject.calls.filter((call) => call === 'stop')).toHaveLength(calls)
    expect(subject.rejections.map(({ reason }) => reason)).toEqual(rejected)
  })

  it('ends attempts to start the same run', async () => {
    const subject = createSubject({ answers: [unanswered] })
    subject.start()
    await vitest.vi.waitUntil(() => subject.calls.length >= 2)
    subject.table.stop(RUN)
    await waitUntilQuiet(subject)
    const before = subject.calls.length
    await waitUntilQuiet(subject)
    expect(subject.calls.length).toBe(before)
    expect(subject.rejections).toHaveLength(1)
    expect(workflowState.runKey(subject.rejections[0]?.run ?? RUN)).toBe('j.0.0.0#1')
  })
})

describe('a start order that is withdrawn', () => {
  const cases: readonly {
    readonly name: string
    readonly options: Parameters<typeof createSubject>[0]
    /** Whether this agent gave the order itself. */
    readonly isOrderedHere: boolean
    readonly stops: number
    readonly rejected: readonly protocol.workflow.RejectionReason[]
  }[] = [
    {
      name: 'guards against a new agent that stops a run at work before its first list',
      options: { lists: ['running'] },
      isOrderedHere: false,
      stops: 0,
      rejected: [],
    },
    {
      name: 'guards against a stop of a run that started after the latest list',
      options: { answers: [unanswered], lists: ['running'] },
      isOrderedHere: true,
      stops: 0,
      rejected: [],
    },
    {
      name: 'is barred at the worker and rejected when the worker does not list it',
      options: { answers: [unanswered], lists: ['absent'] },
      isOrderedHere: true,
      stops: 1,
      rejected: [RejectionReason.ABSENT],
    },
    {
      name: 'is barred after a restart of the agent as well',
      options: { lists: ['absent'] },
      isOrderedHere: false,
      stops: 1,
      rejected: [RejectionReason.ABSENT],
    },
    {
      name: 'needs no stop once the worker lists its end',
      options: { lists: ['ended'] },
      isOrderedHere: false,
      stops: 0,
      rejected: [],
    },
  ]

  it.each(cases)('$name', async ({ options, isOrderedHere, stops, rejected }) => {
    const subject = createSubject(options)
    if (isOrderedHere) subject.start()
    subject.table.withdrawStart(RUN)
    await waitUntilQuiet(subject)
    expect(subject.calls.filter((call) => call === 'stop')).toHaveLength(stops)
    expect(subject.rejections.map(({ reason }) => reason)).toEqual(rejected)
  })
})

describe('a repeated order for a run that the worker lists as running', () => {
  it.each([
    { name: 'while nothing may start here', options: { mayStart: () => false } },
    { name: 'by an unhealthy worker', options: { answers: [refused('unavailable')] } },
    { name: 'for lack of room', options: { answers: [refused('no-room')] } },
  ])('guards against a refusal $name that stops the run', async ({ options }) => {
    const subject = createSubject({ ...options, repeated: true })
    subject.note('running')
    subject.start()
    await waitUntilQuiet(subject)
    expect(subject.calls).toEqual([])
    expect(subject.rejections).toEqual([])
  })
})
