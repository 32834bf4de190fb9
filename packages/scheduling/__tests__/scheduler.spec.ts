import * as vitest from 'vitest'
import * as protocol from '@ebonyweir/protocol'
import * as support from './support.js'

const { describe, expect, test } = vitest
const { FAILED } = protocol.command.TaskOutcome

const addWorkers = (world: support.World, perDomain: number, domains = ['brest', 'rennes']) => {
  for (const failureDomain of domains)
    for (let n = 0; n < perDomain; n += 1)
      world.worker(`${failureDomain}-${n}`, { failureDomain, rack: `r${n}` })
}

const countByDomain = (world: support.World, owner: string) => {
  const counts: Record<string, number> = {}
  for (const worker of world.view.workers())
    for (const task of worker.tasks.values())
      if (task.owner === owner)
        counts[worker.failureDomain] = (counts[worker.failureDomain] ?? 0) + 1
  return counts
}

describe('placement', () => {
  const cases: readonly (readonly [string, (world: support.World) => void, object])[] = [
    [
      'spreads runners over failure domains',
      (w) => w.rules(0, { services: { desk: 4 } }),
      { desk: { brest: 2, rennes: 2 } },
    ],
    ['fills every worker', (w) => w.submit('j', { tasks: 20 }), { j: { brest: 8, rennes: 8 } }],
    [
      'follows a placement rule',
      (w) => (w.rules(0, { fitting: ['rennes'] }), w.submit('j', { tasks: 20 })),
      { j: { rennes: 8 } },
    ],
    [
      'keeps a quota',
      (w) => (w.rules(0, { teams: { workshop: 3000 } }), w.submit('j', { tasks: 20 })),
      { j: {} },
    ],
    [
      'avoids a failure domain that is out of service',
      (w) => (w.rules(0, { out: ['brest'] }), w.submit('j', { tasks: 20 })),
      { j: { rennes: 8 } },
    ],
  ]

  // Guards against placement that ignores a rule or leaves capacity unused.
  test.each(cases)('%s', (name, prepare, expected) => {
    const world = support.createWorld()
    addWorkers(world, 2)
    prepare(world)
    for (let n = 0; n < 4; n += 1) world.tick()
    for (const [owner, domains] of Object.entries(expected)) {
      const counts = countByDomain(world, owner)
      if (name === 'keeps a quota') expect((counts.brest ?? 0) + (counts.rennes ?? 0)).toBe(3)
      else expect(counts).toEqual(domains)
    }
  })

  // Guards against assignments to a worker that no longer syncs.
  test('avoids an unresponsive worker', () => {
    const world = support.createWorld()
    addWorkers(world, 1)
    for (let n = 0; n < 5; n += 1) world.tick({ unresponsive: n > 0 ? ['brest-0'] : [] })
    world.submit('j', { tasks: 8 })
    world.tick({ unresponsive: ['brest-0'] })
    expect(countByDomain(world, 'j')).toEqual({ rennes: 4 })
  })
})

describe('jobs that can never run', () => {
  const huge = { cpuMillis: 99_000, memoryMb: 1, accelerators: 0 }
  const cases: readonly (readonly [string, (world: support.World) => void, object])[] = [
    [
      'a huge job',
      (w) => w.submit('bad', { tasks: 500, resources: huge }),
      { reason: 'larger than every worker', rule: undefined },
    ],
    [
      'a placement rule without workers',
      (w) => (
        w.rules(0, { fitting: ['vannes'] }),
        w.submit('bad', { tasks: 500, kind: 'fitting-plan' }),
        w.submit('bad', {})
      ),
      { reason: 'placement rule leaves no worker', rule: { line: 1, requestedBy: 'Yann Le Goff' } },
    ],
    [
      'a small quota',
      (w) => (w.rules(0, { teams: { workshop: 500, wards: 90_000 } }), w.submit('bad')),
      { reason: 'team quota is too small for one task', rule: { key: 'team.workshop' } },
    ],
  ]

  // Guards against jobs that can never run and block the queue behind them or are not reported.
  test.each(cases)('%s is reported and does not block other jobs', (_name, prepare, expected) => {
    const world = support.createWorld()
    addWorkers(world, 1)
    prepare(world)
    world.submit('good', { tasks: 2, kind: 'survey', team: 'wards' })
    const decision = world.tick()
    expect(decision.unplaced).toContainEqual(
      expect.objectContaining({ subject: 'bad', never: true }),
    )
    expect(decision.unplaced.find(({ subject }) => subject === 'bad')).toMatchObject(expected)
    expect(world.view.job('good')?.assignedTasks).toBe(2)
  })

  // Guards against jobs starving behind a queue head that makes no progress.
  test('a small job behind 1000 blocked jobs is placed', () => {
    const world = support.createWorld()
    addWorkers(world, 1)
    for (let n = 0; n < 1000; n += 1) world.submit(`big${n}`, { resources: huge })
    world.submit('small')
    for (let n = 0; n < 8; n += 1) world.tick()
    expect(world.view.job('small')?.assignedTasks).toBe(1)
  })
})

describe('urgency', () => {
  // Guards against urgent tasks that wait for normal tasks to end. Fails with `preemption: false`.
  test('an urgent task starts within 10 s on full workers, a normal one does not', () => {
    const world = support.createWorld()
    addWorkers(world, 2)
    world.submit('normal', { tasks: 100 })
    for (let n = 0; n < 3; n += 1) world.tick()
    world.submit('urgent', { urgent: true })
    world.submit('late', { kind: 'late' })
    for (let n = 0; n < 10; n += 1) world.tick()
    expect(world.view.job('urgent')?.assignedTasks).toBe(1)
    expect(world.view.job('late')?.assignedTasks).toBe(0)
  })
})

describe('mass cancellation', () => {
  // Guards against a cancellation of many jobs that takes several decisions.
  test('one decision stops every running task', () => {
    const world = support.createWorld()
    addWorkers(world, 20)
    for (let n = 0; n < 100; n += 1) world.submit(`j${n}`)
    for (let n = 0; n < 3; n += 1) world.tick()
    const jobs = Array.from({ length: 100 }, (_, n) => `j${n}`)
    world.run({ $case: 'cancelJobs', value: { jobs, operator: 'Yann Le Goff' } })
    expect(world.tick().stops).toHaveLength(100)
    expect(world.tick().stops).toHaveLength(0)
  })
})

describe('quarantine', () => {
  // Guards against a worker that fails everything and, since it is always free, attracts all tasks.
  // Fails with `quarantine: false`.
  test('a worker that fails everything gets one task after a backoff', () => {
    const world = support.createWorld()
    addWorkers(world, 1, ['brest', 'rennes', 'vannes'])
    let failedStarts = 0
    for (let n = 0; n < 60; n += 1) {
      world.submit(`j${n}`, { tasks: 3, maxFailures: 100 })
      world.tick()
      for (const task of [...(world.view.worker('brest-0')?.tasks.values() ?? [])]) {
        failedStarts += 1
        world.end(task.task, task.attempt, FAILED)
      }
    }
    expect(failedStarts).toBeGreaterThanOrEqual(3)
    expect(failedStarts).toBeLessThanOrEqual(10)
  })
})

describe('drain of a failure domain', () => {
  const runScenario = (drainOrder: boolean) => {
    const world = support.createWorld({ drainOrder })
    addWorkers(world, 2)
    world.rules(0, { services: { desk: 8 } })
    for (let n = 0; n < 3; n += 1) world.tick()
    world.submit('j', { tasks: 100 })
    for (let n = 0; n < 3; n += 1) world.tick()
    world.rules(1, { services: { desk: 8 }, out: ['brest'] })
    let least = 8
    for (let n = 0; n < 10; n += 1) {
      world.tick()
      const tasks = [...(world.view.service('desk')?.tasks.values() ?? [])]
      least = Math.min(least, tasks.filter(({ worker }) => worker !== '').length)
    }
    return { least, runners: countByDomain(world, 'desk'), batch: countByDomain(world, 'j') }
  }

  // Guards against service capacity that drops while runners move. Without the drain order, runners
  // stop before their replacements run.
  test.each([
    [true, 8],
    [false, 4],
  ])('with drain order %s at least %i runners remain assigned', (drainOrder, least) => {
    const observed = runScenario(drainOrder)
    expect(observed.least).toBe(least)
    expect(observed.runners).toEqual({ rennes: 8 })
    expect(observed.batch.brest).toBeUndefined()
  })
})
