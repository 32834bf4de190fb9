import * as crypto from 'node:crypto'
import * as fc from 'fast-check'
import * as vitest from 'vitest'
import * as support from './support.js'

const { expect, it } = vitest
const { createCell, queue, step, worker } = support

/** SHA-256 of the plans below at commit b51c689, before optional parts of the scheduling were added. */
const PLANS_BEFORE = 'f6e3b59b677f430648bf1503dc0fb400438a12b89803efedeaa2526d57129f93'

const CELLS = 300
const SEED = 4

const racks = fc.constantFrom('r1', 'r2', 'r3')
const workers = fc.array(
  fc.record({ rack: racks, slots: fc.integer({ min: 1, max: 6 }), failures: fc.nat(2) }),
  { minLength: 1, maxLength: 6 },
)
const jobs = fc.array(
  fc.record({
    taskCount: fc.integer({ min: 1, max: 4 }),
    dataRack: fc.oneof(racks, fc.constant('')),
    sameRack: fc.boolean(),
    gang: fc.boolean(),
    filling: fc.boolean(),
    lasting: fc.boolean(),
    maxPerWorker: fc.nat(2),
    estimatedMs: fc.integer({ min: 100, max: 5_000 }),
    priority: fc.nat(2),
  }),
  { minLength: 1, maxLength: 8 },
)

/** Plans of two rounds; the jobs of the second one find the workers as the first one left them. */
const plansOf = ([drawnWorkers, drawnJobs]: readonly [
  readonly { readonly rack: string; readonly slots: number; readonly failures: number }[],
  readonly ({ readonly priority: number } & Parameters<typeof step>[0])[],
]): readonly (readonly string[])[] => {
  const descriptions = drawnWorkers.map(({ rack, slots }, index) =>
    worker(`w${index}`, {
      rack,
      capacity: { cpuMillis: slots * 1_000, memoryMb: 100, accelerators: 0 },
    }),
  )
  const eligible = descriptions.map((description, index) => ({
    description,
    consecutiveFailures: drawnWorkers[index]?.failures ?? 0,
  }))
  const cell = createCell(descriptions)
  return [0, 1].map((round) => {
    for (const [index, { priority, ...fields }] of drawnJobs.entries()) {
      if (index % 2 === round) cell.submit(`j${index}`, [step(fields)], queue({ priority }))
    }
    return cell.plan({ workers: eligible, nowMs: 500 * round })
  })
}

it('guards against other plans with the optional parts off', () => {
  const cells = fc.sample(fc.tuple(workers, jobs), { numRuns: CELLS, seed: SEED })
  const plans = cells.map(plansOf)
  const placed = plans.flat(2).length
  expect(placed).toBeGreaterThan(CELLS)
  const digest = crypto.createHash('sha256').update(JSON.stringify(plans)).digest('hex')
  expect(digest).toBe(PLANS_BEFORE)
})
