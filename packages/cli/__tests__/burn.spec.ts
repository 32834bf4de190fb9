import type * as protocol from '@ebonyweir/protocol'
import * as cli from '@ebonyweir/cli'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as vm from 'node:vm'
import * as vitest from 'vitest'
import * as fakeControl from './fakeControl.js'
import * as run from './run.js'

const { describe, expect, test } = vitest

type Bucket = protocol.operatorApi.BurnBucket

const NOW_MS = 10_000_000
const RULE = { key: 'service.swap-desk', line: 5, requestedBy: 'Maëlle </script>' }

function createBucket(entry: string, minutesAgo: number, good: number, late: number): Bucket {
  return {
    entry,
    service: 'swap-desk',
    startMs: NOW_MS - minutesAgo * 60_000,
    lengthMs: 10_000,
    good,
    late,
    failed: 0,
    refused: 0,
    endpoint: 'e-1',
    failureDomain: 'brest',
    p99Ms: 90,
    rule: '',
  }
}

function createAnswer(
  role: 'entry' | 'control',
  name: string,
  buckets: readonly Bucket[],
): protocol.operatorApi.BurnAnswer {
  const objectives = [{ service: 'swap-desk', objective: 0.99, targetMs: 80, rule: RULE }]
  return { cell: 'c', role, name, nowMs: NOW_MS, objectives, buckets }
}

describe('computeReport', () => {
  const firstEntryBucket = createBucket('one', 1, 90, 10)
  const secondEntryBucket = createBucket('two', 1, 50, 0)
  const cases: readonly (readonly [string, readonly protocol.operatorApi.BurnAnswer[], object])[] =
    [
      [
        'an entry alone',
        [createAnswer('entry', 'one', [firstEntryBucket])],
        { bad: 10, total: 100 },
      ],
      [
        'an entry and the copy at the leader',
        [
          createAnswer('entry', 'one', [firstEntryBucket]),
          createAnswer('control', 'c', [firstEntryBucket, secondEntryBucket]),
        ],
        { bad: 10, total: 150 },
      ],
      [
        'a stale copy at the leader',
        [
          createAnswer('control', 'c', [createBucket('one', 1, 5, 0)]),
          createAnswer('entry', 'one', [firstEntryBucket]),
        ],
        { bad: 10, total: 100 },
      ],
      [
        'a stale copy at the leader, read last',
        [
          createAnswer('entry', 'one', [firstEntryBucket]),
          createAnswer('control', 'c', [createBucket('one', 1, 5, 0)]),
        ],
        { bad: 10, total: 100 },
      ],
      [
        'an entry that restarted within a bucket',
        [createAnswer('control', 'c', [firstEntryBucket, createBucket('one', 1, 7, 1)])],
        { bad: 11, total: 108 },
      ],
    ]

  // Guards against counting requests twice, or dropping them, when several sources report them.
  test.each(cases)('counts the requests of %s once', (_name, answers, window) => {
    const report = cli.burnSources.computeReport(answers, [])
    expect(report.services[0]?.window).toEqual(window)
  })
})

describe('report burn', () => {
  // Guards against figures that look complete although a source is unreachable.
  test('lists unreachable sources and reports the others', async () => {
    const body = createAnswer('entry', 'one', [createBucket('one', 1, 90, 10)])
    const entry = await fakeControl.createFakeControl(() => ({ status: 200, body }))
    const args = ['report', 'burn', '--entry', `${entry.address},127.0.0.1:1`]
    const result = await run.runCli([...args, '--control', '127.0.0.1:2', '--timeout-ms', '300'])
    await entry.close()
    expect(result.code).toBe(0)
    expect(result.stdout).toContain('made from: entry one')
    expect(result.stdout).toMatch(/NOT REACHED: control 127\.0\.0\.1:2: .*ECONNREFUSED/u)
    expect(result.stdout).toMatch(/NOT REACHED: entry 127\.0\.0\.1:1: .*ECONNREFUSED/u)
    expect(result.stdout).toMatch(/swap-desk +99\.0 % +100 +10 +-900\.0 %.*BURNING \(slow\)/u)
    expect(result.stdout).toContain('failureDomain brest: 10 bad, 100.0 %')
  })

  // Guards against reporting success without any data.
  test('fails when no source answers', async () => {
    const args = ['report', 'burn', '--entry', '127.0.0.1:1', '--timeout-ms', '300']
    expect((await run.runCli(args)).code).toBe(4)
  })
})

describe('page', () => {
  // Guards against a page whose script fails, draws nothing, or is closed early by text in its data.
  test('draws two plots for each service from its embedded data', () => {
    const report = cli.burnSources.computeReport(
      [
        createAnswer('entry', 'one', [
          createBucket('one', 2, 90, 10),
          createBucket('one', 1, 50, 0),
        ]),
      ],
      [],
    )
    const page = cli.burnPage.renderPage(report)
    const file = path.join(os.tmpdir(), `ebonyweir-burn-${process.pid}.html`)
    fs.writeFileSync(file, page)
    const scripts = [...fs.readFileSync(file, 'utf8').matchAll(/<script>(.*?)<\/script>/gsu)]
    fs.rmSync(file)
    const plots: { readonly id: string; readonly data: unknown }[] = []
    const uPlot = function (_options: unknown, data: unknown, id: string) {
      plots.push({ id, data })
    }
    const document = { getElementById: (id: string) => id }
    vm.runInNewContext(scripts.at(-1)?.[1] ?? '', { uPlot, document })
    expect(scripts).toHaveLength(2)
    expect(page).not.toMatch(/(src|href)=/u)
    expect(plots.map(({ id }) => id)).toEqual(['rate-0', 'p99-0'])
    const rates = (plots[0]?.data as readonly (readonly number[])[])[1]
    expect(rates?.map((rate) => Math.round(rate * 10) / 10)).toEqual([10, 0])
  })
})
