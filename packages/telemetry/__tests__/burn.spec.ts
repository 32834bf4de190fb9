import * as burn from '@ebonyweir/telemetry/burn'
import * as telemetry from '@ebonyweir/telemetry'
import * as stream from 'node:stream'
import * as vitest from 'vitest'

const { describe, expect, test } = vitest

const MINUTE_MS = 60_000
const NOW_MS = 1_000 * MINUTE_MS

/** Bucket of one minute that starts `minutesAgo` minutes before now. */
function bucket(
  minutesAgo: number,
  good: number,
  bad: number,
  attribution: Partial<burn.AttributedCounts> = {},
): burn.AttributedCounts {
  const startMs = NOW_MS - minutesAgo * MINUTE_MS
  const counts = { startMs, lengthMs: MINUTE_MS, good, late: bad, failed: 0, refused: 0 }
  return { ...counts, endpoint: '', failureDomain: '', rule: '', ...attribution }
}

describe('computeServiceBurn', () => {
  const lastMinutes = (minutes: number, good: number, bad: number) =>
    Array.from({ length: minutes }, (_, index) => bucket(index + 1, good, bad))

  const cases: readonly (readonly [
    string,
    readonly burn.AttributedCounts[],
    readonly boolean[],
    number,
  ])[] = [
    ['no requests', [], [false, false], 1],
    ['only good requests', lastMinutes(60, 100, 0), [false, false], 1],
    ['exactly the budget', lastMinutes(360, 99, 1), [false, false], 0],
    [
      'a short outage after a good hour',
      [bucket(1, 0, 10), ...lastMinutes(60, 100, 0)],
      [false, false],
      0.84,
    ],
    ['an hour with every fifth bad', lastMinutes(60, 80, 20), [true, true], -19],
    [
      'an outage that ended ten minutes ago',
      [...lastMinutes(60, 80, 20).slice(10), ...lastMinutes(10, 100, 0)],
      [false, true],
      -15.67,
    ],
    ['six hours with every tenth bad', lastMinutes(360, 90, 10), [false, true], -9],
  ]

  // Guards against alerting on a spike that is over, and against missing a sustained burn.
  test.each(cases)(
    'finds the burning window pairs after %s',
    (_name, buckets, burning, budgetLeft) => {
      const result = burn.computeServiceBurn('swap-desk', 0.99, buckets, NOW_MS)
      expect(result.pairs.map((pair) => pair.burning)).toEqual(burning)
      expect(result.budgetLeft).toBeCloseTo(budgetLeft, 1)
    },
  )

  // Guards against counting buckets outside the window.
  test('counts only the last six hours', () => {
    const buckets = [bucket(361, 0, 5), bucket(360, 1, 0), bucket(-1, 0, 5)]
    expect(burn.computeServiceBurn('s', 0.99, buckets, NOW_MS).window).toEqual({ bad: 0, total: 1 })
  })

  // Guards against a report that blames the busiest endpoint or domain instead of the failing one.
  test('lists the causes with the most bad requests first', () => {
    const buckets = [
      bucket(1, 900, 1, { failureDomain: 'rennes', endpoint: 'a' }),
      bucket(1, 10, 6, {
        failureDomain: 'brest',
        endpoint: 'b',
        rule: 'rules line 5 (requested by Ops)',
      }),
      bucket(2, 10, 3, { failureDomain: 'brest', endpoint: 'c' }),
    ]
    const { causes } = burn.computeServiceBurn('s', 0.99, buckets, NOW_MS)
    expect(causes.map(({ place, name, bad, share }) => [place, name, bad, share])).toEqual([
      ['failureDomain', 'brest', 9, 0.9],
      ['failureDomain', 'rennes', 1, 0.1],
      ['endpoint', 'b', 6, 0.6],
      ['endpoint', 'c', 3, 0.3],
      ['endpoint', 'a', 1, 0.1],
      ['rule', 'rules line 5 (requested by Ops)', 6, 0.6],
    ])
  })
})

describe('createLogger', () => {
  // Guards against log lines that a collector cannot parse or that lack the fields of the process.
  test('writes one JSON line per call with the fields of the process', () => {
    const written: string[] = []
    const sink = new stream.Writable({
      write: (chunk: Buffer, _encoding, done) => {
        written.push(chunk.toString())
        done()
      },
    })
    const logger = telemetry.createLogger({
      level: 'warn',
      fields: { role: 'entry' },
      stream: sink,
    })
    logger.info('not written')
    logger.warn('two\nlines', { level: 'other', service: 'swap-desk' })
    expect(written).toHaveLength(1)
    expect(written[0]?.indexOf('\n')).toBe((written[0]?.length ?? 0) - 1)
    const expected = { level: 'warn', message: 'two\nlines', role: 'entry', service: 'swap-desk' }
    expect(JSON.parse(written[0] ?? '')).toMatchObject(expected)
  })
})

describe('createMetrics', () => {
  // Guards against registries in the same process that share counters.
  test('renders its own metrics with the prefix and labels', async () => {
    const labels = { role: 'entry' }
    const [one, two] = [1, 2].map(() => telemetry.createMetrics({ labels, processMetrics: false }))
    one?.counter({ name: 'requests_total', help: 'Requests.' }).inc(3)
    two?.counter({ name: 'requests_total', help: 'Requests.' }).inc(4)
    expect(await one?.render()).toContain('ebonyweir_requests_total{role="entry"} 3')
    expect(await two?.render()).toContain('ebonyweir_requests_total{role="entry"} 4')
  })
})
