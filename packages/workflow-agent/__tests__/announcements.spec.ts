import * as timers from 'node:timers/promises'
import * as protocol from '@ebonyweir/protocol'
import * as telemetry from '@ebonyweir/telemetry/logger'
import * as vitest from 'vitest'
import type * as announcements from '../src/announcement.js'
import * as announcementSeries from '../src/announcementSeries.js'
import type * as runners from '../src/runner.js'
import * as workerAgents from '../src/workerAgent.js'
import * as standInLeaders from './standInLeader.js'

const { afterEach, describe, expect, it } = vitest

const WAIT_TIMEOUT_MS = 5_000

/** Longer than the pause between two calls of the agent to its worker. */
const SETTLE_MS = 500

const BORN_MS = 1_000

interface AnnouncementFields {
  readonly id?: string
  readonly bornMs?: number
  readonly sequence?: number
  readonly service?: string
  readonly cpuMillis?: number
  readonly draining?: boolean
}

const announcementOf = (fields: AnnouncementFields): announcements.Announcement => ({
  worker: {
    ...protocol.workflow.WorkerDescription.fromPartial({ service: fields.service ?? 'desk' }),
    capacity: { cpuMillis: fields.cpuMillis ?? 4_000, memoryMb: 100, accelerators: 0 },
    identity: { id: fields.id ?? 'w', bornMs: fields.bornMs ?? BORN_MS },
  },
  sequence: fields.sequence ?? 1,
  draining: fields.draining ?? false,
  drainRemainingMs: 0,
})

const waitUntil = (check: () => boolean): Promise<unknown> =>
  vitest.vi.waitUntil(check, { timeout: WAIT_TIMEOUT_MS })

/** Worker that answers only calls for its id, and names its start time. */
const createWorker = () => {
  const worker = { id: 'w', bornMs: BORN_MS, isMute: false }
  const runner: runners.Runner = {
    start: () => Promise.resolve({ kind: 'started' }),
    stop: () => Promise.resolve('done'),
    pace: () => Promise.resolve('done'),
    list: async ({ id }, { waitMs }) => {
      await timers.setTimeout(Math.min(waitMs, 20))
      if (worker.isMute) return { kind: 'unanswered' }
      if (id !== worker.id) return { kind: 'other-incarnation' }
      const clockMs = Math.round(performance.now())
      const list = { bornMs: worker.bornMs, clockMs, running: [], ended: [], hasMoreEnds: false }
      return { kind: 'list', list }
    },
  }
  return { worker, runner }
}

const closers: (() => void)[] = []

afterEach(() => {
  for (const close of closers.splice(0)) close()
})

const createSubject = async () => {
  const leader = await standInLeaders.createLeader()
  const { worker, runner } = createWorker()
  const agent = workerAgents.createWorkerAgent({
    cell: 'test',
    name: 'a',
    seeds: () => [leader.address],
    runner,
    logger: telemetry.createSilentLogger(),
  })
  closers.push(agent.stop, leader.close)
  agent.start()
  const lastReport = () => leader.reports.at(-1)
  return {
    agent,
    leader,
    worker,
    announce: (fields: AnnouncementFields) => {
      agent.announce(announcementOf(fields))
    },
    lastReport,
    /** Waits for a list of the worker that arrives after this call. */
    waitForList: async () => {
      const { length } = leader.reports
      const sample = lastReport()?.sample ?? 0
      await waitUntil(() =>
        leader.reports
          .slice(length)
          .some((report) => report.sample > 0 && report.sample !== sample),
      )
    },
  }
}

describe('announcements of another writer', () => {
  const cases: readonly { readonly name: string; readonly odd: AnnouncementFields }[] = [
    { name: 'another id, born later', odd: { id: 'other', bornMs: BORN_MS + 1, service: 'no' } },
    { name: 'another id, born earlier', odd: { id: 'other', bornMs: BORN_MS - 1 } },
    { name: 'another id, born far in the future', odd: { id: 'other', bornMs: 2 ** 52 } },
    { name: 'the id of the worker, born far in the future', odd: { bornMs: 2 ** 52 } },
    { name: 'the id of the worker, born earlier', odd: { bornMs: BORN_MS - 1 } },
    {
      name: 'a sequence that the own ones never reach',
      odd: { sequence: 2 ** 52, draining: true },
    },
    { name: 'a service that is not named', odd: { sequence: 2, service: 'no' } },
    { name: 'another capacity', odd: { sequence: 2, cpuMillis: 64_000 } },
  ]

  it.each(cases)('guards against a worker that is displaced by $name', async ({ odd }) => {
    const subject = await createSubject()
    subject.announce({ sequence: 1 })
    await subject.waitForList()
    const { length } = subject.leader.reports
    for (let time = 0; time < 4; time += 1) {
      subject.announce(odd)
      subject.announce({ ...odd, sequence: (odd.sequence ?? 1) + time })
      await timers.setTimeout(50)
    }
    await subject.waitForList()
    subject.announce({ sequence: 2 })
    await timers.setTimeout(SETTLE_MS)
    for (const { worker, draining } of subject.leader.reports.slice(length)) {
      expect(worker).toMatchObject({
        identity: { id: 'w', bornMs: BORN_MS },
        service: 'desk',
        capacity: { cpuMillis: 4_000 },
      })
      expect(draining).toBe(false)
    }
    expect(subject.lastReport()?.sample).toBeGreaterThan(3)
    subject.announce({ sequence: 3, draining: true })
    await waitUntil(() => subject.lastReport()?.draining === true)
  })

  it.each(cases.slice(0, 5))(
    'guards against a new agent that follows $name because it arrives first',
    async ({ odd }) => {
      const subject = await createSubject()
      subject.announce(odd)
      await timers.setTimeout(SETTLE_MS)
      subject.announce({ sequence: 8 })
      await waitUntil(() => {
        const { worker, sample = 0 } = subject.lastReport() ?? {}
        return worker?.identity?.bornMs === BORN_MS && worker.service === 'desk' && sample > 0
      })
      subject.announce({ ...odd, sequence: 2 })
      await timers.setTimeout(SETTLE_MS)
      expect(subject.lastReport()?.worker?.identity).toMatchObject({ id: 'w', bornMs: BORN_MS })
    },
  )

  it('guards against new runs by the description of an announcement that the worker contradicts', async () => {
    const subject = await createSubject()
    subject.announce({ bornMs: 2 ** 52, service: 'no' })
    await waitUntil(() => subject.lastReport()?.worker?.identity?.bornMs === BORN_MS)
    expect(subject.lastReport()?.worker?.service).toBe('')
    subject.announce({ sequence: 8 })
    await waitUntil(() => subject.lastReport()?.worker?.service === 'desk')
  })
})

describe('real incarnations of the worker', () => {
  const cases: readonly {
    readonly name: string
    readonly next: { readonly id: string; readonly bornMs: number }
  }[] = [
    { name: 'a new life under the same id', next: { id: 'w', bornMs: BORN_MS + 50 } },
    { name: 'a replacement under another id', next: { id: 'v', bornMs: BORN_MS + 50 } },
    // The time of day may have been set back between the two starts.
    { name: 'a replacement with an earlier start time', next: { id: 'v', bornMs: BORN_MS - 50 } },
  ]

  it.each(cases)('guards against $name that is not followed', async ({ next }) => {
    const subject = await createSubject()
    subject.announce({ sequence: 40 })
    await subject.waitForList()
    Object.assign(subject.worker, next)
    subject.announce({ ...next, sequence: 1 })
    await waitUntil(() => {
      const { worker, sample = 0 } = subject.lastReport() ?? {}
      return (
        worker?.identity?.id === next.id && worker.identity.bornMs === next.bornMs && sample > 0
      )
    })
    expect(subject.lastReport()?.worker?.service).toBe('desk')
  })

  it('guards against a restarted worker that gets no runs until it announces itself again', async () => {
    const subject = await createSubject()
    subject.announce({ sequence: 1 })
    await subject.waitForList()
    subject.worker.bornMs = BORN_MS + 7
    await waitUntil(() => subject.lastReport()?.worker?.identity?.bornMs === BORN_MS + 7)
    expect(subject.lastReport()?.worker?.service).toBe('desk')
    // Its kind may have changed.
    subject.announce({ bornMs: BORN_MS + 7, sequence: 1, cpuMillis: 9_000 })
    await waitUntil(() => subject.lastReport()?.worker?.capacity?.cpuMillis === 9_000)
  })

  it.each(cases)('follows $name that answers late', async ({ next }) => {
    const subject = await createSubject()
    subject.announce({ sequence: 40 })
    await subject.waitForList()
    Object.assign(subject.worker, next, { isMute: true })
    subject.announce({ ...next, sequence: 1 })
    await timers.setTimeout(SETTLE_MS)
    expect(subject.lastReport()?.worker?.identity?.bornMs).toBe(BORN_MS)
    subject.worker.isMute = false
    await waitUntil(() => {
      const { worker, sample = 0 } = subject.lastReport() ?? {}
      return (
        worker?.identity?.id === next.id && worker.identity.bornMs === next.bornMs && sample > 0
      )
    })
  })
})

describe('series of announcements', () => {
  /** Announcement as "time:sequence", with "d" for another description. */
  type Heard = readonly [atMs: number, sequence: number, other?: 'other' | 'doubt']
  const cases: readonly {
    readonly name: string
    readonly heard: readonly Heard[]
    readonly accepted: readonly number[]
  }[] = [
    {
      name: 'follows rising numbers',
      heard: [
        [0, 1],
        [1_500, 2],
        [3_000, 3],
      ],
      accepted: [1, 2, 3],
    },
    {
      name: 'ignores a late one',
      heard: [
        [0, 4],
        [10, 3],
        [1_500, 5],
      ],
      accepted: [4, 5],
    },
    {
      name: 'guards against one high number after which no other is newer',
      heard: [
        [0, 1],
        [100, 2 ** 50],
        [1_500, 2],
        [1_600, 2 ** 50 + 1],
        [3_000, 3],
      ],
      accepted: [1, 2, 3],
    },
    {
      name: 'guards against a high first number that is followed for good',
      heard: [
        [0, 2 ** 50],
        [1_500, 2],
        [3_000, 3],
        [4_500, 4],
      ],
      accepted: [2 ** 50, 3, 4],
    },
    {
      name: 'guards against an older state from late ones that arrive together',
      heard: [
        [0, 8],
        [1, 5],
        [2, 6],
        [3, 7],
        [1_500, 9],
      ],
      accepted: [8, 9],
    },
    {
      name: 'follows a jump of the worker itself once it repeats',
      heard: [
        [0, 1],
        [1_500, 900],
        [3_000, 901],
      ],
      accepted: [1, 901],
    },
    {
      name: 'follows after a long silence',
      heard: [
        [0, 1],
        [60_000, 41],
      ],
      accepted: [1, 41],
    },
    {
      name: 'guards against another description of the same incarnation',
      heard: [
        [0, 1],
        [100, 2, 'other'],
        [1_500, 2],
        [1_600, 3, 'other'],
        [3_000, 3],
      ],
      accepted: [1, 2, 3],
    },
    {
      name: 'follows the other description at once where the first one is in doubt',
      heard: [
        [0, 1, 'doubt'],
        [100, 1, 'other'],
        [1_500, 2, 'other'],
      ],
      accepted: [1, 1, 2],
    },
  ]

  it.each(cases)('$name', ({ heard, accepted }) => {
    const series = announcementSeries.createAnnouncementSeries(undefined, 0)
    const taken: number[] = []
    for (const [atMs, sequence, mark] of heard) {
      const fields = { sequence, service: mark === 'other' ? 'other' : 'desk' }
      const { worker, ...rest } = announcementOf(fields)
      const identity = { ...worker.identity, agent: 'a' }
      if (series.accepts({ ...rest, worker: { ...worker, identity } }, atMs)) taken.push(sequence)
      if (mark === 'doubt') series.setDoubt(true)
    }
    expect(taken).toEqual(accepted)
  })
})
