import * as timers from 'node:timers/promises'
import * as protocol from '@ebonyweir/protocol'
import * as telemetry from '@ebonyweir/telemetry/logger'
import * as vitest from 'vitest'
import type * as runners from '../src/runner.js'
import * as workerAgents from '../src/workerAgent.js'
import * as standInLeaders from './standInLeader.js'

const { afterEach, describe, expect, it } = vitest
const { EndKind } = protocol.workflow

const { RUN } = standInLeaders

/** Longer than the delays of the agent between two calls. */
const SETTLE_MS = 300

/** Longest wait for a condition: on a busy machine the first report can take more than 1 s. */
const WAIT_TIMEOUT_MS = 5_000

/** Interval of the agent's list calls while ends are not acknowledged. */
const LIST_INTERVAL_MS = 400

/** Duration of the list calls of a restarted worker; orders are repeated sooner. */
const RESTARTED_LIST_MS = 200

const waitUntil = (check: () => boolean): Promise<unknown> =>
  vitest.vi.waitUntil(check, { timeout: WAIT_TIMEOUT_MS })

/** Most ends in one list of the worker. */
const MAX_LISTED_ENDS = 3

/** Worker whose answers to starts are preset; the last one is repeated. */
const createWorker = (answers: readonly runners.StartAnswer[]) => {
  const paces: number[] = []
  /** Acknowledged end number of each list call. */
  const acknowledgedEnds: number[] = []
  let ended: readonly protocol.workflow.ListedEnd[] = []
  /** Incarnation that each answered list call reached, and the end number that it acknowledged. */
  const acknowledged: (readonly [bornMs: number, acknowledgedEnd: number])[] = []
  const worker = {
    bornMs: 1,
    isDown: false,
    crashesAtStart: false,
    isRunning: false,
    holdsNextPace: false,
  }
  const heldPaces: number[] = []
  const runningTask = { run: RUN, checkpoint: '', progressPercent: 0, figure: 0, pacePercent: 100 }
  let startCalls = 0
  const runner: runners.Runner = {
    start: () => {
      startCalls += 1
      if (worker.crashesAtStart) worker.isDown = true
      if (worker.isDown) return Promise.resolve({ kind: 'unanswered' })
      const answer = answers[Math.min(startCalls, answers.length) - 1]
      return Promise.resolve(answer ?? { kind: 'unanswered' })
    },
    stop: () => Promise.resolve('done'),
    list: async (_, { waitMs, acknowledgedEnd }) => {
      acknowledgedEnds.push(acknowledgedEnd)
      ended = ended.filter(({ number }) => number > acknowledgedEnd)
      const pauseMs = ended.length === 0 ? Math.min(waitMs, 20) : 0
      const wasDown = worker.isDown
      await timers.setTimeout(worker.bornMs > 1 ? RESTARTED_LIST_MS : pauseMs)
      const { bornMs, isDown } = worker
      if (wasDown || isDown) return { kind: 'unanswered' }
      acknowledged.push([bornMs, acknowledgedEnd])
      const clockMs = Math.round(performance.now())
      const running = worker.isRunning ? [runningTask] : []
      const hasMoreEnds = ended.length >= MAX_LISTED_ENDS
      const listed = ended.slice(0, MAX_LISTED_ENDS)
      return { kind: 'list', list: { bornMs, clockMs, running, ended: listed, hasMoreEnds } }
    },
    pace: (_identity, _run, percent) => {
      if (worker.holdsNextPace) {
        worker.holdsNextPace = false
        heldPaces.push(percent)
        return Promise.resolve('unanswered')
      }
      paces.push(percent)
      return Promise.resolve('done')
    },
  }
  return {
    runner,
    paces,
    acknowledged,
    acknowledgedEnds,
    startCalls: () => startCalls,
    listAsRunning: (): void => {
      worker.isRunning = true
    },
    /** Leaves the next pace call unanswered and delays its effect until `applyHeldPaces`. */
    holdNextPace: (): void => {
      worker.holdsNextPace = true
    },
    heldPaces,
    applyHeldPaces: (): void => {
      paces.push(...heldPaces.splice(0))
    },
    /** Ends a run, which lists show until its number is acknowledged; another run than `RUN` by default. */
    endRun: (number: number, index = number): void => {
      const run = { ...RUN, index }
      ended = [...ended, { number, end: { run, kind: EndKind.COMPLETED, checkpoint: '' } }]
    },
    crash: (): void => {
      worker.isDown = true
    },
    /** Crashes with the next start order, which stays unanswered. */
    crashAtStart: (): void => {
      worker.crashesAtStart = true
    },
    /** Answers again as the same incarnation. */
    answerAgain: (): void => {
      worker.isDown = false
    },
    /** Restarts as a new incarnation under the same id. */
    restart: (): void => {
      worker.bornMs += 1
      worker.isDown = false
      worker.crashesAtStart = false
    },
  }
}

type Leader = Awaited<ReturnType<typeof standInLeaders.createLeader>>

const closers: (() => void)[] = []

afterEach(() => {
  for (const close of closers.splice(0)) close()
})

const createSubject = async (answers: readonly runners.StartAnswer[]) => {
  const leader = await standInLeaders.createLeader()
  const worker = createWorker(answers)
  const agent = workerAgents.createWorkerAgent({
    cell: 'test',
    name: 'a',
    seeds: () => [leader.address],
    runner: worker.runner,
    logger: telemetry.createSilentLogger(),
  })
  closers.push(agent.stop, leader.close)
  agent.start()
  const description = protocol.workflow.WorkerDescription.fromPartial({ service: 'desk' })
  agent.announce({
    worker: { ...description, identity: { id: 'w', bornMs: 1 } },
    sequence: 1,
    draining: false,
    drainRemainingMs: 0,
  })
  await waitUntil(() => leader.reports.some(({ sample }) => sample > 1))
  return { agent, leader, worker }
}

describe('worker agent', () => {
  it('guards against starting a run whose rejection is still on its way to the leader', async () => {
    const { leader, worker } = await createSubject([
      { kind: 'refused', reason: 'no-room' },
      { kind: 'started' },
    ])
    leader.start({})
    await waitUntil(() => leader.reports.some(({ rejected }) => rejected.length > 0))
    leader.start({ repeated: true })
    await timers.setTimeout(SETTLE_MS)
    expect(worker.startCalls()).toBe(1)
    // A leader that could not commit the rejection gives the order again.
    leader.acknowledge()
    leader.start({ repeated: true })
    await waitUntil(() => worker.startCalls() === 2)
  })

  it.each([
    {
      name: 'guards against a best-effort task that keeps the pace set by an earlier agent process',
      order: { filling: true, repeated: true },
      paces: [100],
    },
    {
      name: 'sets no pace of a best-effort task that starts at full pace',
      order: { filling: true },
      paces: [],
    },
    {
      name: 'sets no pace of a task that is not best-effort',
      order: { repeated: true },
      paces: [],
    },
  ])('$name', async ({ order, paces }) => {
    const { leader, worker } = await createSubject([{ kind: 'started' }])
    leader.start(order)
    await waitUntil(() => worker.startCalls() === 1)
    await timers.setTimeout(SETTLE_MS)
    expect(worker.paces).toEqual(paces)
  })

  it('guards against a best-effort task that keeps the pace of a delayed call', async () => {
    const { leader, worker } = await createSubject([{ kind: 'started' }])
    leader.start({ filling: true })
    await waitUntil(() => worker.startCalls() === 1)
    worker.listAsRunning()
    await waitUntil(() => leader.reports.at(-1)?.running.length === 1)
    worker.holdNextPace()
    leader.pace(0)
    await waitUntil(() => worker.heldPaces.length === 1)
    leader.pace(100)
    await timers.setTimeout(SETTLE_MS)
    worker.applyHeldPaces()
    expect(worker.paces.at(-1)).toBe(0)
    await waitUntil(() => worker.paces.at(-1) === 100)
  })

  it('guards against a busy loop of list calls while the commit of an end takes long', async () => {
    const { leader, worker } = await createSubject([{ kind: 'started' }])
    worker.endRun(1)
    await waitUntil(() => leader.reports.at(-1)?.ended.length === 1)
    const calls = worker.acknowledgedEnds.length
    const sinceMs = performance.now()
    await timers.setTimeout(SETTLE_MS)
    const due = 1 + (performance.now() - sinceMs) / LIST_INTERVAL_MS
    expect(worker.acknowledgedEnds.length - calls).toBeLessThanOrEqual(due)
    leader.commit(1)
    await waitUntil(() => worker.acknowledgedEnds.at(-1) === 1)
    await waitUntil(() => leader.reports.at(-1)?.ended.length === 0)
  })

  it('guards against a stalled list loop after only some of the listed ends were acknowledged', async () => {
    const { leader, worker } = await createSubject([{ kind: 'started' }])
    worker.endRun(1)
    worker.endRun(2)
    await waitUntil(() => leader.reports.at(-1)?.ended.length === 2)
    leader.commit(1)
    await waitUntil(() => worker.acknowledgedEnds.at(-1) === 1)
    leader.commit(2)
    await waitUntil(() => leader.reports.at(-1)?.ended.length === 0)
  })

  it('guards against a stop that waits for the acknowledgement of an end', async () => {
    const { leader, worker } = await createSubject([{ kind: 'started' }])
    worker.endRun(1)
    await waitUntil(() => leader.reports.at(-1)?.ended.length === 1)
    const { sample = 0 } = leader.reports.at(-1) ?? {}
    leader.stop()
    await waitUntil(() => leader.reports.some(({ rejected }) => rejected.length > 0))
    const rejecting = leader.reports.find(({ rejected }) => rejected.length > 0)
    // At most the list in progress and the one that the stop waits for precede the rejection.
    expect((rejecting?.sample ?? 0) - sample).toBeLessThanOrEqual(2)
  })

  it('guards against an end that is not reported to a new leader', async () => {
    const { leader, worker } = await createSubject([{ kind: 'started' }])
    worker.endRun(1)
    await waitUntil(() => leader.reports.at(-1)?.ended.length === 1)
    const before = leader.reports.length
    leader.resign()
    await waitUntil(() => leader.reports.length > before)
    expect(leader.reports[before]?.ended).toHaveLength(1)
  })

  it('guards against an unanswered order that is repeated to a later incarnation', async () => {
    const { leader, worker } = await createSubject([{ kind: 'started' }])
    worker.crashAtStart()
    leader.start({})
    await waitUntil(() => worker.startCalls() > 0)
    await timers.setTimeout(SETTLE_MS)
    worker.restart()
    await waitUntil(() => leader.reports.at(-1)?.worker?.identity?.bornMs === 2)
    await timers.setTimeout(SETTLE_MS)
    expect(worker.startCalls()).toBe(1)
  })

  it('guards against a first order to a worker that may have restarted', async () => {
    const { leader, worker } = await createSubject([{ kind: 'started' }])
    worker.crash()
    await timers.setTimeout(SETTLE_MS)
    leader.start({})
    await timers.setTimeout(SETTLE_MS)
    expect(worker.startCalls()).toBe(0)
  })

  it('guards against acknowledging ends of a restarted worker by numbers of its earlier incarnation', async () => {
    const { leader, worker } = await createSubject([{ kind: 'started' }])
    leader.commit(57)
    await waitUntil(() => worker.acknowledged.some(([, number]) => number === 57))
    worker.crash()
    await timers.setTimeout(SETTLE_MS)
    worker.restart()
    await waitUntil(() => leader.reports.at(-1)?.worker?.identity?.bornMs === 2)
    const forgotten = worker.acknowledged.filter(([bornMs, number]) => bornMs === 2 && number > 0)
    expect(forgotten).toEqual([])
  })

  it('guards against repeating an order of an earlier leader under the lease of the next one', async () => {
    const { leader, worker } = await createSubject([{ kind: 'started' }])
    worker.crash()
    leader.start({})
    await timers.setTimeout(SETTLE_MS)
    const reports = leader.reports.length
    leader.resign()
    await waitUntil(() => leader.reports.length > reports)
    await timers.setTimeout(SETTLE_MS)
    const before = worker.startCalls()
    const listed = leader.reports.at(-1)?.sample ?? 0
    worker.answerAgain()
    await waitUntil(() => (leader.reports.at(-1)?.sample ?? 0) > listed)
    await timers.setTimeout(SETTLE_MS)
    expect(worker.startCalls()).toBe(before)
    leader.start({ repeated: true })
    await waitUntil(() => worker.startCalls() > before)
  })

  it('repeats an unanswered order after the worker has listed its runs', async () => {
    const { leader, worker } = await createSubject([{ kind: 'unanswered' }, { kind: 'started' }])
    leader.start({})
    await waitUntil(() => worker.startCalls() === 2)
  })

  // Guards against a second run of a task that has completed: the restarted agent knows only the worker's lists.
  it.each([
    {
      name: 'a repeated start',
      order: ({ start }: Leader) => {
        start({ repeated: true })
      },
    },
    {
      name: 'a stop',
      order: ({ stop }: Leader) => {
        stop()
      },
    },
    {
      name: 'a withdrawal',
      order: ({ withdraw }: Leader) => {
        withdraw()
      },
    },
  ])('does not reject a run after $name while its end waits behind others', async ({ order }) => {
    const { agent, leader, worker } = await createSubject([{ kind: 'refused', reason: 'old' }])
    for (let number = 1; number <= MAX_LISTED_ENDS; number += 1) worker.endRun(number)
    worker.endRun(MAX_LISTED_ENDS + 1, RUN.index)
    await waitUntil(() => leader.reports.at(-1)?.ended.length === MAX_LISTED_ENDS)
    expect(leader.reports.at(-1)?.hasMoreEnds).toBe(true)
    order(leader)
    await timers.setTimeout(SETTLE_MS)
    leader.commit(MAX_LISTED_ENDS)
    await waitUntil(() => leader.reports.at(-1)?.ended[0]?.end?.run?.index === RUN.index)
    expect(leader.reports.at(-1)?.hasMoreEnds).toBe(false)
    const incompleteLists = agent.incompleteLists()
    expect(incompleteLists).toBeGreaterThan(0)
    leader.commit(MAX_LISTED_ENDS + 1)
    await waitUntil(() => leader.reports.at(-1)?.ended.length === 0)
    await timers.setTimeout(SETTLE_MS)
    expect(leader.reports.flatMap(({ rejected }) => rejected)).toEqual([])
    expect(worker.startCalls()).toBe(0)
    expect(agent.incompleteLists()).toBe(incompleteLists)
  })

  it('guards against a busy loop of list calls while the end of a run waits behind others', async () => {
    const { leader, worker } = await createSubject([{ kind: 'started' }])
    for (let number = 1; number <= MAX_LISTED_ENDS; number += 1) worker.endRun(number)
    await waitUntil(() => leader.reports.at(-1)?.hasMoreEnds === true)
    leader.stop()
    await timers.setTimeout(SETTLE_MS)
    const calls = worker.acknowledgedEnds.length
    const sinceMs = performance.now()
    await timers.setTimeout(SETTLE_MS)
    const due = 1 + (performance.now() - sinceMs) / LIST_INTERVAL_MS
    expect(worker.acknowledgedEnds.length - calls).toBeLessThanOrEqual(due)
    leader.commit(MAX_LISTED_ENDS)
    await waitUntil(() => leader.reports.some(({ rejected }) => rejected.length > 0))
  })

  it('guards against an odd end number that would acknowledge ends that are yet to come', async () => {
    const { leader, worker } = await createSubject([{ kind: 'started' }])
    worker.endRun(1)
    worker.endRun(2_000_000)
    await waitUntil(() => leader.reports.some(({ ended }) => ended.length > 0))
    worker.endRun(2)
    await waitUntil(() => leader.reports.some(({ ended }) => ended.length > 1))
    const numbers = new Set(
      leader.reports.flatMap(({ ended }) => ended.map(({ number }) => number)),
    )
    expect([...numbers].sort()).toEqual([1, 2])
  })

  it('guards against an odd announcement, after which the worker is not followed any more', async () => {
    const { agent, leader, worker } = await createSubject([{ kind: 'started' }])
    const description = protocol.workflow.WorkerDescription.fromPartial({ service: 'desk' })
    const announce = (bornMs: number, sequence: number): void => {
      const odd = { ...description, identity: { id: 'w', bornMs } }
      agent.announce({ worker: odd, sequence, draining: false, drainRemainingMs: 0 })
    }
    announce(Number.MAX_SAFE_INTEGER, 1)
    worker.endRun(1)
    await waitUntil(() => leader.reports.some(({ ended }) => ended.length > 0))
    announce(Number.MAX_SAFE_INTEGER, 2)
    announce(1, 9)
    worker.endRun(2)
    await waitUntil(() => leader.reports.some(({ ended }) => ended.length > 1))
    expect(leader.reports.at(-1)?.worker?.identity?.bornMs).toBe(1)
  })
})
