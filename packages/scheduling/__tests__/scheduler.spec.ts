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

const domainsOf = (world: support.World, owner: string) => {
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
      'leaves a domain that is out alone',
      (w) => (w.rules(0, { out: ['brest'] }), w.submit('j', { tasks: 20 })),
      { j: { rennes: 8 } },
    ],
  ]

  // Guards against placement that ignores a rule or leaves room unused.
  test.each(cases)('%s', (name, prepare, expected) => {
    const world = support.createWorld()
    addWorkers(world, 2)
    prepare(world)
    for (let n = 0; n < 4; n += 1) world.tick()
    for (const [owner, domains] of Object.entries(expected)) {
      const counts = domainsOf(world, owner)
      if (name === 'keeps a quota') expect((counts.brest ?? 0) + (counts.rennes ?? 0)).toBe(3)
      else expect(counts).toEqual(domains)
    }
  })

  // Guards against a start on a worker that no longer syncs.
  test('avoids a silent worker', () => {
    const world = support.createWorld()
    addWorkers(world, 1)
    for (let n = 0; n < 5; n += 1) world.tick({ silent: n > 0 ? ['brest-0'] : [] })
    world.submit('j', { tasks: 8 })
    world.tick({ silent: ['brest-0'] })
    expect(domainsOf(world, 'j')).toEqual({ rennes: 4 })
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

  // Guards against a job that blocks the queue behind it, and against silence about it.
  test.each(cases)('%s is reported and holds nobody up', (_name, prepare, expected) => {
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

  // Guards against a queue whose head never moves and hides thousands of small jobs.
  test('small jobs behind a thousand blocked ones are reached', () => {
    const world = support.createWorld()
    addWorkers(world, 1)
    for (let n = 0; n < 1000; n += 1) world.submit(`big${n}`, { resources: huge })
    world.submit('small')
    for (let n = 0; n < 8; n += 1) world.tick()
    expect(world.view.job('small')?.assignedTasks).toBe(1)
  })
})

describe('urgency', () => {
  // Guards against urgent work that waits for normal work to end. Fails with `preemption: false`.
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

describe('cancellation wave', () => {
  // Guards against a wave that takes several passes.
  test('every running task is stopped by one decision', () => {
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
  // Guards against a worker that fails everything and, always free, attracts all work.
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

describe('a failure domain that leaves', () => {
  const run = (drainOrder: boolean) => {
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
    return { least, runners: domainsOf(world, 'desk'), batch: domainsOf(world, 'j') }
  }

  // Guards against service capacity that drops while runners move. With the drain order off the
  // runners stop before their replacements run.
  test.each([
    [true, 8],
    [false, 4],
  ])('with drain order %s at least %i runners stay', (drainOrder, least) => {
    const seen = run(drainOrder)
    expect(seen.least).toBe(least)
    expect(seen.runners).toEqual({ rennes: 8 })
    expect(seen.batch.brest).toBeUndefined()
  })
})
