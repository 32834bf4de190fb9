import * as timers from 'node:timers/promises'
import * as protocol from '@ebonyweir/protocol'
import * as telemetry from '@ebonyweir/telemetry/logger'
import * as workflowState from '@ebonyweir/workflow-state'
import * as vitest from 'vitest'
import type * as runners from '../src/runner.js'
import * as workerAgents from '../src/workerAgent.js'
import * as standInLeaders from './standInLeader.js'

const { afterEach, describe, expect, it } = vitest
const { EndKind } = protocol.workflow
const { RUN } = standInLeaders

const ID = 'w'

const WAIT_OPTIONS = { timeout: 10_000, interval: 10 }

/** Time limit of an order whose answer does not come. */
const ORDER_TIMEOUT_MS = 100

/** Longer than the pauses of the agent between two calls. */
const SETTLE_MS = 600

interface Life {
  readonly bornMs: number
  fence: number
  running: protocol.workflow.TaskRun[]
  ended: protocol.workflow.ListedEnd[]
  barred: Map<string, number>
}

type StartOrder = runners.RunnerStart

/**
 * Worker that keeps the highest fence of each life. A start order that it holds gets no answer and is carried out when
 * the test says so.
 */
const createWorker = () => {
  const held: StartOrder[] = []
  const starts: string[] = []
  let life: Life | undefined
  let bornMs = 0
  let holdsStarts = false
  let silent = false
  let endCount = 0

  const begin = (): void => {
    bornMs += 1
    life = { bornMs, fence: 0, running: [], ended: [], barred: new Map() }
  }
  begin()

  const isFenced = (current: Life, fence: number): boolean => {
    if (fence < current.fence) return true
    current.fence = fence
    return false
  }

  const carryOut = ({ run, fence }: StartOrder): runners.StartAnswer => {
    if (life === undefined) return { kind: 'unanswered' }
    if (isFenced(life, fence)) return { kind: 'refused', reason: 'fence' }
    const key = workflowState.runKey(run)
    if (life.running.some((other) => workflowState.runKey(other) === key))
      return { kind: 'started' }
    if ((life.barred.get(workflowState.taskKey(run)) ?? 0) >= run.run) {
      return { kind: 'refused', reason: 'old' }
    }
    life.running.push(run)
    starts.push(`${key} in life ${life.bornMs}`)
    return { kind: 'started' }
  }

  const bar = (current: Life, run: protocol.workflow.TaskRun): void => {
    const key = workflowState.taskKey(run)
    current.barred.set(key, Math.max(run.run, current.barred.get(key) ?? 0))
  }

  const endRun = (
    current: Life,
    run: protocol.workflow.TaskRun,
    kind: protocol.workflow.EndKind,
  ) => {
    const key = workflowState.runKey(run)
    if (!current.running.some((other) => workflowState.runKey(other) === key)) return
    current.running = current.running.filter((other) => workflowState.runKey(other) !== key)
    bar(current, run)
    endCount += 1
    current.ended.push({ number: endCount, end: { run, kind, checkpoint: '' } })
  }

  const runner: runners.Runner = {
    start: async (_identity, order) => {
      if (holdsStarts) {
        held.push(order)
        await timers.setTimeout(ORDER_TIMEOUT_MS)
        return { kind: 'unanswered' }
      }
      return carryOut(order)
    },
    stop: (_identity, run, fence) => {
      if (life === undefined) return Promise.resolve('unanswered')
      if (isFenced(life, fence)) return Promise.resolve('fence')
      bar(life, run)
      endRun(life, run, EndKind.STOPPED)
      return Promise.resolve('done')
    },
    list: async (_identity, { fence, acknowledgedEnd, waitMs }) => {
      const called = life
      if (called === undefined || silent) return { kind: 'unanswered' }
      if (isFenced(called, fence)) return { kind: 'fence' }
      called.ended = called.ended.filter(({ number }) => number > acknowledgedEnd)
      if (called.ended.length === 0) await timers.setTimeout(Math.min(waitMs, 20))
      if (life !== called) return { kind: 'unanswered' }
      const running = called.running.map((run) => ({
        run,
        checkpoint: '',
        progressPercent: 0,
        figure: 0,
        pacePercent: 100,
      }))
      const clockMs = Math.round(performance.now())
      return {
        kind: 'list',
        list: {
          bornMs: called.bornMs,
          clockMs,
          running,
          ended: called.ended,
          hasMoreEnds: false,
        },
      }
    },
    pace: () => Promise.resolve('done'),
  }

  return {
    runner,
    held,
    starts,
    bornMs: () => bornMs,
    /** Fence that the current life has seen; 0 before the first call. */
    fence: () => life?.fence ?? 0,
    hold: (value: boolean) => {
      holdsStarts = value
    },
    setSilent: (value: boolean) => {
      silent = value
    },
    end: (kind: protocol.workflow.EndKind) => {
      if (life !== undefined) endRun(life, RUN, kind)
    },
    crash: () => {
      life = undefined
    },
    begin,
    /** Carries out the orders that were held, as the current life. */
    carryOutLate: () => held.splice(0).map(carryOut),
  }
}

const closers: (() => void)[] = []

afterEach(() => {
  for (const close of closers.splice(0)) close()
})

const createSubject = async (options: { readonly numbersStreams?: boolean } = {}) => {
  const leader = await standInLeaders.createLeader(options)
  const worker = createWorker()
  let sequence = 0
  const createAgent = () => {
    const created = workerAgents.createWorkerAgent({
      cell: 'test',
      name: 'a',
      seeds: () => [leader.address],
      runner: worker.runner,
      logger: telemetry.createSilentLogger(),
    })
    created.start()
    return created
  }
  let agent = createAgent()
  closers.push(() => {
    agent.stop()
    leader.close()
  })
  const announce = (labels: readonly string[] = []): void => {
    sequence += 1
    agent.announce({
      worker: {
        ...protocol.workflow.WorkerDescription.fromPartial({ service: 'desk' }),
        labels,
        identity: { id: ID, bornMs: worker.bornMs() },
      },
      sequence,
      draining: false,
      drainRemainingMs: 0,
    })
  }
  /** Waits until a report has a list of the current life. */
  const waitForList = (): Promise<unknown> =>
    vitest.vi.waitUntil(() => {
      const last = leader.reports.at(-1)
      return last?.worker?.identity?.bornMs === worker.bornMs() && last.sample > 0
    }, WAIT_OPTIONS)
  return {
    leader,
    worker,
    announce,
    waitForList,
    isListed: (kind: 'running' | 'ended') =>
      vitest.vi.waitUntil(() => (leader.reports.at(-1)?.[kind].length ?? 0) > 0, WAIT_OPTIONS),
    restartAgent: () => {
      agent.stop()
      leader.reports.splice(0)
      agent = createAgent()
    },
    /** A start order gets no answer; the agent repeats it, and the worker starts the run. */
    startWithLateCopy: async (order: Partial<protocol.workflow.StartOrder> = {}) => {
      announce()
      await waitForList()
      worker.hold(true)
      leader.start(order)
      await vitest.vi.waitUntil(() => worker.held.length > 0, WAIT_OPTIONS)
      worker.hold(false)
      await vitest.vi.waitUntil(() => worker.starts.length > 0, WAIT_OPTIONS)
    },
    /** The worker crashes and starts again under its id. */
    restartWorker: async () => {
      worker.crash()
      await timers.setTimeout(SETTLE_MS)
      worker.begin()
    },
  }
}

type Subject = Awaited<ReturnType<typeof createSubject>>

const FIRST_START = `${workflowState.runKey(RUN)} in life 1`

describe('a start order without an answer that the next life of the worker gets', () => {
  const cases: readonly {
    readonly name: string
    readonly order?: Partial<protocol.workflow.StartOrder>
    readonly before?: (subject: Subject) => Promise<unknown>
    readonly restart?: (subject: Subject) => Promise<unknown>
  }[] = [
    {
      name: 'completed, and its end was acknowledged',
      before: async ({ worker, leader, isListed }) => {
        worker.end(EndKind.COMPLETED)
        await isListed('ended')
        leader.commit(1)
        await timers.setTimeout(SETTLE_MS)
      },
    },
    { name: 'was at work in the crash' },
    { name: 'had started from a checkpoint', order: { checkpoint: 'saved', repeated: true } },
    {
      name: 'had failed',
      before: async ({ worker, isListed }) => {
        worker.end(EndKind.FAILED)
        await isListed('ended')
      },
    },
    {
      name: 'was stopped with its job',
      before: async ({ leader, isListed }) => {
        leader.stop()
        await isListed('ended')
      },
    },
    {
      name: 'ran two lives ago',
      restart: async (subject) => {
        await subject.restartWorker()
        subject.announce()
        await subject.waitForList()
        await subject.restartWorker()
        subject.announce()
      },
    },
    {
      name: 'ran in a life of another kind',
      restart: async (subject) => {
        await subject.restartWorker()
        subject.announce(['b'])
      },
    },
    {
      name: 'ran in a life after which no announcement has come',
      restart: (subject) => subject.restartWorker(),
    },
    {
      name: 'was ordered by an agent that was killed after the crash',
      restart: async (subject) => {
        subject.worker.crash()
        subject.restartAgent()
        await timers.setTimeout(SETTLE_MS)
        subject.worker.begin()
        subject.announce()
      },
    },
    {
      name: 'was ordered by an agent that was killed before the crash',
      restart: async (subject) => {
        subject.restartAgent()
        subject.announce()
        await subject.waitForList()
        await subject.restartWorker()
        subject.announce()
      },
    },
    {
      name: 'was ordered on an earlier stream to the leader',
      restart: async (subject) => {
        subject.leader.resign()
        await subject.restartWorker()
        subject.announce()
      },
    },
    {
      name: 'was ordered in an earlier term',
      restart: async (subject) => {
        subject.leader.changeTerm()
        await subject.restartWorker()
        subject.announce()
      },
    },
    {
      name: 'ran in a life that was silent before it crashed',
      restart: async (subject) => {
        subject.worker.setSilent(true)
        await timers.setTimeout(SETTLE_MS)
        await subject.restartWorker()
        subject.worker.setSilent(false)
        subject.announce()
      },
    },
  ]

  it.each(cases)('guards against a second start of a run that $name', async (row) => {
    const subject = await createSubject()
    await subject.startWithLateCopy(row.order)
    await row.before?.(subject)
    await (row.restart?.(subject) ??
      subject.restartWorker().then(() => {
        subject.announce()
      }))
    await subject.waitForList()
    const answers = subject.worker.carryOutLate()
    expect(answers).toEqual([{ kind: 'refused', reason: 'fence' }])
    expect(subject.worker.starts).toEqual([FIRST_START])
  })

  it('is void from the first call that reaches that life', async () => {
    const subject = await createSubject()
    await subject.startWithLateCopy()
    await subject.restartWorker()
    await vitest.vi.waitUntil(() => subject.worker.fence() > 0, WAIT_OPTIONS)
    expect(subject.worker.carryOutLate()).toEqual([{ kind: 'refused', reason: 'fence' }])
  })

  it('is void in the same life once a call has followed it', async () => {
    const subject = await createSubject()
    await subject.startWithLateCopy()
    expect(subject.worker.carryOutLate()).toEqual([{ kind: 'refused', reason: 'fence' }])
    expect(subject.worker.starts).toEqual([FIRST_START])
  })
})

describe('orders after the token has risen', () => {
  it.each([
    { name: 'a new life', raise: (subject: Subject) => subject.restartWorker() },
    {
      name: 'a silence',
      raise: async (subject: Subject) => {
        subject.worker.setSilent(true)
        await timers.setTimeout(SETTLE_MS)
        subject.worker.setSilent(false)
      },
    },
    {
      name: 'many announcements of a later life by another writer',
      raise: async (subject: Subject) => {
        for (let bornMs = 100; bornMs < 130; bornMs += 1) {
          subject.announce()
          await timers.setTimeout(20)
        }
      },
    },
  ])('are carried out after $name', async ({ raise }) => {
    const subject = await createSubject()
    await subject.startWithLateCopy()
    await raise(subject)
    subject.announce()
    await subject.waitForList()
    const next = { ...RUN, index: 1 }
    subject.leader.start({ run: next })
    const started = `${workflowState.runKey(next)} in life ${subject.worker.bornMs()}`
    await vitest.vi.waitUntil(() => subject.worker.starts.includes(started), WAIT_OPTIONS)
  })

  it('guards against a refused worker beside a leader that does not number its streams', async () => {
    const subject = await createSubject({ numbersStreams: false })
    await subject.startWithLateCopy()
    const fence = subject.worker.fence()
    subject.restartAgent()
    subject.announce()
    await subject.waitForList()
    subject.leader.start({ run: { ...RUN, index: 1 } })
    await vitest.vi.waitUntil(() => subject.worker.starts.length > 1, WAIT_OPTIONS)
    expect(subject.worker.fence()).toBe(fence)
  })
})
