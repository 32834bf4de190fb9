import * as timers from 'node:timers/promises'
import * as protocol from '@ebonyweir/protocol'
import * as telemetry from '@ebonyweir/telemetry/logger'
import * as workflowState from '@ebonyweir/workflow-state'
import * as vitest from 'vitest'
import type * as runners from '../src/runner.js'
import * as runTables from '../src/runTable.js'

const { describe, expect, it } = vitest
const { RejectionReason } = protocol.workflow

const RUN: protocol.workflow.TaskRun = { job: 'j', occurrence: 0, step: 0, index: 0, run: 1 }

type Answer = runners.StartAnswer

const started: Answer = { kind: 'started' }
const unanswered: Answer = { kind: 'unanswered' }
const notSent: Answer = { kind: 'not-sent' }
const refused = (reason: runners.StartRefusal): Answer => ({ kind: 'refused', reason })

/** Table with a worker whose answers are preset; the last one is repeated. */
const createSubject = (options: {
  /** Whether the order may have been given before. */
  readonly repeated?: boolean
  readonly answers?: readonly Answer[]
  readonly stops?: readonly runners.OrderAnswer[]
  readonly lists?: readonly workflowState.ListedState[]
  readonly mayStart?: () => boolean
  readonly fence?: () => number
  readonly leaseUntilMs?: () => number
  /** Reading of the worker's clock in each list, in milliseconds. */
  readonly listClockMs?: () => number
}) => {
  const calls: string[] = []
  const rejections: protocol.workflow.Rejection[] = []
  let fenced = 0
  const answers = [...(options.answers ?? [started])]
  const stops = [...(options.stops ?? ['done' as const])]
  const lists = [...(options.lists ?? ['absent' as const])]
  const next = <T>(queue: T[]): T => {
    const first = queue.length > 1 ? queue.shift() : queue[0]
    if (first === undefined) throw new Error('no answer left')
    return first
  }
  const runner: runners.Runner = {
    start: (_, { leaseUntilMs }) => {
      calls.push(`start until ${leaseUntilMs}`)
      return Promise.resolve(next(answers))
    },
    stop: () => {
      calls.push('stop')
      return Promise.resolve(next(stops))
    },
    list: () => Promise.resolve({ kind: 'unanswered' }),
    pace: () => Promise.resolve('done'),
  }
  const listOf = (state: workflowState.ListedState): runTables.TableList => ({
    clockMs: options.listClockMs?.() ?? 0,
    stateOf: () => state,
  })
  const table = runTables.createRunTable({
    identity: { id: 'w', bornMs: 1, agent: 'a' },
    runner,
    logger: telemetry.createSilentLogger(),
    fence: options.fence ?? (() => 3),
    leaseUntilMs: options.leaseUntilMs ?? (() => 6_000),
    mayStart: options.mayStart ?? (() => true),
    isResponsive: () => true,
    nextList: () => Promise.resolve(listOf(next(lists))),
    onRejected: (rejection) => rejections.push(rejection),
    onStarted: () => undefined,
    onUnanswered: () => undefined,
    onFenced: () => {
      fenced += 1
    },
  })
  const order: protocol.workflow.StartOrder = {
    run: RUN,
    command: 'x',
    checkpoint: '',
    tailTargetMs: 0,
    filling: false,
    pacePercent: 100,
    repeated: options.repeated ?? false,
  }
  return {
    table,
    calls,
    rejections,
    start: () => {
      table.start(order)
    },
    note: (state: workflowState.ListedState) => {
      table.applyList(listOf(state))
    },
    fenced: () => fenced,
  }
}

type Subject = ReturnType<typeof createSubject>

/** Longer than the delay between two attempts, so that an attempt that is due has happened. */
const SETTLE_MS = 300

/** Waits until nothing has been called or rejected for a while. */
const waitUntilQuiet = async (subject: Subject): Promise<void> => {
  let seen = -1
  for (;;) {
    const now = subject.calls.length + subject.rejections.length
    if (now === seen) return
    seen = now
    await timers.setTimeout(SETTLE_MS)
  }
}

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

describe('a run that may have ended at the worker behind the listed ends', () => {
  const cases: readonly {
    readonly name: string
    readonly options: Parameters<typeof createSubject>[0]
    readonly order: (subject: Subject) => void
    readonly calls: readonly string[]
    /** Rejection once a list shows that the run is absent. */
    readonly rejection: protocol.workflow.RejectionReason
  }[] = [
    {
      name: 'a refusal of its start as old',
      options: { answers: [refused('old')] },
      order: ({ start }) => {
        start()
      },
      calls: ['start until 6000'],
      rejection: RejectionReason.REFUSED,
    },
    {
      name: 'a refusal of its repeated start while the worker is leaving',
      options: { repeated: true, mayStart: () => false },
      order: ({ start }) => {
        start()
      },
      calls: ['stop'],
      rejection: RejectionReason.UNAVAILABLE,
    },
    {
      name: 'a refusal for lack of room after an unanswered start',
      options: { answers: [unanswered, refused('no-room')] },
      order: ({ start }) => {
        start()
      },
      calls: ['start until 6000', 'start until 6000', 'stop'],
      rejection: RejectionReason.NO_ROOM,
    },
    {
      name: 'a stop',
      options: {},
      order: ({ table }) => {
        table.stop(RUN)
      },
      calls: ['stop'],
      rejection: RejectionReason.ABSENT,
    },
    {
      name: 'a stop that is unanswered until all leases have expired',
      options: { stops: ['unanswered'], listClockMs: () => 6_001 },
      order: ({ table, start, note }) => {
        start()
        table.stop(RUN)
        note('unknown')
      },
      calls: ['start until 6000', 'stop'],
      rejection: RejectionReason.ABSENT,
    },
    {
      name: 'a withdrawal of its start',
      options: {},
      order: ({ table }) => {
        table.withdrawStart(RUN)
      },
      calls: ['stop'],
      rejection: RejectionReason.ABSENT,
    },
  ]

  // Guards against a second run of a task whose first run has completed: the end is in a later list.
  it.each(cases)('is not rejected after $name until its end is listed', async (row) => {
    const subject = createSubject({ ...row.options, lists: ['unknown'] })
    row.order(subject)
    await waitUntilQuiet(subject)
    subject.note('unknown')
    subject.note('ended')
    await waitUntilQuiet(subject)
    // A later list does not contain the end, since it was acknowledged.
    subject.note('absent')
    await waitUntilQuiet(subject)
    subject.table.close()
    expect(subject.calls).toEqual(row.calls)
    expect(subject.rejections).toEqual([])
  })

  // Guards against a task that stays assigned to a worker that never ran it.
  it.each(cases)('is rejected after $name once a list shows that it is absent', async (row) => {
    const subject = createSubject({ ...row.options, lists: ['unknown'] })
    row.order(subject)
    await waitUntilQuiet(subject)
    subject.note('unknown')
    subject.note('absent')
    await waitUntilQuiet(subject)
    subject.table.close()
    expect(subject.rejections.map(({ reason }) => reason)).toEqual([row.rejection])
  })

  const starts: readonly {
    readonly name: string
    readonly options: Parameters<typeof createSubject>[0]
    /** Calls before a list shows more of the run. */
    readonly calls: readonly string[]
  }[] = [
    { name: 'a repeated order', options: { repeated: true }, calls: [] },
    {
      name: 'an order that was not answered',
      options: { answers: [unanswered, started], lists: ['unknown'] },
      calls: ['start until 6000'],
    },
  ]

  // Guards against a copy of the order that a later incarnation of the worker carries out after the run has completed.
  it.each(starts)('is not started by $name', async ({ options, calls }) => {
    const subject = createSubject(options)
    subject.note('unknown')
    subject.start()
    await waitUntilQuiet(subject)
    subject.note('ended')
    await waitUntilQuiet(subject)
    subject.table.close()
    expect(subject.calls).toEqual(calls)
    expect(subject.rejections).toEqual([])
  })

  it.each(starts)('is started by $name once a list shows that it is absent', async (row) => {
    const subject = createSubject(row.options)
    subject.note('unknown')
    subject.start()
    await waitUntilQuiet(subject)
    subject.note('absent')
    await waitUntilQuiet(subject)
    subject.table.close()
    expect(subject.calls).toEqual([...row.calls, 'start until 6000'])
  })

  it('guards against a wait for the list of a worker that is not followed any more', async () => {
    const subject = createSubject({ lists: ['unknown'] })
    subject.table.stop(RUN)
    await waitUntilQuiet(subject)
    subject.table.close()
    subject.note('absent')
    await waitUntilQuiet(subject)
    expect(subject.rejections).toEqual([])
  })
})
