import * as protocol from '@ebonyweir/protocol'
import * as vitest from 'vitest'
import * as harnesses from './termHarness.js'

const { afterEach, describe, expect, it } = vitest
const { EndKind } = protocol.workflow

const ON = { localityWait: true, remoteFactor: 3 } as const
const WAIT_LINE = 'step waits for its rack'

let harness: ReturnType<typeof harnesses.createTermHarness>

afterEach(() => {
  harness.close()
})

const settle = (): Promise<unknown> => harness.pass(20)

/** Progress of the near worker's task, in percent: one percent in 10 ms from `from` on, up to `most`. */
interface Advance {
  readonly from: number
  readonly most: number
}

const STANDS: Advance = { from: 0, most: 0 }

/** Keeps the workers listed for `forMs`; a worker that is left out is lost. */
const live = async (
  agents: Partial<Agents>,
  forMs: number,
  { from, most }: Advance = STANDS,
): Promise<void> => {
  for (let passedMs = 0; passedMs < forMs; passedMs += 100) {
    const percent = Math.min(most, from + passedMs / 10)
    agents.near?.report({ ...NEAR, running: ['busy.0.0.0#1'], percent })
    agents.far?.report({ ...FAR, running: agents.far.starts() })
    await harness.pass(100)
  }
}

const NEAR = { rack: 'near', cpuMillis: 1_000 } as const
const FAR = { rack: 'far' } as const

interface Agents {
  readonly near: harnesses.Agent
  readonly far: harnesses.Agent
}

const attach = (): Agents => {
  const agents = { near: harness.attach('n'), far: harness.attach('f') }
  agents.near.report(NEAR)
  agents.far.report(FAR)
  return agents
}

/** A near worker that is busy for a while, a free remote one, and a job that wants the near one. */
const begin = async (
  fields: Parameters<typeof harnesses.createTermHarness>[0],
  estimatedMs = 1_000,
): Promise<Agents> => {
  harness = harnesses.createTermHarness(fields)
  const agents = attach()
  harness.submit('busy', [{ dataRack: 'near' }])
  await settle()
  harness.submit('j', [{ dataRack: 'near', estimatedMs }], 3)
  await settle()
  return agents
}

const endBusy = (near: harnesses.Agent): void => {
  near.report({ ...NEAR, ended: [[1, 'busy.0.0.0#1', EndKind.COMPLETED]] })
}

const waitLines = () => harness.logs.filter(({ message }) => message === WAIT_LINE)

describe('waits of a term', () => {
  it.each([
    { name: 'the part is off', fields: {} },
    { name: 'a remote run loses no time', fields: { localityWait: true, remoteFactor: 1 } },
  ])('guards against a wait while $name', async ({ fields }) => {
    const { far } = await begin(fields)
    expect(far.starts()).toEqual(['j.0.0.0#1'])
    expect(waitLines()).toEqual([])
    expect(harness.work.totals().counts).toMatchObject({ localityWaits: 0, localityRemote: 0 })
  })

  it('start the task near its data once the near worker is free', async () => {
    const agents = await begin(ON, 1_200)
    await live(agents, 300, { from: 0, most: 100 })
    expect(agents.far.starts()).toEqual([])
    endBusy(agents.near)
    await settle()
    expect(agents.near.starts()).toEqual(['busy.0.0.0#1', 'j.0.0.0#1'])
    const { counts } = harness.work.totals()
    expect(counts).toMatchObject({ localityWaits: 1, localityNear: 2, localityRemote: 0 })
    expect(counts.localityWaitedMs).toBeGreaterThan(200)
  })

  it('are logged once per step, with rack, expected wait, loss and bound', async () => {
    const agents = await begin(ON, 1_200)
    await live(agents, 500)
    expect(waitLines()).toEqual([
      expect.objectContaining({
        step: 'j.0.0',
        rack: 'near',
        expectedWaitMs: 1_000,
        lossMs: 2_400,
      }),
    ])
  })

  it('guards against a wait beyond the latest start', async () => {
    const agents = await begin(ON, 1_200)
    await live(agents, 1_100, { from: 0, most: 95 })
    expect(agents.far.starts()).toEqual([])
    await live(agents, 200, { from: 95, most: 95 })
    expect(agents.far.starts()).toEqual(['j.0.0.0#1'])
  })

  it('guards against a wait for a near worker that is lost', async () => {
    const { near, far } = await begin(ON, 4_000)
    await live({ near, far }, 300)
    expect(far.starts()).toEqual([])
    await live({ far }, 2_000)
    expect(far.starts()).toEqual(['j.0.0.0#1'])
  })

  it('guards against a wait for a near worker that drains', async () => {
    const { near, far } = await begin(ON, 4_000)
    near.report({ ...NEAR, running: near.starts(), draining: true })
    await harness.pass(200)
    expect(far.starts()).toContain('j.0.0.0#1')
  })

  it('guards against a new leader that waits beyond the latest start', async () => {
    const before = await begin(ON, 1_200)
    await live(before, 700, { from: 0, most: 100 })
    harness.changeLeader()
    const near = harness.attach('n')
    await live({ near }, 100, { from: 70, most: 70 })
    const far = harness.attach('f')
    far.report(FAR)
    await live({ near, far }, 300, { from: 80, most: 95 })
    expect(far.starts()).toEqual([])
    await live({ near, far }, 200, { from: 95, most: 95 })
    expect(far.starts()).toEqual(['j.0.0.0#1'])
  })

  it('guards against a new leader that takes a near worker as free without its list', async () => {
    await begin(ON, 1_200)
    harness.changeLeader()
    const far = harness.attach('f')
    far.report(FAR)
    await settle()
    expect(far.starts()).toEqual(['j.0.0.0#1'])
  })

  it('guards against expected durations that include the lost time of remote runs', async () => {
    harness = harnesses.createTermHarness(ON)
    const agents = attach()
    // No worker is in the rack of this data, so each run takes three times as long as estimated.
    for (const [number, id] of ['a', 'b', 'c'].entries()) {
      harness.submit(id, [{ dataRack: 'gone' }])
      await settle()
      const holder = agents.near.starts().includes(`${id}.0.0.0#1`) ? agents.near : agents.far
      const fields = holder === agents.near ? NEAR : FAR
      for (let passedMs = 0; passedMs < 3_000; passedMs += 100) {
        agents.near.report(NEAR)
        agents.far.report(FAR)
        holder.report({ ...fields, running: [`${id}.0.0.0#1`], percent: passedMs / 30 })
        await harness.pass(100)
      }
      holder.report({ ...fields, ended: [[number + 1, `${id}.0.0.0#1`, EndKind.COMPLETED]] })
      await settle()
    }
    harness.submit('busy', [{ dataRack: 'near' }])
    await settle()
    await live(agents, 400, { from: 0, most: 100 })
    harness.submit('j', [{ dataRack: 'near' }])
    await settle()
    const [line] = waitLines()
    expect(line?.lossMs).toBeGreaterThan(1_900)
    expect(line?.lossMs).toBeLessThan(2_100)
  })

  it('guards against rounds that waits cause in addition to those of the sweeps', async () => {
    const agents = await begin(ON, 3_000)
    const before = harness.work.totals().counts.rounds
    await live(agents, 1_000)
    // One round for each sweep, and the end of the wait.
    expect(harness.work.totals().counts.rounds - before).toBeLessThanOrEqual(11)
  })
})
